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

// Timing of the clients' listener and of the graceful shutdown.
const (
	defaultGracePeriod     = 8 * time.Second
	readinessHeaderTimeout = 2 * time.Second
	maxDrainDelay          = 2500 * time.Millisecond // the platform checks readiness each second and acts on two failures
	drainDelayDivisor      = 3                       // at most this fraction of the grace period
	shutdownMargin         = 500 * time.Millisecond  // before the end of the grace period unanswered requests are cancelled
	shutdownAnswerTimeout  = 200 * time.Millisecond  // for the responses to cancelled requests
	settlementTimeout      = 200 * time.Millisecond  // for budgets to be settled after that
	drainPollInterval      = 100 * time.Millisecond
	minIdleBeforeClose     = 100 * time.Millisecond // the client may be about to send again; that response asks for the close
	headerTimeoutSlack     = time.Second
	idleTimeoutSlack       = 5 * time.Second
	headerBytesSlack       = 4 << 10  // the handler itself checks headers near the limit
	minHeaderBytesLimit    = 64 << 10 // the configured limit may be raised while a connection is open
)

// discardLogger receives what net/http logs about single connections: clients cause it at will.
var discardLogger = log.New(io.Discard, "", 0)

var (
	pastDeadline     = time.Unix(1, 0) // makes a pending Read or Accept return at once
	errLimitsChanged = errors.New("limits changed")
	errShutdown      = errors.New("process is shutting down")
)

// clientServer accepts clients' connections and serves them. Limits of net/http are fixed for each http.Server; when
// the configuration changes them a new one takes over the listener, and connections accepted before keep the old
// limits.
type clientServer struct {
	proxy          *Proxy
	listener       *net.TCPListener
	stopped        atomic.Bool
	baseContext    context.Context // parent of all requests' contexts
	cancelRequests context.CancelCauseFunc
	mu             sync.Mutex
	servers        []*http.Server
	connections    map[net.Conn]*clientConnection
}

func newClientServer(proxy *Proxy, listener *net.TCPListener) *clientServer {
	s := &clientServer{proxy: proxy, listener: listener, connections: make(map[net.Conn]*clientConnection)}
	s.baseContext, s.cancelRequests = context.WithCancelCause(context.Background())
	return s
}

// serve accepts connections until the listener is closed.
func (s *clientServer) serve() {
	for !s.stopped.Load() {
		_ = s.listener.SetDeadline(time.Time{})
		err := s.newServer().Serve(&serverListener{server: s})
		if !errors.Is(err, errLimitsChanged) {
			return
		}
	}
}

func (s *clientServer) newServer() *http.Server {
	limits := s.proxy.limits(s.proxy.snapshots.load())
	server := &http.Server{
		Handler:                      s.proxy,
		MaxHeaderBytes:               max(limits.MaxHeaderBytes, minHeaderBytesLimit) + headerBytesSlack,
		ReadHeaderTimeout:            limits.HeaderTimeout + headerTimeoutSlack,
		IdleTimeout:                  limits.IdleTimeout + idleTimeoutSlack,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     discardLogger,
		ConnState:                    s.stateChanged,
		ConnContext:                  withConnection,
		BaseContext:                  func(net.Listener) context.Context { return s.baseContext },
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = append(s.servers, server)
	return server
}

// applyLimits makes connections accepted from now on subject to the newest limits.
func (s *clientServer) applyLimits() { _ = s.listener.SetDeadline(pastDeadline) }

// drain shuts down gracefully: it reports not ready, waits until load balancers have noticed, stops accepting, and
// ends when all requests that were read are answered, or at the end of the grace period.
func (s *clientServer) drain(grace time.Duration) {
	s.proxy.draining.Store(true)
	s.proxy.log.Info("draining")
	end := time.Now().Add(grace - shutdownMargin)
	time.Sleep(min(maxDrainDelay, grace/drainDelayDivisor))
	s.stopAccepting()
	s.awaitConnectionsClosed(end)
	s.cancelRequests(errShutdown)
	s.awaitConnectionsClosed(end.Add(shutdownAnswerTimeout))
	s.close()
}

// stopAccepting closes the listener.
func (s *clientServer) stopAccepting() {
	s.stopped.Store(true)
	_ = s.listener.Close()
}

// awaitConnectionsClosed waits until no connection is open or the deadline passes.
func (s *clientServer) awaitConnectionsClosed(deadline time.Time) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.closeIdle(time.Now()) > 0 && time.Now().Before(deadline) {
		<-ticker.C
	}
}

// isShutdown reports whether a request's context ended because the process stops, while its client still waits.
func isShutdown(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errShutdown) }

// close closes the listener and all connections.
func (s *clientServer) close() {
	s.stopAccepting()
	s.mu.Lock()
	servers := s.servers
	s.mu.Unlock()
	for _, server := range servers {
		_ = server.Close()
	}
}

// closeIdle closes connections that have been idle for a while and returns how many are open.
func (s *clientServer) closeIdle(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, connection := range s.connections {
		connection.closeIfIdle(now)
	}
	return len(s.connections)
}

func (s *clientServer) stateChanged(connection net.Conn, state http.ConnState) {
	switch state {
	case http.StateIdle:
		connection.(*clientConnection).markIdle(time.Now())
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.connections, connection)
	}
}

// serverListener is the listener as one http.Server sees it: it ends when limits change, while the socket stays open.
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

// Addr is the address of the socket.
func (g *serverListener) Addr() net.Addr { return g.server.listener.Addr() }
