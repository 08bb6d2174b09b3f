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

// Whatever bounds were learned from earlier searches and in whichever order answers arrive, pruning loses no lot: the
// page is that of a full search, the count is exact or says that it is a bound, and no range is asked twice.
func TestPruningLosesNothing(t *testing.T) {
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
		w := newWorld(keys, rapid.SliceOfN(rapid.SliceOfN(values, 0, 8), 1, 40).Draw(t, "lots"))
		x := NewIndex(len(w.lots), 10000)
		at := sec
		for range rapid.IntRange(1, 4).Draw(t, "searches") {
			q := &Query{Keys: keys, From: rapid.IntRange(0, 5).Draw(t, "from"), Size: rapid.IntRange(0, 6).Draw(t, "size"),
				Count: rapid.SampledFrom([]Counting{CountNone, CountAll, CountAnyhow, 7}).Draw(t, "count"), Name: "q", Plain: true, Clauses: []string{"c"}}
			want, total := w.page(q)
			p := w.plan(q, x)
			r, _ := w.run(p, at, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "next") })
			if !slices.Equal(ids(r.Hits), want) {
				t.Fatalf("page %v, want %v; skipped %v", ids(r.Hits), want, r.Skipped)
			}
			if q.Count != CountNone && (r.Total > total || !r.AtLeast && r.Total != total) ||
				q.Count == CountAll && r.AtLeast || q.Count == 7 && r.AtLeast && r.Total < 7 {
				t.Fatalf("total %d, at least %v, truly %d, asked for %d", r.Total, r.AtLeast, total, q.Count)
			}
			if !r.Complete() || r.Fraction() < 0.999 || r.Answered+len(r.Skipped) != len(w.lots) {
				t.Fatalf("not whole: %+v", r)
			}
			at += 100 * ms
			if rapid.Bool().Draw(t, "write") { // the view moves when its promise is over, or another copy tells
				n := rapid.IntRange(0, len(w.lots)-1).Draw(t, "range")
				w.write(keys, n, fmt.Sprint("new-", at), values.Draw(t, "value"))
				if rapid.Bool().Draw(t, "told") {
					x.Learn(&Query{Keys: keys}, n, 999, &Answer{View: w.view[n]}, at)
				} else {
					at += 11 * sec
				}
			}
		}
	})
}

// forty ranges whose best score falls with their number, ten lots each.
func falling(n int) *world {
	var ranges [][]merge.Value
	for r := range n {
		var list []merge.Value
		for i := range 10 {
			list = append(list, merge.Num(float64(1000-10*r-i)))
		}
		ranges = append(ranges, list)
	}
	return newWorld(byScore, ranges)
}

// The second search of a kind asks the few ranges that contain the page, and skips the rest.
func TestPruningSavesRequests(t *testing.T) {
	w, x := falling(200), NewIndex(200, 10000)
	q := &Query{Keys: byScore, Size: 10, Count: CountAnyhow, Name: "q"}
	w.run(w.plan(q, x), sec, first)
	r, fetch := w.run(w.plan(q, x), 2*sec, first)
	if r.Answered > 20 || len(r.Skipped) != 200-r.Answered || len(fetch) != 1 || r.Total != 2000 || r.AtLeast {
		t.Errorf("%d ranges asked, %d skipped, %d fetches, total %d", r.Answered, len(r.Skipped), len(fetch), r.Total)
	}
	if r, _ = w.run(w.plan(&Query{Keys: byScore, Size: 10, Name: "q"}, nil), 2*sec, first); r.Answered != 200 {
		t.Errorf("%d of 200 asked with nothing known", r.Answered)
	}
}

