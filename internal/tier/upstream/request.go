package upstream

import (
	"net/http"
	"time"
)

// Store is one incarnation of a store at its address.
type Store struct {
	Instance string
	Address  string // host and port, IPv4
}

// Request is one request as a store is to get it. Hop-by-hop headers are left out when it is written.
type Request struct {
	// Service is the service that the store belongs to. What is learned of stale connections is learned by service.
	Service string
	// LastAttempt says that the request will not be sent to another store: it keeps away from connections that the store may
	// have closed.
	LastAttempt bool
	Method      string
	// URI is the request target, sent byte for byte.
	URI  string
	Host string
	// Header is the client's; it is not changed.
	Header http.Header
	// ID is the X-Request-Id, which the response must repeat.
	ID string
	// Body is sent in order. It must not change until Response.Finish or Response.Abort has returned, or Send with an error.
	Body [][]byte
	// HasBody has a Content-Length written although the body is empty.
	HasBody bool
	// LastEventID replaces Last-Event-Id where it is not empty.
	LastEventID string
	// ExpectVersion replaces Expect-Version where it is not empty.
	ExpectVersion string
	// Deadline ends every wait for the store, which is told the time that is left.
	Deadline time.Time
	// ReadIdleTimeout is the longest time without a byte of the response, from the time when the request is written; 0 means
	// that only Deadline counts.
	ReadIdleTimeout time.Duration
}
