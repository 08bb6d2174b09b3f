package http1

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/proptest"
)

const (
	post    = "POST /lot-search HTTP/1.1\r\nHost: x\r\nReq-Id: a\r\nContent-Length: 4\r\n\r\nbody"
	chunked = "POST /lot-search HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3;x=1\r\nbod\r\n1\r\ny\r\n0\r\nTrailer: 1\r\n\r\n"
	answer  = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
)

func request(b []byte) error {
	r, err := NewReader(bytes.NewReader(b)).Request()
	if err == nil {
		r.Release()
	}
	return err
}

func TestGarbage(t *testing.T) {
	proptest.CheckParser(t, true, request, post, chunked, "GET /-/ready HTTP/1.1\r\n\r\n")
	proptest.CheckParser(t, true, func(b []byte) error {
		p, err := NewReader(bytes.NewReader(b)).Response()
		if err == nil {
			p.Release()
		}
		return err
	}, answer)
}

// Each malformed or oversized message gets its own status, and none is read without bound.
func TestStatuses(t *testing.T) {
	for in, want := range map[string]int{
		"nonsense\r\n\r\n":                                                    400,
		"GET  / HTTP/1.1\r\n\r\n":                                             400,
		"GET / HTTP/2.0\r\n\r\n":                                              505,
		"POST / HTTP/1.1\r\nno colon\r\n\r\n":                                 400,
		"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n":                       400,
		"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab": 400,
		"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n":            400,
		"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n":                                             501,
		"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n":                                               413,
		"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n":                                413,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n":                               413,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n":                    413,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n":                                    400,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n":                              400,
		"GET /" + strings.Repeat("a", 1<<20):                                                             431,
		"GET / HTTP/1.1\r\nA: " + strings.Repeat("a", 1<<20) + "\r\n\r\n":                                431,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("a: b\r\n", 1<<14): 431,
	} {
		e := (*Error)(nil)
		if err := request([]byte(in)); !errors.As(err, &e) || e.Status != want {
			t.Errorf("%.60q: %v, want %d", in, err, want)
		}
	}
}

// serve starts a server whose requests wait for the test on a channel.
func serve(t *testing.T) (addr string, s *Server, began, finish chan struct{}, closed func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	began, finish = make(chan struct{}, 10), make(chan struct{}, 10)
	s = New(l.(*net.TCPListener), func(r *Request, gone <-chan struct{}) *Response {
		began <- struct{}{}
		select {
		case <-finish:
			return Text(200, "done")
		case <-gone:
			finish <- struct{}{}
			return nil
		}
	}, 10, slog.New(slog.DiscardHandler))
	served := make(chan struct{})
	go func() { s.Serve(); close(served) }()
	return l.Addr().String(), s, began, finish, func() { l.Close(); <-served; s.Wait() }
}

func dial(t *testing.T, addr string) (net.Conn, *Reader) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(30 * time.Second))
	return c, NewReader(c)
}

// A drain answers the accepted requests, says that the connection closes, and closes idle ones.
func TestDrain(t *testing.T) {
	addr, s, began, finish, closed := serve(t)
	idle, idleReader := dial(t, addr)
	io.WriteString(idle, post)
	<-began
	finish <- struct{}{}
	if p, err := idleReader.Response(); err != nil || p.Close {
		t.Fatalf("%+v %v", p, err)
	}
	busy, busyReader := dial(t, addr)
	io.WriteString(busy, post)
	<-began
	s.Drain(time.Minute)
	if err := idleReader.Await(); err == nil {
		t.Error("the idle connection was kept")
	}
	finish <- struct{}{}
	if p, err := busyReader.Response(); err != nil || p.Status != 200 || !p.Close {
		t.Errorf("%+v %v", p, err)
	}
	late, lateReader := dial(t, addr) // still accepted
	io.WriteString(late, post)
	<-began
	finish <- struct{}{}
	if p, err := lateReader.Response(); err != nil || p.Status != 200 || !p.Close {
		t.Errorf("%+v %v", p, err)
	}
	closed()
}

