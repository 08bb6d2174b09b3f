package opensearch

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/gather"
	"pulleygw.example/pulleygw/internal/gatherer/net/http1"
	"pulleygw.example/pulleygw/internal/gatherer/proptest"
	"pulleygw.example/pulleygw/internal/gatherer/settings"
)

// Published values of the API's routing hash.
func TestRoutingHash(t *testing.T) {
	for s, want := range map[string]uint32{"hell": 0x5a0cb7c3, "hello": 0xd7c31989, "hello w": 0x22ab2984,
		"The quick brown fox jumps over the lazy dog": 0xe07db09c} {
		if got := uint32(routingHash(s)); got != want {
			t.Errorf("%q: %x, want %x", s, got, want)
		}
	}
	for _, n := range []int{1, 5, 24, 1024} {
		if s := Shard("lot-17", n); s < 0 || s >= n {
			t.Errorf("shard %d of %d", s, n)
		}
	}
}

// core is a fake that gives every request one result.
type core struct {
	result gather.Result
	asked  *gather.Request
}

func (c *core) Submit(r *gather.Request)           { c.asked = r; r.Done <- c.result }
func (c *core) ClientDisconnected(*gather.Request) {}
func (c *core) Snapshot() (s gather.Snapshot)      { return s }

func front(res gather.Result) (*Front, *core) {
	c := &core{result: res}
	set := settings.Settings{Classes: []string{"lot-search", "place-bid"}, Shards: 24}
	set.Policy.Classes = []decision.Class{{Deadline: 3 * time.Second}, {Deadline: 4 * time.Second, Effect: decision.Deduplicated}}
	current := &settings.Current{}
	current.Store(&set)
	f := &Front{Core: c, Settings: current, Name: "os"}
	f.SetIndices(map[string]string{"lots": "lot-search", "bids": "place-bid"})
	return f, c
}

func call(f *Front, method, target, body string) *http1.Response {
	path, query, _ := strings.Cut(target, "?")
	return f.Handle(&http1.Request{Method: method, Path: path, Query: query, Body: []byte(body), At: time.Now()}, nil)
}

// What is not supported gets a 400 that says so, and does not reach the core.
func TestNotSupported(t *testing.T) {
	for _, x := range []struct {
		method, target, body string
		status               int
		reason               string
	}{
		{"GET", "/_cat/indices", "", 400, "not supported here"},
		{"POST", "/lots/_search?scroll=1m", "{}", 400, "unrecognized parameter: [scroll]"},
		{"POST", "/lots/_search", `{"aggs":{}}`, 400, "[aggs]"},
		{"POST", "/lots/_search", `{"query":`, 400, "line 1, column 9: not JSON"},
		{"POST", "/lots/_search", `[]`, 400, "JSON object"},
		{"POST", "/lots/_search?timeout=soon", "", 400, "[timeout]"},
		{"POST", "/lots/_search?timeout=0ms", "", 400, "[timeout]"},
		{"POST", "/lots/_search?size=-1", "", 400, "[size]"},
		{"POST", "/lots/_search?preference=_local", "", 400, "_shards:N,N"},
		{"POST", "/lots/_search?preference=_shards:1,24", "", 400, "names no shard"},
		{"POST", "/lots/_search?preference=_shards:1,1", "", 400, "twice"},
		{"POST", "/lots/_search?allow_partial_search_results=maybe", "", 400, "[true] or [false]"},
		{"POST", "/nowhere/_search", "", 404, "no such index"},
		{"DELETE", "/lots/_search", "", 405, "[DELETE]"},
		{"POST", "/bids/_search", "", 400, "only create"},
		{"PUT", "/lots/_create/1", "{}", 400, "only _search"},
		{"PUT", "/bids/_create/a%20b", "{}", 400, "document id"},
		{"PUT", "/bids/_create/1", "no", 400, "line 1, column 2: not JSON"},
		{"PUT", "/bids/_create/1?refresh=true", "{}", 400, "[refresh]"},
	} {
		f, c := front(gather.Result{})
		p := call(f, x.method, x.target, x.body)
		e := gjson.ParseBytes(p.Body)
		if p.Status != x.status || !strings.Contains(e.Get("error.reason").String(), x.reason) || c.asked != nil {
			t.Errorf("%s %s: %d %s", x.method, x.target, p.Status, p.Body)
		}
	}
}

