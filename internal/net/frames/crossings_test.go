package frames

import (
	"io"
	"net"
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/mix"
	"pulleygw.example/pulleygw/internal/net/peek"
	"pulleygw.example/pulleygw/internal/standin"
)

// linked parks a connection that leads to a listener, and gives its other side. Nobody reads it or writes to it but the
// test, in the part of its goroutines.
func linked(t *testing.T, tr *Transport, l net.Listener) (*conn, *net.TCPConn) {
	t.Helper()
	here, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	there, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { here.Close(); there.Close() })
	tr.conns++
	return parked(tr, here), there.(*net.TCPConn)
}

// hungUp waits until the end of a connection's other side has come, which nobody has read yet.
func hungUp(c *conn) {
	for ended := false; !ended; {
		_, ended = peek.Look(c.nc)
	}
}

// A lot store closes a resting connection as a call is about to be written to it: the call goes on another connection,
// whoever sees the end first, and what its client gave up meanwhile does not. On one that has served nothing the call ends
// as not connected, or a lot store that closes each connection at once would be dialled for ever.
func TestIdleCloseCrossesCall(t *testing.T) {
	for name, x := range map[string]struct {
		reset, served, reader bool
	}{
		"writer sees the end":   {served: true},
		"writer sees a reset":   {served: true, reset: true},
		"reader sees the end":   {served: true, reader: true},
		"closed before serving": {reader: true},
	} {
		l := standin.Listen(t)
		tr, r := transport(l.Addr().String(), time.Minute)
		c, there := linked(t, tr, l)
		c.served = x.served
		if x.reset {
			there.SetLinger(0)
		}
		there.Close()
		hungUp(c)
		script := &standin.Script{}
		go standin.Frames(l, script)
		list := attempts(2)
		tr.Call(1, list)
		tr.Cancel(list[1])
		r.want(t, 1, mix.Cancelled)
		err := io.EOF
		if !x.reader {
			if _, e := c.write(); e != nil {
				err = e
			}
		}
		c.fail(err) // as its writer or its reader does
		want := mix.OK
		if !x.served {
			want = mix.ConnectFailed
		}
		r.want(t, 1, want)
		if n := script.Attempts()[1]; n > 0 {
			t.Errorf("%s: a part given up was sent %d times", name, n)
		}
	}
}
