package search

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pulleygw.example/pulleygw/internal/gatherer/merge"
	"pulleygw.example/pulleygw/internal/gatherer/proptest"
)

const (
	sec = time.Second
	ms  = time.Millisecond
)

var byScore = []merge.Key{{Field: merge.Score, Desc: true}}

// Whichever bounds were learned from earlier searches, and in whichever order answers arrive, pruning does not change the
// result: the page is that of a search of all ranges, and the count is exact or reported as a lower bound.
func TestPruningDoesNotChangeResult(t *testing.T) {
	proptest.Seed(t, 1000)
	rapid.Check(t, func(t *rapid.T) {
		keys := []merge.Key{{Field: "price", Desc: rapid.Bool().Draw(t, "desc"), MissingFirst: rapid.Bool().Draw(t, "missing first")}}
		values := rapid.Custom(func(t *rapid.T) merge.Value {
			if rapid.IntRange(0, 9).Draw(t, "missing") == 0 {
				return merge.Value{}
			}
			return merge.Num(float64(rapid.IntRange(0, 30).Draw(t, "price")))
		})
		if rapid.Bool().Draw(t, "by score") {
			keys, values = byScore, rapid.Custom(func(t *rapid.T) merge.Value { return merge.Num(float64(rapid.IntRange(1, 30).Draw(t, "score"))) })
		}
		w := newFakeStores(keys, rapid.SliceOfN(rapid.SliceOfN(values, 0, 8), 1, 40).Draw(t, "lots"))
		x := NewIndex(len(w.lots), 10000)
		at := sec
		for range rapid.IntRange(1, 4).Draw(t, "searches") {
			q := &Query{Keys: keys, From: rapid.IntRange(0, 5).Draw(t, "from"), Size: rapid.IntRange(0, 6).Draw(t, "size"),
				Count: rapid.SampledFrom([]Counting{CountNone, CountAll, CountBestEffort, 7}).Draw(t, "count"), Name: "q", Plain: true, Clauses: []string{"c"}}
			want, total := w.page(q)
			p := w.plan(q, x)
			r, _ := w.run(p, at, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "next") })
			if !slices.Equal(ids(r.Hits), want) {
				t.Fatalf("page %v, want %v; skipped ranges %v", ids(r.Hits), want, r.Skipped)
			}
			if q.Count != CountNone && (r.Total > total || !r.AtLeast && r.Total != total) ||
				q.Count == CountAll && r.AtLeast || q.Count == 7 && r.AtLeast && r.Total < 7 {
				t.Fatalf("total %d (lower bound: %v), want %d with counting %d", r.Total, r.AtLeast, total, q.Count)
			}
			if !r.Complete() || r.Fraction() < 0.999 || r.Answered+len(r.Skipped) != len(w.lots) {
				t.Fatalf("not complete: %+v", r)
			}
			at += 100 * ms
			if rapid.Bool().Draw(t, "write") { // seen when another replica reports the new version, or the guarantee has expired
				n := rapid.IntRange(0, len(w.lots)-1).Draw(t, "range")
				w.write(keys, n, fmt.Sprint("new-", at), values.Draw(t, "value"))
				if rapid.Bool().Draw(t, "reported") {
					x.Learn(&Query{Keys: keys}, n, 999, &Answer{View: w.view[n]}, at)
				} else {
					at += 11 * sec
				}
			}
		}
	})
}

// fallingScores returns n ranges with ten lots each, whose scores fall with the number of the range.
func fallingScores(n int) *fakeStores {
	var ranges [][]merge.Value
	for r := range n {
		var list []merge.Value
		for i := range 10 {
			list = append(list, merge.Num(float64(1000-10*r-i)))
		}
		ranges = append(ranges, list)
	}
	return newFakeStores(byScore, ranges)
}

