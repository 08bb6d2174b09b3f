package limits

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pulleygw.example/pulleygw/internal/gatherer/proptest"
)

const (
	sec = time.Second
	ms  = time.Millisecond
)

var (
	search = Class{Name: "lot-search", LatencyTarget: 1200 * ms, Timeout: 3 * sec, Attempts: 4, Floor: 0.7}
	bid    = Class{Name: "place-bid", Effect: Deduplicated, LatencyTarget: 1500 * ms, Timeout: 4 * sec, Window: 4 * sec, Attempts: 4, Floor: 1}
)

// Check reports limits that exceed the settings or violate a rule, by field, and accepts valid ones.
func TestCheck(t *testing.T) {
	for _, c := range []struct {
		l     Limits
		class Class
		field string
	}{
		{Limits{}, search, ""},
		{Limits{Attempts: 4, LatencyTarget: sec, Timeout: 3 * sec, MinWeight: 0.8, Concurrency: Concurrency{Max: 10, Floor: 2, Queue: 5, Wait: 100 * ms},
			Rate: Rate{5, 2}, Retries: RetryBudget{0.2, 1, 10 * sec}}, search, ""},
		{Limits{Attempts: 5}, search, "attempts"},
		{Limits{Attempts: -1}, search, "attempts"},
		{Limits{Timeout: 3001 * ms}, search, "give_up"},
		{Limits{LatencyTarget: 2 * sec}, search, "wanted"},
		{Limits{LatencyTarget: sec, Timeout: 500 * ms}, search, "wanted"},
		{Limits{MinWeight: 0.6}, search, "least"},
		{Limits{MinWeight: 0.9}, bid, "least"},
		{Limits{MinWeight: 1.1}, search, "least"},
		{Limits{MaxBody: -1}, search, "body"},
		{Limits{Concurrency: Concurrency{Max: 2, Floor: 3}}, search, "concurrency.floor"},
		{Limits{Concurrency: Concurrency{Queue: 3, Wait: ms}}, search, "concurrency.queue"},
		{Limits{Concurrency: Concurrency{Max: 1, Queue: 3}}, search, "concurrency.wait"},
		{Limits{Concurrency: Concurrency{Max: 1, Queue: 3, Wait: 3 * sec}}, search, "concurrency.wait"},
		{Limits{Rate: Rate{0, 3}}, search, "rate.per_second"},
		{Limits{Rate: Rate{-1, 3}}, search, "rate.per_second"},
		{Limits{Rate: Rate{5, 0}}, search, "rate.burst"},
		{Limits{Retries: RetryBudget{Ratio: 0.2}}, search, "repeats.span"},
		{Limits{Retries: RetryBudget{Span: sec}}, search, "repeats.share"},
		{Limits{Retries: RetryBudget{Ratio: 5, Span: sec}}, search, "repeats.share"},
	} {
		got := c.l.Check(c.class)
		if c.field == "" && got != nil || c.field != "" && (len(got) != 1 || got[0].Field != c.field) {
			t.Errorf("%+v: %v, want %q", c.l, got, c.field)
		}
	}
	for _, c := range []struct {
		schedule AttemptSchedule
		class    Class
		want     string
	}{
		{AttemptSchedule{}, bid, ""},
		{AttemptSchedule{Attempts: 3, Timeout: 800 * ms, Backoff: 100 * ms}, search, ""},
		{AttemptSchedule{Attempts: 4, Timeout: 800 * ms}, search, "clients of lot-search give up at 3s"},
		{AttemptSchedule{Attempts: 3, Timeout: 800 * ms, Backoff: 400 * ms, Jitter: 0.5}, search, "3.6s after"},
		{AttemptSchedule{Attempts: 4, Timeout: sec, Backoff: 400 * ms}, bid, "dropped for 4s only"},
		{AttemptSchedule{Attempts: 2, Timeout: sec}, Class{Name: "pay", Effect: NotIdempotent, Timeout: 9 * sec, Attempts: 3}, "must not be repeated"},
		{AttemptSchedule{Timeout: -1}, search, "0 or more"},
	} {
		got := c.schedule.Check(c.class, 0)
		if c.want == "" && got != nil || c.want != "" && (len(got) == 0 || !strings.Contains(fmt.Sprint(got), c.want)) {
			t.Errorf("%+v of %s: %v, want %q", c.schedule, c.class.Name, got, c.want)
		}
	}
}

