package mem

import "slices"

// Conn is a connection in a Pool.
type Conn interface {
	comparable
	Capacity() int // subqueries that it could still take
	Load() int     // subqueries in flight on it
	Ready() int    // higher is better: established before still connecting; 0 if unusable
}

// Pool is the open connections to one server. It is not safe for concurrent use: its owner's lock guards it.
type Pool[C Conn] struct{ conns []C }

// Add adds a new connection.
func (p *Pool[C]) Add(c C) { p.conns = append(p.conns, c) }

// Remove removes a connection and reports whether it was there.
func (p *Pool[C]) Remove(c C) bool {
	i := slices.Index(p.conns, c)
	if i >= 0 {
		p.conns = slices.Delete(p.conns, i, i+1)
	}
	return i >= 0
}

// Pick chooses a connection with capacity for n subqueries: of the readiest the least loaded, and of those the one that
// has been idle longest, as a server that closes a connection right behind an answer has done so by then.
func (p *Pool[C]) Pick(n int) (best C, ok bool) {
	at := -1
	for i, c := range p.conns {
		if c.Ready() == 0 || c.Capacity() < n {
			continue
		}
		if !ok || c.Ready() > best.Ready() || c.Ready() == best.Ready() && c.Load() < best.Load() {
			best, ok, at = c, true, i
		}
	}
	if ok {
		p.conns = append(slices.Delete(p.conns, at, at+1), best)
	}
	return best, ok
}

// All returns the connections.
func (p *Pool[C]) All() []C { return slices.Clone(p.conns) }

// Len is the number of connections.
func (p *Pool[C]) Len() int { return len(p.conns) }
