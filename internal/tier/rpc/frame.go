package rpc

import (
	"encoding/binary"
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

// Frame layout; see the package documentation.
const (
	lengthBytes   = 4
	headerBytes   = 9 // length, kind and call id
	maxFrameBytes = 64 << 20
	replyFlag     = 0x80 // set in the kind of a reply
	kindFailure   = 0xff // kind of a reply to a call that failed
)

// Sizes of buffers.
const (
	pooledBufferBytes    = 16 << 10 // buffers up to this size are pooled
	maxPreallocatedBytes = 1 << 20  // the buffer of a longer payload grows as its bytes arrive
	readBufferBytes      = 4 << 10  // size of a connection's read buffer
)

type frame struct {
	kind    byte
	callID  uint32
	payload []byte // must be passed to releaseBuffer
}

var bufferPool = sync.Pool{New: func() any {
	buffer := make([]byte, 0, pooledBufferBytes)
	return &buffer
}}

// acquireBuffer returns a buffer of the given length, from the pool if it is small.
func acquireBuffer(length int) []byte {
	if length > pooledBufferBytes {
		return make([]byte, length)
	}
	return (*bufferPool.Get().(*[]byte))[:length]
}

// releaseBuffer returns a pooled buffer to the pool. Decoded messages copy their data, so none refers to the buffer.
func releaseBuffer(buffer []byte) {
	if cap(buffer) == pooledBufferBytes {
		bufferPool.Put(&buffer)
	}
}

// encode returns an encoded frame. The caller must pass it to releaseBuffer or to frameWriter.write.
func encode(kind byte, callID uint32, message Message) ([]byte, error) {
	size := 0
	if message != nil {
		size = message.SizeVT()
	}
	if size > maxFrameBytes-headerBytes {
		return nil, ErrTooLarge
	}
	encoded := acquireBuffer(headerBytes + size)
	binary.BigEndian.PutUint32(encoded, uint32(headerBytes-lengthBytes+size))
	encoded[lengthBytes] = kind
	binary.BigEndian.PutUint32(encoded[lengthBytes+1:], callID)
	if size == 0 {
		return encoded, nil
	}
	if _, err := message.MarshalToSizedBufferVT(encoded[headerBytes:]); err != nil {
		releaseBuffer(encoded)
		return nil, eris.Wrap(err, "encode message")
	}
	return encoded, nil
}

// readFrame reads one frame. The caller must pass its payload to releaseBuffer.
func readFrame(from io.Reader, header *[headerBytes]byte) (frame, error) {
	if _, err := io.ReadFull(from, header[:]); err != nil {
		return frame{}, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length < headerBytes-lengthBytes || length > maxFrameBytes {
		return frame{}, ErrTooLarge
	}
	payload, err := readPayload(from, int(length)-headerBytes+lengthBytes)
	return frame{kind: header[lengthBytes], callID: binary.BigEndian.Uint32(header[lengthBytes+1:]), payload: payload}, err
}

// readPayload reads a payload of the given length. It grows the buffer of a long payload as its bytes arrive, so that
// invalid data read as a length does not cause a large allocation.
func readPayload(from io.Reader, length int) ([]byte, error) {
	payload := acquireBuffer(min(length, maxPreallocatedBytes))
	_, err := io.ReadFull(from, payload)
	for err == nil && len(payload) < length {
		filled := len(payload)
		larger := make([]byte, min(length, 2*filled))
		copy(larger, payload)
		payload = larger
		_, err = io.ReadFull(from, payload[filled:])
	}
	return payload, err
}
