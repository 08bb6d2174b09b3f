package opensearch

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tidwall/gjson"
	"pgregory.net/rapid"

	"pulleygw.example/pulleygw/internal/gatherer/gather"
	"pulleygw.example/pulleygw/internal/gatherer/proptest"
	"pulleygw.example/pulleygw/internal/gatherer/search"
	"pulleygw.example/pulleygw/internal/gatherer/testbed"
	"pulleygw.example/pulleygw/internal/gatherer/testbed/lots"
)

// Random searches under random faults: ranges unresponsive or failing in either phase, slow replicas, some writes. What
// an answer says of itself is true: complete, it is the page of all lots; else it is the page of the ranges that it does
// not name as missing, its coverage is right, and its count is what it says.
func TestRandomSearches(t *testing.T) {
	proptest.Seed(t, 60)
	rapid.Check(t, func(rt *rapid.T) {
		phases := rapid.SampledFrom([]search.Phases{0, search.One, search.Two}).Draw(rt, "phases")
		asks := rapid.SliceOfN(rapid.Custom(draw), 1, 6).Draw(rt, "searches")
		var wrong error
		synctest.Test(t, func(*testing.T) { wrong = playRandom(phases, asks) })
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
	End        testbed.End
	Body       string
	From, Size int
}

func draw(t *rapid.T) randomAsk {
	return randomAsk{Passes: rapid.Bool().Draw(t, "time passes"), Cell: rapid.IntRange(-1, 5).Draw(t, "cell in trouble"),
		Phase: rapid.SampledFrom([]lots.Phase{lots.Scores, lots.Listings, lots.Both}).Draw(t, "phase"),
		End:   rapid.SampledFrom([]testbed.End{testbed.NoAnswer, testbed.Fault, testbed.Hit}).Draw(t, "end"),
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
			s.trouble = func(_ int, p lots.Phase) (testbed.End, time.Duration) {
				if mine && (p == a.Phase || p == lots.Both) {
					return a.End, time.Second
				}
				return testbed.Hit, 0
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

// walkWrite puts a lot into a range between two pages: a new one, or in place of one that may have been shown.
type walkWrite struct {
	shard, place int
	lot          lots.Lot
}

// drawWrite draws a lot that may rank anywhere.
func drawWrite(t *rapid.T) walkWrite {
	return walkWrite{rapid.IntRange(0, 3).Draw(t, "range"), rapid.IntRange(0, usual.each+5).Draw(t, "place"), lots.Lot{
		Title: "tractor" + strings.Repeat(" of no use to anybody", rapid.IntRange(0, 4).Draw(t, "words")), Year: rapid.IntRange(1985, 2026).Draw(t, "year"),
		Make: rapid.SampledFrom([]string{"Allis", "Kubota", "Zetor"}).Draw(t, "make"), Price: 1}}
}

// Pages of a point in time, read to the end with replicas that refresh at their own times, some of which keep what was
// pinned, and a few ranges written between the pages: no lot is on two pages, none that was added later is on any, and
// one that existed is on a page or of a range that a page named. Where nothing was named, all of them are there in order.
func TestRandomWalks(t *testing.T) {
	proptest.Seed(t, 40)
	rapid.Check(t, func(rt *rapid.T) {
		refresh := rapid.SliceOfN(rapid.IntRange(1, 20), 18, 18).Draw(rt, "refresh in seconds")
		keep := rapid.SliceOfN(rapid.IntRange(0, 5), 18, 18).Draw(rt, "views kept")
		writes := rapid.SliceOfN(rapid.Custom(drawWrite), 0, 12).Draw(rt, "writes")
		sort := rapid.SampledFrom([]string{``, `,"sort":[{"year":"desc"}]`, `,"sort":["make",{"price":"desc"}]`}).Draw(rt, "sort")
		var wrong error
		synctest.Test(t, func(t *testing.T) {
			r := newRig(usual)
			defer r.stop()
			for id, s := range r.stores {
				r.copyOf(s, fmt.Sprint("c-", id), time.Duration(refresh[id-1])*time.Second)
				s.copy.KeepViews = keep[id-1]
			}
			body := `{"query":{"match":{"title":"tractor"}}` + sort + `}`
			token := r.open(t)
			want, _ := r.truth(body, 0, 10000)
			ids, _, named := r.walk(t, token, body, func(page int) {
				if page <= len(writes) {
					w := writes[page-1]
					w.lot.ID = fmt.Sprintf("lot-%d-%d", w.shard, w.place) // from usual.each on a new one
					r.corpus.Put(w.shard, w.lot)
				}
				time.Sleep(time.Second)
			})
			seen := map[string]bool{}
			for _, id := range ids {
				if seen[id] || !slices.Contains(want, id) {
					wrong = fmt.Errorf("lot %s is on two pages, or came later", id)
				}
				seen[id] = true
			}
			unsaid := 0
			for _, id := range want {
				shard := 0
				_, _ = fmt.Sscanf(id, "lot-%d-", &shard)
				if !seen[id] && named[shard] == 0 {
					unsaid++
				}
			}
			if unsaid > named[changedOf] {
				wrong = fmt.Errorf("%d lots are on no page and not told of: %v", unsaid, named)
			}
			if len(named) == 0 && !slices.Equal(ids, want) {
				wrong = fmt.Errorf("got %v, want %v", ids, want)
			}
		})
		if wrong != nil {
			rt.Fatal(wrong)
		}
	})
}

// BenchmarkDecode parses 200 ranges' answers of ten lots, checks and ranks them.
func BenchmarkDecode(b *testing.B) {
	c := lots.New(1, 200, 40)
	k := c.NewReplica("b", 0)
	w, e := parseBody(`{"query":{"match_all":{}},"sort":["price"]}`, nil, true)
	if e != nil {
		b.Fatal(e.reason)
	}
	ask := &gather.ShardSearch{Query: w.Query, ScoresOnly: true}
	var items []string
	var ranges []search.Range
	for s := range 200 {
		items = append(items, k.Search(s, gjson.ParseBytes(shardBody(w.coreText(), ask, s, "1s"))))
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
			p.RecordAnswer(i, 1, found, 0, 0)
		}
		p.Close()
	}
}
