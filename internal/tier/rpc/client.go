package rpc

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Times of connections between the tier's processes.
const (
	dialTimeout  = time.Second
	writeTimeout = time.Second             // a frame that the peer has not taken by then ends the connection
	userTimeout  = 1500 * time.Millisecond // unacknowledged bytes end a connection after this
)

// Client calls peers by address. It keeps one connection to each and is safe for concurrent use.
type Client struct {
	dial  dialFunc
	mu    sync.Mutex
	peers map[string]*peer
}

// dialFunc opens a connection to an address; tests put one of their own in its place.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// NewClient makes a client without connections.
func NewClient() *Client { return newClient(dialTCP) }

func newClient(dial dialFunc) *Client {
	return &Client{dial: dial, peers: make(map[string]*peer)}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
}

// Caller is what packages that call peers need of a Client; tests put a simulated network in its place.
type Caller interface {
	Call(ctx context.Context, address string, method Method, request, reply Message) error
}

// Call sends a request and waits for its reply, at most as long as ctx allows. After ErrTimeout or a broken
// connection the peer may have acted on the request.
func (c *Client) Call(ctx context.Context, address string, method Method, request, reply Message) error {
	connection, err := c.peer(address).connection(ctx)
	if err != nil {
		return err
	}
	return connection.call(ctx, method, request, reply)
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		p.close()
	}
}

func (c *Client) peer(address string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[address]
	if p == nil {
		p = &peer{address: address, dial: c.dial}
		c.peers[address] = p
	}
	return p
}

// peer holds the connection to one address. One dial at a time is under way for all its callers, each of which waits
// no longer than its own context.
type peer struct {
	address string
	dial    dialFunc
	mu      sync.Mutex
	current *clientConnection
	dialing *dialing
	closed  bool
}

// dialing is a dial under way; its result may be read once done is closed.
type dialing struct {
	done       chan struct{}
	connection *clientConnection
	err        error
}

func (p *peer) connection(ctx context.Context) (*clientConnection, error) {
	connection, pending := p.connectionOrDial()
	if connection != nil {
		return connection, nil
	}
	select {
	case <-pending.done:
		return pending.connection, pending.err
	case <-ctx.Done():
		return nil, ErrTimeout
	}
}

// connectionOrDial returns the connection where there is one, else the dial under way.
func (p *peer) connectionOrDial() (*clientConnection, *dialing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil && !p.current.isBroken() {
		return p.current, nil
	}
	if p.dialing == nil {
		p.dialing = &dialing{done: make(chan struct{})}
		go p.open(p.dialing)
	}
	return nil, p.dialing
}

// open dials and ends the dialing that it is given.
func (p *peer) open(pending *dialing) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	dialed, err := p.dial(ctx, p.address)
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(pending.done)
	p.dialing = nil
	if err != nil {
		pending.err = ErrUnreachable
		return
	}
	if p.closed {
		_ = dialed.Close()
		pending.err = ErrUnreachable
		return
	}
	setOptions(dialed)
	p.current = &clientConnection{connection: dialed, waiting: make(map[uint32]chan frame)}
	pending.connection = p.current
	go p.current.read()
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.current != nil {
		p.current.fail()
	}
}

type clientConnection struct {
	connection net.Conn
	writing    sync.Mutex
	mu         sync.Mutex
	broken     bool
	next       uint32
	waiting    map[uint32]chan frame
	heardAt    time.Time
}

func (c *clientConnection) isBroken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}

func (c *clientConnection) call(ctx context.Context, method Method, request, reply Message) error {
	answer := make(chan frame, 1)
	began := time.Now()
	c.mu.Lock()
	if c.broken {
		c.mu.Unlock()
		return ErrUnreachable
	}
	c.next++
	number := c.next
	c.waiting[number] = answer
	c.mu.Unlock()
	buffer, err := encode(byte(method), number, request)
	if err != nil {
		c.forget(number)
		return err
	}
	c.writing.Lock()
	_ = c.connection.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err = c.connection.Write(buffer)
	c.writing.Unlock()
	if err != nil {
		c.fail()
		return ErrUnreachable
	}
	select {
	case got, ok := <-answer:
		switch {
		case !ok:
			return ErrUnreachable
		case got.kind == kindFailure:
			return ErrRefused
		}
		return reply.UnmarshalVT(got.payload)
	case <-ctx.Done():
		c.forget(number)
		c.dropIfSilent(began)
		return ErrTimeout
	}
}

// dropIfSilent ends a connection on which nothing was heard since a call began that found no answer.
func (c *clientConnection) dropIfSilent(since time.Time) {
	c.mu.Lock()
	silent := c.heardAt.Before(since) && time.Since(since) > dialTimeout/2
	c.mu.Unlock()
	if silent {
		c.fail()
	}
}

func (c *clientConnection) forget(number uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, number)
}

func (c *clientConnection) read() {
	reader := bufio.NewReaderSize(c.connection, 16<<10)
	var header [headerBytes]byte
	for {
		got, err := readFrame(reader, &header)
		if err != nil {
			c.fail()
			return
		}
		c.mu.Lock()
		answer := c.waiting[got.call]
		delete(c.waiting, got.call)
		c.heardAt = time.Now()
		c.mu.Unlock()
		if answer != nil {
			answer <- got
		}
	}
}

// fail ends the connection and all calls that wait on it.
func (c *clientConnection) fail() {
	_ = c.connection.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = true
	for number, answer := range c.waiting {
		delete(c.waiting, number)
		close(answer)
	}
}

// setOptions makes a silent cut end the connection.
func setOptions(connection net.Conn) {
	tcp, ok := connection.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetNoDelay(true)
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
}
