// Package upstream sends requests to stores over HTTP/1.1 connections of its own. It never sends a request twice, and it
// says of each failure whether the store may have received any of the request.
package upstream

import (
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Store is one incarnation of a store at its address.
type Store struct {
	Instance string
	Address  string
}

// Request is one request as a store is to get it. Hop-by-hop headers are left out when it is written.
type Request struct {
	Service         string
	LastAttempt     bool // it will not be sent to another store: it keeps away from connections that this one may have closed
	Method          string
	URI             string // request target, byte for byte
	Host            string
	Header          http.Header   // as the client sent it; not changed
	ID              string        // X-Request-Id, which the answer must carry back
	Body            [][]byte      // in order; the length sent is that of all
	HasBody         bool          // write a Content-Length although the body is empty
	LastEventID     string        // replaces Last-Event-Id where not empty
	ExpectVersion   string        // replaces Expect-Version where not empty
	Deadline        time.Time     // the store is told what is left of it, and nothing is awaited past it
	ReadIdleTimeout time.Duration // longest silence of the store; 0 where only the deadline counts
}

// Errors of sends, as causes of a SendError.
var (
	ErrDial               = eris.New("store cannot be reached")
	ErrTooManyConnections = eris.New("too many connections to the store")
	ErrConnectionLost     = eris.New("connection broke off")
	ErrDeadlineExceeded   = eris.New("no answer before the deadline")
	ErrReadIdleTimeout    = eris.New("store was silent for too long")
	ErrMismatched         = eris.New("answer belongs to another request")
	ErrClosed             = eris.New("connections are closed")
)

// SendError is a send without an answer.
type SendError struct {
	Reason error
	Sent   bool // a byte of the request may have reached the store
}

// Error describes the failure.
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
