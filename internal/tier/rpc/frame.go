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
	kindFailure   = 0xff // of a reply that says that the call failed
)

// Sizes of buffers.
const (
	pooledBytes       = 16 << 10 // buffers up to this size are pooled
	preallocatedBytes = 1 << 20  // a payload that claims to be longer gets its buffer as its bytes arrive
	readerBytes       = 4 << 10  // read-ahead of a connection
)

type frame struct {
	kind    byte
	callID  uint32
	payload []byte // to be released
}

var bufferPool = sync.Pool{New: func() any {
	buffer := make([]byte, 0, pooledBytes)
	return &buffer
}}

// buffer returns a buffer of a length, from the pool if it is small.
func buffer(length int) []byte {
	if length > pooledBytes {
		return make([]byte, length)
	}
	return (*bufferPool.Get().(*[]byte))[:length]
}

// release returns a buffer to the pool. Decoded messages are copies, so none refers to it.
func release(buffer []byte) {
	if cap(buffer) == pooledBytes {
		bufferPool.Put(&buffer)
	}
}

// encode returns a frame in a buffer that is to be released.
func encode(kind byte, callID uint32, message Message) ([]byte, error) {
	size := 0
	if message != nil {
		size = message.SizeVT()
	}
	if size > maxFrameBytes-headerBytes {
		return nil, ErrTooLarge
	}
	encoded := buffer(headerBytes + size)
	binary.BigEndian.PutUint32(encoded, uint32(headerBytes-lengthBytes+size))
	encoded[lengthBytes] = kind
	binary.BigEndian.PutUint32(encoded[lengthBytes+1:], callID)
	if size == 0 {
		return encoded, nil
	}
	if _, err := message.MarshalToSizedBufferVT(encoded[headerBytes:]); err != nil {
		release(encoded)
		return nil, eris.Wrap(err, "encode message")
	}
	return encoded, nil
}

// readFrame reads one frame; its payload is to be released.
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

// readPayload allocates a long payload in steps as its bytes arrive, so that garbage that is read as a length cannot
// claim memory that it does not fill.
func readPayload(from io.Reader, length int) ([]byte, error) {
	payload := buffer(min(length, preallocatedBytes))
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
