package upstream

import (
	"math"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/shared/peek"
)

// pool holds the connections to one store. It is guarded by the Transport's mutex.
type pool struct {
	open int           // number of connections, in use or idle
	idle []*connection // the most recently used one last
}

// newestIdleTime returns how long the most recently used idle connection has been idle, or math.MaxInt64 if there is none.
func (p *pool) newestIdleTime(now time.Time) time.Duration {
	if len(p.idle) == 0 {
		return math.MaxInt64
	}
	return now.Sub(p.idle[len(p.idle)-1].idleSince)
}

// takeIdle removes and returns the most recently used idle connection that can be used for a request with this ID, or returns
// nil. It closes the unusable connections that it finds. It skips a connection whose last request had the same ID, on which a
// late response to that request could not be distinguished from the response to this one.
func (p *pool) takeIdle(now time.Time, id string) *connection {
	for i := len(p.idle) - 1; i >= 0; i-- {
		candidate := p.idle[i]
		if candidate.lastID == id {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if candidate.usable(now) {
			return candidate
		}
		candidate.socket.Close()
		p.open--
	}
	return nil
}

// evictOldest closes the least recently used idle connection to make room for another. It reports whether there was one.
func (p *pool) evictOldest() bool {
	if len(p.idle) == 0 {
		return false
	}
	p.idle[0].socket.Close()
	p.idle = slices.Delete(p.idle, 0, 1)
	p.open--
	return true
}

// closeIdle closes all idle connections.
func (p *pool) closeIdle() {
	for _, c := range p.idle {
		c.socket.Close()
	}
	p.open -= len(p.idle)
	p.idle = nil
}

// closeExpired closes the expired connections at the head of the idle list.
func (p *pool) closeExpired(now time.Time) {
	expired := 0
	for expired < len(p.idle) && !now.Before(p.idle[expired].idleDeadline) {
		p.idle[expired].socket.Close()
		expired++
	}
	if expired == 0 {
		return
	}
	p.open -= expired
	p.idle = append(p.idle[:0], p.idle[expired:]...)
}

// usable reports whether an idle connection can be used for a request: it has not expired, no unexpected bytes have arrived on
// it, and the store has not closed it.
func (c *connection) usable(now time.Time) bool {
	if !now.Before(c.idleDeadline) {
		return false
	}
	waiting, ended := peek.Status(c.socket)
	return !waiting && !ended
}
