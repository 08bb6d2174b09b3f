package frames

import (
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/gather"
	"pulleygw.example/pulleygw/internal/gatherer/mem"
	"pulleygw.example/pulleygw/internal/gatherer/testbed"
	"pulleygw.example/pulleygw/internal/shared/peek"
)

// connect queues nothing on a connection to a listener, whose reader and writer the test replaces, and returns the other
// side of it.
func connect(t *testing.T, tr *Transport, l net.Listener) (*conn, *net.TCPConn) {
	t.Helper()
	here, there := testbed.Pair(t, l)
	tr.connCount++
	return parked(tr, here), there
}

// awaitPeerClose waits until the close of the other side has arrived, which nobody has read yet.
func awaitPeerClose(c *conn) {
	for ended := false; !ended; {
		_, ended = peek.Status(c.nc)
	}
}

// A lot store closes an idle connection as a call is about to be written to it: the call is sent on another connection,
// whoever sees the close first, and what its client cancelled meanwhile is not. On a connection that has served nothing
// the call ends as not connected, or a lot store that closes each connection at once would be dialled for ever.
func TestIdleCloseCrossesCall(t *testing.T) {
	for name, x := range map[string]struct {
		reset, served, reader bool
	}{
		"writer sees the end":   {served: true},
		"writer sees a reset":   {served: true, reset: true},
		"reader sees the end":   {served: true, reader: true},
		"closed before serving": {reader: true},
	} {
		l := testbed.Listen(t)
		tr, r := transport(l.Addr().String(), time.Minute)
		c, there := connect(t, tr, l)
		c.served = x.served
		if x.reset {
			there.SetLinger(0)
		}
		there.Close()
		awaitPeerClose(c)
		script := &testbed.Script{}
		go testbed.Frames(l, script)
		list := attempts(2)
		tr.Call(1, list)
		tr.Cancel(list[1])
		r.want(t, 1, decision.Cancelled)
		err := io.EOF
		if !x.reader {
			if _, e := c.write(); e != nil {
				err = e
			}
		}
		c.fail(err) // as its writer or its reader does
		want := decision.OK
		if !x.served {
			want = decision.ConnectFailed
		}
		r.want(t, 1, want)
		if n := script.Attempts()[1]; n > 0 {
			t.Errorf("%s: a part given up was sent %d times", name, n)
		}
	}
}

// A lot store that is replaced or restarts at the same address closes nothing if its machine vanished: connections to it
// look healthy and lead nowhere. Once the list has the new start, no subquery goes there; a connection opened since
// stays, and what is in flight on an old one is waited for.
func TestReplacedAtTheSameAddress(t *testing.T) {
	l := testbed.Listen(t)
	tr, r := transport(l.Addr().String(), time.Minute)
	idle, _ := connect(t, tr, l)
	busy, _ := connect(t, tr, l)
	list := attempts(2)
	busy.inFlight["q.0"], busy.load, tr.byAttempt[list[0]] = &entry{a: list[0], written: time.Now()}, 1, busy
	started := mem.Server{ID: 1, Addr: l.Addr().String(), State: decision.Ready, Started: time.Now()}
	young, _ := connect(t, tr, l)
	young.connectedAt = started.Started.Add(time.Microsecond)
	tr.Servers([]mem.Server{started})
	if !idle.removed || busy.removed || busy.Ready() != 0 || young.removed || young.Ready() == 0 {
		t.Errorf("idle one closed %v, busy one closed %v, fit %v, young one closed %v, fit %v",
			idle.removed, busy.removed, busy.Ready() != 0, young.removed, young.Ready() != 0)
	}
	tr.Call(1, list[1:])
	if tr.byAttempt[list[1]] != young {
		t.Error("a part goes to the process before")
	}
	if err := busy.receive('E', []byte("q.0 hit 7 -\nv")); err != nil {
		t.Error(err)
	}
	r.want(t, 1, decision.OK)
}

// A write to a lot store that does not read cannot be cancelled when the store drains or a client disconnects, and must
// not end past a deduplication window: it times out in time for each of these, and its frame was never complete.
func TestBlockedWriteTimesOut(t *testing.T) {
	now := time.Now()
	for name, x := range map[string]struct {
		writeFor      time.Duration
		now, notAfter time.Time
	}{
		"a drain is told": {20 * time.Millisecond, now, time.Time{}},
		"a window ends":   {2 * time.Hour, now.Add(-time.Hour), now}, // chosen in time, and written until then
	} {
		l := testbed.Listen(t)
		tr, r := transport(l.Addr().String(), time.Minute)
		tr.ConnectTimeout, tr.WriteFor = time.Hour, x.writeFor
		c, there := connect(t, tr, l)
		c.nc.(*net.TCPConn).SetWriteBuffer(4 << 10)
		if err := there.SetReadBuffer(4 << 10); err != nil {
			t.Fatal(err)
		}
		list := attempts(1)
		list[0].Text, list[0].NotAfter = make([]byte, 4<<20), x.notAfter
		tr.Call(1, list)
		ended := make(chan error, 1)
		tr.mu.Lock()
		call := c.queue[0]
		c.queue = nil
		go func() { ended <- c.writeCall(call, x.now) }() // it has the lock, and gives it back
		for begun := false; !begun; {
			tr.mu.Lock()
			begun = len(c.inFlight) > 0 || len(ended) > 0
			tr.mu.Unlock()
		}
		tr.Servers([]mem.Server{{ID: 1, Addr: l.Addr().String(), State: decision.Draining}})
		select {
		case err := <-ended:
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("%s: the write ended with %v", name, err)
			}
			c.fail(err)
		case <-time.After(20 * time.Second):
			t.Fatalf("%s: the write goes on", name)
		}
		r.want(t, 1, decision.ConnectFailed)
		if n, _ := io.Copy(io.Discard, there); n >= 4<<20 {
			t.Errorf("%s: the frame came whole", name)
		}
	}
}

