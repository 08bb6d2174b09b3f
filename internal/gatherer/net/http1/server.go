package http1

import (
	"errors"
	"log/slog"
	"net"
	"net/textproto"
	"os"
	"runtime/debug"
	"strings"
	"sync"
	"time"
)

// Handler answers a request. Gone is closed when the client disconnects meanwhile; the handler may return nil then. The body
// is valid only until it returns.
type Handler func(r *Request, gone <-chan struct{}) *Response

// Time-outs of a connection. Each request has its own deadline besides.
const (
	requestTimeout   = 2 * time.Second        // from the start of a connection or of a later request to the last byte of the request
	idleTimeout      = 2 * time.Second        // of a keep-alive connection between requests
	minIdle          = 500 * time.Millisecond // that a served connection is left open where there are many
	minNewAge        = 100 * time.Millisecond // that a new connection is left open for capacity: its request may not have been read
	writeTimeout     = 5 * time.Second
	errorLinger      = time.Second            // after the response to an invalid request, to discard the rest of it
	closeLinger      = 250 * time.Millisecond // after any other close of ours, to discard what is still received
	closeIdleDelay   = 700 * time.Millisecond // after SetConnectionClose, before idle connections are closed
	firstByteTimeout = 300 * time.Millisecond // of a new connection while draining
	drainPoll        = 20 * time.Millisecond  // a drain ends when nothing has been accepted for so long
	drainExtra       = time.Second            // at most that a drain accepts beyond its given time
	spareConns       = 16                     // connections beyond MaxConns, which are answered with 503
)

// Server serves one listener. Create it with New, then call Serve.
type Server struct {
	Handle       Handler
	MaxConns     int
	SoftMaxConns int           // beyond so many connections each new one closes an idle one; 0 for no bound
	Bodies       chan struct{} // one slot for each body held in memory, of all servers that share it; nil for no bound
	Log          *slog.Logger

	mu              sync.Mutex
	conns           map[*conn]struct{}
	draining        bool
	listenerClosed  bool // draining, while a successor accepts on the same socket
	closeGeneration int  // odd while connections are to be closed; incremented with each change
	listener        *net.TCPListener
	acceptUntil     time.Time // while draining
	freed           chan struct{}
	done            sync.WaitGroup
}

// New returns a server on a listener.
func New(l *net.TCPListener, h Handler, maxConns int, logger *slog.Logger) *Server {
	return &Server{Handle: h, MaxConns: maxConns, Log: logger, listener: l,
		conns: map[*conn]struct{}{}, freed: make(chan struct{}, 1)}
}

// Serve accepts connections until a drain ends or the listener is closed, and closes the listener.
func (s *Server) Serve() {
	defer s.listener.Close()
	quiet := false
	for {
		nc, err := s.listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			// The time of the drain is over. Closing now would reset connections in the backlog, whose requests have
			// been sent: accepting continues until nothing has come for drainPoll, or for too long.
			if s.listenerClosed || quiet || time.Now().After(s.acceptDeadline()) {
				return
			}
			quiet = true
			_ = s.listener.SetDeadline(time.Now().Add(drainPoll)) // if the listener is closed, Accept says so
			continue
		}
		quiet = false
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			// Probably out of descriptors: free one, and retry when a connection has closed.
			s.Log.Warn("accept failed", "reason", err)
			s.mu.Lock()
			s.closeLongestIdle(func(c *conn) bool { return c.pending == 0 && c.served })
			s.mu.Unlock()
			s.awaitClosed(100 * time.Millisecond)
			continue
		}
		s.mu.Lock()
		c := &conn{nc: nc, activeAt: time.Now()}
		if s.ensureCapacity(s.MaxConns) && s.SoftMaxConns > 0 && len(s.conns) >= s.SoftMaxConns {
			// A client that was served once and keeps its connection takes one from the others.
			s.closeLongestIdle(func(c *conn) bool { return c.served && c.pending == 0 && time.Since(c.activeAt) > minIdle })
		}
		s.conns[c] = struct{}{}
		s.done.Add(1)
		s.mu.Unlock()
		go s.serve(c)
		for s.overloaded() { // the backlog waits; it is not lost
			s.awaitClosed(minNewAge)
		}
	}
}

// SetLimits changes the bounds, and closes the longest idle connections beyond them.
func (s *Server) SetLimits(maxConns, keep int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.MaxConns, s.SoftMaxConns = maxConns, keep
	for len(s.conns) > maxConns {
		if !s.closeLongestIdle(func(c *conn) bool { return c.pending == 0 && time.Since(c.activeAt) > minNewAge }) {
			return
		}
	}
}

// Drain closes keep-alive connections between requests, from now on and after responses. New connections are accepted and
// served for the given time.
func (s *Server) Drain(acceptFor time.Duration) {
	s.mu.Lock()
	s.draining, s.acceptUntil = true, time.Now().Add(acceptFor+drainExtra)
	_ = s.listener.SetDeadline(time.Now().Add(acceptFor)) // if the listener is closed, Accept says so
	for c := range s.conns {
		if c.pending == 0 && !c.served {
			c.nc.SetReadDeadline(time.Now().Add(firstByteTimeout)) // its first request may be in flight
		}
	}
	s.closeIdle()
	s.mu.Unlock()
}

// CloseListener stops accepting at once, as a successor has the same socket and accepts its backlog. Accepted connections
// are served; idle ones stay open until their time-out, for a request in flight.
func (s *Server) CloseListener() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining, s.listenerClosed = true, true
	_ = s.listener.SetDeadline(time.Now()) // if the listener is closed, Accept says so
}

// SetConnectionClose makes each connection close after its next response, and idle ones after closeIdleDelay, when new ones
// have stopped coming. The listener stays open.
func (s *Server) SetConnectionClose(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on == (s.closeGeneration%2 == 1) {
		return
	}
	s.closeGeneration++
	if now := s.closeGeneration; on {
		time.AfterFunc(closeIdleDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.closeGeneration == now {
				s.closeIdle()
			}
		})
	}
}

// Wait returns when every connection has ended. Call it after Serve has returned.
func (s *Server) Wait() { s.done.Wait() }

// acceptDeadline is when a drain stops accepting at the latest.
func (s *Server) acceptDeadline() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acceptUntil
}

// closing reports whether the connection is to close after the response to the current request.
func (s *Server) closing(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.queued == 0 && (s.endsConnections() || c.noMore)
}

// endsConnections reports whether every connection is to close, for a drain or SetConnectionClose. The lock is held.
func (s *Server) endsConnections() bool { return s.draining || s.closeGeneration%2 == 1 }

// handle calls the handler. A panic in it fails its own request and no other.
func (s *Server) handle(r *Request, gone <-chan struct{}) (p *Response) {
	defer func() {
		if x := recover(); x != nil {
			s.Log.Error("front panic", "reason", x, "stack", string(debug.Stack()))
			p = Text(500, "internal error")
			p.Close = true
		}
	}()
	return s.Handle(r, gone)
}

// Text returns a plain-text response.
func Text(status int, text string) *Response {
	return &Response{Status: status, Header: textproto.MIMEHeader{"Content-Type": {"text/plain"}},
		Body: []byte(strings.TrimSuffix(text, "\n") + "\n")}
}
