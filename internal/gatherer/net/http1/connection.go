package http1

import (
	"net"
	"time"
)

// conn is a client's connection. Its reader goroutine reads requests and notices that the client disconnects; its writer
// goroutine answers them.
type conn struct {
	nc net.Conn

	// Under the server's lock.
	activeAt   time.Time // when it was accepted, began a request or was answered last
	pending    int       // requests that have begun and are not answered
	received   int       // those of them read completely: the connection is not closed before they are answered
	served     bool      // a request has been answered
	halfClosed bool      // this side has ended it: no request is accepted any more, though its bytes may have arrived
	queued     int       // of received: those not yet being answered
	noMore     bool      // no further request is accepted: one was invalid, or too much was pipelined
	peeking    peekState
}

// peekState is what the reader does while a request is queued behind the one being answered: it reads no further one, but
// peeks for the client's disconnection, which would otherwise be hidden behind that request.
type peekState uint8

const (
	peekOff peekState = iota
	peekOn
	peekInterrupted // its read was interrupted by a deadline, which is to be reset
)

// end closes the writing side of the connection, and gives the client a time to close its own. Closing at once with unread
// bytes would reset the connection and could lose a response on its way; the reader discards what is still received, and
// closes. The server's lock is held.
func (c *conn) end(within time.Duration) {
	c.halfClosed = true
	if t, ok := c.nc.(interface{ CloseWrite() error }); ok {
		_ = t.CloseWrite() // if it fails, the connection is broken, which the reader notices
	}
	c.nc.SetReadDeadline(time.Now().Add(within))
}

// awaitFirst sets the deadline of a new connection's first request.
func (s *Server) awaitFirst(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	within := requestTimeout
	if s.endsConnections() {
		within = firstByteTimeout
	}
	c.nc.SetReadDeadline(c.activeAt.Add(within))
}

// requestStarted records that a request has begun, so that the connection is not closed as idle. It returns false where the
// connection has been ended.
func (s *Server) requestStarted(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.halfClosed {
		return false
	}
	c.pending++
	if c.served || c.received > 0 {
		c.activeAt = time.Now()
		c.nc.SetReadDeadline(c.activeAt.Add(requestTimeout))
	}
	return true
}

// requestReceived records that a request was read completely. It returns false where the connection has been ended, so that
// it must not be answered. Last says that no further one is accepted: an invalid request is the last one, and so is one
// that was pipelined while connections are to close, or else a client that keeps pipelining would keep its connection.
func (s *Server) requestReceived(c *conn, invalid bool) (accepted, last bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.halfClosed {
		return false, false
	}
	c.nc.SetReadDeadline(time.Time{}) // the request's own deadline bounds the response
	c.received++
	c.queued++
	c.noMore = c.noMore || invalid || s.endsConnections() && c.received > 1
	return true, c.noMore
}

// requestDequeued records that the queued request is being answered, and interrupts the reader to read the next.
func (s *Server) requestDequeued(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.queued--
	if c.peeking == peekOn {
		c.peeking = peekInterrupted
		c.nc.SetReadDeadline(time.Unix(1, 0))
	}
}

// responseSent records that a request was answered, and reports whether the connection stays open; if not, it has been ended.
// A client may have sent its next request before; that one is accepted and answered, draining or not.
func (s *Server) responseSent(c *conn, closes bool, linger time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.pending--
	c.received--
	c.served, c.activeAt = true, time.Now()
	switch more := !s.endsConnections() || c.pending > 0; {
	case !more || closes:
		if !c.halfClosed {
			c.end(linger)
		}
		return false
	case c.pending == 0 && c.peeking != peekInterrupted: // a reader being interrupted sets it itself, and must not miss the interrupt
		c.nc.SetReadDeadline(c.activeAt.Add(idleTimeout))
	}
	return true
}

// isHalfClosed reports whether this side has ended a connection, which stays until the client closes it or a time-out.
func (s *Server) isHalfClosed(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.halfClosed
}

// endIdle ends a connection on which nothing was received in time, and reports whether it was idle.
func (s *Server) endIdle(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.pending > 0 || c.halfClosed {
		return false
	}
	c.end(closeLinger)
	return true
}

// refuseMore records that what follows the queued request is discarded, unless that is being answered by now.
func (s *Server) refuseMore(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.queued > 0 && c.peeking == peekOn {
		c.noMore, c.peeking = true, peekOff
	}
	return c.noMore
}

// mustPeek reports whether a request is queued behind the one being answered, so that the reader must only peek.
func (s *Server) mustPeek(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.peeking == peekInterrupted && !c.halfClosed {
		by := time.Time{}
		if c.pending == 0 {
			by = c.activeAt.Add(idleTimeout)
		}
		c.nc.SetReadDeadline(by)
	}
	c.peeking = peekOff
	if c.queued > 0 && c.pending > 1 {
		c.peeking = peekOn
	}
	return c.peeking == peekOn
}
