package upstream

import (
	"io"
	"net/http"
	"time"
)

// Response is a store's answer whose body is still to be read. One of its methods Finish and Abort must be called.
type Response struct {
	StatusCode    int
	Header        http.Header
	ContentLength int64 // of the body, -1 where it is not told
	// CloseDelimited says that the body ends with the connection: an orderly end makes it whole.
	CloseDelimited bool

	connection *connection
	body       io.ReadCloser
	closing    bool
	patience   time.Duration
	deadline   time.Time
	whole      bool
	done       bool
	stop       func() bool
}

// Read reads the body. io.EOF comes only when all of the body has come; a body that is cut gives a *SendError.
func (a *Response) Read(into []byte) (int, error) {
	if a.connection.expect(a.patience, a.deadline) != nil {
		return 0, sent(ErrConnectionLost)
	}
	n, err := a.body.Read(into)
	switch {
	case err == io.EOF && a.CloseDelimited && !a.connection.sending.isWhole():
		err = sent(ErrConnectionLost) // the failed write may have taken the error of a reset, after which a read finds an end
	case err == io.EOF:
		a.whole = true
	case err != nil:
		err = sent(reasonOf(err))
	}
	return n, err
}

// Buffered says whether more of the answer has already arrived.
func (a *Response) Buffered() bool { return a.connection.reader.Buffered() > 0 }

// Finish keeps the connection for later requests where the answer was read whole and the request written whole, and nothing
// speaks against it. When Finish or Abort has returned, the request's body is not read any more.
func (a *Response) Finish() {
	if a.done {
		return
	}
	a.done = true
	c := a.connection
	undisturbed := a.stop()
	reusable := undisturbed && a.whole && !a.closing && c.sending.isWhole() && c.reader.Buffered() == 0 &&
		!c.owesBytes() // for which the next request would wait
	if !reusable || c.socket.SetDeadline(time.Time{}) != nil {
		c.discard()
		return
	}
	c.bearUsual()
	now := c.pools.now()
	c.until = idleUntil(now, a.Header)
	if !now.Before(c.until) {
		c.discard()
		return
	}
	c.pools.giveBack(c)
}

// Abort closes the connection.
func (a *Response) Abort() {
	if a.done {
		return
	}
	a.done = true
	a.stop()
	a.connection.discard()
}