// A bound is invalid when its guarantee expires, when a later version is reported, and when a replica that reported
// restarts or ends. Nothing is learned from versions that lag.
func TestBoundsExpire(t *testing.T) {
	q := &Query{Keys: byScore, Size: 10, Name: "q", Clauses: []string{"c"}, Plain: true, Count: CountAnyhow}
	two := &Query{Keys: byScore, Size: 10, Name: "q2", Clauses: []string{"c", "c"}}
	answer := func(version int64, boot string, holds float64) *Answer {
		return &Answer{Hits: []merge.Hit{{ID: "a", Sort: []merge.Value{merge.Num(5)}}}, Total: 1, View: View{boot, version, holds}}
	}
	for _, c := range []struct {
		name string
		then func(x *Index)
		at   time.Duration
		want bool
	}{
		{"holds", func(*Index) {}, 2 * sec, true},
		{"time is up", func(*Index) {}, 11 * sec, false},
		{"another copy, same version", func(x *Index) { x.Learn(q, 0, 2, answer(7, "b2", 1), 2*sec) }, 2 * sec, true},
		{"later version elsewhere", func(x *Index) { x.Learn(&Query{Keys: byScore}, 0, 2, answer(8, "b2", 0), 2*sec) }, 2 * sec, false},
		{"copy lags behind", func(x *Index) { x.Learn(q, 0, 2, answer(6, "b2", 90), 2*sec) }, 2 * sec, true},
		{"renewed by another copy", func(x *Index) { x.Learn(&Query{Keys: byScore}, 0, 2, answer(7, "b2", 30), 2*sec) }, 12 * sec, true},
		{"renewed after it had run out", func(x *Index) { x.Learn(&Query{Keys: byScore}, 0, 2, answer(7, "b2", 30), 15*sec) }, 16 * sec, true},
		{"numbered anew after it had run out", func(x *Index) { x.Learn(&Query{Keys: byScore}, 0, 2, answer(3, "b2", 30), 15*sec) }, 16 * sec, false},
		{"copy lags behind and outlives", func(x *Index) { x.Learn(q, 0, 2, answer(6, "b2", 90), 2*sec) }, 12 * sec, false},
		{"copy starts anew", func(x *Index) { x.Learn(&Query{Keys: byScore}, 0, 1, answer(7, "b9", 5), 2*sec) }, 2 * sec, false},
		{"copy goes", func(x *Index) { x.Forget(1) }, 2 * sec, false},
		{"another copy goes", func(x *Index) { x.Forget(2) }, 2 * sec, true},
	} {
		x := NewIndex(2, 100)
		x.Learn(q, 0, 1, answer(7, "b1", 10), sec)
		c.then(x)
		for _, q := range []*Query{q, two} {
			b := x.bounds(q, c.at)
			if _, ok := b.of(0); ok != c.want {
				t.Errorf("%s: bound %v for %s", c.name, ok, q.Name)
			}
			if _, ok := b.of(1); ok {
				t.Errorf("%s: a bound for a range never heard of", c.name)
			}
		}
	}
	x := NewIndex(2, 100)
	x.Learn(q, 0, 1, answer(7, "b1", 0), sec)
	x.Learn(q, 0, 1, answer(7, "", 10), sec)
	x.Learn(q, 5, 1, answer(7, "b1", 10), sec) // no such range
	b := x.bounds(q, sec+ms)
	if _, ok := b.of(0); ok {
		t.Error("a bound from a copy that promised nothing")
	}
}

// A sum of clauses bounds a query of several, and the least recently used names are evicted.
func TestClausesAndEviction(t *testing.T) {
	x := NewIndex(10, 30)
	for i, best := range []float64{3, 4} {
		clause := fmt.Sprint("c", i)
		x.Learn(&Query{Keys: byScore, Size: 1, Clauses: []string{clause}, Plain: true}, 4, 1,
			&Answer{Hits: []merge.Hit{{ID: "a", Sort: []merge.Value{merge.Num(best)}}}, Total: 9, View: View{"b", 1, 60}}, sec)
	}
	sum := &Query{Keys: byScore, Size: 1, Clauses: []string{"c0", "c1"}}
	b := x.bounds(sum, sec)
	if got, ok := b.of(4); !ok || got.Best[0].Num < 7 || got.Best[0].Num > 7.001 || got.Exact {
		t.Errorf("bound %+v, %v", got, ok)
	}
	for i := range 3 {
		x.Learn(&Query{Keys: byScore, Size: 1, Name: fmt.Sprint("q", i)}, 4, 1, &Answer{View: View{"b", 1, 60}}, sec)
	}
	if slots, names := x.Len(); slots > 30 || names != 3 {
		t.Errorf("%d slots, %d names", slots, names)
	}
	b = x.bounds(sum, sec)
	if _, ok := b.of(4); ok {
		t.Error("a sum of clauses that were dropped")
	}
}

