package http1

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// tapped reports when the reader has read bytes of the client.
type tapped struct {
	*net.TCPConn
	read  chan struct{}
	begun atomic.Int32 // reads, those that wait for bytes too
}

func (c *tapped) Read(b []byte) (int, error) {
	c.begun.Add(1)
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		c.read <- struct{}{}
	}
	return n, err
}

// SetReadDeadline ignores the time-outs of a connection, so that nothing depends on them.
func (c *tapped) SetReadDeadline(t time.Time) error {
	if t.After(time.Now()) {
		t = time.Time{}
	}
	return c.TCPConn.SetReadDeadline(t)
}

// tap serves one connection over loopback, whose reads the test observes.
func tap(t *testing.T, h Handler) (s *Server, client net.Conn, c *tapped) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, _ = dial(t, l.Addr().String())
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	s = New(l.(*net.TCPListener), h, 10, slog.New(slog.DiscardHandler))
	c = &tapped{TCPConn: nc.(*net.TCPConn), read: make(chan struct{}, 100)}
	x := &conn{nc: c, activeAt: time.Now()}
	s.conns[x] = struct{}{}
	s.done.Add(1)
	go s.serve(x)
	return s, client, c
}

// await receives from a channel, within a time-out.
func await[T any](t *testing.T, ch <-chan T, what string) (x T) {
	t.Helper()
	select {
	case x = <-ch:
	case <-time.After(20 * time.Second):
		t.Fatalf("never: %s", what)
	}
	return x
}

// awaitIdle returns when the server's one connection is idle: its responses are recorded, and its reader waits in a new
// read. A client has its response before that.
func awaitIdle(t *testing.T, s *Server, c *tapped, reads int32) {
	t.Helper()
	resting := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for x := range s.conns {
			return x.served && x.pending == 0 && c.begun.Load() > reads
		}
		return false
	}
	for begun := time.Now(); !resting(); time.Sleep(100 * time.Microsecond) {
		if time.Since(begun) > 20*time.Second {
			t.Fatal("never: the connection rests")
		}
	}
}

// wantEnd reads the end of the connection, which must be no reset, as that could lose a response.
func wantEnd(t *testing.T, client net.Conn) {
	t.Helper()
	if rest, err := io.ReadAll(client); len(rest) > 0 || err != nil {
		t.Errorf("behind the last answer: %q, %v", rest, err)
	}
}

// A request that is read in the moment in which its idle connection is ended is not accepted: the client sees the close
// without a response and retries elsewhere, so that it must not be forwarded here.
func TestRequestCrossesIdleClose(t *testing.T) {
	for name, end := range map[string]func(s *Server){
		"idle close": func(s *Server) { s.closeIdle() },
		"room made": func(s *Server) {
			if !s.closeLongestIdle(func(*conn) bool { return true }) {
				t.Error("no connection to close")
			}
		},
	} {
		taken := make(chan string, 10)
		s, client, c := tap(t, func(r *Request, _ <-chan struct{}) *Response { taken <- r.Path; return Text(200, "done") })
		io.WriteString(client, post)
		await(t, c.read, "the first request is read")
		if p, err := NewReader(client).Response(); err != nil || p.Close {
			t.Fatalf("%s: %+v %v", name, p, err)
		}
		await(t, taken, "the first request is taken")
		awaitIdle(t, s, c, 1)
		s.mu.Lock()
		io.WriteString(client, post)
		await(t, c.read, "the second request is read")
		end(s)
		s.mu.Unlock()
		if name == "idle close" {
			wantEnd(t, client)
		}
		client.Close()
		s.Wait()
		if len(taken) > 0 {
			t.Errorf("%s: the request that crossed it was taken", name)
		}
	}
}

// The last response of a connection is not followed by a reset, though the client has sent more than was read; nor is the
// close of an idle connection that bytes cross.
func TestCloseOverUnreadBytes(t *testing.T) {
	more := strings.Repeat("x", 60<<10)
	for name, end := range map[string]func(s *Server, client net.Conn, finish chan struct{}) string{
		"the client asked for it": func(_ *Server, client net.Conn, finish chan struct{}) string {
			finish <- struct{}{}
			return strings.Replace(post, "Host", "Connection: close\r\nHost", 1) + more
		},
		"the process drains": func(s *Server, client net.Conn, finish chan struct{}) string {
			s.mu.Lock()
			s.draining = true
			s.mu.Unlock()
			finish <- struct{}{}
			return post + more
		},
	} {
		finish := make(chan struct{}, 1)
		s, client, _ := tap(t, func(*Request, <-chan struct{}) *Response { <-finish; return Text(200, "done") })
		io.WriteString(client, end(s, client, finish))
		r := NewReader(client)
		p, err := r.Response()
		if err != nil || p.Status != 200 {
			t.Errorf("%s: %+v %v", name, p, err)
		}
		if !p.Close { // it has read that what follows is no request
			if p, err = r.Response(); err != nil || p.Status == 200 || !p.Close {
				t.Errorf("%s: %+v %v", name, p, err)
			}
		}
		if err := r.Await(); !errors.Is(err, io.EOF) {
			t.Errorf("%s: behind the answer: %v", name, err)
		}
		client.Close()
		s.Wait()
	}
}

