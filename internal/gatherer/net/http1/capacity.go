package http1

import "time"

// awaitClosed waits until a connection has closed, or for the time limit.
func (s *Server) awaitClosed(limit time.Duration) {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-s.freed:
	case <-t.C:
	}
}

// ensureCapacity reports whether there are fewer connections than the limit, or one could be closed: hundreds that send
// nothing, never finish a request or were served once and stay must not keep out others. The longest idle is closed, those
// never served first. The lock is held.
func (s *Server) ensureCapacity(limit int) bool {
	if len(s.conns) < limit {
		return true
	}
	return s.closeLongestIdle(func(c *conn) bool { return c.received == 0 && time.Since(c.activeAt) > minNewAge })
}

// closeLongestIdle closes the longest idle connection of those that may select, those never served first, and reports
// whether there was one. The lock is held.
func (s *Server) closeLongestIdle(may func(*conn) bool) bool {
	var worst *conn
	for c := range s.conns {
		if may(c) && (worst == nil || !c.served && worst.served || c.served == worst.served && c.activeAt.Before(worst.activeAt)) {
			worst = c
		}
	}
	if worst == nil {
		return false
	}
	worst.halfClosed = true
	delete(s.conns, worst)
	worst.nc.Close()
	return true
}

// overloaded reports whether there is no capacity even for connections that are only answered with 503.
func (s *Server) overloaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.ensureCapacity(s.MaxConns + spareConns)
}

// atCapacity reports whether there are more connections than MaxConns, all of them busy or new.
func (s *Server) atCapacity() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.ensureCapacity(s.MaxConns + 1)
}

// closeIdle ends the idle connections that have been served. The lock is held.
func (s *Server) closeIdle() {
	for c := range s.conns {
		if c.pending == 0 && c.served && !c.halfClosed {
			c.end(closeLinger)
		}
	}
}