// The second search with the same name asks the few ranges that have the lots of the page, and skips the rest.
func TestPruningSavesRequests(t *testing.T) {
	w, x := fallingScores(200), NewIndex(200, 10000)
	q := &Query{Keys: byScore, Size: 10, Count: CountBestEffort, Name: "q"}
	w.run(w.plan(q, x), sec, pickFirst)
	r, fetch := w.run(w.plan(q, x), 2*sec, pickFirst)
	if r.Answered > 20 || len(r.Skipped) != 200-r.Answered || len(fetch) != 1 || r.Total != 2000 || r.AtLeast {
		t.Errorf("%d ranges answered, %d skipped, %d fetches, total %d", r.Answered, len(r.Skipped), len(fetch), r.Total)
	}
	if r, _ = w.run(w.plan(&Query{Keys: byScore, Size: 10, Name: "q"}, nil), 2*sec, pickFirst); r.Answered != 200 {
		t.Errorf("%d of 200 ranges answered without bounds", r.Answered)
	}
}

// A bound becomes invalid when its guarantee expires, when a later version is reported, and when a replica that has reported
// versions restarts or ends. Nothing is learned from a replica that lags behind.
func TestBoundsExpire(t *testing.T) {
	q := &Query{Keys: byScore, Size: 10, Name: "q", Clauses: []string{"c"}, Plain: true, Count: CountBestEffort}
	twoClauses := &Query{Keys: byScore, Size: 10, Name: "q2", Clauses: []string{"c", "c"}}
	answer := func(version int64, boot string, stableFor float64) *Answer {
		return &Answer{Hits: []merge.Hit{{ID: "a", Sort: []merge.Value{merge.Num(5)}}}, Total: 1, View: View{boot, version, stableFor}}
	}
	for _, c := range []struct {
		name   string
		change func(x *Index) // what happens after replica 1 has guaranteed version 7 until 11 s
		at     time.Duration
		want   bool
	}{
		{"guaranteed", func(*Index) {}, 2 * sec, true},
		{"guarantee expired", func(*Index) {}, 11 * sec, false},
		{"another replica, same version", func(x *Index) { x.Learn(q, 0, 2, answer(7, "b2", 1), 2*sec) }, 2 * sec, true},
		{"another replica, later version", func(x *Index) { x.Learn(&Query{Keys: byScore}, 0, 2, answer(8, "b2", 0), 2*sec) }, 2 * sec, false},
		{"replica lags behind", func(x *Index) { x.Learn(q, 0, 2, answer(6, "b2", 90), 2*sec) }, 2 * sec, true},
		{"renewed by another replica", func(x *Index) { x.Learn(&Query{Keys: byScore}, 0, 2, answer(7, "b2", 30), 2*sec) }, 12 * sec, true},
		{"renewed after it had expired", func(x *Index) { x.Learn(&Query{Keys: byScore}, 0, 2, answer(7, "b2", 30), 15*sec) }, 16 * sec, true},
		{"lower version after it had expired", func(x *Index) { x.Learn(&Query{Keys: byScore}, 0, 2, answer(3, "b2", 30), 15*sec) }, 16 * sec, false},
		{"longer guarantee of a replica that lags behind", func(x *Index) { x.Learn(q, 0, 2, answer(6, "b2", 90), 2*sec) }, 12 * sec, false},
		{"replica restarts", func(x *Index) { x.Learn(&Query{Keys: byScore}, 0, 1, answer(7, "b9", 5), 2*sec) }, 2 * sec, false},
		{"replica ends", func(x *Index) { x.Forget(1) }, 2 * sec, false},
		{"another replica ends", func(x *Index) { x.Forget(2) }, 2 * sec, true},
	} {
		x := NewIndex(2, 100)
		x.Learn(q, 0, 1, answer(7, "b1", 10), sec)
		c.change(x)
		for _, q := range []*Query{q, twoClauses} {
			b := x.bounds(q, c.at)
			if _, ok := b.boundOf(0); ok != c.want {
				t.Errorf("%s: bound for %s known: %v, want %v", c.name, q.Name, ok, c.want)
			}
			if _, ok := b.boundOf(1); ok {
				t.Errorf("%s: a bound for a range that has not answered", c.name)
			}
		}
	}
	x := NewIndex(2, 100)
	x.Learn(q, 0, 1, answer(7, "b1", 0), sec)
	x.Learn(q, 0, 1, answer(7, "", 10), sec)
	x.Learn(q, 5, 1, answer(7, "b1", 10), sec) // range 5 does not exist
	b := x.bounds(q, sec+ms)
	if _, ok := b.boundOf(0); ok {
		t.Error("a bound from a replica that guaranteed nothing")
	}
}

