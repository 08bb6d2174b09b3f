package rpc

import (
	"context"
	"sync"
	"time"
)

// idleSweepInterval is the shortest time between two checks of a Client for unused connections.
const idleSweepInterval = idleTimeout / 3

// Caller is the part of Client that packages use to call peers. Tests implement it with a simulated network.
type Caller interface {
	// Call sends a request to an address (ip:port) and decodes the reply into reply.
	Call(ctx context.Context, address string, method Method, request, reply Message) error
}

// Client calls peers by address. It is safe for concurrent use.
type Client struct {
	dial     DialFunc
	now      func() time.Time
	counters counters

	mu      sync.Mutex
	closed  bool
	peers   map[peerKey]*peer
	sweepAt time.Time
}

// peerKey identifies a connection. Bulk transfers to an address use a separate connection.
type peerKey struct {
	address string
	bulk    bool
}

// NewClient returns a client without connections.
func NewClient() *Client { return newClient(defaultDial) }

func newClient(dial DialFunc) *Client {
	return &Client{dial: dial, now: time.Now, peers: make(map[peerKey]*peer)}
}

// Call sends a request and waits for its reply until ctx ends. It returns one of this package's errors or the error of
// decoding the reply. It implements Caller.
func (c *Client) Call(ctx context.Context, address string, method Method, request, reply Message) error {
	c.counters.calls.Add(1)
	err := c.call(ctx, peerKey{address: address, bulk: method == MethodTransferRecords}, method, request, reply)
	if err != nil {
		c.counters.failures.Add(1)
	}
	return err
}

func (c *Client) call(ctx context.Context, key peerKey, method Method, request, reply Message) error {
	p := c.peer(key)
	if p == nil {
		return ErrUnreachable
	}
	connection, err := p.connection(ctx)
	if err != nil {
		return err
	}
	return connection.call(ctx, method, request, reply)
}

// Counters returns the client's totals so far.
func (c *Client) Counters() Counters { return c.counters.read() }

// Close closes all connections. Calls in flight and later calls fail with ErrUnreachable.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, p := range c.peers {
		p.close()
	}
}

// peer returns the peer with the given key, or nil if the client is closed. Once per idleSweepInterval it also closes
// unused connections.
func (c *Client) peer(key peerKey) *peer {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	if now.After(c.sweepAt) {
		c.sweepAt = now.Add(idleSweepInterval)
		c.closeIdle(now)
	}
	p := c.peers[key]
	if p == nil {
		p = &peer{client: c, address: key.address}
		c.peers[key] = p
	}
	p.usedAt = now
	return p
}

func (c *Client) closeIdle(now time.Time) {
	for key, p := range c.peers {
		if now.Sub(p.usedAt) > idleTimeout && !p.isBusy() {
			p.close()
			delete(c.peers, key)
		}
	}
}
