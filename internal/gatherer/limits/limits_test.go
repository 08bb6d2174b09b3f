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

// Limits that exceed the settings, or that violate the rules, are reported by field; valid ones pass.
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
		p     Plan
		class Class
		want  string
	}{
		{Plan{}, bid, ""},
		{Plan{Attempts: 3, Timeout: 800 * ms, Wait: 100 * ms}, search, ""},
		{Plan{Attempts: 4, Timeout: 800 * ms}, search, "clients of lot-search give up at 3s"},
		{Plan{Attempts: 3, Timeout: 800 * ms, Wait: 400 * ms, Jitter: 0.5}, search, "3.6s after"},
		{Plan{Attempts: 4, Timeout: sec, Wait: 400 * ms}, bid, "dropped for 4s only"},
		{Plan{Attempts: 2, Timeout: sec}, Class{Name: "pay", Effect: NotIdempotent, Timeout: 9 * sec, Attempts: 3}, "must not be repeated"},
		{Plan{Timeout: -1}, search, "0 or more"},
	} {
		got := c.p.Check(c.class, 0)
		if c.want == "" && got != nil || c.want != "" && (len(got) == 0 || !strings.Contains(fmt.Sprint(got), c.want)) {
			t.Errorf("%+v of %s: %v, want %q", c.p, c.class.Name, got, c.want)
		}
	}
}

// A gate never has more in flight than its limit, decides once on every request, serves higher priorities first and the
// rest in order of arrival, and admits no more in any second than its rate and burst.
func TestGate(t *testing.T) {
	proptest.Seed(t, 400)
	rapid.Check(t, func(t *rapid.T) {
		g := &Gate{Limits: Limits{Concurrency: Concurrency{Max: rapid.IntRange(1, 6).Draw(t, "most"), Queue: rapid.IntRange(0, 4).Draw(t, "queue"), Wait: 300 * ms}}}
		if rapid.Bool().Draw(t, "follows") {
			g.Limits.Concurrency.Floor = 1
		}
		if rapid.Bool().Draw(t, "rate") {
			g.Limits.Rate = Rate{float64(rapid.IntRange(1, 20).Draw(t, "per second")), rapid.IntRange(1, 5).Draw(t, "burst")}
		}
		now, id := sec, uint64(0)
		var inFlight, waiting []uint64
		prio := map[uint64]int{}
		decided := map[uint64]int{}
		var passed []time.Duration
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
			if decided[n]++; decided[n] > 1 {
				t.Fatalf("request %d is decided on twice", n)
			}
		}
		next := func() {
			for _, x := range g.Next(now) {
				i := slices.Index(waiting, x.ID)
				if i < 0 {
					t.Fatalf("request %d is not queued", x.ID)
				}
				for _, o := range waiting {
					if x.Action == Admit && decided[o] == 0 && (prio[o] > prio[x.ID] || prio[o] == prio[x.ID] && o < x.ID) {
						t.Fatalf("request %d of priority %d goes before %d of %d", x.ID, prio[x.ID], o, prio[o])
					}
				}
				waiting = slices.Delete(waiting, i, i+1)
				decide(x.ID, x.Decision)
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 120).Draw(t, "ms")) * ms
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				id++
				prio[id] = rapid.IntRange(0, 2).Draw(t, "priority")
				d := g.Arrive(id, prio[id], now, now+time.Duration(rapid.IntRange(0, 2000).Draw(t, "left"))*ms)
				if d.Reason != ReasonRate && d.Reason != ReasonShort {
					passed = append(passed, now)
				}
				decide(id, d)
			case 2:
				if len(inFlight) > 0 {
					inFlight = inFlight[1:]
					g.Done(time.Duration(rapid.IntRange(1, 900).Draw(t, "took"))*ms, rapid.Bool().Draw(t, "answered"))
				}
			case 3:
				if len(waiting) > 0 && rapid.Bool().Draw(t, "leaves") {
					if !g.Remove(waiting[0]) {
						t.Fatal("one that waits cannot leave")
					}
					waiting = waiting[1:]
				}
			}
			next()
			c := g.Counts()
			if len(inFlight) > g.Limits.Concurrency.Max || c.InFlight != len(inFlight) || len(waiting) > g.Limits.Concurrency.Queue || c.Waiting != len(waiting) {
				t.Fatalf("%d in hand, %d waiting: %+v", len(inFlight), len(waiting), c)
			}
			if due := g.Due(); len(waiting) > 0 && due <= now {
				t.Fatalf("due at %v, it is %v", due, now)
			}
		}
		if r := g.Limits.Rate; r.PerSecond > 0 {
			for i := range passed {
				n := 0
				for _, at := range passed[i:] {
					if at <= passed[i]+sec {
						n++
					}
				}
				if float64(n) > r.PerSecond+float64(r.Burst)+1 {
					t.Fatalf("%d in a second at %v a second, burst %d", n, r.PerSecond, r.Burst)
				}
			}
		}
	})
}