// The sum of the bounds of its clauses is a bound of a query with several clauses. The least recently used names are evicted.
func TestClausesAndEviction(t *testing.T) {
	x := NewIndex(10, 30)
	for i, best := range []float64{3, 4} {
		clause := fmt.Sprint("c", i)
		x.Learn(&Query{Keys: byScore, Size: 1, Clauses: []string{clause}, Plain: true}, 4, 1,
			&Answer{Hits: []merge.Hit{{ID: "a", Sort: []merge.Value{merge.Num(best)}}}, Total: 9, View: View{"b", 1, 60}}, sec)
	}
	sum := &Query{Keys: byScore, Size: 1, Clauses: []string{"c0", "c1"}}
	b := x.bounds(sum, sec)
	if got, ok := b.boundOf(4); !ok || got.Best[0].Num < 7 || got.Best[0].Num > 7.001 || got.Exact {
		t.Errorf("bound %+v, %v", got, ok)
	}
	for i := range 3 {
		x.Learn(&Query{Keys: byScore, Size: 1, Name: fmt.Sprint("q", i)}, 4, 1, &Answer{View: View{"b", 1, 60}}, sec)
	}
	if slots, names := x.Len(); slots > 30 || names != 3 {
		t.Errorf("%d slots, %d names", slots, names)
	}
	b = x.bounds(sum, sec)
	if _, ok := b.boundOf(4); ok {
		t.Error("a bound from clauses that were evicted")
	}
}

// All remaining ranges are requested at the last time that leaves enough for them, however slow the first wave is.
func TestRequestAllInTime(t *testing.T) {
	w, x := fallingScores(40), NewIndex(40, 10000)
	q := &Query{Keys: byScore, Size: 10, Count: CountBestEffort, Name: "q"}
	w.run(w.plan(q, x), sec, pickFirst)
	p := w.plan(q, x)
	o := p.Start(2*sec, Times{End: 3 * sec, UsualLatency: 25 * ms})
	if n := len(o.Request); n == 0 || n > 10 {
		t.Fatalf("%d ranges in the first wave, want 1 to 10", n)
	}
	if p.Due() != 2950*ms {
		t.Errorf("due at %v, want 2.95s", p.Due())
	}
	if rest := p.Tick(2900 * ms); len(rest.Request) != 0 {
		t.Errorf("%d ranges requested before the time", len(rest.Request))
	}
	if rest := p.Tick(2950 * ms); len(rest.Request)+len(o.Request) != 40 || p.Due() != 0 {
		t.Errorf("%d ranges requested at last, after %d in the first wave", len(rest.Request), len(o.Request))
	}
	p = w.plan(q, x)
	if o := p.Start(2*sec, Times{End: 2090 * ms, UsualLatency: 25 * ms}); len(o.Request) != 40 {
		t.Errorf("%d of 40 ranges requested although there is time for one wave only", len(o.Request))
	}
}

// A range that can no longer change the page is skipped even when its request is in flight, and its answer is ignored.
func TestSkipInFlight(t *testing.T) {
	w, x := fallingScores(12), NewIndex(12, 10000)
	q := &Query{Keys: byScore, Size: 10, Count: CountBestEffort, Name: "q"}
	w.run(w.plan(q, x), sec, pickFirst)
	p := w.plan(q, x)
	p.Start(2*sec, Times{End: 2090 * ms, UsualLatency: 25 * ms}) // one wave
	o := p.RecordAnswer(0, 0, w.answer(q, 0), 2*sec, 2*sec)
	n := len(o.Skip) // the lowest score of range 0 is 991, and the highest of range 1 is 990
	p.RecordAnswer(o.Skip[0], 0, w.answer(q, o.Skip[0]), 2*sec, 2*sec)
	p.Close()
	if r := p.Result(); n < 10 || len(r.Skipped) != n || r.Answered != 1 {
		t.Errorf("%d skipped: %+v", n, r)
	}
}

