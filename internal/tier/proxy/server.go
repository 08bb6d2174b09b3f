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

// Parameters of the client server.
const (
	readinessHeaderTimeout = 2 * time.Second
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