// A client that closes its connection has disconnected, whatever it sent before: pipelined requests do not hide that from
// the request being answered, be it one, some, or more than are buffered.
func TestPipelinedRequestsHideNoDisconnect(t *testing.T) {
	for _, n := range []int{1, 2, 5, 500} {
		addr, _, began, finish, closed := serve(t)
		c, _ := dial(t, addr)
		io.WriteString(c, strings.Repeat(post, n))
		await(t, began, "a request is in hand")
		c.Close()
		await(t, finish, "it hears that the client has gone")
		closed()
		if len(began) > 0 {
			t.Errorf("%d pipelined: one that waited was taken after the client had gone", n)
		}
	}
}

// Pipelined requests are answered in order. Of more than are buffered the rest is discarded, and the last response says
// so.
func TestPipelined(t *testing.T) {
	for _, n := range []int{2, 5, 500} {
		taken := 0
		s, client, _ := tap(t, func(*Request, <-chan struct{}) *Response { taken++; return Text(200, "done") })
		go io.WriteString(client, strings.Repeat(post, n)+"GET /last HTTP/1.1\r\nConnection: close\r\n\r\n")
		r, answers, last := NewReader(client), 0, false
		for !last {
			p, err := r.Response()
			if err != nil || p.Status != 200 {
				t.Fatalf("%d pipelined: %+v %v after %d", n, p, err, answers)
			}
			answers++
			last = p.Close
		}
		if err := r.Await(); n < 500 && (!errors.Is(err, io.EOF) || answers != n+1) {
			t.Errorf("%d pipelined: %d answers, then %v", n, answers, err)
		}
		client.Close()
		s.Wait()
		if taken != answers {
			t.Errorf("%d pipelined: %d taken, %d answered", n, taken, answers)
		}
	}
}

// Requests pipelined too far ahead are discarded, and the response before them says that it is the last.
func TestPipelinedTooFar(t *testing.T) {
	began, finish := make(chan struct{}, 1000), make(chan struct{}, 1000)
	s, client, c := tap(t, func(*Request, <-chan struct{}) *Response { began <- struct{}{}; <-finish; return Text(200, "done") })
	go io.WriteString(client, strings.Repeat(post, 500))
	await(t, began, "a request is in hand")
	for last := false; !last; { // the reader is past what it holds
		await(t, c.read, "more is read")
		s.mu.Lock()
		for x := range s.conns {
			last = x.noMore
		}
		s.mu.Unlock()
	}
	for range 500 {
		finish <- struct{}{}
	}
	r, answers := NewReader(client), 0
	for last := false; !last; answers++ {
		p, err := r.Response()
		if err != nil || p.Status != 200 {
			t.Fatalf("%+v %v after %d answers", p, err, answers)
		}
		last = p.Close
	}
	if err := r.Await(); !errors.Is(err, io.EOF) || answers != 2 {
		t.Errorf("%d answers, then %v", answers, err)
	}
	client.Close()
	s.Wait()
}

