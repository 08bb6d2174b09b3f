package upstream

import (
	"math"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/shared/peek"
)

// pool holds the connections to one store. It is guarded by the Transport's mutex.
type pool struct {
	open int           // connections in use and idle
	idle []*connection // the most recently used last
}

// newestIdleFor returns for how long the connection that takeIdle tries first has been idle; the longest duration where there
// is none.
func (p *pool) newestIdleFor(now time.Time) time.Duration {
	if len(p.idle) == 0 {
		return math.MaxInt64
	}
	return now.Sub(p.idle[len(p.idle)-1].idleSince)
}

// takeIdle takes the most recently used connection that may take a request with this ID, and closes those that may take none.
// A connection that has carried the same ID is left: a late response to the first request could not be told from the one
// to the second.
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

// evictOldest closes the least recently used idle connection, so that another one may be opened. It reports whether there
// was one.
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

// closeExpired closes the leading connections that were idle for too long.
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

// usable reports whether an idle connection may take a request: it has not expired, and neither bytes nor its end wait to be
// read.
func (c *connection) usable(now time.Time) bool {
	if !now.Before(c.idleDeadline) {
		return false
	}
	waiting, ended := peek.Look(c.socket)
	return !waiting && !ended
}
