package proxy

import (
	"context"
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
	graceMargin   = 500 * time.Millisecond  // of the grace, when what is still unanswered is given up
	answerMargin  = 200 * time.Millisecond  // within which answers to that go out
	settleMargin  = 200 * time.Millisecond  // and then what programs spent is settled
	drainTick     = 100 * time.Millisecond
	restLeast     = 100 * time.Millisecond // a client may be about to send again; its answer will ask for the close
	headerSlack   = time.Second
	idleSlack     = 5 * time.Second
	headerRoom    = 4 << 10  // the proxy itself judges heads near the limit
	headerLeast   = 64 << 10 // of net/http's limit, as the configuration's may be raised while a connection is open
)

// silent takes what net/http would log of single connections.
var silent = log.New(io.Discard, "", 0)

var (
	expired    = time.Unix(1, 0) // a deadline that has passed
	errRestart = errors.New("limits changed")
	errEnding  = errors.New("the process is about to end")
)

// front accepts clients' connections and serves them. A change of limits concerns connections accepted after it.
type front struct {
	proxy    *Proxy
	listener *net.TCPListener
	closed   atomic.Bool
	requests context.Context // that all requests' contexts descend from
	giveUp   context.CancelCauseFunc
	mu       sync.Mutex
	servers  []*http.Server
	open     map[net.Conn]*clientConnection
}

func newFront(proxy *Proxy, listener *net.TCPListener) *front {
	f := &front{proxy: proxy, listener: listener, open: make(map[net.Conn]*clientConnection)}
	f.requests, f.giveUp = context.WithCancelCause(context.Background())
	return f
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
		MaxHeaderBytes:               max(limits.MaxHeaderBytes, headerLeast) + headerRoom,
		ReadHeaderTimeout:            limits.HeaderTimeout + headerSlack,
		IdleTimeout:                  limits.IdleTimeout + idleSlack,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     silent,
		ConnState:                    f.stateChanged,
		ConnContext:                  withConnection,
		BaseContext:                  func(net.Listener) context.Context { return f.requests },
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
	f.stopAccepting()
	f.awaitClosed(end)
	f.giveUp(errEnding)
	f.awaitClosed(end.Add(answerMargin))
	f.close()
}

// stopAccepting closes the listener.
func (f *front) stopAccepting() {
	f.closed.Store(true)
	_ = f.listener.Close()
}

// awaitClosed waits until no connection is open, or until a time.
func (f *front) awaitClosed(until time.Time) {
	ticker := time.NewTicker(drainTick)
	defer ticker.Stop()
	for f.expireResting(time.Now()) > 0 && time.Now().Before(until) {
		<-ticker.C
	}
}

// isEnding says whether a request's context ended because the process does, while its client still waits.
func isEnding(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errEnding) }

// close ends the listener and all connections.
func (f *front) close() {
	f.stopAccepting()
	f.mu.Lock()
	servers := f.servers
	f.mu.Unlock()
	for _, server := range servers {
		_ = server.Close()
	}
}

// expireResting ends connections on which no request has begun for a while and returns how many are open.
func (f *front) expireResting(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, connection := range f.open {
		connection.expire(now)
	}
	return len(f.open)
}

func (f *front) stateChanged(connection net.Conn, state http.ConnState) {
	switch state {
	case http.StateIdle:
		connection.(*clientConnection).rest(time.Now())
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
	connection := &clientConnection{Conn: accepted, resting: true, since: time.Now()}
	g.front.mu.Lock()
	defer g.front.mu.Unlock()
	g.front.open[connection] = connection
	return connection, nil
}

// Close does nothing: the socket outlives the server.
func (g *generation) Close() error { return nil }

// Addr is the socket's address.
func (g *generation) Addr() net.Addr { return g.front.listener.Addr() }
