package lifecycle

import (
	"cmp"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/textproto"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/net/http1"
	"pulleygw.example/pulleygw/internal/gatherer/net/opensearch"
	"pulleygw.example/pulleygw/internal/gatherer/store"
	"pulleygw.example/pulleygw/internal/gatherer/testbed"
)

const shards = 24

// recorded is one request of the recorded traffic: a search of shards, or a bid under a routing value.
type recorded struct {
	Name      string
	Shards    []int
	Routing   string
	Ends      json.RawMessage // by shard, or a bid's
	TimeoutMs int             `json:"timeout_ms"`
	Want      string
	Attempts  json.RawMessage // by shard, or a bid's
	Loose     bool            // ends as soon as its floor is out of reach, whichever shard shows that first
}

func (r recorded) ends(t *testing.T) (ends map[int][]testbed.End, attempts map[int]int) {
	t.Helper()
	ends, attempts = map[int][]testbed.End{}, map[int]int{}
	var err error
	if r.Routing == "" {
		if r.Ends != nil {
			err = json.Unmarshal(r.Ends, &ends)
		}
		if err == nil {
			err = json.Unmarshal(r.Attempts, &attempts)
		}
	} else {
		var list []testbed.End
		var n int
		if r.Ends != nil {
			err = json.Unmarshal(r.Ends, &list)
		}
		if err == nil {
			err = json.Unmarshal(r.Attempts, &n)
		}
		s := opensearch.Shard(r.Routing, shards)
		ends[s], attempts[s] = list, n
	}
	if err != nil {
		t.Fatal(err)
	}
	return ends, attempts
}

// world is a daemon among fake lot stores and a fake discovery agent.
type world struct {
	*Daemon
	script *testbed.Script
	file   string // the configuration
}

// start starts a daemon among 12 fake lot stores, two to a cell, that speak frames or the API.
func start(t *testing.T, storesSpeak string) world {
	t.Helper()
	return startWith(t, storesSpeak, nil)
}

func node(name, raft, operations string) store.Node {
	return store.Node{Name: name, Raft: raft, Operations: operations}
}

func startWith(t *testing.T, storesSpeak string, o *OperationsConfig) world {
	t.Helper()
	return startConfig(t, storesSpeak, o, func(*Config) {})
}

func startConfig(t *testing.T, storesSpeak string, o *OperationsConfig, change func(*Config)) world {
	t.Helper()
	s := &testbed.Script{}
	var hosts []string
	for i := range 12 {
		l := testbed.Listen(t)
		if storesSpeak == "opensearch" {
			go testbed.OpenSearch(l, s, func(r string) int { return opensearch.Shard(r, shards) })
		} else {
			go testbed.Frames(l, s)
		}
		hosts = append(hosts, testbed.Host(fmt.Sprintf("s-%d", i), l.Addr().String(), []string{"cheonan", "pyeongtaek"}[i%2], i/2, "ready"))
	}
	f := &FrontConfig{Listen: "127.0.0.1:0", Indices: map[string]string{"lots": "lot-search", "bids": "place-bid"},
		Stores: storesSpeak == "opensearch"}
	d, file := startAmong(t, testbed.List(1, hosts...), f, o, change)
	return world{d, s, file}
}

// startAmong starts a daemon whose discovery has a list, and returns its configuration file too.
func startAmong(t *testing.T, list string, f *FrontConfig, o *OperationsConfig, change func(*Config)) (*Daemon, string) {
	t.Helper()
	return startSettings(t, "testdata/settings.json", list, f, o, change)
}

