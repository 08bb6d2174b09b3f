package lifecycle

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"pulleygw.example/pulleygw/internal/net/http1"
	"pulleygw.example/pulleygw/internal/standin"
)

// agent is a discovery agent that notes what it is asked, and answers a watch of version 1 or later never.
func agent(t *testing.T, list string) (addr string, asked chan string, left chan struct{}) {
	l := standin.Listen(t)
	asked, left = make(chan string, 1000), make(chan struct{}, 10)
	go http1.New(l.(*net.TCPListener), func(r *http1.Request, gone <-chan struct{}) *http1.Response {
		asked <- r.Query
		if strings.HasPrefix(r.Query, "since=1&") {
			<-gone
			left <- struct{}{}
			return nil
		}
		return standin.JSON(200, list)
	}, 10, slog.New(slog.DiscardHandler)).Serve()
	return l.Addr().String(), asked, left
}

// A reload drops the old watch and asks the address in the file, whatever the environment says, for the
// whole list; a file that cannot be used changes nothing and is logged by field.
func TestReload(t *testing.T) {
	text, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	first, asked1, left := agent(t, standin.List(1))
	second, asked2, _ := agent(t, standin.List(1))
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

// The program outlives SIGHUP, and a SIGTERM right behind it still drains: exit code 0.
func TestSignals(t *testing.T) {
	addr, asked, _ := agent(t, standin.List(1))
	bin := t.TempDir() + "/pulleygw"
	if out, err := exec.Command("go", "build", "-o", bin, "../../cmd/pulleygw").CombinedOutput(); err != nil {
		t.Fatal(err, string(out))
	}
	cmd := exec.Command(bin, "-config", "../../examples/config.json")
	cmd.Env = append(os.Environ(), "LB_LISTEN=127.0.0.1:0", "LB_DISCOVERY="+addr)
	lines := &strings.Builder{}
	cmd.Stderr = lines
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	<-asked // by now it handles signals
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM} {
		if err := cmd.Process.Signal(s); err != nil {
			t.Error(err)
		}
	}
	if err := cmd.Wait(); err != nil || !strings.Contains(lines.String(), "drain done") {
		t.Error(fmt.Sprint(err), lines)
	}
}

// A new class is served from the reload on, a dropped one no more, the second front's indices stay, and a file that
// is broken anywhere changes neither settings nor discovery.
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
