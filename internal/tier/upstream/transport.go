package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Transport sends requests to stores and pools the connections to them. It is safe for concurrent use.
type Transport struct {
	mu         sync.Mutex
	closed     bool
	pools      map[Store]*pool
	idleLimits idleLimits
	dial       func(ctx context.Context, address string) (net.Conn, error)
	now        func() time.Time
}

// NewTransport returns a Transport without connections.
func NewTransport() *Transport {
	return &Transport{pools: make(map[Store]*pool), idleLimits: idleLimits{}, dial: dialStore, now: time.Now}
}

// Send sends a request to a store and returns the head of its response. Limit is the maximum number of open connections to the
// store; 0 means no limit. The connection is closed when ctx ends, upon which most stores cancel the request. The error is
// always a *SendError.
func (t *Transport) Send(ctx context.Context, store Store, limit int, request *Request) (*Response, error) {
	c, err := t.acquire(ctx, store, limit, request)
	if err != nil {
		return nil, notSent(err)
	}
	stop := context.AfterFunc(ctx, func() { c.socket.Close() })
	if ctx.Err() != nil {
		stop()
		c.discard()
		return nil, notSent(ErrConnectionLost)
	}
	sentAt := t.now()
	response, failure := c.roundTrip(request)
	if failure != nil {
		if stop() && failure.Sent && errors.Is(failure, ErrConnectionLost) && c.headReader.readNothing() {
			t.recordStale(c, request.Service, sentAt)
		}
		c.discard()
		return nil, failure
	}
	response.stop = stop
	return response, nil
}

// Retain closes the idle connections to stores for which known returns false, and removes their pools once no connections are
// left.
func (t *Transport) Retain(known func(Store) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for store, p := range t.pools {
		if known(store) {
			continue
		}
		p.closeIdle()
		if p.open == 0 {
			delete(t.pools, store)
		}
	}
}

// Close closes all idle connections. Connections in use are closed when their responses are finished.
func (t *Transport) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for _, p := range t.pools {
		p.closeIdle()
	}
}

// acquire returns a usable idle connection or dials a new one.
func (t *Transport) acquire(ctx context.Context, store Store, limit int, request *Request) (*connection, error) {
	idle, err := t.reserve(store, limit, request)
	if idle != nil || err != nil {
		return idle, err
	}
	timeout := min(dialTimeout, request.Deadline.Sub(t.now()))
	if timeout <= 0 {
		t.release(store)
		return nil, ErrDeadlineExceeded
	}
	dialContext, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	socket, err := t.dial(dialContext, store.Address)
	if err != nil {
		t.release(store)
		return nil, ErrDial
	}
	return newConnection(t, store, socket), nil
}

// reserve returns an idle connection for a request. If there is none, it returns nil and counts a new connection in the pool:
// the caller has to dial it, or to call release if that fails.
func (t *Transport) reserve(store Store, limit int, request *Request) (*connection, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, ErrClosed
	}
	p := t.pools[store]
	if p == nil {
		p = &pool{}
		t.pools[store] = p
	}
	now := t.now()
	maxIdle, limited := t.idleLimits.maxIdle(request.Service, now)
	if !request.LastAttempt || !limited || p.newestIdleTime(now) < maxIdle {
		if c := p.takeIdle(now, request.ID); c != nil {
			return c, nil
		}
	}
	if limit > 0 && p.open >= limit && !p.evictOldest() {
		return nil, ErrTooManyConnections
	}
	p.open++
	return nil, nil
}

// release removes a connection that was closed or never established from the pool's count.
func (t *Transport) release(store Store) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.pools[store]; p != nil {
		p.open--
	}
}

// putIdle returns a connection to its pool for later requests.
func (t *Transport) putIdle(c *connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[c.store]
	if t.closed || p == nil {
		c.socket.Close()
		if p != nil {
			p.open--
		}
		return
	}
	c.idleSince = t.now()
	p.closeExpired(c.idleSince)
	p.idle = append(p.idle, c)
}

// recordStale records that a reused connection was lost before any byte of the response arrived. New connections are ignored.
func (t *Transport) recordStale(c *connection, service string, sentAt time.Time) {
	if c.idleSince.IsZero() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idleLimits.recordStale(service, sentAt.Sub(c.idleSince), t.now())
}
