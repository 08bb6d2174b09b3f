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

// Handler answers a request. gone is closed when the client goes away meanwhile. The body is valid only
// until it returns.
type Handler func(r *Request, gone <-chan struct{}) *Response

// Times of a connection; what a request itself may take is its deadline's affair.
const (
	takeFor   = 2 * time.Second        // from a connection's start, or a later request's, to that request's last byte
	idleFor   = 2 * time.Second        // between requests
	restFor   = 500 * time.Millisecond // so long an answered connection is left in peace where there are many
	settleFor = 100 * time.Millisecond // so long a new connection is not closed to make room: its request may wait unread
	writeFor  = 5 * time.Second
	lingerFor = time.Second            // behind an answer to what could not be read, for the rest of that
	partFor   = 250 * time.Millisecond // behind any other end of ours, for what crosses it
	awayFor   = 700 * time.Millisecond // so long new connections may come after clients were sent away
	firstFor  = 300 * time.Millisecond // while draining: for a new connection's first byte
	lastLook  = 20 * time.Millisecond  // a drain ends when so long nothing waits to be accepted
	moreFor   = time.Second            // and after so much longer than was said, at the latest
	spare     = 16                     // connections past MaxConns that are told so
)

// Server serves one listener.
type Server struct {
	Handle   Handler
	MaxConns int
	Keep     int           // past so many connections, each new one closes one that rests; 0 for no such bound
	Bodies   chan struct{} // bounds the bodies held at once, of all servers that share it; nil for no bound
	Log      *slog.Logger

	mu             sync.Mutex
	conns          map[*conn]struct{}
	draining       bool
	listenerClosed bool // draining, with a successor on the same socket
	lame           int  // odd while sent away: goes up by one with each change
	listener       *net.TCPListener
	last           time.Time // when accepting ends, while draining
	freed          chan struct{}
	done           sync.WaitGroup
}

// New makes a server on a listener; Serve must follow.
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
			// The drain's time is over. Closing now would reset what waits in the backlog, whose requests
			// count as taken: accepting goes on until a whole look finds nothing, or too long.
			if s.listenerClosed || quiet || time.Now().After(s.until()) {
				return
			}
			quiet = true
			s.listener.SetDeadline(time.Now().Add(lastLook))
			continue
		}
		quiet = false
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			// Out of descriptors, most likely: free one, and try again when something has closed.
			s.Log.Warn("accept failed", "reason", err)
			s.mu.Lock()
			s.shutLongest(func(c *conn) bool { return c.busy == 0 && c.used })
			s.mu.Unlock()
			s.awaitFree(100 * time.Millisecond)
			continue
		}
		s.mu.Lock()
		c := &conn{nc: nc, since: time.Now()}
		if s.makeRoom(s.MaxConns) && s.Keep > 0 && len(s.conns) >= s.Keep {
			// Clients have places, too: one that asked once and keeps its connection takes one from the others.
			s.shutLongest(func(c *conn) bool { return c.used && c.busy == 0 && time.Since(c.since) > restFor })
		}
		s.conns[c] = struct{}{}
		s.done.Add(1)
		s.mu.Unlock()
		go s.serve(c)
		for s.crowded() { // the backlog waits; nothing in it is lost
			s.awaitFree(settleFor)
		}
	}
}

// SetLimits gives other bounds, and closes the longest resting connections that have no room any more.
func (s *Server) SetLimits(maxConns, keep int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.MaxConns, s.Keep = maxConns, keep
	for len(s.conns) > maxConns {
		if !s.shutLongest(func(c *conn) bool { return c.busy == 0 && time.Since(c.since) > settleFor }) {
			return
		}
	}
}

// Drain closes keep-alive connections between requests, from now on and as answers go out. New connections
// are still accepted and served for a time.
func (s *Server) Drain(acceptFor time.Duration) {
	s.mu.Lock()
	s.draining, s.last = true, time.Now().Add(acceptFor+moreFor)
	s.listener.SetDeadline(time.Now().Add(acceptFor))
	for c := range s.conns {
		if c.busy == 0 && !c.used {
			c.nc.SetReadDeadline(time.Now().Add(firstFor)) // its first request may be on the way
		}
	}
	s.closeIdle()
	s.mu.Unlock()
}

// HandOff stops accepting at once, as a successor has the same socket and takes its backlog. The connections
// accepted are served; those that rest are left open for a request on the way until their time is up.
func (s *Server) CloseListener() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining, s.listenerClosed = true, true
	s.listener.SetDeadline(time.Now())
}

// SendAway has each connection close behind its next answer, and those that rest when new ones have stopped
// coming. The listener stays open.
func (s *Server) SetConnectionClose(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on == (s.lame%2 == 1) {
		return
	}
	s.lame++
	if now := s.lame; on {
		time.AfterFunc(awayFor, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.lame == now {
				s.closeIdle()
			}
		})
	}
}

// Wait returns when every connection has ended; call it when Serve has returned.
func (s *Server) Wait() { s.done.Wait() }

func (s *Server) until() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

// closing says whether the connection is to close behind the answer to the request in hand.
func (s *Server) closing(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.ahead == 0 && (s.draining || s.lame%2 == 1 || c.last)
}

// handle calls the handler. A fault in it fails its own request, and must not take down all others.
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

// Text makes a plain answer.
func Text(status int, text string) *Response {
	return &Response{Status: status, Header: textproto.MIMEHeader{"Content-Type": {"text/plain"}},
		Body: []byte(strings.TrimSuffix(text, "\n") + "\n")}
}
