package opensearch

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/tidwall/gjson"
	"pgregory.net/rapid"

	"pulleygw.example/pulleygw/internal/garble"
	"pulleygw.example/pulleygw/internal/gather"
	"pulleygw.example/pulleygw/internal/search"
	"pulleygw.example/pulleygw/internal/standin"
	"pulleygw.example/pulleygw/internal/standin/lots"
)

// Random searches in random trouble: ranges silent or erring in either phase, slow copies, a write now and then. Whatever
// an answer says of itself is true: whole, it is the page of all lots; else it is the page of the ranges that it does not
// name as missing, its share is right, and its count is what it says.
func TestRandomSearches(t *testing.T) {
	garble.Seed(t, 60)
	rapid.Check(t, func(rt *rapid.T) {
		phases := rapid.SampledFrom([]search.Phases{0, search.One, search.Two}).Draw(rt, "phases")
		asks := rapid.SliceOfN(rapid.Custom(draw), 1, 6).Draw(rt, "searches")
		var wrong error
		bubble(t, func(*testing.T) { wrong = playRandom(phases, asks) })
		if wrong != nil {
			rt.Fatal(wrong)
		}
	})
}

// randomAsk is one search and the trouble that it meets.
type randomAsk struct {
	Passes     bool // the promises' time
	Cell       int  // in trouble, -1 for none
	Phase      lots.Phase
	End        standin.End
	Body       string
	From, Size int
}

func draw(t *rapid.T) randomAsk {
	return randomAsk{Passes: rapid.Bool().Draw(t, "time passes"), Cell: rapid.IntRange(-1, 5).Draw(t, "cell in trouble"),
		Phase: rapid.SampledFrom([]lots.Phase{lots.Scores, lots.Listings, lots.Both}).Draw(t, "phase"),
		End:   rapid.SampledFrom([]standin.End{standin.Silent, standin.Fault, standin.Hit}).Draw(t, "end"),
		Body: `{"query":` + rapid.SampledFrom([]string{`{"match":{"title":"tractor"}}`, `{"match":{"title":"kubota baler"}}`, `{"match_all":{}}`,
			`{"bool":{"must":{"match":{"title":"tractor"}},"filter":{"range":{"year":{"gte":2005}}}}}`, `{"term":{"location":"Naju"}}`}).Draw(t, "query") +
			rapid.SampledFrom([]string{``, `,"sort":[{"price":"asc"}]`, `,"sort":["make",{"year":"desc"}]`, `,"sort":[{"price":{"order":"desc","missing":"_first"}}]`}).Draw(t, "sort") +
			rapid.SampledFrom([]string{``, `,"track_total_hits":true`, `,"track_total_hits":50`}).Draw(t, "count") + `}`,
		From: rapid.IntRange(0, 30).Draw(t, "from"), Size: rapid.IntRange(0, 30).Draw(t, "size")}
}

func playRandom(phases search.Phases, asks []randomAsk) error {
	o := usual
	o.phases = phases
	r := newRig(o)
	defer r.stop()
	for _, a := range asks {
		if a.Passes {
			time.Sleep(o.refresh)
		}
		r.mu.Lock()
		for id, s := range r.stores {
			mine := (int(id)-1)/3 == a.Cell
			s.trouble = func(_ int, p lots.Phase) (standin.End, time.Duration) {
				if mine && (p == a.Phase || p == lots.Both) {
					return a.End, time.Second
				}
				return standin.Hit, 0
			}
		}
		r.mu.Unlock()
		begin := time.Now()
		status, got := r.search(fmt.Sprintf("from=%d&size=%d", a.From, a.Size), a.Body)
		if took := time.Since(begin); took > 3*time.Second {
			return fmt.Errorf("%+v: answered after %v", a, took)
		}
		if status != 200 {
			continue
		}
		c := got.Get("coverage")
		var missing []int
		for _, x := range c.Get("missing").Array() {
			missing = append(missing, int(x.Int()))
		}
		want, total := r.truthOf(a.Body, a.From, a.Size, missing)
		_, all := r.truth(a.Body, a.From, a.Size)
		shown, listed, weight := hitIDs(got), c.Get("listed").Num, c.Get("weight").Num
		value, exact := int(got.Get("hits.total.value").Int()), got.Get("hits.total.relation").Str == "eq"
		switch {
		case listed == 1 && !slices.Equal(shown, want):
			return fmt.Errorf("%+v: %s\n got %v\nwant %v", a, c.Raw, shown, want)
		case listed < 1 && math.Abs(listed*float64(len(want))-float64(len(shown))) > 1e-6:
			return fmt.Errorf("%+v: listed %v, with %d lots of %d", a, listed, len(shown), len(want))
		case math.Abs(weight-1+float64(len(missing))/24) > 1e-9, c.Get("share").Num < 0.7-1e-9,
			c.Get("whole").Bool() != (len(missing) == 0 && listed == 1):
			return fmt.Errorf("%+v: %s", a, c.Raw)
		case value > total, exact && value != all:
			return fmt.Errorf("%+v: total %s, truly %d, %d without the missing ranges", a, got.Get("hits.total").Raw, all, total)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, n := range r.most {
		if n > 1 || r.tries[key] > 4 {
			return fmt.Errorf("%s: %d attempts at once, %d in all", key, n, r.tries[key])
		}
	}
	return nil
}

// BenchmarkDecode reads 200 ranges' answers of ten lots, checks and ranks them.
func BenchmarkDecode(b *testing.B) {
	c := lots.New(1, 200, 40)
	k := c.NewCopy("b", 0)
	w, e := parseBody(`{"query":{"match_all":{}},"sort":["price"]}`, nil, true)
	if e != nil {
		b.Fatal(e.reason)
	}
	ask := &gather.Ask{Query: w.Query, Scores: true}
	var items []string
	var ranges []search.Range
	for s := range 200 {
		items = append(items, k.Search(s, gjson.ParseBytes(askBody(w.text(), ask, s, "1s"))))
		ranges = append(ranges, search.Range{Number: s, Weight: 1.0 / 200})
	}
	b.ReportAllocs()
	for b.Loop() {
		p := search.NewPlan(w.Query, search.Two, ranges, nil)
		p.Start(0, search.Times{})
		for i, text := range items {
			found, why := parseFound(gjson.Parse(text), ask)
			if why != "" {
				b.Fatal(why)
			}
			p.Scored(i, 1, found, 0, 0)
		}
		p.Close()
	}
}
