package lifecycle

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/net/http1"
	"pulleygw.example/pulleygw/internal/gatherer/testbed"
)

// operator makes an operator's call and returns the first word of the answer.
func operator(t *testing.T, d *Daemon, line string) string {
	t.Helper()
	nc, err := net.Dial("tcp", d.admin.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	fmt.Fprintln(nc, line)
	b, err := io.ReadAll(nc)
	if err != nil || len(b) < 4 {
		t.Fatalf("%s: %q %v", line, b, err)
	}
	return string(b[:3])
}

// keptConn is a client's keep-alive connection.
type keptConn struct {
	net.Conn
	r *http1.Reader
}

func dialKept(t *testing.T, addr string) *keptConn {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return &keptConn{nc, http1.NewReader(nc)}
}

func (c *keptConn) get(t *testing.T, path string) *http1.Response {
	t.Helper()
	c.Write(http1.AppendRequest(nil, "GET", path, "x", nil, nil))
	p, err := c.r.Response()
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// LAMEDUCK: not ready at once, the next answer closes its connection, an idle connection is closed, and new ones are still
// served. REJOIN undoes all of it. A detached lot store gets nothing until it is attached.
func TestOperatorCalls(t *testing.T) {
	w := startConfig(t, "frames", nil, func(c *Config) { c.Admin = "127.0.0.1:0" })
	want := func(line, code string) {
		t.Helper()
		if got := operator(t, w.Daemon, line); got != code {
			t.Errorf("%s: %s", line, got)
		}
	}
	addr := w.Addrs()[0]
	used, idle := dialKept(t, addr), dialKept(t, addr)
	used.get(t, "/-/ready")
	idle.get(t, "/-/ready")
	want("PING", "200")
	want("LAMEDUCK", "200")
	want("LAMEDUCK", "200")
	want("PING", "400")
	if p := used.get(t, "/-/ready"); p.Status != 503 || !p.Close {
		t.Errorf("lame duck: %d, close %v", p.Status, p.Close)
	}
	if idle.r.Await() == nil {
		t.Error("an idle connection receives something")
	}
	if p := dialKept(t, addr).get(t, "/-/healthy"); p.Status != 200 || !p.Close {
		t.Errorf("a new connection: %d, close %v", p.Status, p.Close)
	}
	want("REJOIN", "200")
	want("PING", "200")
	back := dialKept(t, addr)
	for range 2 {
		if p := back.get(t, "/-/ready"); p.Status != 200 || p.Close {
			t.Errorf("back: %d, close %v", p.Status, p.Close)
		}
	}

	want("DETACH s-99", "400")
	want("DETACH s-0", "200")
	want("DETACH s-1", "200")
	if a := w.platform(t, 1, recorded{Shards: []int{0}}); !strings.HasPrefix(a.kind, "refused") {
		t.Errorf("with both of its lot stores detached a shard is %s", a.kind)
	}
	want("ATTACH s-0", "200")
	if a := w.platform(t, 2, recorded{Shards: []int{0}, TimeoutMs: 30000}); a.kind != "answered whole" {
		t.Errorf("with one attached again a shard is %s", a.kind)
	}
	want("ATTACH s-99", "400")
}

// On SIGTERM with an inherited socket the successor accepts new connections: this process stops accepting at once, leaves
// an idle connection open for a request on the way, answers it with close, and gives the request that no lot store answers
// its final answer in time. The socket itself stays open.
func TestInheritedSocketDrain(t *testing.T) {
	l := testbed.Listen(t).(*net.TCPListener)
	t.Setenv("TMPDIR", t.TempDir())
	w := startConfig(t, "frames", nil, func(c *Config) { c.Inherited = descriptor(t, l) })
	c := dialKept(t, l.Addr().String())
	c.get(t, "/-/ready")
	w.script.Set(map[int][]testbed.End{3: {testbed.NoAnswer, testbed.NoAnswer, testbed.NoAnswer, testbed.NoAnswer}})
	slow := dialKept(t, l.Addr().String())
	body := `{"buckets":[{"bucket":3,"part":1}],"body":"x"}`
	slow.Write(http1.AppendRequest(nil, "POST", "/place-bid", "x", map[string][]string{"Req-Id": {"b"}, "Req-Deadline": {"30000m"}, "Idempotency-Key": {"k"}}, []byte(body)))
	for len(w.script.Attempts()) == 0 {
		time.Sleep(time.Millisecond)
	}
	drained := make(chan struct{})
	go func() { w.Drain(); close(drained) }()
	for !w.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	if p := c.get(t, "/-/ready"); p.Status != 503 || !p.Close {
		t.Errorf("a request on the way: %d, close %v", p.Status, p.Close)
	}
	if p, err := slow.r.Response(); err != nil || p.Status != 502 {
		t.Errorf("the last answer: %+v %v", p, err)
	}
	<-drained
	nc, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	if got, err := l.Accept(); err != nil {
		t.Error(err)
	} else {
		got.Close()
	}
	_, _ = bufio.NewReader(nc).ReadByte() // the end of the connection, whichever way
}

// Guards against a request that comes late in a shutdown and has no answer when the process is killed: its body takes until
// after the SIGTERM, its client would wait for half a minute, and no lot store answers.
func TestDrainAnswersEveryRequestBeforeTheProcessIsKilled(t *testing.T) {
	w := start(t, "frames")
	w.script.Set(map[int][]testbed.End{3: {testbed.NoAnswer, testbed.NoAnswer, testbed.NoAnswer, testbed.NoAnswer}})
	c := dialKept(t, w.Addrs()[0])
	body := `{"buckets":[{"bucket":3,"part":1}],"body":"x"}`
	request := http1.AppendRequest(nil, "POST", "/place-bid", "x", map[string][]string{"Req-Id": {"b"}, "Req-Deadline": {"30000m"}, "Idempotency-Key": {"k"}}, []byte(body))
	c.Write(request[:len(request)-1])
	drained := make(chan struct{})
	go func() { w.Drain(); close(drained) }()
	for !w.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	c.Write(request[len(request)-1:])
	if p, err := c.r.Response(); err != nil || p.Status != 502 || !p.Close {
		t.Errorf("the last answer: %+v %v", p, err)
	}
	<-drained
}

// A descriptor that is no listening socket is an error that names the setting.
func TestInheritedSocketInvalid(t *testing.T) {
	_, err := LoadConfig("../../../examples/config.json", func(k string) string { return map[string]string{"LB_INHERITED_FD": "4x"}[k] })
	if err == nil || !strings.Contains(err.Error(), "LB_INHERITED_FD") {
		t.Errorf("%v", err)
	}
	c, err := LoadConfig("../../../examples/config.json", noEnv)
	if err != nil {
		t.Fatal(err)
	}
	c.Inherited = 1 << 20
	if _, err := Start(c, nil, nil, slog.New(slog.DiscardHandler)); err == nil || !strings.Contains(err.Error(), "LB_INHERITED_FD") {
		t.Errorf("%v", err)
	}
}