// A partial request at a shutdown is waited for and answered; what follows it is not accepted.
func TestDrainWithinRequest(t *testing.T) {
	for _, used := range []bool{false, true} {
		taken := make(chan struct{}, 10)
		s, client, c := tap(t, func(*Request, <-chan struct{}) *Response { taken <- struct{}{}; return Text(200, "done") })
		if used {
			io.WriteString(client, post)
			if p, err := NewReader(client).Response(); err != nil || p.Close {
				t.Fatalf("%+v %v", p, err)
			}
			await(t, c.read, "the first is read")
			await(t, taken, "the first is taken")
		}
		io.WriteString(client, post[:30])
		await(t, c.read, "half of it is read")
		for begun := false; !begun; { // by the reader, which has it in its hands
			s.mu.Lock()
			for x := range s.conns {
				begun = x.pending == 1
			}
			s.mu.Unlock()
		}
		s.mu.Lock()
		s.draining = true
		s.closeIdle()
		s.mu.Unlock()
		io.WriteString(client, post[30:])
		r := NewReader(client)
		if p, err := r.Response(); err != nil || p.Status != 200 || !p.Close {
			t.Errorf("%+v %v", p, err)
		}
		io.WriteString(client, post)
		if err := r.Await(); !errors.Is(err, io.EOF) {
			t.Errorf("behind the answer: %v", err)
		}
		client.Close()
		s.Wait()
		if n := len(taken); n != 1 {
			t.Errorf("%d taken, want 1", n)
		}
	}
}

// A connection accepted in the moment in which a drain begins is served; one that sends nothing is ended within the time
// of the drain.
func TestDrainWithinAccept(t *testing.T) {
	s, client, _ := tap(t, func(*Request, <-chan struct{}) *Response { return Text(200, "done") })
	s.mu.Lock()
	s.draining = true // its reader may or may not have set its time
	s.mu.Unlock()
	io.WriteString(client, post)
	r := NewReader(client)
	if p, err := r.Response(); err != nil || p.Status != 200 || !p.Close {
		t.Errorf("%+v %v", p, err)
	}
	if err := r.Await(); !errors.Is(err, io.EOF) {
		t.Errorf("behind the answer: %v", err)
	}
	client.Close()
	s.Wait()
}

// An invalid request is answered though the client has closed its side; pipelined behind a request, it does not hide a
// disconnection.
func TestInvalidThenClose(t *testing.T) {
	addr, _, began, finish, closed := serve(t)
	c, r := dial(t, addr)
	io.WriteString(c, "nonsense\r\n\r\n")
	c.(*net.TCPConn).CloseWrite()
	if p, err := r.Response(); err != nil || p.Status != 400 || !p.Close {
		t.Errorf("%+v %v", p, err)
	}
	c.Close()
	c, _ = dial(t, addr)
	io.WriteString(c, post+"nonsense\r\n\r\n")
	await(t, began, "a request is in hand")
	c.Close()
	await(t, finish, "it hears that the client has gone")
	closed()
}

// A response without a length ends with its connection. A reset is no end, and one without bound is an error.
func TestResponseWithoutLength(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
	for name, x := range map[string]struct {
		send string
		end  func(*net.TCPConn)
		ok   bool
	}{
		"end":     {head + "whole", func(c *net.TCPConn) { c.CloseWrite() }, true},
		"reset":   {head + "whole", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, false},
		"endless": {head + strings.Repeat("x", MaxBody+1), func(*net.TCPConn) {}, false},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		got := make(chan struct{})
		go func() {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			io.WriteString(nc, x.send)
			if name == "reset" {
				<-got // the client has read all of it, and has seen no end
			}
			x.end(nc.(*net.TCPConn))
		}()
		c := &Client{Addr: l.Addr().String()}
		if err := c.Dial(t.Context(), time.Minute); err != nil {
			t.Fatal(err)
		}
		c.nc = &counted{Conn: c.nc, left: len(x.send), all: got}
		c.r = NewReader(c.nc)
		p, err := c.Read(time.Now().Add(time.Minute))
		var e *Error
		switch {
		case x.ok && (err != nil || string(p.Body) != "whole" || !p.Close || c.Open()):
			t.Errorf("%s: %+v %v, open %v", name, p, err, c.Open())
		case !x.ok && (err == nil || errors.Is(err, io.EOF) || c.Open()):
			t.Errorf("%s: %+v %v, open %v", name, p, err, c.Open())
		case name == "reset" && errors.As(err, &e):
			t.Errorf("a reset is taken for the peer's words: %v", err)
		}
		if c.Alive() {
			t.Errorf("%s: alive, though it is closed", name)
		}
		l.Close()
	}
}

// counted reports when so many bytes have been read.
type counted struct {
	net.Conn
	left int
	all  chan struct{}
}

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.left -= n; c.left <= 0 && c.all != nil {
		close(c.all)
		c.all = nil
	}
	return n, err
}