// A limiter never has more requests in flight or queued than its limits, decides on every request exactly once, admits queued
// requests by priority and then in order of arrival, and accepts no more in any second than its rate and burst.
func TestLimiter(t *testing.T) {
	proptest.Seed(t, 400)
	rapid.Check(t, func(t *rapid.T) {
		limiter := &Limiter{Limits: Limits{Concurrency: Concurrency{Max: rapid.IntRange(1, 6).Draw(t, "max"), Queue: rapid.IntRange(0, 4).Draw(t, "queue"), Wait: 300 * ms}}}
		if rapid.Bool().Draw(t, "adaptive") {
			limiter.Limits.Concurrency.Floor = 1
		}
		if rapid.Bool().Draw(t, "rate") {
			limiter.Limits.Rate = Rate{float64(rapid.IntRange(1, 20).Draw(t, "per second")), rapid.IntRange(1, 5).Draw(t, "burst")}
		}
		now, id := sec, uint64(0)
		var inFlight, waiting []uint64
		priority := map[uint64]int{}
		decisions := map[uint64]int{}  // per request, those to admit or to reject
		var withinRate []time.Duration // arrivals that the rate limit accepted
		decide := func(n uint64, d Decision) {
			switch d.Action {
			case Admit:
				inFlight = append(inFlight, n)
			case Wait:
				waiting = append(waiting, n)
				return
			case Reject:
				if d.RetryAfter <= 0 || d.Reason == "" {
					t.Fatalf("rejected without a retry-after time or a reason: %+v", d)
				}
			}
			if decisions[n]++; decisions[n] > 1 {
				t.Fatalf("request %d is decided on twice", n)
			}
		}
		next := func() {
			for _, x := range limiter.Next(now) {
				i := slices.Index(waiting, x.ID)
				if i < 0 {
					t.Fatalf("request %d is not queued", x.ID)
				}
				for _, o := range waiting {
					if x.Action == Admit && decisions[o] == 0 && (priority[o] > priority[x.ID] || priority[o] == priority[x.ID] && o < x.ID) {
						t.Fatalf("request %d of priority %d is admitted before request %d of priority %d", x.ID, priority[x.ID], o, priority[o])
					}
				}
				waiting = slices.Delete(waiting, i, i+1)
				decide(x.ID, x.Decision)
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 120).Draw(t, "ms")) * ms
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0, 1:
				id++
				priority[id] = rapid.IntRange(0, 2).Draw(t, "priority")
				d := limiter.Arrive(id, priority[id], now, now+time.Duration(rapid.IntRange(0, 2000).Draw(t, "time left"))*ms)
				if d.Reason != ReasonRate && d.Reason != ReasonShort {
					withinRate = append(withinRate, now)
				}
				decide(id, d)
			case 2:
				if len(inFlight) > 0 {
					inFlight = inFlight[1:]
					limiter.Done(time.Duration(rapid.IntRange(1, 900).Draw(t, "latency"))*ms, rapid.Bool().Draw(t, "answered"))
				}
			case 3:
				if len(waiting) > 0 && rapid.Bool().Draw(t, "disconnects") {
					if !limiter.Remove(waiting[0]) {
						t.Fatalf("Remove does not find request %d, which is queued", waiting[0])
					}
					waiting = waiting[1:]
				}
			}
			next()
			c := limiter.Counts()
			if len(inFlight) > limiter.Limits.Concurrency.Max || c.InFlight != len(inFlight) || len(waiting) > limiter.Limits.Concurrency.Queue || c.Waiting != len(waiting) {
				t.Fatalf("%d in flight, %d queued, but the counts are %+v", len(inFlight), len(waiting), c)
			}
			if due := limiter.Due(); len(waiting) > 0 && due <= now {
				t.Fatalf("Due returns %v after Next at %v", due, now)
			}
		}
		if r := limiter.Limits.Rate; r.PerSecond > 0 {
			for i := range withinRate {
				n := 0
				for _, at := range withinRate[i:] {
					if at <= withinRate[i]+sec {
						n++
					}
				}
				if float64(n) > r.PerSecond+float64(r.Burst)+1 {
					t.Fatalf("%d requests in one second, with a rate of %v per second and a burst of %d", n, r.PerSecond, r.Burst)
				}
			}
		}
	})
}

