package rpc

import (
	"context"
	"net"
	"sync"
	"time"
)

// sweepEvery is how often a Client looks for connections that are not used.
const sweepEvery = idleTime / 3

// Client calls peers by address. It keeps one connection to each, and one more for bulk transfers, and is safe for
// concurrent use.
type Client struct {
	dial     DialFunc
	now      func() time.Time
	counters counters

	mu      sync.Mutex
	closed  bool
	peers   map[lane]*peer
	sweepAt time.Time
}

// lane is one connection's use: large transfers do not hold up small calls.
type lane struct {
	address string
	bulk    bool
}

// Caller is what packages that call peers need of a Client; tests put a simulated network in its place.
type Caller interface {
	Call(ctx context.Context, address string, method Method, request, reply Message) error
}

// DialFunc opens a connection to an address (ip:port).
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// defaultDial is how clients made by NewClient connect.
var defaultDial DialFunc = dialTCP

// SetDefaultDialer has clients made from now on connect by another function. Tests of whole processes lead connections through
// a relay by it; it is called before any role runs.
func SetDefaultDialer(dial DialFunc) { defaultDial = dial }

// NewClient makes a client without connections.
func NewClient() *Client { return newClient(defaultDial) }

func newClient(dial DialFunc) *Client {
	return &Client{dial: dial, now: time.Now, peers: make(map[lane]*peer)}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return dialRepeatedly(ctx, address, dialOnce)
}

func dialOnce(ctx context.Context, address string) (net.Conn, error) {
	connection, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	setOptions(connection)
	return connection, nil
}

// Call sends a request and waits for its reply, at most as long as ctx allows. After ErrTimeout or a broken
// connection the peer may have acted on the request.
func (c *Client) Call(ctx context.Context, address string, method Method, request, reply Message) error {
	c.counters.calls.Add(1)
	err := c.call(ctx, lane{address: address, bulk: method == MethodMoveRecords}, method, request, reply)
	if err != nil {
		c.counters.failures.Add(1)
	}
	return err
}

func (c *Client) call(ctx context.Context, to lane, method Method, request, reply Message) error {
	p := c.peer(to)
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

// Close ends all connections; later calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, p := range c.peers {
		p.close()
	}
}

// peer finds or makes the peer of a lane, nil once the client is closed. It also closes, now and then, connections
// that nobody uses.
func (c *Client) peer(to lane) *peer {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	if now.After(c.sweepAt) {
		c.sweepAt = now.Add(sweepEvery)
		c.sweep(now)
	}
	p := c.peers[to]
	if p == nil {
		p = &peer{client: c, address: to.address}
		c.peers[to] = p
	}
	p.usedAt = now
	return p
}

func (c *Client) sweep(now time.Time) {
	for to, p := range c.peers {
		if now.Sub(p.usedAt) > idleTime && !p.busy() {
			p.close()
			delete(c.peers, to)
		}
	}
}

// peer holds the connection to one address. One goroutine dials; callers wait for it no longer than their contexts
// allow.
type peer struct {
	client  *Client
	address string
	usedAt  time.Time // guarded by the client's mutex

	mu      sync.Mutex
	closed  bool
	current *clientConnection
	dialing *dial
	retryAt time.Time
}

// dial is one attempt to connect; connection is set before done is closed, and nil where it failed.
type dial struct {
	done       chan struct{}
	connection *clientConnection
}

func (p *peer) connection(ctx context.Context) (*clientConnection, error) {
	connection, attempt, err := p.begin()
	if connection != nil || err != nil {
		return connection, err
	}
	select {
	case <-attempt.done:
	case <-ctx.Done():
		return nil, ErrTimeout
	}
	if attempt.connection == nil {
		return nil, ErrUnreachable
	}
	return attempt.connection, nil
}

// begin returns the connection, or else the attempt to wait for.
func (p *peer) begin() (*clientConnection, *dial, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed:
		return nil, nil, ErrUnreachable
	case p.current != nil && !p.current.isBroken():
		return p.current, nil, nil
	case p.dialing != nil:
		return nil, p.dialing, nil
	case p.client.now().Before(p.retryAt):
		return nil, nil, ErrUnreachable
	}
	p.current = nil
	p.dialing = &dial{done: make(chan struct{})}
	go p.connect(p.dialing)
	return nil, p.dialing, nil
}

func (p *peer) connect(attempt *dial) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	p.client.counters.dials.Add(1)
	connection, err := p.client.dial(ctx, p.address)
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(attempt.done)
	p.dialing = nil
	if err != nil {
		p.retryAt = p.client.now().Add(dialBackoff)
		return
	}
	if p.closed {
		_ = connection.Close()
		return
	}
	p.current = newClientConnection(connection, p.client)
	attempt.connection = p.current
	go p.current.read()
}

// busy says that calls wait for replies or for a connection.
func (p *peer) busy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialing != nil || p.current != nil && p.current.busy()
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.current != nil {
		p.current.fail()
	}
}
