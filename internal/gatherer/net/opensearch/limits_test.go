package opensearch

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/audit"
	"pulleygw.example/pulleygw/internal/gatherer/gather"
	"pulleygw.example/pulleygw/internal/gatherer/limits"
	"pulleygw.example/pulleygw/internal/gatherer/net/http1"
	"pulleygw.example/pulleygw/internal/gatherer/record"
	"pulleygw.example/pulleygw/internal/gatherer/search"
	"pulleygw.example/pulleygw/internal/gatherer/settings"
	"pulleygw.example/pulleygw/internal/gatherer/testbed"
	"pulleygw.example/pulleygw/internal/gatherer/testbed/lots"
)

// limit puts routes in force.
func (r *rig) limit(tb testing.TB, repeats limits.RetryBudget, routes ...*limits.Route) {
	tb.Helper()
	table, conflicts := limits.NewTable(routes)
	if conflicts != nil {
		tb.Fatal(conflicts[0])
	}
	r.core.SetLimits(gather.Limits{Table: table, Retries: repeats})
}

// from asks as a client at an address.
func (r *rig) from(addr, query, body string, gone <-chan struct{}) *http1.Response {
	return r.front.Handle(&http1.Request{Method: "POST", Path: "/lots/_search", Query: query, Body: []byte(body), At: time.Now(),
		Client: netip.MustParseAddr(addr)}, gone)
}

func greedy(l limits.Limits) *limits.Route {
	return &limits.Route{Name: "dealers", Match: limits.Match{Clients: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}}, Limits: l}
}

// surge plays floor terminals at a steady rate beside dealers' tools that ask far too much, and tells what the terminals
// got in time, and the dealers.
func surge(tb testing.TB, limited bool) (terminals, dealers float64) {
	tb.Helper()
	o := usual
	o.phases, o.maxBounds = search.One, 0
	o.change = func(s *settings.Settings) { s.OpenCap = 600 }
	r := newRig(o)
	defer r.stop()
	if limited {
		r.limit(tb, limits.RetryBudget{}, greedy(limits.Limits{Concurrency: limits.Concurrency{Max: 4, Queue: 8, Wait: 300 * time.Millisecond}, Rate: limits.Rate{PerSecond: 6, Burst: 4}}))
	}
	rng := rand.New(rand.NewPCG(1, 9))
	var mu sync.Mutex
	var all sync.WaitGroup
	good, asked := map[bool]int{}, map[bool]int{}
	send := func(terminal bool, addr string, perSecond float64) {
		for begin := time.Now(); time.Since(begin) < 30*time.Second; {
			mu.Lock()
			wait := time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
			mu.Unlock()
			time.Sleep(wait)
			all.Go(func() {
				at := time.Now()
				p := r.from(addr, "", tractors, nil)
				mu.Lock()
				defer mu.Unlock()
				if asked[terminal]++; p.Status == 200 && time.Since(at) <= 1200*time.Millisecond {
					good[terminal]++
				}
			})
		}
	}
	all.Go(func() { send(true, "9.9.9.9", 4) })
	all.Go(func() { send(false, "10.1.2.3", 40) })
	all.Wait()
	return float64(good[true]) / float64(asked[true]), float64(good[false]) / float64(asked[false])
}

// In a surge of one greedy route the others keep their service, which they lose without limits.
func TestGreedyRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kept, _ := surge(t, true)
		lost, _ := surge(t, false)
		if kept < 0.97 || lost > 0.8 {
			t.Errorf("terminals answered in time: %.2f with limits, %.2f without", kept, lost)
		}
	})
}

// Retries accumulate as lot stores fail: the budget of all routes holds, and no retry is sent beyond it.
func TestRetryBudgetOfAllRoutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(usual)
		defer r.stop()
		r.limit(t, limits.RetryBudget{Ratio: 0.05, Minimum: 2, Span: 10 * time.Second}, &limits.Route{Name: "all"})
		for id, s := range r.stores {
			if id%3 == 1 {
				s.trouble = func(int, lots.Phase) (testbed.End, time.Duration) { return testbed.Fault, 0 }
			}
		}
		for range 20 {
			r.from("9.9.9.9", "", tractors, nil)
		}
		r.mu.Lock()
		sent := float64(r.parts)
		r.mu.Unlock()
		if c := r.core.LimiterCounts()[gather.AllRoutes]; c.RetriesRejected == 0 || c.Retries == 0 || float64(c.Retries) > 2+0.05*sent {
			t.Errorf("%v subqueries sent, %+v", sent, c)
		}
	})
}

