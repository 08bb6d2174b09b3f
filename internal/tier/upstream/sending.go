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
		err = c.expect(request.Patience, request.Deadline)
	}
	c.sending = &sending{done: ended, written: int64(written), err: err}
}

// allowUnread lets a store leave bytes unread for so long: to the kernel one that has no room for more of a body is like one
// that is behind a cut, and it would end the answer that has begun, too.
func (c *connection) allowUnread(most time.Duration) {
	if raw := c.raw(); raw != nil {
		_ = limitUnacknowledged(raw, most)
		c.bearsUnread = most != userTimeout
	}
}

// owesBytes says whether the store's kernel has not taken all of the request yet.
func (c *connection) owesBytes() bool {
	if !c.sending.long {
		return false
	}
	if !c.sending.isWhole() {
		return true
	}
	raw := c.raw()
	if raw == nil {
		return false
	}
	waiting := 0
	err := raw.Control(func(descriptor uintptr) {
		waiting, _ = unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ)
	})
	return err != nil || waiting > 0
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
		into.err = c.expect(request.Patience, request.Deadline)
	}
}
