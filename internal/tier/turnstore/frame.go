package turnstore

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// A file of records begins with fileMagic. Frames follow: the length of the body (4 bytes, big endian), its
// checksum (4 bytes), and the body, which is a kind (1 byte) and a message.
const (
	fileMagic        = "PTURNS01"
	frameHeaderBytes = 8
	mostFrameBytes   = 64 << 20
)

// Kinds of frames.
const (
	kindRecord    byte = 1
	kindBudget    byte = 2
	kindExtension byte = 3
)

var (
	checksums    = crc32.MakeTable(crc32.Castagnoli)
	errFrameKind = eris.New("frame of a kind that is not known")
)

// message is a generated message with the fast encoding.
type message interface {
	SizeVT() int
	MarshalToSizedBufferVT([]byte) (int, error)
}

// appendFrame adds a frame to a buffer.
func appendFrame(buffer []byte, kind byte, body message) ([]byte, error) {
	size := body.SizeVT()
	start := len(buffer)
	buffer = append(buffer, make([]byte, frameHeaderBytes+1+size)...)
	frame := buffer[start:]
	frame[frameHeaderBytes] = kind
	if _, err := body.MarshalToSizedBufferVT(frame[frameHeaderBytes+1:]); err != nil {
		return buffer[:start], eris.Wrap(err, "encode a frame")
	}
	binary.BigEndian.PutUint32(frame, uint32(1+size))
	binary.BigEndian.PutUint32(frame[4:], crc32.Checksum(frame[frameHeaderBytes:], checksums))
	return buffer, nil
}

// contents takes what a file holds.
type contents interface {
	takeRecord(*tierpb.TurnRecord)
	takeBudget(*tierpb.ProgramBudget)
	takeExtension(*tierpb.RetentionExtension)
}

// readFrames hands on the frames of a file up to its end or to the first that is not whole, and returns how many bytes
// that is and whether it is the whole file. A sync covers all that was written to the file before, so nothing behind a
// frame that was torn as it was written was ever acknowledged.
func readFrames(data []byte, into contents) (valid int64, whole bool, err error) {
	if len(data) < len(fileMagic) || string(data[:len(fileMagic)]) != fileMagic {
		return 0, false, nil
	}
	valid = int64(len(fileMagic))
	for rest := data[len(fileMagic):]; len(rest) > 0; {
		body, size := nextFrame(rest)
		if body == nil {
			return valid, false, nil
		}
		if err := takeFrame(body, into); err != nil {
			return valid, false, err
		}
		valid += int64(size)
		rest = rest[size:]
	}
	return valid, true, nil
}

// nextFrame returns the body of the first frame and the frame's size, nil where it is not whole.
func nextFrame(data []byte) ([]byte, int) {
	if len(data) < frameHeaderBytes+1 {
		return nil, 0
	}
	length := int(binary.BigEndian.Uint32(data))
	if length < 1 || length > mostFrameBytes || length > len(data)-frameHeaderBytes {
		return nil, 0
	}
	body := data[frameHeaderBytes : frameHeaderBytes+length]
	if crc32.Checksum(body, checksums) != binary.BigEndian.Uint32(data[4:]) {
		return nil, 0
	}
	return body, frameHeaderBytes + length
}

func takeFrame(body []byte, into contents) error {
	kind, payload := body[0], body[1:]
	switch kind {
	case kindRecord:
		record := &tierpb.TurnRecord{}
		if err := record.UnmarshalVT(payload); err != nil {
			return eris.Wrap(err, "turn record")
		}
		into.takeRecord(record)
	case kindBudget:
		budget := &tierpb.ProgramBudget{}
		if err := budget.UnmarshalVT(payload); err != nil {
			return eris.Wrap(err, "budget")
		}
		into.takeBudget(budget)
	case kindExtension:
		extension := &tierpb.RetentionExtension{}
		if err := extension.UnmarshalVT(payload); err != nil {
			return eris.Wrap(err, "extension")
		}
		into.takeExtension(extension)
	default:
		return errFrameKind
	}
	return nil
}
