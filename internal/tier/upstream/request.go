package upstream

import (
	"net/http"
	"time"
)

// Store identifies one incarnation of a store.
type Store struct {
	Instance string
	Address  string // host and port, IPv4
}

// Request is a request to a store. Hop-by-hop headers are not sent.
type Request struct {
	// Service is the service of the store. Stale connections are tracked by service.
	Service string
	// LastAttempt says that the request will not be retried at another store. It then avoids connections that the store may
	// have closed.
	LastAttempt bool
	Method      string
	// URI is the request target, sent byte for byte.
	URI  string
	Host string
	// Header holds the client's headers; it is not modified.
	Header http.Header
	// ID is the X-Request-Id, which the response must repeat.
	ID string
	// Body holds the chunks of the body in order. They must not be modified until Send has returned an error, or
	// Response.Finish or Response.Abort has returned.
	Body [][]byte
	// HasBody causes a Content-Length to be sent even if the body is empty.
	HasBody bool
	// LastEventID, if not empty, replaces the header Last-Event-Id.
	LastEventID string
	// ExpectVersion, if not empty, replaces the header Expect-Version.
	ExpectVersion string
	// Deadline bounds every wait for the store. The remaining time is sent to the store as X-Deadline-Ms.
	Deadline time.Time
	// ReadIdleTimeout is the longest time without a byte of the response, once the request is written. 0 means no limit other
	// than Deadline.
	ReadIdleTimeout time.Duration
}