// Lots with equal scores are ordered by range, so that the page does not depend on the order in which answers arrive.
func TestTiesAtEndOfPage(t *testing.T) {
	var ranges [][]merge.Value
	for range 20 {
		ranges = append(ranges, []merge.Value{merge.Num(1), merge.Num(1), merge.Num(1)})
	}
	w, x := newFakeStores(byScore, ranges), NewIndex(20, 10000)
	q := &Query{Keys: byScore, From: 2, Size: 5, Count: CountBestEffort, Name: "q"}
	want, _ := w.page(q)
	for n, pick := range []func(int) int{pickFirst, func(n int) int { return n - 1 }, func(n int) int { return n / 2 }, pickFirst} {
		if r, _ := w.run(w.plan(q, x), sec+time.Duration(n)*ms, pick); !slices.Equal(ids(r.Hits), want) {
			t.Errorf("page %v, want %v", ids(r.Hits), want)
		}
	}
}

// A lot that is missing from the listings, or whose sort values have changed, is left out, and the result is not complete. A
// lot that has changed but has the same sort values stays.
func TestChangedBetweenPhases(t *testing.T) {
	w := fallingScores(3)
	q := &Query{Keys: byScore, Size: 4, Count: CountBestEffort}
	p := w.plan(q, nil)
	p.Start(sec, ampleTime)
	for i := range 3 {
		a := w.answer(q, i)
		for n := range a.Hits {
			a.Hits[n].Version = 1
		}
		p.RecordAnswer(i, uint32(7+i), a, sec, sec)
	}
	f := p.Close()
	if len(f) != 1 || f[0].Source != 7 || len(f[0].IDs) != 4 || f[0].Weight < 0.999 {
		t.Fatalf("%+v", f)
	}
	p.RecordListings(0, &Answer{Hits: []merge.Hit{
		{ID: "0-0", Sort: []merge.Value{merge.Num(1000)}, Version: 2, Listing: "changed, same score"},
		{ID: "0-1", Sort: []merge.Value{merge.Num(3)}, Version: 2, Listing: "changed, other score"},
		{ID: "0-3", Sort: []merge.Value{merge.Num(996.9)}, Version: 1, Listing: "same version, slightly other score at another replica"},
		{ID: "9-9", Sort: []merge.Value{merge.Num(1001)}, Version: 1, Listing: "not requested"}}})
	r := p.Result()
	if !slices.Equal(ids(r.Hits), []string{"0-0", "0-3"}) || r.ChangedLots != 2 || r.Complete() || r.Listed != 1 {
		t.Errorf("%v %+v", ids(r.Hits), r)
	}
}

// Missing ranges and listings are reported, and Fraction is the fraction of the weight times that of the page.
func TestFraction(t *testing.T) {
	w := fallingScores(4)
	q := &Query{Keys: byScore, Size: 20, Count: CountBestEffort}
	p := w.plan(q, nil)
	p.Start(sec, ampleTime)
	for i := range 3 {
		p.RecordAnswer(i, 0, w.answer(q, i), sec, sec)
	}
	f := p.Close()
	p.RecordListings(f[0].Index, &Answer{Hits: w.answer(q, f[0].Index).Hits})
	r := p.Result()
	if !slices.Equal(r.Missing, []int{3}) || r.Weight != 0.75 || !r.AtLeast || r.Fraction() >= 0.75 || r.Complete() || r.Best != nil {
		t.Errorf("%+v, fraction %v", r, r.Fraction())
	}
}

