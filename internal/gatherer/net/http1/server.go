package http1

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"net/textproto"
	"os"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/mem"
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

	mu       sync.Mutex
	conns    map[*conn]struct{}
	draining bool
	handOff  bool // draining, with a successor on the same socket
	lame     int  // odd while sent away: goes up by one with each change
	listener *net.TCPListener
	last     time.Time // when accepting ends, while draining
	freed    chan struct{}
	done     sync.WaitGroup
}

// conn is a client's connection. Its reader reads requests and notices that the client leaves; its
// writer answers them.
type conn struct {
	nc net.Conn

	// Under the server's lock.
	since time.Time // it was accepted, began a request, or was answered last
	busy  int       // requests that have begun and are not answered
	whole int       // those of them that are read: the connection is not closed before they are answered
	used  bool      // a request has been answered
	shut  bool      // this side has ended it: no request is taken any more, though its bytes may be here already
	ahead int       // of busy: those read and not in hand yet
	last  bool      // nothing behind what was read is taken: it could not be read, or was too far ahead
	look  lookout
}

// lookout is what the reader does while a request waits behind the one in hand: it reads no further one, but looks
// for the client's end, which would be hidden behind that request otherwise.
type lookout uint8

const (
	lookoutOff lookout = iota
	lookoutOn
	lookoutCalled // back: its read was broken off, and the deadline that did so is to be put right
)

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
			if s.handOff || quiet || time.Now().After(s.until()) {
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

func (s *Server) awaitFree(most time.Duration) {
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-s.freed:
	case <-t.C:
	}
}

// makeRoom says whether there are fewer than so many connections, and closes one where there are not:
// hundreds that say nothing, never end a request or asked once and stay must not keep out those that ask.
// The longest waiting goes, first of those that were never answered. The lock is held.
func (s *Server) makeRoom(most int) bool {
	if len(s.conns) < most {
		return true
	}
	return s.shutLongest(func(c *conn) bool { return c.whole == 0 && time.Since(c.since) > settleFor })
}

// shutLongest closes the connection that has waited longest of those that may be, first of those that were
// never answered, and says whether there was one. The lock is held.
func (s *Server) shutLongest(may func(*conn) bool) bool {
	var worst *conn
	for c := range s.conns {
		if may(c) && (worst == nil || !c.used && worst.used || c.used == worst.used && c.since.Before(worst.since)) {
			worst = c
		}
	}
	if worst == nil {
		return false
	}
	worst.shut = true
	delete(s.conns, worst)
	worst.nc.Close()
	return true
}

// crowded says whether even the connections that are only told so have no room, nor can be made any.
func (s *Server) crowded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.makeRoom(s.MaxConns + spare)
}

// full says whether a request finds more connections than there is room for, all of them busy or new.
func (s *Server) full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.makeRoom(s.MaxConns + 1)
}

// closeIdle ends the connections on which no request has begun and one was answered. The lock is held.
func (s *Server) closeIdle() {
	for c := range s.conns {
		if c.busy == 0 && c.used && !c.shut {
			c.end(partFor)
		}
	}
}

// end says to the client that the connection ends, and gives it a time to end it too. Closing at once over bytes that
// nobody has read would reset the connection, and an answer on its way could go with it; the connection's reader reads
// off what crosses the end, and closes. The server's lock is held.
func (c *conn) end(within time.Duration) {
	c.shut = true
	if t, ok := c.nc.(interface{ CloseWrite() error }); ok {
		t.CloseWrite()
	}
	c.nc.SetReadDeadline(time.Now().Add(within))
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
func (s *Server) HandOff() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining, s.handOff = true, true
	s.listener.SetDeadline(time.Now())
}

