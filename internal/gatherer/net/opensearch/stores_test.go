package opensearch

import (
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/gather"
	"pulleygw.example/pulleygw/internal/gatherer/mem"
	"pulleygw.example/pulleygw/internal/gatherer/net/http1"
	"pulleygw.example/pulleygw/internal/gatherer/search"
)

// reports collects what the transport tells.
type reports chan report

type report struct {
	shard int
	s     decision.Status
	value string
}

func (r reports) Outcome(a *gather.Attempt, s decision.Status, v string) { r <- report{a.Shard, s, v} }
func (r reports) Scored(a *gather.Attempt, v string, _ float64)          { r <- report{a.Shard, decision.OK, v} }
func (r reports) Found(a *gather.Attempt, f *search.Answer) {
	r <- report{a.Shard, decision.OK, fmt.Sprintf("%d hits of %d", len(f.Hits), f.Total)}
}
func (r reports) Unanswerable(a *gather.Attempt, why string) {
	r <- report{a.Shard, decision.NotSent, why}
}
func (r reports) HealthChecked(_ decision.ServerID, ok bool) {
	r <- report{s: map[bool]decision.Status{true: decision.OK, false: decision.Error}[ok]}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// stores starts a transport with one lot store that answers as handle does.
func stores(t *testing.T, handle http1.Handler) (*Stores, reports) {
	t.Helper()
	l := listen(t)
	go http1.New(l.(*net.TCPListener), handle, 10, slog.New(slog.DiscardHandler)).Serve()
	return storesAt(l.Addr().String())
}

func storesAt(addr string) (*Stores, reports) {
	tr := NewStores(StoresConfig{Class: func(n int) (string, bool) { return []string{"lots", "bids"}[n], n == 1 }, Shards: 24,
		ConnectTimeout: 250 * time.Millisecond, ConnIdle: time.Minute, WriteFor: time.Second, MaxConns: 10, Log: slog.New(slog.DiscardHandler)})
	r := make(reports, 100)
	tr.Start(r)
	tr.Servers([]mem.Server{{ID: 1, Addr: addr, State: decision.Ready}})
	return tr, r
}

func bid(number int) *gather.Attempt {
	return &gather.Attempt{Query: "q", Class: 1, Key: "k", Shard: 5, Number: number, Text: []byte("{\n\"lot\": 1}"), Server: 1, Deadline: time.Now().Add(time.Minute)}
}

func answer(status int, body string) http1.Handler {
	return func(*http1.Request, <-chan struct{}) *http1.Response {
		return &http1.Response{Status: status, Body: []byte(body)}
	}
}

// Each possible response has its own outcome; what proves that the attempt never ran is distinguished.
func TestOutcomes(t *testing.T) {
	create := func(status string) string {
		return `{"items":[{"create":{"_id":"k","status":` + status + `}}]}`
	}
	for _, x := range []struct {
		name   string
		handle http1.Handler
		number int
		want   decision.Status
	}{
		{"created", answer(200, create("201")), 0, decision.OK},
		{"turned away", answer(200, create("429")), 0, decision.Rejected},
		{"all turned away", answer(429, "{}"), 0, decision.Rejected},
		{"failed", answer(200, create("500")), 0, decision.Error},
		{"all failed", answer(503, "{}"), 0, decision.Error},
		{"there already, on the first try", answer(200, create("409")), 0, decision.Error},
		{"there already, from an earlier try", answer(200, create("409")), 1, decision.OK},
		{"not JSON", answer(200, "x"), 0, decision.Error},
		{"too few items", answer(200, `{"items":[]}`), 0, decision.Error},
		{"closed", func(*http1.Request, <-chan struct{}) *http1.Response { return nil }, 0, decision.Reset},
	} {
		tr, r := stores(t, x.handle)
		tr.Call(1, []*gather.Attempt{bid(x.number)})
		if got := <-r; got.s != x.want {
			t.Errorf("%s: status %v, want %v", x.name, got.s, x.want)
		}
	}
	gone := listen(t)
	gone.Close()
	tr, r := storesAt(gone.Addr().String())
	tr.Call(1, []*gather.Attempt{bid(0)})
	if got := <-r; got.s != decision.ConnectFailed {
		t.Errorf("refused: status %v", got.s)
	}
	tr.HealthCheck(1)
	if got := <-r; got.s != decision.Error {
		t.Errorf("health check: %v", got.s)
	}
}

// A create whose deduplication window has passed, one past its time-out, and one to a server that is draining by now are
// not written.
func TestNotWritten(t *testing.T) {
	var asked atomic.Int32
	tr, r := stores(t, func(*http1.Request, <-chan struct{}) *http1.Response { asked.Add(1); return nil })
	late, over := bid(1), bid(0)
	late.NotAfter = time.Now().Add(-time.Millisecond)
	over.Deadline = time.Now().Add(-time.Millisecond)
	for _, a := range []*gather.Attempt{late, over} {
		tr.Call(1, []*gather.Attempt{a})
		if got := <-r; got.s != decision.NotSent && got.s != decision.ConnectFailed { // the dial, too, ends with the time
			t.Errorf("status %v", got.s)
		}
	}
	tr.Servers([]mem.Server{{ID: 1, Addr: tr.servers[1].Addr, State: decision.Draining}})
	tr.Call(1, []*gather.Attempt{bid(0)})
	if got := <-r; got.s != decision.NotSent || asked.Load() != 0 {
		t.Errorf("status %v, asked %d times", got.s, asked.Load())
	}
}

// A call is encoded as the API says, each request on a line of its own.
func TestCallEncoding(t *testing.T) {
	asked := make(chan string, 10)
	tr, r := stores(t, func(q *http1.Request, _ <-chan struct{}) *http1.Response {
		asked <- q.Path + "\n" + string(q.Body)
		return nil
	})
	search := bid(0)
	search.Class, search.Text = 0, []byte(`{"query":{"match_all":{}}}`)
	plain := bid(0)
	plain.Class, plain.Text = 0, []byte("c41e77d0")
	tr.Call(1, []*gather.Attempt{search, bid(0), plain})
	var got string
	for range 2 {
		got += <-asked
	}
	for range 3 {
		<-r
	}
	for _, want := range []string{"/_bulk\n" + `{"create":{"_index":"bids","_id":"k","routing":"` + tr.routing[5] + `"}}` + "\n" + `{"lot":1}` + "\n",
		"/_msearch\n" + `{"index":"lots","preference":"_shards:5"}` + "\n" + `{"timeout":"`,
		`,"query":{"match_all":{}}}` + "\n", `,"query":{"query_string":{"query":"c41e77d0"}}}` + "\n"} {
		if !strings.Contains(got, want) {
			t.Errorf("%q lacks %q", got, want)
		}
	}
	for shard, routing := range tr.routing {
		if Shard(routing, 24) != shard {
			t.Errorf("routing %q leads to shard %d, want %d", routing, Shard(routing, 24), shard)
		}
	}
}

// A connection that the lot store closed while idle is not used again: a call on it would count as one that may have run.
func TestClosedIdleConnection(t *testing.T) {
	l := listen(t)
	serve := func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		q, err := http1.NewReader(c).Request()
		if err == nil {
			q.Release()
			c.Write(http1.AppendResponse(nil, &http1.Response{Status: 200, Body: []byte(`{"items":[{"create":{"_id":"k","status":201}}]}`)}))
		}
		c.Close()
	}
	tr, r := storesAt(l.Addr().String())
	for i := range 3 {
		done := make(chan struct{})
		go func() { serve(); close(done) }()
		tr.Call(1, []*gather.Attempt{bid(0)})
		if got := <-r; got.s != decision.OK {
			t.Errorf("call %d: status %v", i, got.s)
		}
		<-done
	}
}

// When all attempts of a call are cancelled, its connection is closed, and only then are they reported as cancelled:
// until then they are in flight.
func TestCancelCloses(t *testing.T) {
	began, closed := make(chan struct{}), make(chan struct{})
	tr, r := stores(t, func(_ *http1.Request, gone <-chan struct{}) *http1.Response {
		close(began)
		<-gone
		close(closed)
		return nil
	})
	list := []*gather.Attempt{bid(0), bid(0)}
	tr.Call(1, list)
	<-began
	tr.Cancel(list[0])
	if len(r) != 0 {
		t.Errorf("reported %+v while the other is out", <-r)
	}
	tr.Cancel(list[1])
	<-closed
	for range list {
		if got := <-r; got.s != decision.Cancelled {
			t.Errorf("reported %+v", got)
		}
	}
}
