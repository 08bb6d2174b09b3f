package upstream

import (
	"bytes"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// sending is the writing of one request. A long body is written while the answer may already come: a store may answer
// before it has read all of it.
type sending struct {
	taken   bool          // all of it was written; guarded by the connection's mutex for what is unread
	long    bool          // its body may be more than the store's kernel takes at once
	done    chan struct{} // closed at the end; what follows is not read before
	written int64
	err     error
}

// ended is the channel of a sending that was over at once.
var ended = func() chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}()

// isWhole says whether all of the request has been written.
func (s *sending) isWhole() bool {
	select {
	case <-s.done:
		return s.err == nil
	default:
		return false
	}
}

// tookNothing says whether the sending has failed before any byte of the request left.
func (s *sending) tookNothing() bool {
	select {
	case <-s.done:
		return s.err != nil && s.written == 0
	default:
		return false
	}
}

// send writes a request: in one write where its body is short, which is over when send returns, and else in the
// background. The patience with the store begins when all is written.
func (c *connection) send(request *Request) {
	buffer := writeBuffers.Get().(*bytes.Buffer)
	buffer.Reset()
	writeHead(buffer, c.store, request, request.Deadline.Sub(c.pools.now()))
	if bodyLength(request.Body) > mergedBodyBytes {
		c.sending = &sending{long: true, done: make(chan struct{})}
		go c.sendParts(c.sending, buffer, request)
		return
	}
	defer keepBuffer(buffer)
	for _, part := range request.Body {
		buffer.Write(part)
	}
	written, err := c.socket.Write(buffer.Bytes())
	if err == nil {
		err = c.expect(request.ReadIdleTimeout, request.Deadline)
	}
	c.sending = &sending{done: ended, written: int64(written), err: err}
}

// bearUnread lets a store that has answered before it has read all leave bytes unread for so long: to the kernel one that has
// no room for more of a body is like one that is behind a cut, and it would end the answer that has begun, too.
func (c *connection) bearUnread(most time.Duration) {
	c.unread.Lock()
	defer c.unread.Unlock()
	if c.owesBytes() {
		c.allowUnread(most)
	}
}

// bearUsual goes back to the usual time, where the store was given more.
func (c *connection) bearUsual() {
	c.unread.Lock()
	defer c.unread.Unlock()
	if c.bearsUnread {
		c.allowUnread(userTimeout)
	}
}

// took notes that all of a request was written. A store that read all before it answered may have done so before the writer
// came to note it: it is given no more than the usual time.
func (c *connection) took(request *sending) {
	c.unread.Lock()
	defer c.unread.Unlock()
	request.taken = true
	if c.bearsUnread && c.unacknowledged() == 0 {
		c.allowUnread(userTimeout)
	}
}

func (c *connection) allowUnread(most time.Duration) {
	if raw := c.raw(); raw != nil {
		_ = limitUnacknowledged(raw, most)
		c.bearsUnread = most != userTimeout
	}
}

// owesBytes says whether the store's kernel has not taken all of the request yet. The mutex for what is unread is held, or the
// sending is over.
func (c *connection) owesBytes() bool {
	if !c.sending.long {
		return false
	}
	return !c.sending.taken || c.unacknowledged() > 0
}

// unacknowledged is how many bytes the store's kernel has not acknowledged; one, where that cannot be told.
func (c *connection) unacknowledged() int {
	raw := c.raw()
	if raw == nil {
		return 0
	}
	waiting := 0
	err := raw.Control(func(descriptor uintptr) {
		waiting, _ = unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ)
	})
	if err != nil {
		return 1
	}
	return waiting
}

// raw gives access to the socket's descriptor, nil where there is none.
func (c *connection) raw() syscall.RawConn {
	socket, ok := c.socket.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

func (c *connection) sendParts(into *sending, buffer *bytes.Buffer, request *Request) {
	defer close(into.done)
	defer keepBuffer(buffer)
	parts := append(net.Buffers{buffer.Bytes()}, request.Body...)
	into.written, into.err = parts.WriteTo(c.socket)
	if into.err == nil {
		into.err = c.expect(request.ReadIdleTimeout, request.Deadline)
	}
	if into.err == nil {
		c.took(into)
	}
}