// How an answer is truncated decides how its attempts end: after a close or a reset they may have run, and the network is
// at fault; an answer that never ends, or is too large, is the store's fault. A subquery answered before it is done.
func TestTruncatedAnswer(t *testing.T) {
	whole := string(testbed.Frame('E', "q.0 hit 7 -\nv"))
	half := string(testbed.Frame('E', "q.1 hit 7 -\nvalue"))
	half = half[:len(half)-3]
	for name, x := range map[string]struct {
		send string
		end  func(there *net.TCPConn)
		want decision.Status
	}{
		"half a line, then its end": {whole + half, func(c *net.TCPConn) { c.CloseWrite() }, decision.Reset},
		"half a head, then its end": {whole + half[:3], func(c *net.TCPConn) { c.CloseWrite() }, decision.Reset},
		"half a line, then a reset": {whole + half, func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, decision.Reset},
		"half a line for ever":      {whole + half, func(*net.TCPConn) {}, decision.Error},
		"a line without bound":      {whole + "\xff\xff\xff\x7fEq.1 hit", func(*net.TCPConn) {}, decision.Error},
	} {
		l := testbed.Listen(t)
		tr, r := transport(l.Addr().String(), time.Minute)
		tr.Call(1, attempts(2))
		nc, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		io.ReadFull(nc, make([]byte, 5))
		io.WriteString(nc, x.send[:len(whole)])
		r.want(t, 1, decision.OK)
		io.WriteString(nc, x.send[len(whole):])
		x.end(nc.(*net.TCPConn))
		if got := <-r.ch; got.a.Shard != 1 || got.s != x.want {
			t.Errorf("%s: shard %d ends as %v, want %v", name, got.a.Shard, got.s, x.want)
		}
		nc.Close()
	}
}

// A connection that breaks while a frame is written never sent its last byte: its attempts did not run, while those
// written completely before may have, however long ago.
func TestResetWithinWrite(t *testing.T) {
	l := testbed.Listen(t)
	tr, r := transport(l.Addr().String(), time.Minute)
	tr.WriteFor = time.Hour
	c, there := connect(t, tr, l)
	c.nc.(*net.TCPConn).SetWriteBuffer(4 << 10)
	if err := there.SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	list := attempts(2)
	tr.Call(1, list[:1])
	if _, err := c.write(); err != nil {
		t.Fatal(err)
	}
	list[1].Text = make([]byte, 4<<20)
	tr.mu.Lock()
	c.queue, c.load, tr.byAttempt[list[1]] = [][]*gather.Attempt{list[1:]}, 2, c // it shares the connection
	tr.mu.Unlock()
	ended := make(chan error, 1)
	go func() { _, err := c.write(); ended <- err }()
	io.ReadFull(there, make([]byte, 8<<10)) // the second frame has begun
	there.SetLinger(0)
	there.Close()
	c.fail(<-ended)
	got := map[int]decision.Status{}
	for range 2 {
		x := <-r.ch
		got[x.a.Shard] = x.s
	}
	if got[0] != decision.Reset || got[1] != decision.ConnectFailed {
		t.Errorf("written whole: %v, begun: %v", got[0], got[1])
	}
}

// A connection may be established after its attempt has ended, as its client disconnected or its store was deregistered:
// nothing of that attempt is written then, the connection serves the next one, and one to a deregistered store is closed.
func TestDialCompletesAfterCancel(t *testing.T) {
	l := testbed.Listen(t)
	for _, gone := range []bool{false, true} {
		tr, r := transport(l.Addr().String(), time.Minute)
		c := parked(tr, nil)
		c.connected = false // it is being dialled
		tr.connCount = 1
		list := attempts(2)
		tr.Call(1, list[:1])
		tr.Cancel(list[0])
		r.want(t, 1, decision.Cancelled)
		if !gone {
			tr.Call(1, list[1:])
		}
		tr.mu.Lock() // it comes up meanwhile, and its writer does not know yet
		go c.run()
		there, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if gone {
			c.remove()
		}
		tr.mu.Unlock()
		want := string(testbed.Frame('A', subqueryHeader(list[1], 0)))[headerSize:]
		want = want[:len("q.1 ")]
		b := make([]byte, headerSize+len(want))
		switch n, err := io.ReadFull(there, b); {
		case gone && (n > 0 || err == nil):
			t.Errorf("to a store that is gone: %q", b[:n])
		case !gone && (err != nil || string(b[headerSize:]) != want):
			t.Errorf("first written: %q, %v", b[:n], err)
		}
		there.Close()
		if !gone {
			r.want(t, 1, decision.Reset)
		}
	}
}

// A dial that nobody answers is cancelled when its store is deregistered and nothing waits for it: it holds a descriptor,
// which is counted as free by then.
func TestDeregistrationCancelsDial(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(name.(*syscall.SockaddrInet4).Port))
	for full := false; !full; { // of connections that nobody accepts
		nc, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
		if full = err != nil; !full {
			defer nc.Close()
		}
	}
	tr, r := transport(addr, time.Minute)
	tr.ConnectTimeout = time.Hour
	c := parked(tr, nil)
	c.connected, tr.connCount = false, 1
	list := attempts(1)
	tr.Call(1, list)
	ended := make(chan struct{})
	go func() { c.run(); close(ended) }()
	tr.Cancel(list[0])
	r.want(t, 1, decision.Cancelled)
	tr.Servers([]mem.Server{{ID: 1, Addr: addr, State: decision.Deregistered}})
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Error("it is dialled on, though its store is gone and nobody waits")
	}
}