// Check rejects impossible answers and accepts valid ones.
func TestCheck(t *testing.T) {
	q := &Query{Keys: byScore, Size: 2, Count: CountBestEffort}
	hit := func(id string, score float64) merge.Hit {
		return merge.Hit{ID: id, Sort: []merge.Value{merge.Num(score)}}
	}
	for _, c := range []struct {
		a     Answer
		valid bool
	}{
		{Answer{}, true},
		{Answer{Hits: []merge.Hit{hit("a", 2), hit("b", 1)}, Total: 5}, true},
		{Answer{Hits: []merge.Hit{hit("a", 2), hit("b", 1), hit("c", 1)}, Total: 3}, false},
		{Answer{Hits: []merge.Hit{hit("a", 1), hit("b", 2)}, Total: 2}, false},
		{Answer{Hits: []merge.Hit{hit("a", 2), hit("a", 2)}, Total: 2}, false},
		{Answer{Hits: []merge.Hit{hit("", 2)}, Total: 1}, false},
		{Answer{Hits: []merge.Hit{{ID: "a"}}, Total: 1}, false},
		{Answer{Hits: []merge.Hit{{ID: "a", Sort: []merge.Value{merge.Str("x")}}}, Total: 1}, false},
		{Answer{Hits: []merge.Hit{hit("a", 2)}, Total: 0}, false},
		{Answer{Hits: []merge.Hit{hit("a", 2)}, Total: 7}, false},
		{Answer{Total: -1}, false},
	} {
		if problem := c.a.Check(q); (problem == "") != c.valid {
			t.Errorf("%+v: Check returns %q, valid: %v", c.a, problem, c.valid)
		}
	}
}

// The choice between one phase and two follows the measurements and does not oscillate.
func TestChoose(t *testing.T) {
	c := NewChooser(0)
	q := &Query{Keys: byScore, Size: 10}
	if p, _ := c.Choose(0, q, 96); p != Two {
		t.Errorf("phases %d for 96 ranges", p)
	}
	if p, _ := c.Choose(0, q, 12); p != One {
		t.Errorf("phases %d for 12 ranges", p)
	}
	measure := func(phases Phases, requests, bytes int, latency time.Duration, n int) {
		for range n {
			c.Record(0, &Plan{Query: q, Phases: phases, ranges: make([]Range, 96), requests: requests, bytes: bytes}, latency, sec, true)
		}
	}
	measure(Two, 60, 30<<10, 300*ms, 20)
	measure(One, 96, 400<<10, 200*ms, 20)
	changes, trials := 0, 0
	for range 200 {
		p, why := c.Choose(0, q, 96)
		if why != "" {
			changes++
		}
		if p == One {
			trials++
		}
	}
	if changes != 0 || trials != 4 {
		t.Errorf("%d changes, %d trials of the alternative", changes, trials)
	}
	measure(Two, 60, 30<<10, 2*sec, 20) // now later than the target
	if p, why := c.Choose(0, q, 96); p != One || why == "" {
		t.Errorf("phases %d: %s", p, why)
	}
	if p, _ := NewChooser(One).Choose(0, q, 96); p != One {
		t.Error("a forced number of phases is not used")
	}
}

// BenchmarkPlan executes a plan over 200 ranges, with known bounds and without.
func BenchmarkPlan(b *testing.B) {
	for _, known := range []bool{false, true} {
		b.Run(fmt.Sprintf("known=%v", known), func(b *testing.B) {
			w, x := fallingScores(200), NewIndex(200, 100000)
			q := &Query{Keys: byScore, Size: 10, Count: CountBestEffort, Name: "q"}
			if known {
				w.run(w.plan(q, x), sec, pickFirst)
			} else {
				q.Name, x = "", nil
			}
			var ranges []Range
			answers := make([]*Answer, 200)
			for r := range 200 {
				ranges = append(ranges, Range{r, 1.0 / 200})
				answers[r] = w.answer(q, r)
			}
			b.ReportAllocs()
			for b.Loop() {
				p := NewPlan(q, Two, ranges, x)
				for _, i := range p.Start(2*sec, Times{End: 3 * sec, UsualLatency: 25 * ms}).Request {
					p.RecordAnswer(i, 0, answers[i], 2*sec, 2*sec)
				}
				p.Close()
				p.Result()
			}
		})
	}
}
