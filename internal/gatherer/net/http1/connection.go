package http1

import (
	"net"
	"time"
)

// conn is a client's connection. Its reader reads requests and notices that the client leaves; its
// writer answers them.
type conn struct {
	nc net.Conn

	// Under the server's lock.
	since time.Time // it was accepted, began a request, or was answered last
	busy  int       // requests that have begun and are not answered
	whole int       // those of them that are read: the connection is not closed before they are answered
	used  bool      // a request has been answered
	shut  bool      // this side has ended it: no request is taken any more, though its bytes may be here already
	ahead int       // of busy: those read and not in hand yet
	last  bool      // nothing behind what was read is taken: it could not be read, or was too far ahead
	look  lookout
}

// lookout is what the reader does while a request waits behind the one in hand: it reads no further one, but looks
// for the client's end, which would be hidden behind that request otherwise.
type lookout uint8

const (
	lookoutOff lookout = iota
	lookoutOn
	lookoutCalled // back: its read was broken off, and the deadline that did so is to be put right
)

// end says to the client that the connection ends, and gives it a time to end it too. Closing at once over bytes that
// nobody has read would reset the connection, and an answer on its way could go with it; the connection's reader reads
// off what crosses the end, and closes. The server's lock is held.
func (c *conn) end(within time.Duration) {
	c.shut = true
	if t, ok := c.nc.(interface{ CloseWrite() error }); ok {
		t.CloseWrite()
	}
	c.nc.SetReadDeadline(time.Now().Add(within))
}

// first sets by when a new connection's first request has to begin or, where none is awaited any more, to come.
func (s *Server) first(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	within := takeFor
	if s.draining || s.lame%2 == 1 {
		within = firstFor
	}
	c.nc.SetReadDeadline(c.since.Add(within))
}

// begun notes that a request has begun, so that the connection is not closed as idle any more, and says whether it
// may: not where the connection was ended just before.
func (s *Server) begun(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.shut {
		return false
	}
	c.busy++
	if c.used || c.whole > 0 {
		c.since = time.Now()
		c.nc.SetReadDeadline(c.since.Add(takeFor))
	}
	return true
}

// taken notes that a request was read whole, and says whether it is to be answered: not where the
// connection was closed just before.
func (s *Server) taken(c *conn, last bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.shut {
		return false
	}
	c.nc.SetReadDeadline(time.Time{}) // what the answer takes is the request's deadline's affair
	c.whole++
	c.ahead++
	c.last = c.last || last
	return true
}

// inHand notes that the request that was ahead is in hand, and calls the reader back to read the next.
func (s *Server) inHand(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.ahead--
	if c.look == lookoutOn {
		c.look = lookoutCalled
		c.nc.SetReadDeadline(time.Unix(1, 0))
	}
}

// answered notes that a request was answered, and says whether the connection goes on; if not, it has been ended. A
// client may have sent its next request before this is noted; that one is taken and is answered, draining or not.
func (s *Server) answered(c *conn, closes bool, linger time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.busy--
	c.whole--
	c.used, c.since = true, time.Now()
	switch more := !s.draining && s.lame%2 == 0 || c.busy > 0; {
	case !more || closes:
		if !c.shut {
			c.end(linger)
		}
		return false
	case c.busy == 0 && c.look != lookoutCalled: // a reader that is being called back sets it, and would not hear the call else
		c.nc.SetReadDeadline(c.since.Add(idleFor))
	}
	return true
}

// ended says whether this side has ended a connection, which is to go on until the client does or its time is up.
func (s *Server) ended(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.shut
}

// rested ends a connection on which nothing came in time, and says whether it was resting.
func (s *Server) rested(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.busy > 0 || c.shut {
		return false
	}
	c.end(partFor)
	return true
}

// tooFar notes that what follows the request ahead is dropped, unless that is in hand by now.
func (s *Server) tooFar(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.ahead > 0 && c.look == lookoutOn {
		c.last, c.look = true, lookoutOff
	}
	return c.last
}

// lookout says whether a request waits behind the one in hand, so that the reader is to look for the client's end only.
func (s *Server) lookout(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.look == lookoutCalled && !c.shut {
		by := time.Time{}
		if c.busy == 0 {
			by = c.since.Add(idleFor)
		}
		c.nc.SetReadDeadline(by)
	}
	c.look = lookoutOff
	if c.ahead > 0 && c.busy > 1 {
		c.look = lookoutOn
	}
	return c.look == lookoutOn
}
