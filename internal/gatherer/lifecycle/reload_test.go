package lifecycle

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"pulleygw.example/pulleygw/internal/gatherer/net/http1"
	"pulleygw.example/pulleygw/internal/gatherer/testbed"
)

// agent is a discovery agent that records its requests, and never answers a watch of version 1 or later.
func agent(t *testing.T, list string) (addr string, asked chan string, left chan struct{}) {
	t.Helper()
	l := testbed.Listen(t)
	asked, left = make(chan string, 1000), make(chan struct{}, 10)
	go http1.New(l.(*net.TCPListener), func(r *http1.Request, gone <-chan struct{}) *http1.Response {
		asked <- r.Query
		if strings.HasPrefix(r.Query, "since=1&") {
			<-gone
			left <- struct{}{}
			return nil
		}
		return testbed.JSON(200, list)
	}, 10, slog.New(slog.DiscardHandler)).Serve()
	return l.Addr().String(), asked, left
}

// A reload ends the old watch and asks the address in the file, whatever the environment says, for the full list. An
// unusable file changes nothing and is logged by field.
func TestReload(t *testing.T) {
	text, err := os.ReadFile("../../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	first, asked1, left := agent(t, testbed.List(1))
	second, asked2, _ := agent(t, testbed.List(1))
	config := func(discovery string) string {
		return strings.NewReplacer("127.0.0.1:8500", discovery, "127.0.0.1:8000", "127.0.0.1:0").Replace(string(text))
	}
	env := func(name string) string { return map[string]string{"LB_DISCOVERY": first}[name] }
	c, err := LoadConfig(write(t, config("127.0.0.1:1")), env)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	d, err := Start(c, nil, nil, slog.New(slog.NewTextHandler(&out, nil)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Drain)
	<-asked1
	d.Reload(write(t, strings.Replace(config(second), `"cores": 1.0`, `"cores": 0`, 1)))
	if d.config.Discovery != first {
		t.Error("a bad file took effect")
	}
	d.Reload(write(t, strings.Replace(config(second), `"cores": 1.0`, `"cores": 2.0`, 1)))
	<-left
	if q := <-asked2; q != "" {
		t.Errorf("the new address is asked %q first, want the whole list", q)
	}
	if q := <-asked2; !strings.HasPrefix(q, "since=1&") {
		t.Errorf("then %q, want a watch", q)
	}
	d.Drain()
	for _, want := range []string{"limits.cores", "addr=" + second} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no line with %q in %q", want, out.String())
		}
	}
}

// program builds the daemon.
func program(t *testing.T) string {
	t.Helper()
	bin := t.TempDir() + "/pulleygw"
	if out, err := exec.Command("go", "build", "-o", bin, "../../../cmd/pulleygw").CombinedOutput(); err != nil {
		t.Fatal(err, string(out))
	}
	return bin
}

// run starts the daemon with additions to its environment, and returns its exit and its log.
func run(t *testing.T, config string, files []*os.File, env ...string) (cmd *exec.Cmd, ended chan error, lines *lockedBuffer) {
	t.Helper()
	cmd = exec.Command(program(t), "-config", config)
	cmd.Env, cmd.ExtraFiles = append(os.Environ(), env...), files
	lines = &lockedBuffer{}
	cmd.Stderr = lines
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended = make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	t.Cleanup(func() { _ = cmd.Process.Kill() }) // it may have ended
	return cmd, ended, lines
}

func signals(t *testing.T, cmd *exec.Cmd, list ...syscall.Signal) {
	t.Helper()
	for _, s := range list {
		if err := cmd.Process.Signal(s); err != nil {
			t.Error(err)
		}
	}
}

// The program survives SIGHUP, and a SIGTERM right behind it still drains: exit code 0.
func TestSignals(t *testing.T) {
	addr, asked, _ := agent(t, testbed.List(1))
	cmd, ended, lines := run(t, "../../../examples/config.json", nil, "LB_LISTEN=127.0.0.1:0", "LB_DISCOVERY="+addr)
	<-asked // by now it handles signals
	signals(t, cmd, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM)
	if err := <-ended; err != nil || !strings.Contains(lines.String(), "drain done") {
		t.Error(fmt.Sprint(err), lines)
	}
}

