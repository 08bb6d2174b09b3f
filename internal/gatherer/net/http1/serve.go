package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/mem"
)

// incoming is a request as read, or why it is invalid.
type incoming struct {
	r   *Request
	err error
}

// serve reads the requests of one connection until it ends, and has them answered in order.
func (s *Server) serve(c *conn) {
	// One request may be queued behind the one being answered.
	requests, gone, over := make(chan incoming, 1), make(chan struct{}), make(chan struct{})
	go s.read(c, requests, gone, over)
	for more := true; more; {
		select {
		case in := <-requests:
			s.requestDequeued(c)
			more = s.answer(c, in, gone)
		case <-gone:
			more = false
		}
	}
	close(over)
	if !s.isHalfClosed(c) { // the client has disconnected, or cannot be answered
		c.nc.Close()
	}
	<-gone // the reader has discarded the rest
	c.nc.Close()
	select {
	case in := <-requests:
		in.r.Release()
	default:
	}
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	select {
	case s.freed <- struct{}{}:
	default:
	}
	s.done.Done()
}

// read passes one request after another to serve. It waits for the next while one is being answered, and so notices that
// the client disconnects.
func (s *Server) read(c *conn, requests chan<- incoming, gone, over chan struct{}) {
	defer close(gone)
	r := NewReader(c.nc)
	r.Bodies = s.Bodies
	r.Continue = func() { // no response is being written: a client sends one request at a time
		c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, _ = io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n") // reading the body fails if the connection is broken
	}
	var client netip.Addr
	if a, ok := c.nc.RemoteAddr().(*net.TCPAddr); ok {
		client = a.AddrPort().Addr().Unmap()
	}
	s.awaitFirst(c)
	for {
		if !s.awaitTurn(c, r, over) {
			return
		}
		if err := r.Await(); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && s.endIdle(c) {
				_ = s.discard(c) // the connection is closed next, whatever came
			}
			return
		}
		if !s.requestStarted(c) {
			_ = s.discard(c)
			return
		}
		q, err := r.Request()
		if err != nil && r.lim.late {
			err = errTooSlow
		}
		if e := (*Error)(nil); err != nil && !errors.As(err, &e) {
			return // the connection broke
		}
		if q != nil {
			q.Client = client
		}
		accepted, last := s.requestReceived(c, err != nil)
		if !accepted {
			q.Release()
			return
		}
		requests <- incoming{q, err}
		if last {
			s.discardRest(c, err != nil, over)
			return
		}
	}
}

// awaitTurn waits until no request is queued behind the one being answered. It returns false if the client has disconnected
// or has sent too much ahead.
func (s *Server) awaitTurn(c *conn, r *Reader, over <-chan struct{}) bool {
	for s.mustPeek(c) {
		switch err := r.More(); {
		case errors.Is(err, bufio.ErrBufferFull):
			if s.refuseMore(c) {
				s.discardRest(c, false, over)
				return false
			}
		case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
			return false
		}
	}
	return true
}

// discardRest discards what follows the last accepted request, and returns when the client has disconnected or the
// connection is over.
func (s *Server) discardRest(c *conn, invalid bool, over <-chan struct{}) {
	err := s.discard(c)
	s.mu.Lock()
	onlyInvalid := invalid && c.pending == 1
	s.mu.Unlock()
	// A client that sent only an invalid request and closed its side is still answered.
	if err == nil || onlyInvalid {
		<-over
		_ = s.discard(c) // the connection is closed next, whatever came
	}
}

// discard reads and drops what is received, within bounds.
func (s *Server) discard(c *conn) error {
	_, err := io.CopyN(io.Discard, c.nc, 4*MaxBody)
	return err
}

// answer answers one request and reports whether another may follow.
func (s *Server) answer(c *conn, in incoming, gone <-chan struct{}) bool {
	var p *Response
	if e := (*Error)(nil); errors.As(in.err, &e) {
		p = Text(e.Status, e.Reason)
		p.Close = true
	} else {
		defer in.r.Release()
		if s.atCapacity() {
			p = Text(503, "too many connections")
			p.Header.Set("Retry-After", "0.5")
			p.Close = true
		} else if p = s.handle(in.r, gone); p == nil {
			return false // the client has disconnected
		}
		p.Close = p.Close || in.r.Close || s.closing(c)
	}
	buf := mem.GetBuffer()
	defer mem.PutBuffer(buf)
	c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.nc.Write(AppendResponse(buf[:0], p)); err != nil {
		return false
	}
	linger := closeLinger
	if in.err != nil {
		linger = errorLinger
	}
	return s.responseSent(c, p.Close, linger)
}
