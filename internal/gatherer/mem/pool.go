package mem

import "slices"

// Conn is a connection in a Pool.
type Conn interface {
	comparable
	Capacity() int // how many more subqueries it can take
	Load() int     // subqueries in flight on it
	Ready() int    // 0 if unusable; higher for an established connection than for one still being established
}

// Pool is the set of connections to one server. It is not safe for concurrent use: its owner's lock guards it.
type Pool[C Conn] struct{ conns []C }

// Add adds a new connection.
func (p *Pool[C]) Add(c C) { p.conns = append(p.conns, c) }

// Remove removes a connection and reports whether it was in the pool.
func (p *Pool[C]) Remove(c C) bool {
	i := slices.Index(p.conns, c)
	if i >= 0 {
		p.conns = slices.Delete(p.conns, i, i+1)
	}
	return i >= 0
}

// Pick chooses a connection with capacity for n subqueries: the least loaded one of the highest readiness, and among
// equals the least recently picked. If a server closes connections right after an answer, a connection that has been
// idle for longer has had time to notice.
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

// Len returns the number of connections.
func (p *Pool[C]) Len() int { return len(p.conns) }
