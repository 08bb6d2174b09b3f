package upstream

import (
	"bytes"
	"net"
	"sync"
)

const (
	writeBufferBytes     = 4 << 10
	maxPooledBufferBytes = 64 << 10 // larger write buffers are not returned to the pool
	maxInlineBodyBytes   = 16 << 10 // bodies up to this size are sent with the head in a single write
)

// requestWrite is the state of writing one request. A long body is written in the background, as a store may respond before
// it has read all of it.
type requestWrite struct {
	complete   bool          // the whole request was written; set for background writes only; guarded by connection.timeoutMu
	background bool          // the body is long, and may exceed the receive buffer of the store
	done       chan struct{} // closed when the write has ended; written and err must not be read before
	written    int64         // in bytes
	err        error
}

// closedChannel is the done channel of writes that have ended when writeRequest returns.
var closedChannel = func() chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}()

var writeBuffers = sync.Pool{New: func() any { return bytes.NewBuffer(make([]byte, 0, writeBufferBytes)) }}

func putBuffer(buffer *bytes.Buffer) {
	if buffer.Cap() <= maxPooledBufferBytes {
		writeBuffers.Put(buffer)
	}
}

// succeeded reports whether the whole request has been written.
func (w *requestWrite) succeeded() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// sentNothing reports whether the write failed before any byte of the request was sent.
func (w *requestWrite) sentNothing() bool {
	select {
	case <-w.done:
		return w.err != nil && w.written == 0
	default:
		return false
	}
}

// writeRequest writes a request. With a short body this is a single write, which has ended when writeRequest returns. With a
// long body the write continues in the background. The read idle timeout starts when the whole request is written.
func (c *connection) writeRequest(request *Request) {
	buffer := writeBuffers.Get().(*bytes.Buffer)
	buffer.Reset()
	writeHead(buffer, c.store, request, request.Deadline.Sub(c.transport.now()))
	if bodyLength(request.Body) > maxInlineBodyBytes {
		c.write = &requestWrite{background: true, done: make(chan struct{})}
		go c.writeInBackground(c.write, buffer, request)
		return
	}
	defer putBuffer(buffer)
	for _, chunk := range request.Body {
		buffer.Write(chunk)
	}
	written, err := c.socket.Write(buffer.Bytes())
	if err == nil {
		err = c.setReadDeadline(request.ReadIdleTimeout, request.Deadline)
	}
	c.write = &requestWrite{done: closedChannel, written: int64(written), err: err}
}

func (c *connection) writeInBackground(w *requestWrite, head *bytes.Buffer, request *Request) {
	defer close(w.done)
	defer putBuffer(head)
	chunks := append(net.Buffers{head.Bytes()}, request.Body...)
	w.written, w.err = chunks.WriteTo(c.socket)
	if w.err == nil {
		w.err = c.setReadDeadline(request.ReadIdleTimeout, request.Deadline)
	}
	if w.err == nil {
		c.recordWritten(w)
	}
}
