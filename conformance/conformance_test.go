// Package conformance tests the query API against the official Go client: it runs the cases of cases.json, and the
// client's typed calls, against a gatherer on loopback sockets with fake lot stores.
package conformance

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/opensearch-project/opensearch-go/v4"
	"github.com/opensearch-project/opensearch-go/v4/opensearchapi"
	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/lifecycle"
	"pulleygw.example/pulleygw/internal/gatherer/testbed"
	"pulleygw.example/pulleygw/internal/gatherer/testbed/lots"
)

const (
	ranges = 24
	cells  = 6
	each   = 50
)

// service is a gatherer with 12 fake lot stores, two replicas of each cell of four ranges.
type service struct {
	client *opensearchapi.Client
	corpus *lots.Corpus
	silent atomic.Int32 // number of cells whose stores do not respond
}

// start starts the gatherer and its stores; they end with the test.
func start(t *testing.T) *service {
	t.Helper()
	s := &service{corpus: lots.New(7, ranges, each)}
	var hosts []string
	for i := range 2 * cells {
		name, cell := fmt.Sprintf("s-%d", i), i/2
		script := lots.Script{Fault: func(int, lots.Phase) testbed.End {
			if cell < int(s.silent.Load()) {
				return testbed.NoAnswer
			}
			return testbed.Hit
		}}
		l := testbed.Listen(t)
		go lots.Serve(l.(*net.TCPListener), s.corpus.NewReplica(name, time.Hour), script, &lots.Requests{})
		hosts = append(hosts, testbed.Host(name, l.Addr().String(), []string{"a", "b"}[i%2], cell, "ready"))
	}
	list := testbed.List(1, hosts...)
	agent := testbed.Listen(t)
	go testbed.Discovery(agent, list)
	dir := t.TempDir()
	settings := `{"classes":[{"deadlineUs":3000000,"effect":"safe","memorySpanUs":5000000,"name":"lot-search","onTimeUs":1200000,"worth":3},
		{"deadlineUs":4000000,"effect":"keyed","memorySpanUs":4000000,"name":"place-bid","onTimeUs":1500000,"worth":2}],
		"discovery":"push","family":"fanout","familyInfo":{"batch":8,"callUs":46000,"completeFrom":[1,1],"fetchParts":[0,0],"leastShare":[0.7,1],"positions":6,"shards":24,"width":1},
		"limits":{"cancel":true,"connIdleUs":15000000,"connectTimeoutUs":250000,"maxAttempts":4,"maxRetryAfterUs":500000,"openCap":3000,"probes":true,"retryAfter":true,"secondCopies":false,"streamsPerConn":32},
		"rules":{"fallMultiple":3,"fallUs":1500000,"rampTimeUs":17000000,"startCapacity":0.15},"siblings":1,"tickUs":5000,"zones":["a","b"]}`
	config := fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`, agent.Addr(), list, settings)
	front := `{"listen":"127.0.0.1:0","indices":{"lots":"lot-search","bids":"place-bid"},"stores":"opensearch"}`
	for name, text := range map[string]string{"config.json": config, "front.json": front} {
		if err := os.WriteFile(dir+"/"+name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	c, err := lifecycle.LoadConfig(dir+"/config.json", func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	f, err := lifecycle.LoadFront(dir+"/front.json", &c.Settings)
	if err != nil {
		t.Fatal(err)
	}
	d, err := lifecycle.Start(c, f, nil, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Drain)
	s.client, err = opensearchapi.NewClient(opensearchapi.Config{Client: opensearch.Config{Addresses: []string{"http://" + d.Addrs()[1]}, DisableRetry: true}})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

type testCase struct {
	Name, Method, Path, Text string
	Body                     json.RawMessage
	Status, Truth            int
	Want                     map[string]json.RawMessage
	Faults                   struct {
		SilentCells int32 `json:"silent_cells"`
	}
}

// TestCases checks the status of each case and the value at each path that it names; null means that the path is absent.
func TestCases(t *testing.T) {
	text, err := os.ReadFile("cases.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []testCase
	if err := json.Unmarshal(text, &cases); err != nil {
		t.Fatal(err)
	}
	sound := start(t)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			s := sound
			if c.Faults.SilentCells > 0 { // alone, as what is learnt of silent lot stores lasts
				s = start(t)
				s.silent.Store(c.Faults.SilentCells)
			}
			body := []byte(c.Text)
			if c.Text == "" {
				body = c.Body
			}
			status, got := s.do(t, c.Method, c.Path, body)
			if status != c.Status {
				t.Fatalf("status %d, want %d: %s", status, c.Status, got)
			}
			for path, want := range c.Want {
				x := gjson.GetBytes(got, path)
				if string(want) == "null" && x.Type == gjson.Null {
					continue
				}
				var a, b any
				if json.Unmarshal(want, &a) != nil || json.Unmarshal([]byte(x.Raw), &b) != nil || fmt.Sprint(a) != fmt.Sprint(b) {
					t.Errorf("%s is %s, want %s", path, x.Raw, want)
				}
			}
			if c.Truth > 0 { // the page is the one of all lots in one range
				from := int(gjson.GetBytes(c.Body, "from").Int())
				want := gjson.Get(sound.corpus.Merged().NewReplica("truth", 0).Search(0, question(c.Body, from+c.Truth)), "hits.hits.#._id").Array()
				if x := gjson.GetBytes(got, "hits.hits.#._id").Array(); len(x) != c.Truth || fmt.Sprint(x) != fmt.Sprint(want[from:]) {
					t.Errorf("page %v, want %v", x, want[from:])
				}
			}
		})
	}
}

// question returns the body of a search for the first lots, with its sort in the form that the fake store reads.
func question(body json.RawMessage, size int) gjson.Result {
	var m map[string]any
	if err := json.Unmarshal(body, &m); err != nil {
		panic(err) // of cases.json
	}
	m["size"] = size
	if list, ok := m["sort"].([]any); ok {
		for i, k := range list {
			if name, ok := k.(string); ok {
				list[i] = map[string]any{name: "asc"}
			}
		}
	}
	text, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return gjson.ParseBytes(text)
}

// do sends one request through the client and returns the status and the body of the response.
func (s *service) do(t *testing.T, method, path string, body []byte) (int, []byte) {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), method, path, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/json")
	response, err := s.client.Client.Stream(req)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, got
}

// TestTypedCalls checks the client's typed calls: info, search, multi-search, bulk, multi-get and a point in time that is
// read to its end.
func TestTypedCalls(t *testing.T) {
	s, ctx := start(t), context.Background()
	if info, err := s.client.Info(ctx, nil); err != nil || info.Version.Distribution != "opensearch" {
		t.Errorf("info: %+v %v", info, err)
	}
	if _, err := s.client.Ping(ctx, nil); err != nil {
		t.Errorf("ping: %v", err)
	}
	search, err := s.client.Search(ctx, &opensearchapi.SearchReq{Indices: []string{"lots"}, Body: strings.NewReader(`{"query":{"match":{"title":"tractor"}},"size":4}`)})
	if err != nil || len(search.Hits.Hits) != 4 || search.Hits.MaxScore == nil || search.Shards.Total != ranges {
		t.Fatalf("search: %+v %v", search, err)
	}
	multi, err := s.client.MSearch(ctx, opensearchapi.MSearchReq{Indices: []string{"lots"}, Body: strings.NewReader("{}\n{\"size\":1}\n{}\n{\"size\":2}\n")})
	if err != nil || len(multi.Responses) != 2 || len(multi.Responses[1].Hits.Hits) != 2 {
		t.Errorf("msearch: %+v %v", multi, err)
	}
	bulk, err := s.client.Bulk(ctx, opensearchapi.BulkReq{Index: "bids", Body: strings.NewReader("{\"create\":{\"_id\":\"k1\"}}\n{\"amount\":1}\n")})
	if err != nil || bulk.Errors || len(bulk.Items) != 1 || bulk.Items[0]["create"].Status != 201 {
		t.Errorf("bulk: %+v %v", bulk, err)
	}
	get, err := s.client.MGet(ctx, opensearchapi.MGetReq{Index: "lots", Body: strings.NewReader(`{"ids":["nothing"]}`)})
	if err != nil || len(get.Docs) != 1 || get.Docs[0].Found {
		t.Errorf("mget: %+v %v", get, err)
	}
	point, err := s.client.PointInTime.Create(ctx, opensearchapi.PointInTimeCreateReq{Indices: []string{"lots"},
		Params: opensearchapi.PointInTimeCreateParams{KeepAlive: time.Minute}})
	if err != nil || point.PitID == "" {
		t.Fatalf("point in time: %+v %v", point, err)
	}
	after, seen := "", map[string]bool{}
	for {
		page, err := s.client.Search(ctx, &opensearchapi.SearchReq{Body: strings.NewReader(`{"size":200,"sort":["year"],"pit":{"id":"` + point.PitID + `"}` + after + `}`)})
		if err != nil {
			t.Fatal(err)
		}
		if len(page.Hits.Hits) == 0 {
			break
		}
		for _, h := range page.Hits.Hits {
			if seen[h.ID] {
				t.Fatalf("lot %s is on two pages", h.ID)
			}
			seen[h.ID] = true
		}
		last, err := json.Marshal(page.Hits.Hits[len(page.Hits.Hits)-1].Sort)
		if err != nil {
			t.Fatal(err)
		}
		after = `,"search_after":` + string(last)
	}
	if len(seen) != ranges*each {
		t.Errorf("%d lots of %d in all pages", len(seen), ranges*each)
	}
	if gone, err := s.client.PointInTime.Delete(ctx, opensearchapi.PointInTimeDeleteReq{PitID: []string{point.PitID}}); err != nil ||
		!slices.ContainsFunc(gone.Pits, func(p struct {
			PitID      string `json:"pit_id"`
			Successful bool   `json:"successful"`
		}) bool {
			return p.Successful
		}) {
		t.Errorf("delete: %+v %v", gone, err)
	}
}