// Queued requests are admitted as others end, rejected when their wait is over, and removed when their clients
// disconnect; deadlines of a microsecond and of an hour, pages too deep and bodies too large are checked on arrival; new
// limits keep the queue.
func TestRouteLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(usual)
		defer r.stop()
		one := limits.Limits{Timeout: time.Second, MaxDepth: 50, MaxBody: 120, Concurrency: limits.Concurrency{Max: 1, Queue: 2, Wait: 400 * time.Millisecond}}
		r.limit(t, limits.RetryBudget{}, greedy(one))
		statuses := make(chan int, 10)
		ask := func(gone <-chan struct{}) {
			if p := r.from("10.0.0.1", "timeout=1m", tractors, gone); p != nil {
				statuses <- p.Status
			} else {
				statuses <- 0
			}
		}
		gone := make(chan struct{})
		go ask(nil)
		time.Sleep(20 * time.Millisecond)
		go ask(gone) // waits
		time.Sleep(20 * time.Millisecond)
		go ask(nil) // waits
		time.Sleep(20 * time.Millisecond)
		go ask(nil) // finds the queue full
		if got := <-statuses; got != 429 {
			t.Errorf("a full queue: %d", got)
		}
		close(gone)
		if got := <-statuses; got != 0 {
			t.Errorf("one that left: %d", got)
		}
		if a, b := <-statuses, <-statuses; a != 200 || b != 200 {
			t.Errorf("the one in flight and the one that waited: %d, %d", a, b)
		}
		for _, s := range r.stores {
			s.trouble = func(int, lots.Phase) (testbed.End, time.Duration) { return testbed.NoAnswer, 0 }
		}
		begin := time.Now()
		go ask(nil)
		time.Sleep(20 * time.Millisecond)
		go ask(nil)
		if got, took := <-statuses, time.Since(begin); got != 429 || took > 430*time.Millisecond {
			t.Errorf("a wait that is over: %d after %v", got, took)
		}
		if <-statuses; time.Since(begin) > 1010*time.Millisecond {
			t.Errorf("given up after %v, the route says 1s", time.Since(begin))
		}
		for _, s := range r.stores {
			s.trouble = nil
		}
		long := fmt.Sprintf(`{"query":{"match":{"title":%q}}}`, fmt.Sprintf("%0200d", 0))
		for _, c := range []struct {
			query, body string
			want        int
		}{{"timeout=1micros", tractors, 429}, {"size=51", tractors, 400}, {"", long, 413}} {
			if p := r.from("10.0.0.1", c.query, c.body, nil); p.Status != c.want {
				t.Errorf("%s %.20s: %d %s", c.query, c.body, p.Status, p.Body)
			}
		}
		if p := r.from("9.9.9.9", "size=51", tractors, nil); p.Status != 200 {
			t.Errorf("a client of no route: %d", p.Status)
		}
		// Narrower limits under load, then none.
		for range 3 {
			go ask(nil)
		}
		time.Sleep(20 * time.Millisecond)
		one.Concurrency = limits.Concurrency{Max: 1}
		r.limit(t, limits.RetryBudget{}, greedy(one))
		got := map[int]int{}
		for range 3 {
			got[<-statuses]++
		}
		if got[200] < 1 || got[200]+got[429] != 3 {
			t.Errorf("queue taken away: %v", got)
		}
		r.core.SetLimits(gather.Limits{})
		if p := r.from("10.0.0.1", "size=51", tractors, nil); p.Status != 200 {
			t.Errorf("no limits: %d", p.Status)
		}
		if c := r.core.LimiterCounts(); len(c) != 0 {
			t.Errorf("%v", c)
		}
	})
}

// BenchmarkSurge reports what terminals get in time beside greedy clients, with limits and without, on the same arrivals.
func BenchmarkSurge(b *testing.B) {
	for _, limited := range []bool{false, true} {
		b.Run(fmt.Sprintf("limited=%v", limited), func(b *testing.B) {
			var terminals, dealers float64
			for range b.N {
				inBubble(b, func() { terminals, dealers = surge(b, limited) })
			}
			b.ReportMetric(terminals, "terminals")
			b.ReportMetric(dealers, "dealers")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// The record of half a minute under limits that a reload narrows proves that every one of them was kept: lot stores fail,
// hang and recover, clients disconnect, and more is requested than is admitted.
func TestRecordProvesLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, entries := audit.New(), 0
		o := usual
		o.record = func(e record.Entry) { entries++; a.Add(e) }
		r := newRig(o)
		rng := rand.New(rand.NewPCG(5, 5))
		l := limits.Limits{Timeout: 2 * time.Second, Concurrency: limits.Concurrency{Max: 6, Queue: 10, Wait: 300 * time.Millisecond},
			Rate: limits.Rate{PerSecond: 30, Burst: 10}, Retries: limits.RetryBudget{Ratio: 0.1, Minimum: 3, Span: 5 * time.Second}}
		r.limit(t, limits.RetryBudget{}, greedy(l))
		var all sync.WaitGroup
		for i := range 600 {
			time.Sleep(time.Duration(rng.ExpFloat64() * float64(50*time.Millisecond)))
			if i == 300 {
				l.Concurrency.Max, l.Rate.PerSecond = 3, 4 // under half of what comes
				r.limit(t, limits.RetryBudget{}, greedy(l))
			}
			if i%50 == 0 {
				bad, end := rng.IntN(6), []testbed.End{testbed.Fault, testbed.NoAnswer, testbed.Hit}[rng.IntN(3)]
				r.mu.Lock()
				for id, s := range r.stores {
					mine := (int(id)-1)/3 == bad || id%5 == 0
					s.trouble = func(int, lots.Phase) (testbed.End, time.Duration) {
						if mine {
							return end, 0
						}
						return testbed.Hit, 0
					}
				}
				r.mu.Unlock()
			}
			addr := []string{"10.0.0.1", "9.9.9.9"}[rng.IntN(2)]
			gone := make(chan struct{})
			leaves := rng.IntN(10) == 0
			all.Go(func() { r.from(addr, "", tractors, gone) })
			if leaves {
				all.Go(func() { time.Sleep(100 * time.Millisecond); close(gone) })
			}
		}
		all.Wait()
		time.Sleep(5 * time.Second)
		r.stop()
		got := a.Report()
		for _, b := range got.Violations {
			t.Errorf("%v", b)
		}
		if got.Requests != 600 || got.Open != 0 || got.Answered == 0 || got.Rejected == 0 || got.Disconnected == 0 || got.Attempts < 1000 {
			t.Errorf("%+v of %d entries", got, entries)
		}
	})
}