// If every subquery is to be retried, the budget allows no more retries than its ratio, so that failures cause no retry storm.
func TestRetryBudget(t *testing.T) {
	limiter := &Limiter{Limits: Limits{Retries: RetryBudget{Ratio: 0.1, Minimum: 2, Span: 10 * sec}}}
	now, allowed, first := sec, 0, 0
	for range 20000 { // 1,000 first attempts per second
		now += ms
		limiter.FirstAttempt(now)
		first++
		if limiter.Retry(now) {
			allowed++
		}
	}
	if ratio := float64(allowed) / float64(first); ratio < 0.08 || ratio > 0.11 {
		t.Errorf("%d retries for %d first attempts", allowed, first)
	}
	limiter.FirstAttempt(now - time.Hour) // counts are kept if the clock goes back
	if limiter.Retry(now - time.Hour) {
		t.Error("a clock that went back allowed a retry beyond the budget")
	}
	if !limiter.Retry(now + time.Minute) {
		t.Error("the minimum of retries is not allowed without first attempts")
	}
}

// The limit falls while answers are slower than the long-term average, not below its floor, and recovers afterwards.
func TestLimitAdaptsToLatency(t *testing.T) {
	limiter := &Limiter{Limits: Limits{Concurrency: Concurrency{Max: 64, Floor: 4}}}
	answerAtFullLoad := func(latency time.Duration, answers int) int {
		for range answers {
			for limiter.Counts().InFlight < limiter.Counts().Limit {
				limiter.Arrive(0, 0, 0, time.Hour)
			}
			limiter.Done(latency, true)
		}
		return limiter.Counts().Limit
	}
	if n := answerAtFullLoad(100*ms, 200); n != 64 {
		t.Errorf("limit %d at a constant latency, want 64", n)
	}
	congested := answerAtFullLoad(time.Second, 100)
	if congested > 16 || congested < 4 {
		t.Errorf("limit %d at ten times the latency, want 4 to 16", congested)
	}
	if n := answerAtFullLoad(100*ms, 800); n < 48 {
		t.Errorf("limit %d after the latency has recovered, want 48 or more", n)
	}
	limiter = &Limiter{Limits: Limits{Concurrency: Concurrency{Max: 1}}}
	if a, b := limiter.Arrive(1, 0, 0, sec), limiter.Arrive(2, 0, 0, sec); a.Action != Admit || b.Action != Reject || b.Reason != ReasonFull {
		t.Errorf("two requests with a limit of 1: %+v, %+v", a, b)
	}
}

// findByScan finds the route of a request by comparing it with all of them.
func findByScan(routes []*Route, r *Request, class string) (best *Route) {
	var highest specificity
	for _, x := range routes {
		literal, isPrefix := strings.CutSuffix(x.Match.Index, "*")
		if x.Match.Index != "" && r.Index != literal && (!isPrefix || !strings.HasPrefix(r.Index, literal)) || x.Class != "" && x.Class != class || !x.Match.matchesExceptIndex(r) {
			continue
		}
		if s := x.specificity(r.Client); best == nil || s.compare(highest) > 0 {
			best, highest = x, s
		}
	}
	return best
}

// benchmarkRoutes returns n routes without conflicts, by index, index prefix and client group.
func benchmarkRoutes(n int) (list []*Route) {
	for i := range n {
		r := &Route{Name: fmt.Sprint("r", i), LineNumber: i}
		switch i % 4 {
		case 0:
			r.Match.Index = fmt.Sprintf("lots-%d", i)
		case 1:
			r.Match.Index = fmt.Sprintf("lots-%d*", i)
		case 2:
			r.Match.Clients = []netip.Prefix{netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 0}), 24)}
		case 3:
			r.Match = Match{Index: fmt.Sprintf("lots-%d", i/40), Methods: []string{"GET"}, Clients: []netip.Prefix{netip.PrefixFrom(netip.AddrFrom4([4]byte{11, byte(i >> 8), byte(i), 0}), 24)}}
		}
		list = append(list, r)
	}
	return list
}