// startSettings is startAmong with the settings of a file.
func startSettings(t *testing.T, settings, list string, f *FrontConfig, o *OperationsConfig, change func(*Config)) (*Daemon, string) {
	t.Helper()
	agent := testbed.Listen(t)
	go testbed.Discovery(agent, list)
	set, err := os.ReadFile(settings)
	if err != nil {
		t.Fatal(err)
	}
	file := t.TempDir() + "/config.json"
	text := fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`, agent.Addr(), list, set)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := LoadConfig(file, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	change(&c)
	d, err := Start(c, f, o, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Drain)
	return d, file
}

// do sends one request on a connection of its own.
func do(t *testing.T, addr, method, target string, h textproto.MIMEHeader, body string) *http1.Response {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	if _, err := nc.Write(http1.AppendRequest(nil, method, target, "origin.svc", h, []byte(body))); err != nil {
		t.Fatal(err)
	}
	nc.SetReadDeadline(time.Now().Add(30 * time.Second))
	p, err := http1.NewReader(nc).Response()
	if err != nil {
		t.Fatalf("%s %s: %v", method, target, err)
	}
	return p
}

// answer is what a client received, independent of the front.
type answer struct {
	kind   string
	values map[int]string
}

func (w world) platform(t *testing.T, id int, r recorded) answer {
	t.Helper()
	h := textproto.MIMEHeader{"Req-Id": {fmt.Sprintf("r%d", id)}}
	class, list := "lot-search", r.Shards
	if r.Routing != "" {
		class, list = "place-bid", []int{opensearch.Shard(r.Routing, shards)}
		h.Set("Idempotency-Key", fmt.Sprintf("bid-%d", id))
	}
	h.Set("Req-Deadline", fmt.Sprintf("%dm", cmp.Or(r.TimeoutMs, 3000)))
	var buckets []string
	for _, s := range list {
		buckets = append(buckets, fmt.Sprintf(`{"bucket":%d,"part":%v}`, s, 1/float64(len(list))))
	}
	p := do(t, w.Addrs()[0], "POST", "/"+class, h, fmt.Sprintf(`{"buckets":[%s],"body":"{\"query\":{}}"}`, strings.Join(buckets, ",")))
	a := answer{values: map[int]string{}}
	switch p.Status {
	case 200:
		a.kind = "answered partial"
		if gjson.GetBytes(p.Body, "finished").Bool() {
			a.kind = "answered whole"
		}
		for _, f := range gjson.GetBytes(p.Body, "found").Array() {
			v := f.Get("item").String()
			if x := gjson.Parse(v); x.IsObject() { // a store's own answer in the API
				v = x.Get("hits.0._source.item").String()
			}
			a.values[int(f.Get("bucket").Int())] = v
		}
	case 429, 503:
		a.kind = "refused"
		if p.Header.Get("Retry-After") == "" {
			t.Error("refused without Retry-After")
		}
	default:
		a.kind = "failed"
	}
	return a
}

func (w world) openSearch(t *testing.T, id int, r recorded) answer {
	t.Helper()
	a := answer{values: map[int]string{}}
	timeout := ""
	if r.TimeoutMs > 0 {
		timeout = fmt.Sprintf("&timeout=%dms", r.TimeoutMs)
	}
	var p *http1.Response
	if r.Routing == "" {
		list := strings.Trim(strings.ReplaceAll(fmt.Sprint(r.Shards), " ", ","), "[]")
		p = do(t, w.Addrs()[1], "POST", "/lots/_search?preference=_shards:"+list+timeout, nil, `{"query":{}}`)
	} else {
		p = do(t, w.Addrs()[1], "PUT", fmt.Sprintf("/bids/_create/bid-%d?routing=%s%s", id, r.Routing, timeout), nil, `{"query":{}}`)
	}
	body := gjson.ParseBytes(p.Body)
	switch p.Status {
	case 200, 201:
		n, kind := body.Get("_shards"), "answered whole"
		if n.Get("failed").Int() > 0 {
			kind = "answered partial"
		}
		if n.Get("total").Int() != n.Get("successful").Int()+n.Get("failed").Int() || n.Get("failed").Int() != n.Get("failures.#").Int() {
			t.Errorf("_shards do not add up: %s", n.Raw)
		}
		a.kind = kind
		for _, h := range body.Get("hits.hits").Array() {
			a.values[int(h.Get("_id").Int())] = h.Get("_source.item").String()
		}
		if r.Routing != "" {
			a.values[opensearch.Shard(r.Routing, shards)] = body.Get("get._source.item").String()
		}
	case 429:
		a.kind = "refused"
		if p.Header.Get("Retry-After") == "" || body.Get("error.type").String() != "rejected_execution_exception" {
			t.Errorf("refused with %v %s", p.Header, p.Body)
		}
	default:
		a.kind = "failed"
		if body.Get("error.type").String() == "" || body.Get("status").Int() != int64(p.Status) {
			t.Errorf("error object %s", p.Body)
		}
	}
	return a
}

// The same traffic through both fronts, to lot stores of both kinds, gets the same answers, rejections and failures, from
// the same numbers of attempts.
func TestReplay(t *testing.T) {
	text, err := os.ReadFile("testdata/traffic.json")
	if err != nil {
		t.Fatal(err)
	}
	var traffic []recorded
	if err := json.Unmarshal(text, &traffic); err != nil {
		t.Fatal(err)
	}
	for _, stores := range []string{"frames", "opensearch"} {
		for front, ask := range map[string]func(world, *testing.T, int, recorded) answer{"platform": world.platform, "opensearch": world.openSearch} {
			t.Run(front+" front, stores speak "+stores, func(t *testing.T) {
				w := start(t, stores)
				for i, r := range traffic {
					ends, attempts := r.ends(t)
					w.script.Set(ends)
					a := ask(w, t, i, r)
					if a.kind != r.Want {
						t.Errorf("%s: %s, want %s", r.Name, a.kind, r.Want)
					}
					if got := w.script.Attempts(); !r.Loose && !maps.Equal(got, attempts) {
						t.Errorf("%s: attempts %v, want %v", r.Name, got, attempts)
					}
					for s, v := range a.values {
						if r.Routing == "" && v != testbed.Value(s) {
							t.Errorf("%s: shard %d has %q", r.Name, s, v)
						}
					}
					if r.Want == "answered whole" && r.Routing == "" && len(a.values) != len(r.Shards) {
						t.Errorf("%s: values %v", r.Name, a.values)
					}
				}
			})
		}
	}
}

// Invalid requests, and those that accept no partial answer, get their own answers through both fronts, and the former
// reach no lot store.
func TestBadRequests(t *testing.T) {
	w := start(t, "frames")
	large := strings.Repeat("x", 70000)
	id := textproto.MIMEHeader{"Req-Id": {"b1"}}
	for _, x := range []struct {
		front          int
		method, target string
		header         textproto.MIMEHeader
		body           string
		status         int
	}{
		{0, "POST", "/lot-search", id, "{", 400},
		{0, "POST", "/lot-search", nil, `{"buckets":[{"bucket":1,"part":1}],"body":""}`, 400},
		{0, "POST", "/auction", id, "{}", 404},
		{0, "POST", "/lot-search", id, large, 413},
		{1, "POST", "/lots/_search", nil, "{", 400},
		{1, "POST", "/lots/_search?q=tractor", nil, "{}", 400},
		{1, "POST", "/auctions/_search", nil, "{}", 404},
		{1, "PUT", "/bids/_create/1", nil, large, 413},
	} {
		if p := do(t, w.Addrs()[x.front], x.method, x.target, x.header, x.body); p.Status != x.status || len(p.Body) == 0 {
			t.Errorf("%s %s: %d %s", x.method, x.target, p.Status, p.Body)
		}
	}
	if a := w.script.Attempts(); len(a) != 0 {
		t.Errorf("attempts %v", a)
	}
	fault := []testbed.End{testbed.Fault, testbed.Fault, testbed.Fault, testbed.Fault}
	w.script.Set(map[int][]testbed.End{9: fault})
	p := do(t, w.Addrs()[1], "GET", "/lots/_search?preference=_shards:8,9,10,11&allow_partial_search_results=false", nil, "")
	e := gjson.ParseBytes(p.Body)
	if p.Status != 500 || e.Get("error.type").String() != "search_phase_execution_exception" || e.Get("error.failed_shards.0.shard").Int() != 9 {
		t.Errorf("%d %s", p.Status, p.Body)
	}
}
