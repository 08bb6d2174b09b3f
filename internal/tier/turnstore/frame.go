package turnstore

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Format of segments and compacted files. A file begins with fileMagic, followed by frames. The header of a frame is the
// length of its body (4 bytes, big endian) and the CRC-32C of its body (4 bytes, big endian); the body is the kind of the
// frame (1 byte) and a protobuf message.
const (
	fileMagic        = "PTURNS01"
	frameHeaderBytes = 8
	maxFrameBytes    = 64 << 20
)

// Kinds of frames.
const (
	kindRecord    byte = 1 // tierpb.TurnRecord
	kindBudget    byte = 2 // tierpb.ProgramBudget
	kindExtension byte = 3 // tierpb.RetentionExtension
)

var (
	castagnoli      = crc32.MakeTable(crc32.Castagnoli)
	errUnknownFrame = eris.New("frame of an unknown kind")
)

// message is a generated protobuf message with the vtprotobuf encoding.
type message interface {
	SizeVT() int
	MarshalToSizedBufferVT([]byte) (int, error)
}

// appendFrame appends a frame to a buffer.
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
	binary.BigEndian.PutUint32(frame[4:], crc32.Checksum(frame[frameHeaderBytes:], castagnoli))
	return buffer, nil
}

// frameLoader receives the decoded frames of a file.
type frameLoader interface {
	loadRecord(*tierpb.TurnRecord)
	loadBudget(*tierpb.ProgramBudget)
	loadExtension(*tierpb.RetentionExtension)
}

// readFrames decodes the frames of a file up to its end or to the first frame that is incomplete or corrupt. It returns
// how many bytes are valid and whether that is the whole file. A sync covers everything written to the file before it, so
// nothing after a torn frame was ever acknowledged.
func readFrames(data []byte, loader frameLoader) (validBytes int64, complete bool, err error) {
	if len(data) < len(fileMagic) || string(data[:len(fileMagic)]) != fileMagic {
		return 0, false, nil
	}
	validBytes = int64(len(fileMagic))
	for rest := data[len(fileMagic):]; len(rest) > 0; {
		body, size := nextFrame(rest)
		if body == nil {
			return validBytes, false, nil
		}
		if err := decodeFrame(body, loader); err != nil {
			return validBytes, false, err
		}
		validBytes += int64(size)
		rest = rest[size:]
	}
	return validBytes, true, nil
}

// nextFrame returns the body of the first frame and the size of the frame; a nil body if it is incomplete or corrupt.
func nextFrame(data []byte) (body []byte, size int) {
	if len(data) < frameHeaderBytes+1 {
		return nil, 0
	}
	length := int(binary.BigEndian.Uint32(data))
	if length < 1 || length > maxFrameBytes || length > len(data)-frameHeaderBytes {
		return nil, 0
	}
	body = data[frameHeaderBytes : frameHeaderBytes+length]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(data[4:]) {
		return nil, 0
	}
	return body, frameHeaderBytes + length
}

// decodeFrame decodes the body of a frame and passes the message to the loader.
func decodeFrame(body []byte, loader frameLoader) error {
	kind, payload := body[0], body[1:]
	switch kind {
	case kindRecord:
		record := &tierpb.TurnRecord{}
		if err := record.UnmarshalVT(payload); err != nil {
			return eris.Wrap(err, "decode a turn record")
		}
		loader.loadRecord(record)
	case kindBudget:
		budget := &tierpb.ProgramBudget{}
		if err := budget.UnmarshalVT(payload); err != nil {
			return eris.Wrap(err, "decode a program budget")
		}
		loader.loadBudget(budget)
	case kindExtension:
		extension := &tierpb.RetentionExtension{}
		if err := extension.UnmarshalVT(payload); err != nil {
			return eris.Wrap(err, "decode a retention extension")
		}
		loader.loadExtension(extension)
	default:
		return errUnknownFrame
	}
	return nil
}
