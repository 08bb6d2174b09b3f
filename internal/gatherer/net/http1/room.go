package http1

import "time"

func (s *Server) awaitFree(most time.Duration) {
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-s.freed:
	case <-t.C:
	}
}

// makeRoom says whether there are fewer than so many connections, and closes one where there are not:
// hundreds that say nothing, never end a request or asked once and stay must not keep out those that ask.
// The longest waiting goes, first of those that were never answered. The lock is held.
func (s *Server) makeRoom(most int) bool {
	if len(s.conns) < most {
		return true
	}
	return s.shutLongest(func(c *conn) bool { return c.whole == 0 && time.Since(c.since) > settleFor })
}

// shutLongest closes the connection that has waited longest of those that may be, first of those that were
// never answered, and says whether there was one. The lock is held.
func (s *Server) shutLongest(may func(*conn) bool) bool {
	var worst *conn
	for c := range s.conns {
		if may(c) && (worst == nil || !c.used && worst.used || c.used == worst.used && c.since.Before(worst.since)) {
			worst = c
		}
	}
	if worst == nil {
		return false
	}
	worst.shut = true
	delete(s.conns, worst)
	worst.nc.Close()
	return true
}

// crowded says whether even the connections that are only told so have no room, nor can be made any.
func (s *Server) crowded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.makeRoom(s.MaxConns + spare)
}

// full says whether a request finds more connections than there is room for, all of them busy or new.
func (s *Server) full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.makeRoom(s.MaxConns + 1)
}

// closeIdle ends the connections on which no request has begun and one was answered. The lock is held.
func (s *Server) closeIdle() {
	for c := range s.conns {
		if c.busy == 0 && c.used && !c.shut {
			c.end(partFor)
		}
	}
}
