package lifecycle

import (
	"fmt"
	"io"
	"net"
	"net/textproto"
	"os"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/net/http1"
	"pulleygw.example/pulleygw/internal/gatherer/proptest"
)

func write(t *testing.T, text string) string {
	t.Helper()
	file := t.TempDir() + "/file.json"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func noEnv(string) string { return "" }

// The example configuration is valid, and each invalid field is named.
func TestConfig(t *testing.T) {
	good, err := os.ReadFile("../../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	c, err := LoadConfig("../../../examples/config.json", func(k string) string { return map[string]string{"LB_NAME": "n7"}[k] })
	if err != nil || c.Name != "n7" || c.Seed != 0x8c1f30d27a5be964 || len(c.Known.Servers) != 12 {
		t.Errorf("%+v %v", c, err)
	}
	for old, x := range map[string][2]string{
		`"listen": "127.0.0.1:8000"`:    {`"listen": "nowhere"`, "listen"},
		`"discovery": "127.0.0.1:8500"`: {`"discovery": 3`, "discovery"},
		`8c1f30d27a5be964`:              {"seed", "seed"},
		`"cores": 1.0`:                  {`"cores": 0`, "limits.cores"},
		`"memory_mb": 192`:              {`"memory_mb": -1`, "limits.memory_mb"},
		`"sockets": 1024`:               {`"sockets": "many"`, "limits.sockets"},
		`"openCap": 297`:                {`"openCap": 0`, "limits.openCap"},
		`"name": "place-bid"`:           {`"name": ""`, "classes[1].name"},
		`"shards": 24`:                  {`"shards": "x"`, "Shards"},
		`"deadlineUs": 3000000, `:       {"", "classes[0].deadlineUs"},
		`"deadlineUs": 4000000`:         {`"deadlineUs": 0`, "classes[1].deadlineUs"},
		`"maxAttempts": 4, `:            {"", "limits.maxAttempts"},
		`"maxAttempts": 4`:              {`"maxAttempts": -1`, "limits.maxAttempts"},
		`"effect": "keyed"`:             {`"effect": "quick"`, "classes[1].effect"},
		`"leastShare": [0.7, 1.0]`:      {`"leastShare": [0.7]`, "familyInfo.leastShare"},
		`"health": "ready"`:             {`"health": "fine"`, "known"},
	} {
		text := strings.Replace(string(good), old, x[0], 1)
		if _, err := LoadConfig(write(t, text), noEnv); err == nil || !strings.Contains(err.Error(), x[1]) {
			t.Errorf("%s: error %v, want one that names %s", x[0], err, x[1])
		}
	}
}

func TestConfigGarbage(t *testing.T) {
	good, err := os.ReadFile("../../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	proptest.CheckParser(t, true, func(b []byte) error { _, err := LoadConfig(write(t, string(b)), noEnv); return err }, strings.TrimSpace(string(good)))
}

func TestOptionalFiles(t *testing.T) {
	c, err := LoadConfig("../../../examples/config.json", noEnv)
	if err != nil {
		t.Fatal(err)
	}
	if f, err := LoadFront("../../../examples/opensearch.json", &c.Settings); err != nil || f.Indices["bids"] != "place-bid" {
		t.Errorf("%+v %v", f, err)
	}
	if f, err := LoadFront("absent", &c.Settings); f != nil || err != nil {
		t.Errorf("%+v %v", f, err)
	}
	if o, err := LoadOperations("../../../examples/operations.json"); err != nil || len(o.Nodes) != 1 {
		t.Errorf("%+v %v", o, err)
	}
	if o, err := LoadOperations("absent"); o != nil || err != nil {
		t.Errorf("%+v %v", o, err)
	}
	for text, field := range map[string]string{
		`{`: "JSON", `{"listen":"x"}`: "listen", `{"listen":"127.0.0.1:0","indices":{}}`: "indices", `{"listen":"127.0.0.1:0","indices":{"a":"x"}}`: "indices.a",
		`{"listen":"127.0.0.1:0","indices":{"a":"lot-search","b":"lot-search"}}`:                          "indices.",
		`{"listen":"127.0.0.1:0","indices":{"a":"lot-search","b":"place-bid"},"stores":"carrier pigeon"}`: "stores",
	} {
		if _, err := LoadFront(write(t, text), &c.Settings); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v", text, err)
		}
	}
	for text, field := range map[string]string{
		`{}`: "agent_check", `{"agent_check":"127.0.0.1:0","health":"x"}`: "health",
		`{"agent_check":"127.0.0.1:0","health":"127.0.0.1:0","store":{"dir":"x"}}`: "store",
	} {
		if _, err := LoadOperations(write(t, text)); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// The balancers' state follows the drain mark in the store; the indices of the OpenSearch-style front follow the store too.
func TestOperations(t *testing.T) {
	// An address of its own: a port that is closed for a moment there is nobody else's to take.
	raft, err := net.Listen("tcp", "127.77.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	raft.Close()
	o := &OperationsConfig{AgentCheck: "127.0.0.1:0", Health: "127.0.0.1:0", Dir: t.TempDir()}
	o.Nodes = append(o.Nodes, node("n1", raft.Addr().String(), "127.0.0.1:1"))
	w := startWith(t, "frames", o)
	health, agentAddr := w.Addrs()[2], w.ops.agent.Addr().String()
	<-w.ops.store.LeaderCh()
	line := func() string {
		c, err := net.Dial("tcp", agentAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		b, _ := io.ReadAll(c)
		return string(b)
	}
	want := func(method, target, body string, status int) {
		t.Helper()
		if p := do(t, health, method, target, nil, body); p.Status != status {
			t.Errorf("%s %s: %d %s", method, target, p.Status, p.Body)
		}
	}
	if l := line(); l != "up ready 100%\n" {
		t.Errorf("agent says %q", l)
	}
	want("GET", "/readyz", "", 200)
	want("PUT", "/-/state/drain/n1", "on", 200)
	if l := line(); l != "drain\n" {
		t.Errorf("agent says %q", l)
	}
	want("GET", "/readyz", "", 503)
	want("GET", "/healthz", "", 200)
	if p := do(t, w.Addrs()[0], "GET", "/-/ready", nil, ""); p.Status != 503 {
		t.Errorf("the platform's front is ready while marked: %d", p.Status)
	}
	if a := w.openSearch(t, 1, recorded{Shards: []int{1}}); a.kind != "answered whole" {
		t.Errorf("while marked: %s", a.kind)
	}
	want("DELETE", "/-/state/drain/n1", "", 200)
	want("GET", "/readyz", "", 200)
	want("PUT", "/-/state/drain/n1", "perhaps", 400)
	want("PUT", "/-/state/anything", "on", 400)
	want("PUT", "/-/state/front/indices", `{"lots":"nothing"}`, 400)
	want("PUT", "/-/state/front/indices", `{"listings":"lot-search","bids":"place-bid"}`, 200)
	want("POST", "/-/state/front/indices", "", 405)
	want("GET", "/nowhere", "", 404)
	if p := do(t, w.Addrs()[1], "GET", "/lots/_search", nil, ""); p.Status != 404 {
		t.Errorf("the old index answers %d", p.Status)
	}
	if p := do(t, w.Addrs()[1], "GET", "/listings/_search", nil, ""); p.Status != 200 {
		t.Errorf("the new index answers %d %s", p.Status, p.Body)
	}
	if p := do(t, health, "GET", "/-/state", nil, ""); gjson.GetBytes(p.Body, "front/indices").String() == "" {
		t.Errorf("state %s", p.Body)
	}
}

// A drain under load loses nothing: each request gets its complete answer, or, where the close of an idle connection
// crossed it, is answered on a new connection. Clients open no others once the gatherer is not ready.
func TestDrainUnderLoad(t *testing.T) {
	w := start(t, "frames")
	addr := w.Addrs()[0]
	var served atomic.Int32
	enough, done := make(chan struct{}), make(chan struct{})
	ask := func(nc net.Conn, name string) (answered, anything bool) {
		body := `{"buckets":[{"bucket":1,"part":0.5},{"bucket":2,"part":0.5}],"body":"x"}`
		nc.Write(http1.AppendRequest(nil, "POST", "/lot-search", addr, textproto.MIMEHeader{"Req-Id": {name}, "Req-Deadline": {"3000m"}}, []byte(body)))
		r := http1.NewReader(nc)
		anything = r.Await() == nil
		p, err := r.Response()
		return err == nil && p.Status == 200 && !p.Close, anything
	}
	for i := range 20 {
		go func() {
			defer func() { done <- struct{}{} }()
			fresh := true
			nc, err := net.Dial("tcp", addr)
			for n := 0; err == nil; n++ {
				more, anything := ask(nc, fmt.Sprintf("d%d-%d", i, n))
				if !anything && fresh {
					t.Error("a request on a new connection got no answer")
				}
				if !more {
					nc.Close()
					if fresh = true; anything && w.draining.Load() {
						return
					}
					nc, err = net.Dial("tcp", addr)
				} else {
					fresh = false
				}
				if served.Add(1) == 200 {
					close(enough)
				}
			}
		}()
	}
	<-enough
	w.Drain()
	for range 20 {
		<-done
	}
}