// Find returns the same route as a scan of all routes, or one that is equally specific. NewTable reports conflicts.
func TestFind(t *testing.T) {
	proptest.Seed(t, 1000)
	patterns := rapid.SampledFrom([]string{"", "*", "a", "ab", "ab*", "abc", "a*", "b*", "bids", "abcd*"})
	nets := rapid.SampledFrom([]string{"10.0.0.0/8", "10.1.0.0/16", "10.1.2.0/24", "::1/128", "0.0.0.0/0"})
	rapid.Check(t, func(t *rapid.T) {
		var list []*Route
		for i := range rapid.IntRange(0, 30).Draw(t, "routes") {
			r := &Route{Name: fmt.Sprint(i), LineNumber: i, Class: rapid.SampledFrom([]string{"", "", "c"}).Draw(t, "class")}
			r.Match.Index = rapid.Custom(func(t *rapid.T) string { return patterns.Draw(t, "pattern") }).Draw(t, "index")
			r.Match.Front = rapid.SampledFrom([]string{"", "", "platform"}).Draw(t, "front")
			for range rapid.IntRange(0, 2).Draw(t, "nets") {
				r.Match.Clients = append(r.Match.Clients, netip.MustParsePrefix(nets.Draw(t, "net")))
			}
			if rapid.IntRange(0, 3).Draw(t, "methods") == 0 {
				r.Match.Methods = []string{"GET"}
			}
			if rapid.IntRange(0, 3).Draw(t, "header") == 0 {
				r.Match.Header, r.Match.Value = "Tool", rapid.SampledFrom([]string{"x", "y"}).Draw(t, "value")
			}
			if _, conflicts := NewTable(append(slices.Clone(list), r)); conflicts == nil {
				list = append(list, r) // a valid configuration has no conflicts
			}
		}
		table, _ := NewTable(list)
		for range 20 {
			q := &Request{Front: rapid.SampledFrom([]string{"platform", "opensearch"}).Draw(t, "front"), Method: rapid.SampledFrom([]string{"GET", "POST"}).Draw(t, "method"),
				Index: strings.TrimSuffix(patterns.Draw(t, "index"), "*"), Client: netip.MustParseAddr(rapid.SampledFrom([]string{"10.1.2.3", "10.1.9.9", "10.9.9.9", "::1", "9.9.9.9"}).Draw(t, "client"))}
			value := rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "tool")
			q.Header = func(string) string { return value }
			class := rapid.SampledFrom([]string{"c", "d"}).Draw(t, "class")
			got, want := table.Find(q, class), findByScan(list, q, class)
			if got != want && (got == nil || want == nil || got.specificity(q.Client).compare(want.specificity(q.Client)) != 0) {
				t.Fatalf("%+v: found %+v, want %+v", q, got, want)
			}
		}
	})
	a, b := &Route{Name: "a", Match: Match{Index: "x"}}, &Route{Name: "b", Match: Match{Index: "x"}, LineNumber: 1}
	if _, c := NewTable([]*Route{a, b}); len(c) != 1 || !strings.Contains(c[0].Error(), "routes a and b") {
		t.Errorf("%v", c)
	}
}

// BenchmarkFind finds a route among many, by the trie and by a scan of all routes.
func BenchmarkFind(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		list := benchmarkRoutes(n)
		table, conflicts := NewTable(list)
		if conflicts != nil {
			b.Fatal(conflicts[0])
		}
		q := &Request{Method: "GET", Index: fmt.Sprintf("lots-%d", n/2/4*4), Client: netip.MustParseAddr("10.0.2.7")}
		b.Run(fmt.Sprintf("trie/routes=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.Find(q, "")
			}
		})
		b.Run(fmt.Sprintf("scan/routes=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				findByScan(list, q, "")
			}
		})
	}
}

// BenchmarkLimiter admits a request and ends it.
func BenchmarkLimiter(b *testing.B) {
	limiter := &Limiter{Limits: Limits{Concurrency: Concurrency{Max: 100, Floor: 10, Queue: 100, Wait: sec}, Rate: Rate{1e9, 1000}, Retries: RetryBudget{0.2, 5, 10 * sec}}}
	b.ReportAllocs()
	now := sec
	for b.Loop() {
		now += 100 * time.Microsecond
		limiter.Arrive(1, 0, now, now+sec)
		limiter.FirstAttempt(now)
		limiter.Done(50*ms, true)
	}
}
