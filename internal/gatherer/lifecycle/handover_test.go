package lifecycle

import (
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/net/handover"
	"pulleygw.example/pulleygw/internal/gatherer/testbed"
)

// descriptor is a new descriptor of a listening socket, as a process inherits it.
func descriptor(t *testing.T, l *net.TCPListener) int {
	t.Helper()
	f, err := l.File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	fd, err := syscall.Dup(int(f.Fd())) // whoever inherits it closes it, and no finalizer may do so again
	if err != nil {
		t.Fatal(err)
	}
	return fd
}

// until waits until done returns true.
func until(done func() bool) {
	for !done() {
		time.Sleep(time.Millisecond)
	}
}

// A successor starts with the bans, the drain state, the server list and the records. A call to either then applies to
// both. While there are two, each has half of the limits; the one that remains has all of them.
func TestSuccessor(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	l := testbed.Listen(t).(*net.TCPListener)
	old := startConfig(t, "frames", nil, func(c *Config) { c.Inherited, c.Admin = descriptor(t, l), "127.0.0.1:0" })
	if a := old.platform(t, 1, recorded{Shards: []int{4, 8}}); a.kind != "answered whole" {
		t.Fatal(a.kind)
	}
	operator(t, old.Daemon, "DETACH s-0")
	operator(t, old.Daemon, "DETACH s-1")
	operator(t, old.Daemon, "LAMEDUCK")
	begin := func() *Daemon {
		c := old.config
		c.Inherited, c.Known.Servers = descriptor(t, l), nil
		d, err := Start(c, &FrontConfig{Listen: "127.0.0.1:0", Indices: map[string]string{"lots": "lot-search"}}, nil, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(d.Drain)
		return d
	}
	limit := func(d *Daemon) int {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.conns(1)
	}
	young := begin()
	if got := operator(t, young, "PING"); got != "400" {
		t.Errorf("a successor of one that drains says %s", got)
	}
	until(func() bool { return len(young.core.Snapshot().Records) > 0 }) // its module has made its first step
	if s := young.core.Snapshot(); len(s.Detached) != 2 || len(s.Records) != 12 || len(s.Servers) != 12 {
		t.Errorf("%d out, %d records, %d lot stores", len(s.Detached), len(s.Records), len(s.Servers))
	}
	if a, b := limit(old.Daemon), limit(young); a != 460 || b != 460 {
		t.Errorf("limits %d and %d of 1024", a, b)
	}
	if operator(t, old.Daemon, "REJOIN") != "200" || operator(t, young, "PING") != "200" {
		t.Error("a call to the old one does not bind its successor")
	}
	if p := do(t, young.Addrs()[1], "GET", "/lots/_search?preference=_shards:0", nil, ""); p.Status != 429 {
		t.Errorf("a shard whose lot stores are out: %d", p.Status)
	}
	operator(t, young, "ATTACH s-0")
	if s := old.core.Snapshot(); len(s.Detached) != 1 || s.AttachedAt["s-0"].IsZero() {
		t.Errorf("a call to the successor does not bind the old one: %v %v", s.Detached, s.AttachedAt)
	}

	young.Drain() // as if it died: the old one serves on, and welcomes another
	until(func() bool { return limit(old.Daemon) == 1024 })
	if a := old.platform(t, 2, recorded{Shards: []int{4}}); a.kind != "answered whole" {
		t.Error(a.kind)
	}
	until(func() bool {
		young = begin()
		return len(young.core.Snapshot().Detached) == 1 // the name leads to the old one again
	})
	old.Drain()
	until(func() bool { return limit(young) == 1024 })
	if p := do(t, l.Addr().String(), "GET", "/-/ready", nil, ""); p.Status != 200 {
		t.Errorf("the successor alone: %d", p.Status)
	}
}

// A stale or corrupt file in place of the socket never prevents a start.
func TestStaleHandover(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	if err := os.WriteFile(os.TempDir()+"/pulleygw-n1.sock", []byte(`{"kind":"sta`), 0o600); err != nil {
		t.Fatal(err)
	}
	l := testbed.Listen(t).(*net.TCPListener)
	w := startConfig(t, "frames", nil, func(c *Config) { c.Inherited = descriptor(t, l) })
	if p := dialKept(t, l.Addr().String()).get(t, "/-/ready"); p.Status != 200 {
		t.Errorf("%d", p.Status)
	}
	w.Drain()
	if _, err := w.snapshot(&handover.State{Hosts: []byte("{}")}); err == nil || !strings.Contains(err.Error(), "list") {
		t.Errorf("an empty state is taken: %v", err)
	}
}

// A successor that fails before, in or after its hello leaves the old process with all limits, and the name leads there
// again. A reload of the old one while there is a successor does not affect their link.
func TestSuccessorFails(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	l := testbed.Listen(t).(*net.TCPListener)
	old := startConfig(t, "frames", nil, func(c *Config) { c.Inherited = descriptor(t, l) })
	limit := func() int {
		old.mu.Lock()
		defer old.mu.Unlock()
		return old.conns(1)
	}
	hello := string(handover.Message{Kind: handover.Hello}.Append(nil))
	for _, sent := range []string{"", hello[:5], hello} {
		var nc net.Conn
		until(func() (is bool) { // a moment passes before the name leads here again
			var err error
			nc, err = net.Dial("unix", old.path())
			return err == nil
		})
		io.WriteString(nc, sent)
		if sent == hello {
			until(func() bool { return limit() < 1024 })
		}
		nc.Close()
		until(func() bool { return limit() == 1024 })
	}
	var link *handover.Link
	until(func() (is bool) {
		var err error
		link, _, err = handover.Connect(old.path())
		return err == nil
	})
	defer link.Close()
	other := testbed.Listen(t)
	go testbed.Discovery(other, testbed.List(1))
	text, err := os.ReadFile(old.file)
	if err != nil {
		t.Fatal(err)
	}
	old.Reload(write(t, strings.Replace(string(text), old.config.Discovery, other.Addr().String(), 1)))
	go link.Serve(func(handover.Message) {})
	if err := link.Call(handover.Message{Verb: "LAMEDUCK", AtMs: 1}); err != nil || !old.lameDuck.Load() {
		t.Errorf("a call behind a reload: %v, sent away %v", err, old.lameDuck.Load())
	}
	if old.config.Discovery != other.Addr().String() {
		t.Error("the reload is not in force")
	}
}
