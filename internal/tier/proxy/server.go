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

// Parameters of the client server and of the graceful shutdown.
const (
	defaultGracePeriod     = 8 * time.Second
	readinessHeaderTimeout = 2 * time.Second
	maxDrainDelay          = 2500 * time.Millisecond // the platform checks readiness every second and reacts to two failures
	drainDelayDivisor      = 3                       // the drain delay is at most this fraction of the grace period
	shutdownMargin         = 500 * time.Millisecond  // pending requests are cancelled this long before the end of the grace period
	shutdownAnswerTimeout  = 200 * time.Millisecond  // time to send responses to cancelled requests
	settlementTimeout      = 200 * time.Millisecond  // time to settle budgets afterwards
	drainPollInterval      = 100 * time.Millisecond
	minIdleBeforeClose     = 100 * time.Millisecond // a next request may be on its way; its response asks for the close
	headerTimeoutSlack     = time.Second
	idleTimeoutSlack       = 5 * time.Second
	headerBytesSlack       = 4 << 10  // the handler checks the configured limit
	minHeaderBytesLimit    = 64 << 10 // lets a raised limit apply to connections that are already open
)

// discardLogger discards the log of net/http about single connections, which clients could flood.
var discardLogger = log.New(io.Discard, "", 0)

var (
	pastDeadline     = time.Unix(1, 0) // makes a pending Read or Accept return at once
	errLimitsChanged = errors.New("limits changed")
	errShutdown      = errors.New("process is shutting down")
)

// clientServer accepts and serves client connections. The limits of an http.Server cannot be changed while it runs: when
// the configuration changes them, a new http.Server takes over the listener, and connections accepted earlier keep the
// old limits.
type clientServer struct {
	proxy          *Proxy
	listener       *net.TCPListener
	stopped        atomic.Bool
	baseContext    context.Context // parent of all request contexts
	cancelRequests context.CancelCauseFunc
	mu             sync.Mutex
	servers        []*http.Server // all servers started, the latest last
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

// newServer creates an http.Server with the current limits.
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

// applyLimits applies the current limits to connections accepted from now on.
func (s *clientServer) applyLimits() { _ = s.listener.SetDeadline(pastDeadline) }

// drain shuts down gracefully: it reports not ready, waits until load balancers have noticed, stops accepting connections,
// and returns when all requests that were read are answered, or at the end of the grace period.
func (s *clientServer) drain(grace time.Duration) {
	s.proxy.draining.Store(true)
	s.proxy.log.Info("draining")
	cancelAt := time.Now().Add(grace - shutdownMargin)
	time.Sleep(min(maxDrainDelay, grace/drainDelayDivisor))
	s.stopAccepting()
	s.awaitConnectionsClosed(cancelAt)
	s.cancelRequests(errShutdown)
	s.awaitConnectionsClosed(cancelAt.Add(shutdownAnswerTimeout))
	s.close()
}

// stopAccepting closes the listener.
func (s *clientServer) stopAccepting() {
	s.stopped.Store(true)
	_ = s.listener.Close()
}

// awaitConnectionsClosed closes idle connections until no connection is open or the deadline passes.
func (s *clientServer) awaitConnectionsClosed(deadline time.Time) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.closeIdle(time.Now()) > 0 && time.Now().Before(deadline) {
		<-ticker.C
	}
}

// isShutdown reports whether a request's context ended because the process shuts down. Its client may still be connected.
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

// closeIdle closes connections that have been idle for minIdleBeforeClose and returns the number of open connections,
// which includes those being closed.
func (s *clientServer) closeIdle(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, connection := range s.connections {
		connection.closeIfIdle(now)
	}
	return len(s.connections)
}

// stateChanged is the ConnState hook of the http.Servers.
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

// serverListener passes the shared listener to one http.Server. When the limits change, applyLimits sets a past accept
// deadline: Accept then returns errLimitsChanged, so that this http.Server accepts no more connections and serve creates the
// next one.
type serverListener struct{ server *clientServer }

// Accept waits for the next connection.
func (l *serverListener) Accept() (net.Conn, error) {
	accepted, err := l.server.listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, errLimitsChanged
	}
	if err != nil {
		return nil, err
	}
	connection := &clientConnection{Conn: accepted, idle: true, idleSince: time.Now()}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.connections[connection] = connection
	return connection, nil
}

// Close does nothing, because the shared listener outlives the http.Server.
func (l *serverListener) Close() error { return nil }

// Addr returns the address of the shared listener.
func (l *serverListener) Addr() net.Addr { return l.server.listener.Addr() }
