package upstream

import (
	"bytes"
	"net"
	"sync"
)

const (
	writeBufferBytes   = 4 << 10
	maxPooledBuffer    = 64 << 10 // write buffers that grew past this are not pooled
	maxInlineBodyBytes = 16 << 10 // bodies up to this go out in one write with the head
)

// requestWrite is the writing of one request. A long body is written in the background: a store may respond before it has
// read all of it.
type requestWrite struct {
	complete   bool          // all of it was written; set for background writes only; guarded by connection.timeoutMu
	background bool          // its body may be more than the store's kernel takes at once
	done       chan struct{} // closed at the end; what follows is not read before
	written    int64         // bytes
	err        error
}

// closedChannel is the done channel of a write that is over at once.
var closedChannel = func() chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}()

var writeBuffers = sync.Pool{New: func() any { return bytes.NewBuffer(make([]byte, 0, writeBufferBytes)) }}

func putBuffer(buffer *bytes.Buffer) {
	if buffer.Cap() <= maxPooledBuffer {
		writeBuffers.Put(buffer)
	}
}

// succeeded reports whether all of the request has been written.
func (w *requestWrite) succeeded() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// sentNothing reports whether the write has failed before any byte of the request was sent.
func (w *requestWrite) sentNothing() bool {
	select {
	case <-w.done:
		return w.err != nil && w.written == 0
	default:
		return false
	}
}

// writeRequest writes a request: in one write, which is over when writeRequest returns, where its body is short, and else in the
// background. The read idle time-out begins when all is written.
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
