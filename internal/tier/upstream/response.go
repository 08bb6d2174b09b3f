package upstream

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// Response is a store's response whose body is still to be read. Finish or Abort must be called, whichever is first counts.
type Response struct {
	StatusCode int
	Header     http.Header
	// ContentLength is the length of the body in bytes, -1 where it is unknown.
	ContentLength int64
	// CloseDelimited says that the body ends with the connection: it is complete after an orderly end.
	CloseDelimited bool

	connection      *connection
	body            io.ReadCloser
	closing         bool // the store closes the connection after the response
	readIdleTimeout time.Duration
	deadline        time.Time
	complete        bool // the body was read to its end
	finished        bool
	stop            func() bool // stops the closing of the socket at the end of the request's context
}

// Read reads the body. It returns io.EOF only when all of the body has come, and a *SendError where the response was
// interrupted.
func (r *Response) Read(into []byte) (int, error) {
	if r.connection.setReadDeadline(r.readIdleTimeout, r.deadline) != nil {
		return 0, sent(ErrConnectionLost)
	}
	n, err := r.body.Read(into)
	switch {
	case err == nil:
		return n, nil
	case !errors.Is(err, io.EOF):
		return n, sent(reasonOf(err))
	case r.CloseDelimited && !r.connection.write.succeeded():
		// The failed write may have consumed the error of a reset, after which a read finds an end.
		return n, sent(ErrConnectionLost)
	}
	r.complete = true
	return n, io.EOF
}

// Buffered reports whether more of the response has already arrived.
func (r *Response) Buffered() bool { return r.connection.reader.Buffered() > 0 }

// Finish keeps the connection for later requests where the request was written and the response read to their ends, and
// closes it otherwise. When it returns, the request's body is not read any more.
func (r *Response) Finish() {
	if r.finished {
		return
	}
	r.finished = true
	c := r.connection
	undisturbed := r.stop()
	reusable := undisturbed && r.complete && !r.closing && c.write.succeeded() && c.reader.Buffered() == 0 &&
		!c.hasUnacknowledged() // for which the next request would wait
	if !reusable || c.socket.SetDeadline(time.Time{}) != nil {
		c.discard()
		return
	}
	c.resetUserTimeout()
	now := c.transport.now()
	c.idleDeadline = idleDeadline(now, r.Header)
	if !now.Before(c.idleDeadline) {
		c.discard()
		return
	}
	c.transport.putIdle(c)
}

// Abort closes the connection. When it returns, the request's body is not read any more.
func (r *Response) Abort() {
	if r.finished {
		return
	}
	r.finished = true
	r.stop()
	r.connection.discard()
}
