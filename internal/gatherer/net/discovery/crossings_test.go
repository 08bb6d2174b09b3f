package discovery

import (
	"io"
	"net"
	"testing"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/net/http1"
	"pulleygw.example/pulleygw/internal/gatherer/standin"
)

func ready(name string) string { return standin.Host(name, "127.0.0.1:1", "a", 0, "ready") }

func draining(name string) string { return standin.Host(name, "127.0.0.1:1", "a", 0, "draining") }

// ask takes the agent's next call, and returns its connection unanswered.
func ask(t *testing.T, l net.Listener) (*net.TCPConn, *http1.Request) {
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
	return string(http1.AppendResponse(nil, standin.JSON(200, standin.List(seq, hosts...))))
}

// An answer of a version older than the last one had is no news, whatever it says, whole or not: it is told to nobody, and
// the watch is made again from where it was.
func TestNeverBack(t *testing.T) {
	for _, old := range []string{standin.List(7, draining("s")), `{"seq":7,"whole":false,"hosts":[` + draining("s") + `]}`} {
		l := standin.Listen(t)
		told, stop := follow(t, l.Addr().String(), 2, false)
		nc, _ := ask(t, l)
		io.WriteString(nc, list(9, ready("s")))
		if q := next(t, nc).Query; q != "since=9&timeout_ms=2000" {
			t.Errorf("asked %q", q)
		}
		nc.Write(http1.AppendResponse(nil, standin.JSON(200, old)))
		if _, q := ask(t, l); q.Query != "since=9&timeout_ms=2000" {
			t.Errorf("behind an older version, asked %q", q.Query)
		}
		stop()
		if n := len(told); n != 1 || (<-told).Servers[0].State != decision.Ready {
			t.Errorf("told %d lists, want the newer one alone", n)
		}
	}
}

// A watch that is reset, also in the middle of an answer, is made again at once, and tells what is new then: the half
// answer is told by nobody.
func TestResetBeforeADrain(t *testing.T) {
	answer := list(8, ready("half"))
	for _, sent := range []int{0, 20, len(answer) - 1} {
		l := standin.Listen(t)
		told, stop := follow(t, l.Addr().String(), 2, false)
		nc, _ := ask(t, l)
		io.WriteString(nc, answer[:sent])
		nc.SetLinger(0)
		nc.Close()
		nc, q := ask(t, l)
		if q.Query != "since=3&timeout_ms=2000" {
			t.Errorf("asked %q behind a reset", q.Query)
		}
		io.WriteString(nc, list(9, draining("s")))
		next(t, nc)
		stop()
		if n := len(told); n != 1 || (<-told).Servers[0].Name != "s" {
			t.Errorf("%d bytes, then a reset: told %d lists", sent, n)
		}
	}
}

// Discovery that is down is asked again until it is back, from the version last had.
func TestDownAndBack(t *testing.T) {
	l := standin.Listen(t)
	l.Close()
	told, _ := follow(t, l.Addr().String(), 2, false)
	again, err := net.Listen("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	nc, q := ask(t, again)
	if q.Query != "since=3&timeout_ms=2000" {
		t.Errorf("asked %q", q.Query)
	}
	io.WriteString(nc, list(4, draining("s")))
	if got := <-told; len(got.Servers) != 1 || got.Servers[0].State != decision.Draining {
		t.Errorf("told %+v", got)
	}
}

// What is still on its way to a watch that was dropped, as a new configuration moves discovery, is told to nobody once that
// is said to have ended: nothing of the old address can follow the new one's list.
func TestDroppedWatchTellsNothing(t *testing.T) {
	answer := list(9, draining("s"))
	for _, sent := range []int{0, 20, len(answer) - 1} {
		l := standin.Listen(t)
		told, stop := follow(t, l.Addr().String(), 2, false)
		nc, _ := ask(t, l)
		io.WriteString(nc, answer[:sent])
		stop()
		io.WriteString(nc, answer[sent:])
		if len(told) > 0 {
			t.Errorf("%d bytes before its end: told %+v", sent, <-told)
		}
	}
}
