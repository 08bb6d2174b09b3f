package mem

import "slices"

// Conn is a connection that a Pool can choose.
type Conn interface {
	comparable
	Room() int  // parts that it could still take
	Load() int  // parts that it has
	Ready() int // higher is better: established before being opened; 0 for one not to be used
}

// Pool is the open connections to one server. It has no lock of its own: its owner's covers it.
type Pool[C Conn] struct{ conns []C }

// Add puts a new connection in.
func (p *Pool[C]) Add(c C) { p.conns = append(p.conns, c) }

// Remove takes a connection out and says whether it was in.
func (p *Pool[C]) Remove(c C) bool {
	i := slices.Index(p.conns, c)
	if i >= 0 {
		p.conns = slices.Delete(p.conns, i, i+1)
	}
	return i >= 0
}

// Pick chooses a connection with room for n parts: of the readiest the emptiest, and of those the one that
// has rested longest, as a server that closes one right behind an answer does so before that.
func (p *Pool[C]) Pick(n int) (best C, ok bool) {
	at := -1
	for i, c := range p.conns {
		if c.Ready() == 0 || c.Room() < n {
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

// All lists the connections.
func (p *Pool[C]) All() []C { return slices.Clone(p.conns) }

// Len is the number of connections.
func (p *Pool[C]) Len() int { return len(p.conns) }