// Connections in the backlog when a drain's time is over are still served: closing the listener would reset them, and
// their requests have been sent.
func TestDrainServesBacklog(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(l.(*net.TCPListener), func(*Request, <-chan struct{}) *Response { return Text(200, "done") }, 10, slog.New(slog.DiscardHandler))
	c, r := dial(t, l.Addr().String())
	io.WriteString(c, post)
	s.Drain(0)
	s.Serve()
	if p, err := r.Response(); err != nil || p.Status != 200 {
		t.Errorf("%+v %v", p, err)
	}
	s.Wait()
}

// A panic in a front fails its own request only.
func TestHandlerPanic(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(l.(*net.TCPListener), func(*Request, <-chan struct{}) *Response { panic("fault") }, 10, slog.New(slog.DiscardHandler))
	go s.Serve()
	defer l.Close()
	for range 2 {
		c, r := dial(t, l.Addr().String())
		io.WriteString(c, post)
		if p, err := r.Response(); err != nil || p.Status != 500 {
			t.Errorf("%+v %v", p, err)
		}
	}
}

// A client that expects 100 Continue gets it.
func TestExpectContinue(t *testing.T) {
	addr, _, began, finish, closed := serve(t)
	c, r := dial(t, addr)
	head, body, _ := strings.Cut(post, "\r\n\r\n")
	io.WriteString(c, head+"\r\nExpect: 100-continue\r\n\r\n")
	line := make([]byte, len("HTTP/1.1 100 Continue\r\n\r\n"))
	if _, err := io.ReadFull(c, line); err != nil || string(line) != "HTTP/1.1 100 Continue\r\n\r\n" {
		t.Fatalf("%q %v", line, err)
	}
	io.WriteString(c, body)
	<-began
	finish <- struct{}{}
	if p, err := r.Response(); err != nil || p.Status != 200 {
		t.Errorf("%+v %v", p, err)
	}
	c.Close()
	closed()
}

// A client that disconnects while its request is being answered is noticed.
func TestClientDisconnects(t *testing.T) {
	addr, _, began, finish, closed := serve(t)
	c, _ := dial(t, addr)
	io.WriteString(c, post)
	<-began
	c.Close()
	<-finish
	closed()
}

// Bad input is answered, not just dropped, though the client still sends.
func TestBadRequestAnswered(t *testing.T) {
	addr, _, _, _, closed := serve(t)
	c, r := dial(t, addr)
	io.WriteString(c, "POST / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n"+strings.Repeat("x", 70000))
	p, err := r.Response()
	if err != nil || p.Status != 413 || !p.Close {
		t.Errorf("%+v %v", p, err)
	}
	c.Close()
	closed()
}

// Connections beyond the bound are answered with 503 and a time to retry after.
func TestTooManyConnections(t *testing.T) {
	addr, s, began, finish, closed := serve(t)
	var held []net.Conn
	for range s.MaxConns {
		c, _ := dial(t, addr)
		io.WriteString(c, post)
		<-began
		held = append(held, c)
	}
	c, r := dial(t, addr)
	io.WriteString(c, post)
	if p, err := r.Response(); err != nil || p.Status != 503 || p.Header.Get("Retry-After") == "" {
		t.Errorf("%+v %v", p, err)
	}
	for range held {
		finish <- struct{}{}
	}
	for _, c := range held {
		c.Close()
	}
	closed()
}

