package rpc

import (
	"context"
	"sync"
	"time"
)

// idleSweepInterval is how often a Client looks for unused connections.
const idleSweepInterval = idleTimeout / 3

// Caller is what packages that call peers need of a Client. Tests use a simulated network instead.
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

// peerKey identifies a connection: bulk transfers to an address have one of their own.
type peerKey struct {
	address string
	bulk    bool
}

// NewClient returns a client without connections.
func NewClient() *Client { return newClient(defaultDial) }

func newClient(dial DialFunc) *Client {
	return &Client{dial: dial, now: time.Now, peers: make(map[peerKey]*peer)}
}

// Call sends a request and waits for its reply, no longer than ctx allows. See ErrUnreachable and the others for its
// errors. It implements Caller.
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

// Counters returns what the client has carried so far.
func (c *Client) Counters() Counters { return c.counters.read() }

// Close closes all connections; calls in flight and later ones fail with ErrUnreachable.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, p := range c.peers {
		p.close()
	}
}

// peer returns the peer of a key, nil once the client is closed. At intervals it also closes unused connections.
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
