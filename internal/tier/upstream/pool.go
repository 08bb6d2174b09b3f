package upstream

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"pulleygw.example/pulleygw/internal/shared/peek"
)

// Times of connections.
const (
	dialTimeout      = 400 * time.Millisecond
	userTimeout      = 800 * time.Millisecond // unacknowledged bytes end a connection after this: a busy store still acknowledges
	probeIdle        = time.Second            // a connection that is silent for so long is probed, so that a store in the dark is found
	probeInterval    = time.Second
	probeCount       = 1
	defaultIdle      = 4 * time.Second // where a store does not say how long it keeps an idle connection
	longestIdle      = 60 * time.Second
	keepAliveMargin  = 300 * time.Millisecond
	keepAliveDivisor = 5 // a fifth of the store's time is left as a margin, where that is more
)

// Transport keeps the connections to all stores. It is safe for concurrent use.
type Transport struct {
	mu     sync.Mutex
	closed bool
	stores map[Store]*pool
	rests  restLimits
	dial   func(ctx context.Context, address string) (net.Conn, error)
	now    func() time.Time
}

// pool holds the connections to one store.
type pool struct {
	store Store
	open  int           // connections in use and idle
	idle  []*connection // the most recently used last
}

// NewTransport makes a set without connections.
func NewTransport() *Transport {
	return &Transport{stores: make(map[Store]*pool), rests: restLimits{}, dial: dialStore, now: time.Now}
}

// Retain closes the idle connections to stores that are not in use any more, and forgets those stores.
func (p *Transport) Retain(known func(Store) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for store, pool := range p.stores {
		if known(store) {
			continue
		}
		pool.closeIdle()
		if pool.open == 0 {
			delete(p.stores, store)
		}
	}
}

// Close ends all idle connections; those in use end with their answers.
func (p *Transport) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, pool := range p.stores {
		pool.closeIdle()
	}
}

// take returns an idle connection that is alive, or a new one. At most limit connections are open to a store; zero
// means no limit.
func (p *Transport) take(ctx context.Context, store Store, limit int, request *Request) (*connection, error) {
	found, err := p.reserve(store, limit, request)
	if found != nil || err != nil {
		return found, err
	}
	timeout := min(dialTimeout, request.Deadline.Sub(p.now()))
	if timeout <= 0 {
		p.release(store)
		return nil, ErrDeadlineExceeded
	}
	dialContext, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	dialed, err := p.dial(dialContext, store.Address)
	if err != nil {
		p.release(store)
		return nil, ErrDial
	}
	return newConnection(p, store, dialed), nil
}

// reserve takes an idle connection for a request, or counts one that the caller is to dial.
func (p *Transport) reserve(store Store, limit int, request *Request) (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	held := p.stores[store]
	if held == nil {
		held = &pool{store: store}
		p.stores[store] = held
	}
	now := p.now()
	rested, limited := p.rests.most(request.Service, now)
	if !request.LastAttempt || !limited || held.restedLess(now, rested) {
		if found := held.takeIdle(now, request.ID); found != nil {
			return found, nil
		}
	}
	if limit > 0 && held.open >= limit && !held.dropOldest() {
		return nil, ErrTooManyConnections
	}
	held.open++
	return nil, nil
}

// restedLess says whether the connection that takeIdle looks at first has rested for less than this.
func (p *pool) restedLess(now time.Time, most time.Duration) bool {
	return len(p.idle) > 0 && now.Sub(p.idle[len(p.idle)-1].restsSince) < most
}

// noteDead notes a connection on which a request was reset before any of an answer came, where it had rested before.
func (p *Transport) noteDead(c *connection, service string, sentAt time.Time) {
	if c.restsSince.IsZero() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rests.dead(service, sentAt.Sub(c.restsSince), p.now())
}

// dropOldest closes an idle connection to make room for another one, and says whether there was one.
func (p *pool) dropOldest() bool {
	if len(p.idle) == 0 {
		return false
	}
	p.idle[0].socket.Close()
	p.idle = slices.Delete(p.idle, 0, 1)
	p.open--
	return true
}

// takeIdle takes the most recently used connection that may take a request with this id, and closes those met that may
// take none. One that has carried the same id is left: a late answer to the first sending could not be told from one to
// the second.
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

// release uncounts a connection that is closed or was never made.
func (p *Transport) release(store Store) {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.stores[store]
	if held == nil {
		return
	}
	held.open--
}

// giveBack keeps a connection for later requests.
func (p *Transport) giveBack(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.stores[c.store]
	if p.closed || held == nil {
		c.socket.Close()
		if held != nil {
			held.open--
		}
		return
	}
	c.restsSince = p.now()
	held.closeOld(c.restsSince)
	held.idle = append(held.idle, c)
}

func (p *pool) closeIdle() {
	for _, c := range p.idle {
		c.socket.Close()
	}
	p.open -= len(p.idle)
	p.idle = nil
}

// closeOld closes connections that were idle for too long; they are the first ones.
func (p *pool) closeOld(now time.Time) {
	old := 0
	for old < len(p.idle) && !now.Before(p.idle[old].until) {
		p.idle[old].socket.Close()
		old++
	}
	if old == 0 {
		return
	}
	p.open -= old
	p.idle = append(p.idle[:0], p.idle[old:]...)
}

// usable says whether an idle connection may take a request: young enough, and neither bytes nor its end wait on it.
func (c *connection) usable(now time.Time) bool {
	if !now.Before(c.until) {
		return false
	}
	waiting, ended := peek.Look(c.socket)
	return !waiting && !ended
}

func dialStore(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control:         setUserTimeout,
	}
	return dialer.DialContext(ctx, "tcp4", address)
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return limitUnacknowledged(raw, userTimeout)
}

// limitUnacknowledged sets for how long bytes may be unacknowledged, or without room at the other end.
func limitUnacknowledged(raw syscall.RawConn, most time.Duration) error {
	return raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(most/time.Millisecond))
	})
}
