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
	dialTimeout = time.Second
	userTimeout = 1500 * time.Millisecond // unacknowledged bytes end a connection after this
)

// Client calls peers by address. It keeps one connection to each and is safe for concurrent use.
type Client struct {
	mu    sync.Mutex
	peers map[string]*peer
}

// NewClient makes a client without connections.
func NewClient() *Client { return &Client{peers: make(map[string]*peer)} }

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
		p = &peer{address: address}
		c.peers[address] = p
	}
	return p
}

// peer holds the connection to one address; one caller dials while others wait.
type peer struct {
	address string
	mu      sync.Mutex
	current *clientConnection
}

func (p *peer) connection(ctx context.Context) (*clientConnection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil && !p.current.isBroken() {
		return p.current, nil
	}
	if ctx.Err() != nil {
		return nil, ErrTimeout
	}
	dialContext, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialed, err := (&net.Dialer{}).DialContext(dialContext, "tcp4", p.address)
	if err != nil {
		return nil, ErrUnreachable
	}
	setOptions(dialed)
	p.current = &clientConnection{connection: dialed, waiting: make(map[uint32]chan frame)}
	go p.current.read()
	return p.current, nil
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
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
