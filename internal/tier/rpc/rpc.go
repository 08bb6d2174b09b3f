package rpc

import "github.com/rotisserie/eris"

// Method identifies the handler of a call. The numbers are part of the protocol: they must not change, and the numbers of
// removed methods must not be reused.
type Method uint8

// The methods. The comment names the package that serves each.
const (
	MethodPrepare         Method = iota + 1 // register
	MethodAccept                            // register
	MethodLease                             // lease
	MethodWatch                             // watch
	MethodAnnounce                          // coordinator
	MethodJoin                              // coordinator
	MethodPing                              // every role but the proxy
	MethodShuffle                           // peers
	MethodPutTurns                          // turnstore
	MethodGetChain                          // turnstore
	MethodReserveBudget                     // turnstore
	MethodReadBudget                        // turnstore
	MethodTransferRecords                   // turnstore
	MethodOfferRecords                      // turnstore
	MethodChangeSegments                    // coordinator
)

// Message is a protobuf message generated with vtprotobuf.
type Message interface {
	SizeVT() int
	MarshalToSizedBufferVT([]byte) (int, error)
	UnmarshalVT([]byte) error
}

// Errors returned by calls, to be checked with errors.Is. A call may also return the error of decoding its reply.
var (
	// ErrUnreachable: no connection could be opened, or it broke before the reply arrived. The peer may have executed the
	// request.
	ErrUnreachable = eris.New("peer unreachable")
	// ErrTimeout: the context ended before the reply arrived. The peer may have executed the request.
	ErrTimeout = eris.New("no reply before the deadline")
	// ErrRejected: the peer has no handler for the method, or the handler returned an error.
	ErrRejected = eris.New("call rejected by the peer")
	// ErrTooLarge: the request is larger than the protocol allows. A received frame that is too large closes the connection
	// instead, and the calls that wait on it fail with ErrUnreachable.
	ErrTooLarge = eris.New("frame too large")
)
