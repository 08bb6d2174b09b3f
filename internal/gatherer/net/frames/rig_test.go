package frames

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/gather"
	"pulleygw.example/pulleygw/internal/gatherer/mem"
	"pulleygw.example/pulleygw/internal/gatherer/search"
)

// reports collects what the transport reports.
type reports struct{ ch chan report }

type report struct {
	a     *gather.Attempt
	s     decision.Status
	value string
}

func (r reports) Outcome(a *gather.Attempt, s decision.Status, v string) { r.ch <- report{a, s, v} }

func (r reports) Scored(a *gather.Attempt, v string, _ float64) { r.ch <- report{a, decision.OK, v} }

func (r reports) Found(*gather.Attempt, *search.Answer) {}

func (r reports) Unanswerable(*gather.Attempt, string) {}

func (r reports) HealthChecked(_ decision.ServerID, ok bool) {
	r.ch <- report{s: map[bool]decision.Status{true: decision.OK, false: decision.Error}[ok]}
}

func transport(addr string, idle time.Duration) (*Transport, reports) {
	tr := New(Config{Streams: 16, ConnectTimeout: 250 * time.Millisecond, ConnIdle: idle, WriteFor: time.Second, MaxConns: 10, Log: slog.New(slog.DiscardHandler)})
	r := reports{make(chan report, 100)}
	tr.Start(r)
	tr.Servers([]mem.Server{{ID: 1, Addr: addr, State: decision.Ready}})
	return tr, r
}

func attempts(n int) (list []*gather.Attempt) {
	for i := range n {
		list = append(list, &gather.Attempt{Query: "q", Shard: i, Server: 1, Deadline: time.Now().Add(time.Minute)})
	}
	return list
}

func (r reports) want(t *testing.T, n int, s decision.Status) {
	t.Helper()
	for range n {
		if got := <-r.ch; got.s != s {
			t.Errorf("shard %d: status %v, want %v", got.a.Shard, got.s, s)
		}
	}
}

// parked adds a connection without a writer, so that calls stay queued.
func parked(tr *Transport, nc net.Conn) *conn {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	c := &conn{t: tr, s: tr.servers[1], addr: tr.servers[1].Addr, nc: nc, connected: true, inFlight: map[string]*entry{}, wake: make(chan struct{}, 1)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.s.pool.Add(c)
	return c
}
