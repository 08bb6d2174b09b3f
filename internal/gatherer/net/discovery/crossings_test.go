package discovery

import (
	"io"
	"net"
	"testing"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/net/http1"
	"pulleygw.example/pulleygw/internal/gatherer/testbed"
)

func ready(name string) string { return testbed.Host(name, "127.0.0.1:1", "a", 0, "ready") }

func draining() string { return testbed.Host("s", "127.0.0.1:1", "a", 0, "draining") }

// nextCall accepts the agent's next call, and returns its connection unanswered.
func nextCall(t *testing.T, l net.Listener) (*net.TCPConn, *http1.Request) {
	t.Helper()
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return nc.(*net.TCPConn), next(t, nc)
}

func next(t *testing.T, nc net.Conn) *http1.Request {
	t.Helper()
	q, err := http1.NewReader(nc).Request()
	if err != nil {
		t.Fatal(err)
	}
	return q
}

func list(seq int, hosts ...string) string {
	return string(http1.AppendResponse(nil, testbed.JSON(200, testbed.List(seq, hosts...))))
}

// A list of an older version than the last one is ignored, whatever it says, full or not, and the watch is repeated from
// the last version.
func TestVersionNeverGoesBack(t *testing.T) {
	for _, old := range []string{testbed.List(7, draining()), `{"seq":7,"whole":false,"hosts":[` + draining() + `]}`} {
		l := testbed.Listen(t)
		updates, stop := watchAddr(t, l.Addr().String(), 2, false)
		nc, _ := nextCall(t, l)
		io.WriteString(nc, list(9, ready("s")))
		if q := next(t, nc).Query; q != "since=9&timeout_ms=2000" {
			t.Errorf("asked %q", q)
		}
		nc.Write(http1.AppendResponse(nil, testbed.JSON(200, old)))
		if _, q := nextCall(t, l); q.Query != "since=9&timeout_ms=2000" {
			t.Errorf("behind an older version, asked %q", q.Query)
		}
		stop()
		if n := len(updates); n != 1 || (<-updates).Servers[0].State != decision.Ready {
			t.Errorf("got %d lists, want the newer one alone", n)
		}
	}
}

// A watch that is reset, also within an answer, is repeated at once and reports what is new then; the partial answer is
// not reported.
func TestResetWithinUpdate(t *testing.T) {
	answer := list(8, ready("half"))
	for _, sent := range []int{0, 20, len(answer) - 1} {
		l := testbed.Listen(t)
		updates, stop := watchAddr(t, l.Addr().String(), 2, false)
		nc, _ := nextCall(t, l)
		io.WriteString(nc, answer[:sent])
		nc.SetLinger(0)
		nc.Close()
		nc, q := nextCall(t, l)
		if q.Query != "since=3&timeout_ms=2000" {
			t.Errorf("asked %q behind a reset", q.Query)
		}
		io.WriteString(nc, list(9, draining()))
		next(t, nc)
		stop()
		if n := len(updates); n != 1 || (<-updates).Servers[0].Name != "s" {
			t.Errorf("%d bytes, then a reset: got %d lists", sent, n)
		}
	}
}

// Discovery that is down is asked again until it is back, from the last version.
func TestDownAndBack(t *testing.T) {
	l := testbed.Listen(t)
	l.Close()
	updates, _ := watchAddr(t, l.Addr().String(), 2, false)
	again, err := net.Listen("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	nc, q := nextCall(t, again)
	if q.Query != "since=3&timeout_ms=2000" {
		t.Errorf("asked %q", q.Query)
	}
	io.WriteString(nc, list(4, draining()))
	if got := <-updates; len(got.Servers) != 1 || got.Servers[0].State != decision.Draining {
		t.Errorf("got %+v", got)
	}
}

// What is still in flight for a stopped watch, as when a new configuration moves discovery, is not reported after it has
// ended: nothing of the old address can follow the new one's list.
func TestStoppedWatchReportsNothing(t *testing.T) {
	answer := list(9, draining())
	for _, sent := range []int{0, 20, len(answer) - 1} {
		l := testbed.Listen(t)
		updates, stop := watchAddr(t, l.Addr().String(), 2, false)
		nc, _ := nextCall(t, l)
		io.WriteString(nc, answer[:sent])
		stop()
		io.WriteString(nc, answer[sent:])
		if len(updates) > 0 {
			t.Errorf("%d bytes before its end: got %+v", sent, <-updates)
		}
	}
}