// Remaining ranges are requested when there is just time for it, however slow the first wave is.
func TestRequestAllInTime(t *testing.T) {
	w, x := falling(40), NewIndex(40, 10000)
	q := &Query{Keys: byScore, Size: 10, Count: CountAnyhow, Name: "q"}
	w.run(w.plan(q, x), sec, first)
	p := w.plan(q, x)
	o := p.Start(2*sec, Times{End: 3 * sec, Usual: 25 * ms})
	if n := len(o.Request); n == 0 || n > 10 {
		t.Fatalf("%d asked first", n)
	}
	if p.Due() != 2950*ms {
		t.Errorf("due %v", p.Due())
	}
	if late := p.Tick(2900 * ms); len(late.Request) != 0 {
		t.Error("asked too soon")
	}
	if late := p.Tick(2950 * ms); len(late.Request)+len(o.Request) != 40 || p.Due() != 0 {
		t.Errorf("%d asked at last", len(late.Request))
	}
	p = w.plan(q, x)
	if o := p.Start(2*sec, Times{End: 2090 * ms, Usual: 25 * ms}); len(o.Request) != 40 {
		t.Errorf("%d asked where there is time for one wave only", len(o.Request))
	}
}

// A slow range that can no longer change the page is cancelled in flight, and its answer is ignored.
func TestSkipInFlight(t *testing.T) {
	w, x := falling(12), NewIndex(12, 10000)
	q := &Query{Keys: byScore, Size: 10, Count: CountAnyhow, Name: "q"}
	w.run(w.plan(q, x), sec, first)
	p := w.plan(q, x)
	p.Start(2*sec, Times{End: 2090 * ms, Usual: 25 * ms}) // one wave
	o := p.Scored(0, 0, w.answer(q, 0), 2*sec, 2*sec)
	n := len(o.Skip) // range 0's last is 991, and range 1 reaches 990
	p.Scored(o.Skip[0], 0, w.answer(q, o.Skip[0]), 2*sec, 2*sec)
	p.Close()
	if r := p.Result(); n < 10 || len(r.Skipped) != n || r.Answered != 1 {
		t.Errorf("%d skipped: %+v", n, r)
	}
}

// Equal scores across the edge of the page are ordered by range: the same lots whichever answers arrive first.
func TestTiesAtTheEdge(t *testing.T) {
	var ranges [][]merge.Value
	for range 20 {
		ranges = append(ranges, []merge.Value{merge.Num(1), merge.Num(1), merge.Num(1)})
	}
	w, x := newWorld(byScore, ranges), NewIndex(20, 10000)
	q := &Query{Keys: byScore, From: 2, Size: 5, Count: CountAnyhow, Name: "q"}
	want, _ := w.page(q)
	for n, pick := range []func(int) int{first, func(n int) int { return n - 1 }, func(n int) int { return n / 2 }, first} {
		if r, _ := w.run(w.plan(q, x), sec+time.Duration(n)*ms, pick); !slices.Equal(ids(r.Hits), want) {
			t.Errorf("page %v, want %v", ids(r.Hits), want)
		}
	}
}

