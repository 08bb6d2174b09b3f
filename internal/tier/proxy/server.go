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
	defaultGracePeriod     = 8 * time.Second
	readinessHeaderTimeout = 2 * time.Second
	maxDrainDelay          = 2500 * time.Millisecond // the platform asks each second and goes by two misses
	drainDelayDivisor      = 3                       // of the grace
	shutdownMargin         = 500 * time.Millisecond  // of the grace, when what is still unanswered is given up
	shutdownAnswerTimeout  = 200 * time.Millisecond  // within which answers to that go out
	settlementTimeout      = 200 * time.Millisecond  // and then what programs spent is settled
	drainPollInterval      = 100 * time.Millisecond
	minIdleBeforeClose     = 100 * time.Millisecond // a client may be about to send again; its answer will ask for the close
	headerTimeoutSlack     = time.Second
	idleTimeoutSlack       = 5 * time.Second
	headerBytesSlack       = 4 << 10  // the proxy itself judges heads near the limit
	minHeaderBytesLimit    = 64 << 10 // of net/http's limit, as the configuration's may be raised while a connection is open
)

// discardLogger takes what net/http would log of single connections.
var discardLogger = log.New(io.Discard, "", 0)

var (
	pastDeadline     = time.Unix(1, 0) // a deadline that has passed
	errLimitsChanged = errors.New("limits changed")
	errShutdown      = errors.New("the process is about to end")
)

// clientServer accepts clients' connections and serves them. A change of limits concerns connections accepted after it.
type clientServer struct {
	proxy          *Proxy
	listener       *net.TCPListener
	stopped        atomic.Bool
	baseContext    context.Context // that all requests' contexts descend from
	cancelRequests context.CancelCauseFunc
	mu             sync.Mutex
	servers        []*http.Server
	connections    map[net.Conn]*clientConnection
}

func newClientServer(proxy *Proxy, listener *net.TCPListener) *clientServer {
	f := &clientServer{proxy: proxy, listener: listener, connections: make(map[net.Conn]*clientConnection)}
	f.baseContext, f.cancelRequests = context.WithCancelCause(context.Background())
	return f
}

// serve accepts until the listener is closed.
func (f *clientServer) serve() {
	for !f.stopped.Load() {
		_ = f.listener.SetDeadline(time.Time{})
		err := f.newServer().Serve(&serverListener{server: f})
		if !errors.Is(err, errLimitsChanged) {
			return
		}
	}
}

func (f *clientServer) newServer() *http.Server {
	limits := f.proxy.limits(f.proxy.snapshots.load())
	server := &http.Server{
		Handler:                      f.proxy,
		MaxHeaderBytes:               max(limits.MaxHeaderBytes, minHeaderBytesLimit) + headerBytesSlack,
		ReadHeaderTimeout:            limits.HeaderTimeout + headerTimeoutSlack,
		IdleTimeout:                  limits.IdleTimeout + idleTimeoutSlack,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     discardLogger,
		ConnState:                    f.stateChanged,
		ConnContext:                  withConnection,
		BaseContext:                  func(net.Listener) context.Context { return f.baseContext },
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.servers = append(f.servers, server)
	return server
}

// applyLimits has connections from now on served under the newest limits.
func (f *clientServer) applyLimits() { _ = f.listener.SetDeadline(pastDeadline) }

// drain lets the platform notice, answers what was read, and ends within the grace.
func (f *clientServer) drain(grace time.Duration) {
	f.proxy.draining.Store(true)
	f.proxy.log.Info("draining")
	end := time.Now().Add(grace - shutdownMargin)
	time.Sleep(min(maxDrainDelay, grace/drainDelayDivisor))
	f.stopAccepting()
	f.awaitConnectionsClosed(end)
	f.cancelRequests(errShutdown)
	f.awaitConnectionsClosed(end.Add(shutdownAnswerTimeout))
	f.close()
}

// stopAccepting closes the listener.
func (f *clientServer) stopAccepting() {
	f.stopped.Store(true)
	_ = f.listener.Close()
}

// awaitConnectionsClosed waits until no connection is open, or until a time.
func (f *clientServer) awaitConnectionsClosed(until time.Time) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for f.closeIdle(time.Now()) > 0 && time.Now().Before(until) {
		<-ticker.C
	}
}

// isShutdown says whether a request's context ended because the process does, while its client still waits.
func isShutdown(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errShutdown) }

// close ends the listener and all connections.
func (f *clientServer) close() {
	f.stopAccepting()
	f.mu.Lock()
	servers := f.servers
	f.mu.Unlock()
	for _, server := range servers {
		_ = server.Close()
	}
}

// closeIdle ends connections on which no request has begun for a while and returns how many are open.
func (f *clientServer) closeIdle(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, connection := range f.connections {
		connection.closeIfIdle(now)
	}
	return len(f.connections)
}

func (f *clientServer) stateChanged(connection net.Conn, state http.ConnState) {
	switch state {
	case http.StateIdle:
		connection.(*clientConnection).markIdle(time.Now())
	case http.StateClosed, http.StateHijacked:
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.connections, connection)
	}
}

// serverListener is the listener as one server sees it: it ends with a change of limits, while the socket stays open.
type serverListener struct{ server *clientServer }

// Accept waits for the next connection.
func (g *serverListener) Accept() (net.Conn, error) {
	accepted, err := g.server.listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, errLimitsChanged
	}
	if err != nil {
		return nil, err
	}
	connection := &clientConnection{Conn: accepted, idle: true, idleSince: time.Now()}
	g.server.mu.Lock()
	defer g.server.mu.Unlock()
	g.server.connections[connection] = connection
	return connection, nil
}

// Close does nothing: the socket outlives the server.
func (g *serverListener) Close() error { return nil }

// Addr is the socket's address.
func (g *serverListener) Addr() net.Addr { return g.server.listener.Addr() }
