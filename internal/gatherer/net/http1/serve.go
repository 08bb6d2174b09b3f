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

type incoming struct {
	r   *Request
	err error
}

func (s *Server) serve(c *conn) {
	// One request may be ahead of the one in hand.
	requests, gone, over := make(chan incoming, 1), make(chan struct{}), make(chan struct{})
	go s.read(c, requests, gone, over)
	for more := true; more; {
		select {
		case in := <-requests:
			s.inHand(c)
			more = s.answer(c, in, gone)
		case <-gone:
			more = false
		}
	}
	close(over)
	if !s.ended(c) { // the client has left, or there is no answering it
		c.nc.Close()
	}
	<-gone // what crossed our end is read off
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

// read hands over one request after another, and waits for the next while one is being answered: that is
// how it notices that the client goes away.
func (s *Server) read(c *conn, requests chan<- incoming, gone, over chan struct{}) {
	defer close(gone)
	r := NewReader(c.nc)
	r.Bodies = s.Bodies
	r.Continue = func() { // no answer is under way: a client sends one request at a time
		c.nc.SetWriteDeadline(time.Now().Add(writeFor))
		io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	var client netip.Addr
	if a, ok := c.nc.RemoteAddr().(*net.TCPAddr); ok {
		client = a.AddrPort().Addr().Unmap()
	}
	s.first(c)
	for {
		for s.lookout(c) {
			switch err := r.More(); {
			case errors.Is(err, bufio.ErrBufferFull):
				if s.tooFar(c) {
					s.readOff(c, over)
					return
				}
			case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
				return
			}
		}
		if err := r.Await(); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && s.rested(c) {
				s.discard(c)
			}
			return
		}
		if !s.begun(c) {
			s.discard(c)
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
		if !s.taken(c, err != nil) {
			q.Release()
			return
		}
		requests <- incoming{q, err}
		if err != nil {
			s.readOff(c, over)
			return
		}
	}
}

// readOff drops what comes behind the last request that is taken, and returns when the client has left or the
// connection is over.
func (s *Server) readOff(c *conn, over <-chan struct{}) {
	err := s.discard(c)
	s.mu.Lock()
	only := c.busy == 1
	s.mu.Unlock()
	// One that has sent nothing but what cannot be read, and has ended its side, is still told why.
	if err == nil || only {
		<-over
		s.discard(c)
	}
}

// discard reads off and drops what comes, within bounds.
func (s *Server) discard(c *conn) error {
	_, err := io.CopyN(io.Discard, c.nc, 4*MaxBody)
	return err
}

// answer answers one request and says whether another may follow.
func (s *Server) answer(c *conn, in incoming, gone <-chan struct{}) bool {
	var p *Response
	if e := (*Error)(nil); errors.As(in.err, &e) {
		p = Text(e.Status, e.Reason)
		p.Close = true
	} else {
		defer in.r.Release()
		if s.full() {
			p = Text(503, "too many connections")
			p.Header.Set("Retry-After", "0.5")
			p.Close = true
		} else if p = s.handle(in.r, gone); p == nil {
			return false // the client has left
		}
		p.Close = p.Close || in.r.Close || s.closing(c)
	}
	buf := mem.GetBuffer()
	defer mem.PutBuffer(buf)
	c.nc.SetWriteDeadline(time.Now().Add(writeFor))
	if _, err := c.nc.Write(AppendResponse(buf[:0], p)); err != nil {
		return false
	}
	linger := partFor
	if in.err != nil {
		linger = lingerFor
	}
	return s.answered(c, p.Close, linger)
}