// A lot that is missing at the fetch, or whose rank has changed, is left out and the answer is not complete; one that
// changed without moving stays.
func TestChangedBetweenPhases(t *testing.T) {
	w := falling(3)
	q := &Query{Keys: byScore, Size: 4, Count: CountAnyhow}
	p := w.plan(q, nil)
	p.Start(sec, roomy)
	for i := range 3 {
		a := w.answer(q, i)
		for n := range a.Hits {
			a.Hits[n].Version = 1
		}
		p.Scored(i, uint32(7+i), a, sec, sec)
	}
	f := p.Close()
	if len(f) != 1 || f[0].Source != 7 || len(f[0].IDs) != 4 || f[0].Weight < 0.999 {
		t.Fatalf("%+v", f)
	}
	p.Listed(0, &Answer{Hits: []merge.Hit{
		{ID: "0-0", Sort: []merge.Value{merge.Num(1000)}, Version: 2, Listing: "bid on, same rank"},
		{ID: "0-1", Sort: []merge.Value{merge.Num(3)}, Version: 2, Listing: "moved"},
		{ID: "0-3", Sort: []merge.Value{merge.Num(996.9)}, Version: 1, Listing: "same lot, scored by another copy"},
		{ID: "9-9", Sort: []merge.Value{merge.Num(1001)}, Version: 1, Listing: "never asked for"}}})
	r := p.Result()
	if !slices.Equal(ids(r.Hits), []string{"0-0", "0-3"}) || r.Changed != 2 || r.Complete() || r.Listed != 1 {
		t.Errorf("%v %+v", ids(r.Hits), r)
	}
}

// Missing ranges and missing listings are reported, and the fraction is that of the weight times that of the page.
func TestFraction(t *testing.T) {
	w := falling(4)
	q := &Query{Keys: byScore, Size: 20, Count: CountAnyhow}
	p := w.plan(q, nil)
	p.Start(sec, roomy)
	for i := range 3 {
		p.Scored(i, 0, w.answer(q, i), sec, sec)
	}
	f := p.Close()
	p.Listed(f[0].Index, &Answer{Hits: w.answer(q, f[0].Index).Hits})
	r := p.Result()
	if !slices.Equal(r.Missing, []int{3}) || r.Weight != 0.75 || !r.AtLeast || r.Fraction() >= 0.75 || r.Complete() || r.Best != nil {
		t.Errorf("%+v share %v", r, r.Fraction())
	}
}

// Impossible answers are detected, and good ones are not.
func TestCheck(t *testing.T) {
	q := &Query{Keys: byScore, Size: 2, Count: CountAnyhow}
	hit := func(id string, score float64) merge.Hit {
		return merge.Hit{ID: id, Sort: []merge.Value{merge.Num(score)}}
	}
	for _, c := range []struct {
		a    Answer
		good bool
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
		if why := c.a.Check(q); (why == "") != c.good {
			t.Errorf("%+v: %q", c.a, why)
		}
	}
}

// The choice follows the measurements, and does not oscillate.
func TestChoose(t *testing.T) {
	c := NewChooser(0)
	q := &Query{Keys: byScore, Size: 10}
	if p, _ := c.Choose(0, q, 96); p != Two {
		t.Errorf("phases %d for 96 ranges", p)
	}
	if p, _ := c.Choose(0, q, 12); p != One {
		t.Errorf("phases %d for 12 ranges", p)
	}
	measure := func(phases Phases, parts, bytes int, took time.Duration, n int) {
		for range n {
			c.Measured(0, &Plan{Query: q, Phases: phases, ranges: make([]Range, 96), requests: parts, bytes: bytes}, took, sec, true)
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
		t.Errorf("%d changes, %d trials of the other way", changes, trials)
	}
	measure(Two, 60, 30<<10, 2*sec, 20) // now late
	if p, why := c.Choose(0, q, 96); p != One || why == "" {
		t.Errorf("phases %d: %s", p, why)
	}
	if p, _ := NewChooser(One).Choose(0, q, 96); p != One {
		t.Error("not forced")
	}
}

// BenchmarkPlan measures the planner for a query over 200 ranges, with bounds known and without.
func BenchmarkPlan(b *testing.B) {
	for _, known := range []bool{false, true} {
		b.Run(fmt.Sprintf("known=%v", known), func(b *testing.B) {
			w, x := falling(200), NewIndex(200, 100000)
			q := &Query{Keys: byScore, Size: 10, Count: CountAnyhow, Name: "q"}
			if known {
				w.run(w.plan(q, x), sec, first)
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
				for _, i := range p.Start(2*sec, Times{End: 3 * sec, Usual: 25 * ms}).Request {
					p.Scored(i, 0, answers[i], 2*sec, 2*sec)
				}
				p.Close()
				p.Result()
			}
		})
	}
}