// Floods of bytes that are no request, of partial requests and of requests pipelined without end, by clients that
// disconnect at once, are answered or discarded within bounds, and all their goroutines end. A good client is served
// meanwhile and after.
func TestFloods(t *testing.T) {
	for name, flood := range map[string]string{
		"bytes that are no request": strings.Repeat("\x00\xff{}\r\n", 40<<10),
		"a line without end":        "GET /" + strings.Repeat("x", 256<<10),
		"half a request":            post[:30],
		"requests without end":      strings.Repeat(post, 2000),
		"a body larger than any":    "POST /q HTTP/1.1\r\nContent-Length: 999999999\r\n\r\n" + strings.Repeat("x", 128<<10),
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := New(l.(*net.TCPListener), func(*Request, <-chan struct{}) *Response { return Text(200, "done") }, 10, slog.New(slog.DiscardHandler))
		served := make(chan struct{})
		go func() { s.Serve(); close(served) }()
		bad := make(chan struct{})
		for range 40 {
			c, _ := dial(t, l.Addr().String())
			go func() {
				io.WriteString(c, flood) // it may be cut off
				c.Close()
				bad <- struct{}{}
			}()
		}
		for answered := false; !answered; { // it may be told that there are too many
			c, r := dial(t, l.Addr().String())
			io.WriteString(c, post)
			p, err := r.Response()
			if err == nil && p.Status != 200 && p.Status != 503 {
				t.Fatalf("%s: a sound client gets %+v", name, p)
			}
			answered = err == nil && p.Status == 200 // a connection that waited for long may be closed unread for another's sake
			c.Close()
		}
		for range 40 {
			await(t, bad, "a flood ends")
		}
		l.Close()
		await(t, served, "the listener is closed")
		s.Wait()
		if n := len(s.conns); n > 0 {
			t.Errorf("%s: %d connections are left", name, n)
		}
	}
}

// Guards against connections that are to close and do not: a client that always has its next request on the way before it has
// a response is answered what it sent ahead once, and that response says that it is the last.
func TestConnectionsCloseThoughTheClientKeepsPipelining(t *testing.T) {
	for name, begin := range map[string]func(*Server){
		"drain": func(s *Server) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.draining = true
		},
		"lame duck": func(s *Server) { s.SetConnectionClose(true) },
	} {
		began, finish := make(chan struct{}, 10), make(chan struct{}, 10)
		s, client, c := tap(t, func(*Request, <-chan struct{}) *Response { began <- struct{}{}; <-finish; return Text(200, "done") })
		io.WriteString(client, post)
		await(t, c.read, "the first request is read")
		await(t, began, "the first request is taken")
		begin(s)
		r, answers := NewReader(client), 0
		for last := false; !last && answers < 5; answers++ {
			if io.WriteString(client, post); answers < 2 {
				await(t, c.read, "the next request is read while one is answered")
				awaitQueuedOrLast(s)
			}
			finish <- struct{}{}
			p, err := r.Response()
			if err != nil || p.Status != 200 {
				t.Fatalf("%s: %+v %v after %d answers", name, p, err, answers)
			}
			last = p.Close
		}
		if answers != 2 {
			t.Errorf("%s: %d answers, want 2", name, answers)
		}
		client.Close()
		s.Wait()
	}
}

// awaitQueuedOrLast returns when the reader of the server's one connection has a request queued, or accepts no more.
func awaitQueuedOrLast(s *Server) {
	for read := false; !read; {
		s.mu.Lock()
		for x := range s.conns {
			read = x.queued == 1 || x.noMore
		}
		s.mu.Unlock()
	}
}

// The last request of a connection that drains is given up when its client disconnects.
func TestDisconnectDuringLastPipelinedRequestIsNoticed(t *testing.T) {
	began, finish, left := make(chan struct{}, 10), make(chan struct{}, 10), make(chan struct{}, 10)
	s, client, c := tap(t, func(_ *Request, gone <-chan struct{}) *Response {
		began <- struct{}{}
		select {
		case <-finish:
			return Text(200, "done")
		case <-gone:
			left <- struct{}{}
			return nil
		}
	})
	io.WriteString(client, post)
	await(t, c.read, "the first request is read")
	await(t, began, "the first request is taken")
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	io.WriteString(client, post)
	await(t, c.read, "the second request is read")
	for last := false; !last; {
		s.mu.Lock()
		for x := range s.conns {
			last = x.noMore
		}
		s.mu.Unlock()
	}
	finish <- struct{}{}
	if p, err := NewReader(client).Response(); err != nil || p.Status != 200 || p.Close {
		t.Fatalf("%+v %v", p, err)
	}
	await(t, began, "the second request is taken")
	client.Close()
	await(t, left, "the second request hears that its client has disconnected")
	s.Wait()
}