// A SIGHUP during a drain is carried out: the old address may no longer serve, and the list of the new one applies until the
// process ends. A second SIGTERM cuts nothing short.
func TestReloadWhileDraining(t *testing.T) {
	text, err := os.ReadFile("../../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	store := testbed.Listen(t)
	list := testbed.List(1, testbed.Host("s", store.Addr().String(), "cheonan", 3, "ready"))
	first, _, _ := agent(t, list)
	second, asked, _ := agent(t, list)
	listen := testbed.Listen(t)
	listen.Close() // the address is the process's
	addr := listen.Addr().String()
	file := write(t, strings.NewReplacer("127.0.0.1:8500", first, "127.0.0.1:8000", addr, `"seq": 1,`, `"seq": 0,`).Replace(string(text)))
	cmd, ended, lines := run(t, file, nil)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(lines)
		}
	})
	until(func() bool { return strings.Count(lines.String(), "event=list") > 12 }) // of the configuration's list, and of the agent's
	status := make(chan int, 1)
	go func() {
		status <- do(t, addr, "POST", "/lot-search", map[string][]string{"Req-Id": {"r"}, "Req-Deadline": {"60000m"}},
			`{"buckets":[{"bucket":3,"part":1}],"body":"x"}`).Status
	}()
	part, err := store.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer part.Close()
	call, err := bufio.NewReader(part).ReadString(' ') // a frame's head of five bytes, and the part's id
	if err != nil {
		t.Fatal(err)
	}
	signals(t, cmd, syscall.SIGTERM)
	until(func() bool { return strings.Contains(lines.String(), "drain accepts for a while") })
	if err := os.WriteFile(file, []byte(strings.Replace(string(text), "127.0.0.1:8500", second, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	signals(t, cmd, syscall.SIGHUP, syscall.SIGTERM)
	select {
	case <-asked:
	case err := <-ended:
		t.Fatal("ended with the new address not asked:", err, lines)
	}
	part.Write(testbed.Frame('E', call[5:]+"hit 7 -\nv"))
	if s := <-status; s != 200 {
		t.Errorf("what was in hand is answered %d", s)
	}
	if err := <-ended; err != nil || !strings.Contains(lines.String(), "drain done") {
		t.Error(fmt.Sprint(err), lines)
	}
}

// A SIGTERM, or two, during the start are carried out afterwards: here the process waits for a predecessor, which fails
// after half of its state.
func TestTerminateDuringStart(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	addr, _, _ := agent(t, testbed.List(1))
	clients, err := testbed.Listen(t).(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer clients.Close()
	old, err := net.Listen("unix", os.TempDir()+"/pulleygw-young.sock")
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()
	cmd, ended, lines := run(t, "../../../examples/config.json", []*os.File{clients}, "LB_INHERITED_FD=3", "LB_NAME=young", "LB_DISCOVERY="+addr)
	nc, err := old.Accept()
	if err != nil {
		t.Fatal(err)
	}
	signals(t, cmd, syscall.SIGTERM, syscall.SIGTERM)
	io.WriteString(nc, `{"kind":"state","state":{"hosts":`)
	nc.Close()
	if err := <-ended; err != nil || !strings.Contains(lines.String(), "handover no predecessor") || !strings.Contains(lines.String(), "drain done") {
		t.Error(fmt.Sprint(err), lines)
	}
}

// While discovery is down, a process is ready and serves by the list of its configuration.
func TestReadyWhileDiscoveryIsDown(t *testing.T) {
	down := testbed.Listen(t)
	down.Close()
	w := startConfig(t, "frames", nil, func(c *Config) { c.Discovery = down.Addr().String() })
	if p := do(t, w.Addrs()[0], "GET", "/-/ready", nil, ""); p.Status != 200 {
		t.Errorf("not ready: %d", p.Status)
	}
	if a := w.platform(t, 1, recorded{Shards: []int{4, 8}}); a.kind != "answered whole" {
		t.Error(a.kind)
	}
}

// After a reload a new class is served and a removed one is not, the indices of the OpenSearch-style front stay, and a file
// with any error changes neither settings nor discovery.
func TestReloadSettings(t *testing.T) {
	w := start(t, "opensearch")
	text, err := os.ReadFile(w.file)
	if err != nil {
		t.Fatal(err)
	}
	good := string(text)
	asked := 0
	ask := func(class string) int {
		asked++
		h := map[string][]string{"Req-Id": {fmt.Sprint(class, asked)}, "Req-Deadline": {"3000m"}, "Idempotency-Key": {fmt.Sprint("k", asked)}}
		return do(t, w.Addrs()[0], "POST", "/"+class, h, `{"buckets":[{"bucket":1,"part":1}],"body":"{}"}`).Status
	}
	for _, bad := range []string{"", good[:len(good)/2], strings.Replace(good, `"maxAttempts"`, `"x"`, 1),
		strings.Replace(strings.Replace(good, `"place-bid"`, `"bid-now"`, 1), `"deadlineUs": 3`, `"deadlineUs": -3`, 1)} {
		w.Reload(write(t, bad))
		if ask("bid-now") != 404 || ask("place-bid") != 200 {
			t.Errorf("a broken file changed something: %.60q", bad)
		}
	}
	w.Reload(write(t, strings.Replace(good, `"place-bid"`, `"bid-now"`, 1)))
	if a, b := ask("bid-now"), ask("place-bid"); a != 200 || b != 404 {
		t.Errorf("the new class: %d, the dropped one: %d", a, b)
	}
	if p := do(t, w.Addrs()[1], "GET", "/lots/_search", nil, ""); p.Status != 200 {
		t.Errorf("the second front: %d %s", p.Status, p.Body)
	}
}