// A fifth of the stores fails and every subquery wants a retry: the budget allows its ratio and no storm after it.
func TestRetryBudget(t *testing.T) {
	g := &Gate{Limits: Limits{Retries: RetryBudget{Ratio: 0.1, Minimum: 2, Span: 10 * sec}}}
	now, allowed, first := sec, 0, 0
	for range 20000 { // 1,000 a second
		now += ms
		g.FirstAttempt(now)
		first++
		if g.Retry(now) {
			allowed++
		}
	}
	if share := float64(allowed) / float64(first); share < 0.08 || share > 0.11 {
		t.Errorf("%d repeats of %d first attempts", allowed, first)
	}
	g.FirstAttempt(now - time.Hour) // a clock that went back counts no less
	if g.Retry(now - time.Hour) {
		t.Error("a clock that went back opened the budget")
	}
	if !g.Retry(now + time.Minute) {
		t.Error("a quiet route may repeat nothing")
	}
}

// The limit falls while answers are slower than usual, to its floor and no lower, and recovers afterwards.
func TestLimitAdaptsToLatency(t *testing.T) {
	g := &Gate{Limits: Limits{Concurrency: Concurrency{Max: 64, Floor: 4}}}
	play := func(took time.Duration, answers int) int {
		for range answers {
			for g.Counts().InFlight < g.Counts().Limit {
				g.Arrive(0, 0, 0, time.Hour)
			}
			g.Done(took, true)
		}
		return g.Counts().Limit
	}
	if n := play(100*ms, 200); n != 64 {
		t.Errorf("limit %d on a calm day", n)
	}
	jam := play(time.Second, 100)
	if jam > 16 || jam < 4 {
		t.Errorf("limit %d in a jam", jam)
	}
	if n := play(100*ms, 800); n < 48 {
		t.Errorf("limit %d after the jam", n)
	}
	g = &Gate{Limits: Limits{Concurrency: Concurrency{Max: 1}}}
	if a, b := g.Arrive(1, 0, 0, sec), g.Arrive(2, 0, 0, sec); a.Action != Admit || b.Action != Reject || b.Reason != ReasonFull {
		t.Errorf("a limit of 1: %+v, %+v", a, b)
	}
}

// linear finds a route by looking at all of them.
func linear(routes []*Route, r *Request, class string) (best *Route) {
	var at specificity
	for _, x := range routes {
		literal, open := strings.CutSuffix(x.Match.Index, "*")
		if x.Match.Index != "" && r.Index != literal && (!open || !strings.HasPrefix(r.Index, literal)) || x.Class != "" && x.Class != class || !x.Match.takes(r) {
			continue
		}
		if e := x.specificity(r.Client); best == nil || e.compare(at) > 0 {
			best, at = x, e
		}
	}
	return best
}

func routes(n int) (list []*Route) {
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

// The trie finds what looking at every route finds.
func TestFind(t *testing.T) {
	proptest.Seed(t, 1000)
	pieces := rapid.SampledFrom([]string{"", "*", "a", "ab", "ab*", "abc", "a*", "b*", "bids", "abcd*"})
	nets := rapid.SampledFrom([]string{"10.0.0.0/8", "10.1.0.0/16", "10.1.2.0/24", "::1/128", "0.0.0.0/0"})
	rapid.Check(t, func(t *rapid.T) {
		var list []*Route
		for i := range rapid.IntRange(0, 30).Draw(t, "routes") {
			r := &Route{Name: fmt.Sprint(i), LineNumber: i, Class: rapid.SampledFrom([]string{"", "", "c"}).Draw(t, "class")}
			r.Match.Index = rapid.Custom(func(t *rapid.T) string { return pieces.Draw(t, "p") }).Draw(t, "index")
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
				list = append(list, r) // a good file has none
			}
		}
		table, _ := NewTable(list)
		for range 20 {
			q := &Request{Front: rapid.SampledFrom([]string{"platform", "opensearch"}).Draw(t, "front"), Method: rapid.SampledFrom([]string{"GET", "POST"}).Draw(t, "method"),
				Index: strings.TrimSuffix(pieces.Draw(t, "index"), "*"), Client: netip.MustParseAddr(rapid.SampledFrom([]string{"10.1.2.3", "10.1.9.9", "10.9.9.9", "::1", "9.9.9.9"}).Draw(t, "client"))}
			value := rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "tool")
			q.Header = func(string) string { return value }
			class := rapid.SampledFrom([]string{"c", "d"}).Draw(t, "class")
			got, want := table.Find(q, class), linear(list, q, class)
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

// BenchmarkFind finds a route among many, by the trie and by looking at all.
func BenchmarkFind(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		list := routes(n)
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
				linear(list, q, "")
			}
		})
	}
}

// BenchmarkGate admits and ends a request.
func BenchmarkGate(b *testing.B) {
	g := &Gate{Limits: Limits{Concurrency: Concurrency{Max: 100, Floor: 10, Queue: 100, Wait: sec}, Rate: Rate{1e9, 1000}, Retries: RetryBudget{0.2, 5, 10 * sec}}}
	b.ReportAllocs()
	now := sec
	for b.Loop() {
		now += 100 * time.Microsecond
		g.Arrive(1, 0, now, now+sec)
		g.FirstAttempt(now)
		g.Done(50*ms, true)
	}
}
