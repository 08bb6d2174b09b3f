package opensearch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/search"
)

// inBubble runs f on a false clock within a benchmark; synctest wants a test.
func inBubble(b *testing.B, f func()) {
	b.Helper()
	all := func(string, string) (bool, error) { return true, nil }
	if !testing.RunTests(all, []testing.InternalTest{{Name: "bubble", F: func(t *testing.T) { //nolint:thelper // the body of a test
		synctest.Test(t, func(*testing.T) { f() })
	}}}) {
		b.Fatal("the bubble failed")
	}
}

// measured is what became of the queries of a run.
type measured struct {
	queries, late, refused, partial int
	worth                           float64
	parts, listings, bytes          int
	skipped                         int
	changed, unlisted, unranked     int // partial answers for want of these
	p50, p99                        time.Duration
}

// play sends queries as they come, at random moments, for a time, after a warm-up that does not count. A fifth of the
// copies may be slow, and lots are written all the time.
func play(o rigOptions, slow bool, perSecond float64, warm, span time.Duration) (m measured) {
	r := newRig(o)
	defer r.stop()
	rng := rand.New(rand.NewPCG(11, uint64(o.ranges)))
	if slow {
		for id := 1; id <= len(r.stores); id += 5 {
			r.stores[decision.ServerID(id)].slow *= 4 + 6*rng.Float64()
		}
	}
	bodies := queries(rng, int(perSecond*(warm+span).Seconds())+10)
	var mu sync.Mutex
	var all sync.WaitGroup
	var took []time.Duration
	begin := time.Now()
	writes := rand.New(rand.NewPCG(12, 1))
	stop := make(chan struct{})
	all.Go(func() { // a bid on some lot ten times a second
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				r.corpus.Bid(writes.IntN(o.ranges), writes.IntN(o.each), float64(100+writes.IntN(100000)))
			}
		}
	})
	counting := false
	var asked sync.WaitGroup
	for i := 0; time.Since(begin) < warm+span; i++ {
		time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		if !counting && time.Since(begin) >= warm {
			counting = true
			r.mu.Lock()
			r.parts, r.listings, r.bytes = 0, 0, 0
			r.mu.Unlock()
		}
		count, body := counting, bodies[i%len(bodies)]
		asked.Go(func() {
			at := time.Now()
			status, got := r.search("", body)
			d := time.Since(at)
			if !count {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			m.queries++
			took = append(took, d)
			if status != 200 {
				m.refused++
				return
			}
			worth := 1.0
			if c := got.Get("coverage"); !c.Get("whole").Bool() {
				m.partial++
				worth = 0.9 * c.Get("share").Num
				if c.Get("changed").Int() > 0 {
					m.changed++
				}
				if c.Get("listed").Num < 1 {
					m.unlisted++
				}
				if len(c.Get("missing").Array()) > 0 {
					m.unranked++
				}
			}
			m.skipped += int(got.Get("_shards.skipped").Int())
			if d > 1200*time.Millisecond {
				m.late++
				worth *= 0.1
			}
			m.worth += worth
		})
	}
	asked.Wait()
	close(stop)
	all.Wait()
	r.mu.Lock()
	m.parts, m.listings, m.bytes = r.parts, r.listings, r.bytes
	r.mu.Unlock()
	slices.Sort(took)
	m.p50, m.p99 = took[len(took)/2], took[len(took)*99/100]
	return m
}

// BenchmarkTwoPhase sets one phase and two side by side: the same corpus, arrivals and slow copies, on a false clock.
// A subquery with listings is taken to cost 84 ms of work, scores alone 0.7 of it, listings of a few lots 0.3, and each
// call 46 ms.
//
//	go test -run '^$' -bench TwoPhase -benchtime 1x ./internal/...
func BenchmarkTwoPhase(b *testing.B) {
	for _, ranges := range []int{24, 96, 200} {
		for _, slow := range []bool{false, true} {
			for _, phases := range []search.Phases{search.One, search.Two} {
				name := fmt.Sprintf("ranges=%d/%s/phases=%d", ranges, map[bool]string{false: "calm", true: "slow"}[slow], phases)
				b.Run(name, func(b *testing.B) {
					var m measured
					for range b.N {
						o := rigOptions{ranges: ranges, each: 60, phases: phases, refresh: 5 * time.Second, maxBounds: 100000}
						inBubble(b, func() { m = play(o, slow, 4, 10*time.Second, 30*time.Second) })
					}
					n := float64(m.queries)
					b.ReportMetric(float64(m.parts)/n, "parts/query")
					b.ReportMetric(float64(m.listings)/n, "listings/query")
					b.ReportMetric(float64(m.bytes)/n, "bytes/query")
					b.ReportMetric(m.worth/n, "worth/query")
					b.ReportMetric(float64(m.late)/n, "late/query")
					b.ReportMetric(float64(m.refused)/n, "refused/query")
					b.ReportMetric(float64(m.partial)/n, "partial/query")
					b.ReportMetric(float64(m.changed)/n, "changed/query")
					b.ReportMetric(float64(m.unlisted)/n, "unlisted/query")
					b.ReportMetric(float64(m.unranked)/n, "unranked/query")
					b.ReportMetric(float64(m.p50.Milliseconds()), "p50-ms")
					b.ReportMetric(float64(m.p99.Milliseconds()), "p99-ms")
					b.ReportMetric(0, "ns/op")
				})
			}
		}
	}
}