// A client that sends nothing, one that stops within its header and one that was served once and stays do not keep their
// connections: the first is closed, the second answered with a reason, the third closed.
func TestSilentClients(t *testing.T) {
	addr, _, began, finish, closed := serve(t)
	_, silent := dial(t, addr)
	half, halfReader := dial(t, addr)
	io.WriteString(half, post[:40])
	once, onceReader := dial(t, addr)
	io.WriteString(once, post)
	<-began
	finish <- struct{}{}
	if p, err := onceReader.Response(); err != nil || p.Status != 200 {
		t.Errorf("%+v %v", p, err)
	}
	if err := silent.Await(); !errors.Is(err, io.EOF) {
		t.Errorf("silent: %v", err)
	}
	if p, err := halfReader.Response(); err != nil || p.Status != 408 || !p.Close {
		t.Errorf("half a request: %+v %v", p, err)
	}
	if err := onceReader.Await(); !errors.Is(err, io.EOF) {
		t.Errorf("asked once: %v", err)
	}
	half.Close()
	closed()
}

// Hundreds that connect and send nothing keep out neither a new request nor one being answered.
func TestFloodOfSilentClients(t *testing.T) {
	addr, s, began, finish, closed := serve(t)
	first, firstReader := dial(t, addr)
	io.WriteString(first, post)
	<-began
	for range 10 * s.MaxConns {
		dial(t, addr)
	}
	last, lastReader := dial(t, addr)
	io.WriteString(last, post)
	<-began
	finish <- struct{}{}
	finish <- struct{}{}
	for _, r := range []*Reader{firstReader, lastReader} {
		if p, err := r.Response(); err != nil || p.Status != 200 {
			t.Errorf("%+v %v", p, err)
		}
	}
	closed()
}

// A body that is announced and not sent holds no buffer; one beyond the bound is rejected.
func TestBodies(t *testing.T) {
	r := NewReader(strings.NewReader(post + post))
	r.Bodies = make(chan struct{}, 1)
	q, err := r.Request()
	if err != nil || len(r.Bodies) != 1 {
		t.Fatalf("%v, %d held", err, len(r.Bodies))
	}
	if _, err := r.Request(); !errors.Is(err, errBodies) {
		t.Errorf("a second body: %v", err)
	}
	q.Release()
	rest, write := io.Pipe()
	half := NewReader(rest)
	half.Bodies = r.Bodies
	go func() {
		io.WriteString(write, post[:len(post)-2])
		write.CloseWithError(errTooSlow)
	}()
	if _, err := half.Request(); !errors.Is(err, errTooSlow) || len(r.Bodies) != 0 {
		t.Errorf("%v, %d held", err, len(r.Bodies))
	}
}

// Clients that were served once and stay hold connections that others need, long before ours run out: beyond a number,
// each new connection closes the one that has been idle longest, and none with a request.
func TestStayingClients(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(l.(*net.TCPListener), func(*Request, <-chan struct{}) *Response { return Text(200, "done") }, 100, slog.New(slog.DiscardHandler))
	s.SoftMaxConns = 2
	for i := range 3 {
		c := &conn{nc: mustPipe(t), served: true, activeAt: time.Now().Add(time.Duration(i)*time.Second - time.Hour)}
		s.conns[c] = struct{}{}
	}
	busy := &conn{nc: mustPipe(t), served: true, pending: 1, activeAt: time.Now().Add(-2 * time.Hour)}
	s.conns[busy] = struct{}{}
	go s.Serve()
	for want := range 3 {
		c, r := dial(t, l.Addr().String())
		io.WriteString(c, post)
		if p, err := r.Response(); err != nil || p.Status != 200 {
			t.Errorf("%+v %v", p, err)
		}
		s.mu.Lock()
		rested := 0
		for c := range s.conns {
			if time.Since(c.activeAt) > time.Minute && c != busy {
				rested++
			}
		}
		if _, ok := s.conns[busy]; rested != 2-want || !ok {
			t.Errorf("%d that rest are kept after %d new ones; the busy one %v", rested, want+1, ok)
		}
		s.mu.Unlock()
	}
	l.Close()
}

func mustPipe(t *testing.T) net.Conn {
	t.Helper()
	c, there := net.Pipe()
	t.Cleanup(func() { there.Close() })
	return c
}
