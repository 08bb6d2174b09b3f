package upstream

import (
	"bytes"
	"net"
)

// sending is the writing of one request. A long body is written while the answer may already come: a store may answer
// before it has read all of it.
type sending struct {
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
		c.sending = &sending{done: make(chan struct{})}
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

func (c *connection) sendParts(into *sending, buffer *bytes.Buffer, request *Request) {
	defer close(into.done)
	defer keepBuffer(buffer)
	parts := append(net.Buffers{buffer.Bytes()}, request.Body...)
	into.written, into.err = parts.WriteTo(c.socket)
	if into.err == nil {
		into.err = c.expect(request.Patience, request.Deadline)
	}
}
