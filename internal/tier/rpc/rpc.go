// Package rpc carries protobuf messages between the tier's processes: frames over TCP, many calls at once on
// one connection. A frame is its length (4 bytes, big endian, the rest counted), a kind (1 byte), a call number
// (4 bytes) and the message.
package rpc

import "github.com/rotisserie/eris"

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
	MethodChangeSegments
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
	ErrRejected    = eris.New("peer refused the call")
	ErrTooLarge    = eris.New("frame is too large")
)
