package upstream

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// Response is a store's response whose body has not been read. Finish or Abort must be called; only the first call counts.
type Response struct {
	StatusCode int
	Header     http.Header
	// ContentLength is the length of the body in bytes, or -1 if it is unknown.
	ContentLength int64
	// CloseDelimited says that the end of the connection delimits the body, which is complete if that end was orderly.
	CloseDelimited bool

	connection      *connection
	body            io.ReadCloser
	closing         bool // the store closes the connection after the response
	readIdleTimeout time.Duration
	deadline        time.Time
	complete        bool // the body was read to its end
	finished        bool
	stop            func() bool // cancels the context.AfterFunc that closes the socket; false if that has already run
}

// Read reads the body. It returns io.EOF only if the body is complete, and a *SendError if the response was interrupted.
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
		// The failed write may have consumed the socket error of a reset; reads then return io.EOF.
		return n, sent(ErrConnectionLost)
	}
	r.complete = true
	return n, io.EOF
}

// Buffered reports whether more bytes of the response have already been received.
func (r *Response) Buffered() bool { return r.connection.reader.Buffered() > 0 }

// Finish keeps the connection for later requests if the request was completely written and the response completely read, and
// closes it otherwise. Once it has returned, the request's body is no longer accessed.
func (r *Response) Finish() {
	if r.finished {
		return
	}
	r.finished = true
	c := r.connection
	socketOpen := r.stop()
	reusable := socketOpen && r.complete && !r.closing && c.write.succeeded() && c.reader.Buffered() == 0 &&
		!c.hasUnacknowledged() // the next request would be queued behind unacknowledged bytes
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

// Abort closes the connection. Once it has returned, the request's body is no longer accessed.
func (r *Response) Abort() {
	if r.finished {
		return
	}
	r.finished = true
	r.stop()
	r.connection.discard()
}
