package proxy

import (
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Times of the clients' side.
const (
	defaultGrace  = 8 * time.Second
	probeTimeout  = 2 * time.Second
	lingerMost    = 2500 * time.Millisecond // the platform asks each second and goes by two misses
	lingerDivisor = 3                       // of the grace
	graceMargin   = 500 * time.Millisecond
	drainTick     = 100 * time.Millisecond
	headerSlack   = time.Second
	idleSlack     = 5 * time.Second
	headerRoom    = 4 << 10 // the proxy itself judges heads near the limit
)

// silent takes what net/http would log of single connections.
var silent = log.New(io.Discard, "", 0)

var (
	expired    = time.Unix(1, 0)
	errRestart = errors.New("limits changed")
)

// front accepts clients' connections and serves them. A change of limits concerns connections accepted after it.
type front struct {
	proxy    *Proxy
	listener *net.TCPListener
	closed   atomic.Bool
	mu       sync.Mutex
	servers  []*http.Server
	open     map[net.Conn]*clientConnection
}

func newFront(proxy *Proxy, listener *net.TCPListener) *front {
	return &front{proxy: proxy, listener: listener, open: make(map[net.Conn]*clientConnection)}
}

// serve accepts until the listener is closed.
func (f *front) serve() {
	for !f.closed.Load() {
		_ = f.listener.SetDeadline(time.Time{})
		err := f.newServer().Serve(&generation{front: f})
		if !errors.Is(err, errRestart) {
			return
		}
	}
}

func (f *front) newServer() *http.Server {
	limits := f.proxy.limits(f.proxy.views.get())
	server := &http.Server{
		Handler:                      f.proxy,
		MaxHeaderBytes:               limits.MaxHeaderBytes + headerRoom,
		ReadHeaderTimeout:            limits.HeaderTimeout + headerSlack,
		IdleTimeout:                  limits.IdleTimeout + idleSlack,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     silent,
		ConnState:                    f.stateChanged,
		ConnContext:                  withConnection,
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.servers = append(f.servers, server)
	return server
}

// relimit has connections from now on served under the newest limits.
func (f *front) relimit() { _ = f.listener.SetDeadline(expired) }

// drain lets the platform notice, answers what was read, and ends within the grace.
func (f *front) drain(grace time.Duration) {
	f.proxy.draining.Store(true)
	f.proxy.log.Info("draining")
	end := time.Now().Add(grace - graceMargin)
	time.Sleep(min(lingerMost, grace/lingerDivisor))
	f.closed.Store(true)
	_ = f.listener.Close()
	ticker := time.NewTicker(drainTick)
	defer ticker.Stop()
	for f.expireResting() > 0 && time.Now().Before(end) {
		<-ticker.C
	}
	f.close()
}

// close ends the listener and all connections.
func (f *front) close() {
	f.closed.Store(true)
	_ = f.listener.Close()
	f.mu.Lock()
	servers := f.servers
	f.mu.Unlock()
	for _, server := range servers {
		_ = server.Close()
	}
}

// expireResting ends connections on which no request has begun and returns how many are open.
func (f *front) expireResting() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, connection := range f.open {
		connection.expire()
	}
	return len(f.open)
}

func (f *front) stateChanged(connection net.Conn, state http.ConnState) {
	switch state {
	case http.StateIdle:
		connection.(*clientConnection).rest()
	case http.StateClosed, http.StateHijacked:
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.open, connection)
	}
}

// generation is the listener as one server sees it: it ends with a change of limits, while the socket stays open.
type generation struct{ front *front }

// Accept waits for the next connection.
func (g *generation) Accept() (net.Conn, error) {
	accepted, err := g.front.listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, errRestart
	}
	if err != nil {
		return nil, err
	}
	connection := &clientConnection{Conn: accepted, resting: true}
	g.front.mu.Lock()
	defer g.front.mu.Unlock()
	g.front.open[connection] = connection
	return connection, nil
}

// Close does nothing: the socket outlives the server.
func (g *generation) Close() error { return nil }

// Addr is the socket's address.
func (g *generation) Addr() net.Addr { return g.front.listener.Addr() }

// clientConnection knows whether any byte of a request was read since the last answer, so that a connection is ended
// only where none was.
type clientConnection struct {
	net.Conn
	mu      sync.Mutex
	resting bool
}

// Read reads from the client.
func (c *clientConnection) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	if n > 0 {
		c.mu.Lock()
		c.resting = false
		c.mu.Unlock()
	}
	return n, err
}

// CloseWrite ends the proxy's side only, so that the client still reads what was written.
func (c *clientConnection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Conn.Close()
}

func (c *clientConnection) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resting = true
}

// expire has the server close the connection where it rests. A read that has just taken bytes lifts the deadline again:
// net/http sets it anew after them.
func (c *clientConnection) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.resting {
		_ = c.Conn.SetReadDeadline(expired)
	}
}
