// Package rpc carries protobuf messages between the tier's processes: frames over TCP, many calls at once on
// one connection. A frame is its length (4 bytes, big endian, the rest counted), a kind (1 byte), a call number
// (4 bytes) and the message.
package rpc

import (
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
)

// Method numbers the calls; both ends know them.
type Method uint8

// The methods, by the part that serves them.
const (
	MethodPrepare Method = iota + 1
	MethodAccept
	MethodLease
	MethodWatch
	MethodAnnounce
	MethodJoin
	MethodPing
	MethodShuffle
	MethodPutTurns
	MethodGetChain
	MethodReserveBudget
	MethodReadBudget
	MethodMoveRecords
	MethodOfferRecords
)

// Message is a generated protobuf message with the fast encoding.
type Message interface {
	SizeVT() int
	MarshalToSizedBufferVT([]byte) (int, error)
	UnmarshalVT([]byte) error
}

// Errors of calls.
var (
	ErrUnreachable = eris.New("peer cannot be reached")
	ErrTimeout     = eris.New("no answer in time")
	ErrRefused     = eris.New("peer refused the call")
	ErrTooLarge    = eris.New("frame is too large")
)

// Frame layout.
const (
	headerBytes   = 9
	maxFrameBytes = 64 << 20
	kindReply     = 0x80 // set in the kind of a reply
	kindFailure   = 0xff // reply that says the call failed
)

type frame struct {
	kind    byte
	call    uint32
	payload []byte
}

func encode(kind byte, call uint32, message Message) ([]byte, error) {
	size := 0
	if message != nil {
		size = message.SizeVT()
	}
	buffer := make([]byte, headerBytes+size)
	binary.BigEndian.PutUint32(buffer, uint32(headerBytes-4+size))
	buffer[4] = kind
	binary.BigEndian.PutUint32(buffer[5:], call)
	if size == 0 {
		return buffer, nil
	}
	if _, err := message.MarshalToSizedBufferVT(buffer[headerBytes:]); err != nil {
		return nil, eris.Wrap(err, "encode")
	}
	return buffer, nil
}

func readFrame(from io.Reader, header *[headerBytes]byte) (frame, error) {
	if _, err := io.ReadFull(from, header[:]); err != nil {
		return frame{}, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length < headerBytes-4 || length > maxFrameBytes {
		return frame{}, ErrTooLarge
	}
	read := frame{kind: header[4], call: binary.BigEndian.Uint32(header[5:]), payload: make([]byte, length-headerBytes+4)}
	_, err := io.ReadFull(from, read.payload)
	return read, err
}