// SendAway has each connection close behind its next answer, and those that rest when new ones have stopped
// coming. The listener stays open.
func (s *Server) SendAway(on bool) {
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

// first sets by when a new connection's first request has to begin or, where none is awaited any more, to come.
func (s *Server) first(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	within := takeFor
	if s.draining || s.lame%2 == 1 {
		within = firstFor
	}
	c.nc.SetReadDeadline(c.since.Add(within))
}

// begun notes that a request has begun, so that the connection is not closed as idle any more, and says whether it
// may: not where the connection was ended just before.
func (s *Server) begun(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.shut {
		return false
	}
	c.busy++
	if c.used || c.whole > 0 {
		c.since = time.Now()
		c.nc.SetReadDeadline(c.since.Add(takeFor))
	}
	return true
}

// taken notes that a request was read whole, and says whether it is to be answered: not where the
// connection was closed just before.
func (s *Server) taken(c *conn, last bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.shut {
		return false
	}
	c.nc.SetReadDeadline(time.Time{}) // what the answer takes is the request's deadline's affair
	c.whole++
	c.ahead++
	c.last = c.last || last
	return true
}

// inHand notes that the request that was ahead is in hand, and calls the reader back to read the next.
func (s *Server) inHand(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.ahead--
	if c.look == lookoutOn {
		c.look = lookoutCalled
		c.nc.SetReadDeadline(time.Unix(1, 0))
	}
}

// answered notes that a request was answered, and says whether the connection goes on; if not, it has been ended. A
// client may have sent its next request before this is noted; that one is taken and is answered, draining or not.
func (s *Server) answered(c *conn, closes bool, linger time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.busy--
	c.whole--
	c.used, c.since = true, time.Now()
	switch more := !s.draining && s.lame%2 == 0 || c.busy > 0; {
	case !more || closes:
		if !c.shut {
			c.end(linger)
		}
		return false
	case c.busy == 0 && c.look != lookoutCalled: // a reader that is being called back sets it, and would not hear the call else
		c.nc.SetReadDeadline(c.since.Add(idleFor))
	}
	return true
}

// ended says whether this side has ended a connection, which is to go on until the client does or its time is up.
func (s *Server) ended(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.shut
}

// rested ends a connection on which nothing came in time, and says whether it was resting.
func (s *Server) rested(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.busy > 0 || c.shut {
		return false
	}
	c.end(partFor)
	return true
}

// tooFar notes that what follows the request ahead is dropped, unless that is in hand by now.
func (s *Server) tooFar(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.ahead > 0 && c.look == lookoutOn {
		c.last, c.look = true, lookoutOff
	}
	return c.last
}

// lookout says whether a request waits behind the one in hand, so that the reader is to look for the client's end only.
func (s *Server) lookout(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.look == lookoutCalled && !c.shut {
		by := time.Time{}
		if c.busy == 0 {
			by = c.since.Add(idleFor)
		}
		c.nc.SetReadDeadline(by)
	}
	c.look = lookoutOff
	if c.ahead > 0 && c.busy > 1 {
		c.look = lookoutOn
	}
	return c.look == lookoutOn
}

type incoming struct {
	r   *Request
	err error
}

func (s *Server) serve(c *conn) {
	// One request may be ahead of the one in hand.
	requests, gone, over := make(chan incoming, 1), make(chan struct{}), make(chan struct{})
	go s.read(c, requests, gone, over)
	for more := true; more; {
		select {
		case in := <-requests:
			s.inHand(c)
			more = s.answer(c, in, gone)
		case <-gone:
			more = false
		}
	}
	close(over)
	if !s.ended(c) { // the client has left, or there is no answering it
		c.nc.Close()
	}
	<-gone // what crossed our end is read off
	c.nc.Close()
	select {
	case in := <-requests:
		in.r.Release()
	default:
	}
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	select {
	case s.freed <- struct{}{}:
	default:
	}
	s.done.Done()
}

// read hands over one request after another, and waits for the next while one is being answered: that is
// how it notices that the client goes away.
func (s *Server) read(c *conn, requests chan<- incoming, gone, over chan struct{}) {
	defer close(gone)
	r := NewReader(c.nc)
	r.Bodies = s.Bodies
	r.Continue = func() { // no answer is under way: a client sends one request at a time
		c.nc.SetWriteDeadline(time.Now().Add(writeFor))
		io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	var client netip.Addr
	if a, ok := c.nc.RemoteAddr().(*net.TCPAddr); ok {
		client = a.AddrPort().Addr().Unmap()
	}
	s.first(c)
	for {
		for s.lookout(c) {
			switch err := r.More(); {
			case errors.Is(err, bufio.ErrBufferFull):
				if s.tooFar(c) {
					s.readOff(c, over)
					return
				}
			case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
				return
			}
		}
		if err := r.Await(); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && s.rested(c) {
				s.discard(c)
			}
			return
		}
		if !s.begun(c) {
			s.discard(c)
			return
		}
		q, err := r.Request()
		if err != nil && r.lim.late {
			err = errTooSlow
		}
		if e := (*Error)(nil); err != nil && !errors.As(err, &e) {
			return // the connection broke
		}
		if q != nil {
			q.Client = client
		}
		if !s.taken(c, err != nil) {
			q.Release()
			return
		}
		requests <- incoming{q, err}
		if err != nil {
			s.readOff(c, over)
			return
		}
	}
}

// readOff drops what comes behind the last request that is taken, and returns when the client has left or the
// connection is over.
func (s *Server) readOff(c *conn, over <-chan struct{}) {
	err := s.discard(c)
	s.mu.Lock()
	only := c.busy == 1
	s.mu.Unlock()
	// One that has sent nothing but what cannot be read, and has ended its side, is still told why.
	if err == nil || only {
		<-over
		s.discard(c)
	}
}

// discard reads off and drops what comes, within bounds.
func (s *Server) discard(c *conn) error {
	_, err := io.CopyN(io.Discard, c.nc, 4*MaxBody)
	return err
}

// answer answers one request and says whether another may follow.
func (s *Server) answer(c *conn, in incoming, gone <-chan struct{}) bool {
	var p *Response
	if e := (*Error)(nil); errors.As(in.err, &e) {
		p = Text(e.Status, e.Reason)
		p.Close = true
	} else {
		defer in.r.Release()
		if s.full() {
			p = Text(503, "too many connections")
			p.Header.Set("Retry-After", "0.5")
			p.Close = true
		} else if p = s.handle(in.r, gone); p == nil {
			return false // the client has left
		}
		p.Close = p.Close || in.r.Close || s.closing(c)
	}
	buf := mem.GetBuffer()
	defer mem.PutBuffer(buf)
	c.nc.SetWriteDeadline(time.Now().Add(writeFor))
	if _, err := c.nc.Write(AppendResponse(buf[:0], p)); err != nil {
		return false
	}
	linger := partFor
	if in.err != nil {
		linger = lingerFor
	}
	return s.answered(c, p.Close, linger)
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
