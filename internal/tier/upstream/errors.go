package upstream

import (
	"errors"
	"os"

	"github.com/rotisserie/eris"
)

// Reasons of a SendError.
var (
	// ErrDial means that no connection was established.
	ErrDial = eris.New("cannot connect to the store")
	// ErrTooManyConnections means that the limit of connections to the store is reached.
	ErrTooManyConnections = eris.New("too many connections to the store")
	// ErrConnectionLost means that the connection was closed or reset, or that the response was invalid.
	ErrConnectionLost = eris.New("connection lost")
	// ErrDeadlineExceeded means that the request's Deadline passed, or that no byte of the body arrived for ReadIdleTimeout;
	// for the head see ErrReadIdleTimeout.
	ErrDeadlineExceeded = eris.New("deadline exceeded")
	// ErrReadIdleTimeout means that ReadIdleTimeout passed while waiting for the head of the response, and that the Deadline
	// had not passed yet.
	ErrReadIdleTimeout = eris.New("read idle timeout")
	// ErrMismatched means that the response belongs to another request.
	ErrMismatched = eris.New("mismatched response")
	// ErrClosed means that the Transport is closed.
	ErrClosed = eris.New("transport closed")

	errHeadTooLarge = eris.New("response head too large")
)

// SendError is the error of a request that got no complete response. Its Reason is one of the errors above.
type SendError struct {
	Reason error
	// Sent says that the store may have received a part of the request, and so may have executed it.
	Sent bool
}

func (e *SendError) Error() string {
	if e.Sent {
		return "request sent: " + e.Reason.Error()
	}
	return "request not sent: " + e.Reason.Error()
}

// Unwrap returns the reason.
func (e *SendError) Unwrap() error { return e.Reason }

func notSent(reason error) *SendError { return &SendError{Reason: reason} }
func sent(reason error) *SendError    { return &SendError{Reason: reason, Sent: true} }

// reasonOf maps the error of a socket to a Reason.
func reasonOf(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return ErrDeadlineExceeded
	}
	return ErrConnectionLost
}