// A partial answer says so in terms of the API, and a search that allows none is submitted as such.
func TestPartialAnswer(t *testing.T) {
	f, c := front(gather.Result{Shards: []gather.ShardResult{{Shard: 4, OK: true, Value: "a"}, {Shard: 5, OK: true, Value: "b"},
		{Shard: 6, Attempts: 1, Pending: true}, {Shard: 7, Attempts: 4, Last: decision.Error}}})
	p := call(f, "GET", "/lots/_search?preference=_shards:4,5,6,7&allow_partial_search_results=false&timeout=2s", "")
	r := gjson.ParseBytes(p.Body)
	if p.Status != 200 || !r.Get("timed_out").Bool() || r.Get("_shards.total").Int() != 4 || r.Get("_shards.successful").Int() != 2 ||
		r.Get("_shards.skipped").Int() != 0 || r.Get("_shards.failed").Int() != 2 || r.Get("_shards.failures.1.shard").Int() != 7 ||
		r.Get("hits.total.relation").String() != "gte" {
		t.Errorf("%d %s", p.Status, p.Body)
	}
	if !c.asked.CompleteOnly || len(c.asked.Shards) != 4 || time.Until(c.asked.Deadline) > 2*time.Second {
		t.Errorf("asked %+v", c.asked)
	}
}

// Rejections say when to retry in whole seconds; a failed create's status is none that clients retry.
func TestRejectedAndFailed(t *testing.T) {
	f, _ := front(gather.Result{Kind: gather.Rejected, RetryAfter: 300 * time.Millisecond})
	if p := call(f, "GET", "/lots/_search", ""); p.Status != 429 || p.Header.Get("Retry-After") != "1" {
		t.Errorf("%d %v", p.Status, p.Header)
	}
	f, c := front(gather.Result{Kind: gather.Failed, Reason: gather.ReasonDeadline, Shards: []gather.ShardResult{{Shard: 1, Pending: true}}})
	p := call(f, "PUT", "/bids/_doc/b1?op_type=create", "{}")
	if p.Status != 500 || gjson.GetBytes(p.Body, "error.failed_shards.0.reason.type").String() != "receive_timeout_transport_exception" {
		t.Errorf("%d %s", p.Status, p.Body)
	}
	if c.asked.Key != "b1" || c.asked.Shards[0].Number != Shard("b1", 24) {
		t.Errorf("asked %+v", c.asked)
	}
	if p := call(f, "GET", "/lots/_search", ""); p.Status != 504 {
		t.Errorf("search at its deadline: %d", p.Status)
	}
}

// Hits of all shards are merged best first and cut to the size.
func TestMergeHits(t *testing.T) {
	hits := func(scores string) string {
		return `{"total":{"value":3,"relation":"eq"},"hits":[` + scores + `]}`
	}
	f, _ := front(gather.Result{Complete: true, Shards: []gather.ShardResult{
		{Shard: 0, OK: true, Value: hits(`{"_id":"a","_score":1.5},{"_id":"b","_score":0.5}`)},
		{Shard: 1, OK: true, Value: hits(`{"_id":"c","_score":2.5},{"_id":"d","_score":1}`)}}})
	r := gjson.ParseBytes(call(f, "GET", "/lots/_search?size=3", "").Body)
	if got := r.Get("hits.hits.#._id").Raw; got != `["c","a","d"]` || r.Get("hits.total.value").Int() != 6 {
		t.Errorf("merged %s", r.Raw)
	}
}

func TestParseGarbage(t *testing.T) {
	f, _ := front(gather.Result{Complete: true, Shards: []gather.ShardResult{{OK: true}}})
	proptest.CheckParser(t, true, func(b []byte) error {
		p := call(f, "POST", "/lots/_search", string(b))
		if p.Status != 200 && p.Status != 400 {
			t.Fatalf("status %d", p.Status)
		}
		if p.Status != 200 || len(b) == 0 { // a body may be absent
			return errors.New("refused")
		}
		return nil
	}, `{"query":{"match":{"lot":"tractor"}},"size":5}`)
	proptest.CheckParser(t, false, func(b []byte) error { call(f, "POST", "/"+string(b), "{}"); return nil },
		"lots/_search?timeout=2s&preference=_shards:1,2", "bids/_create/1?routing=x")
	proptest.CheckParser(t, true, func(b []byte) error {
		_, err := parseItems(&http1.Response{Status: 200, Body: b}, 1, false)
		return err
	}, `{"took":1,"responses":[{"timed_out":false,"_shards":{"failed":0},"hits":{"hits":[]},"status":200}]}`)
}
