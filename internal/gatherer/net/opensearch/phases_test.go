package opensearch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/net/http1"
	"pulleygw.example/pulleygw/internal/gatherer/pages"
	"pulleygw.example/pulleygw/internal/gatherer/search"
	"pulleygw.example/pulleygw/internal/gatherer/standin"
	"pulleygw.example/pulleygw/internal/gatherer/standin/lots"
)

var usual = rigOptions{ranges: 24, each: 30, phases: search.Two, refresh: 10 * time.Second, bounds: 100000}

const tractors = `{"query":{"match":{"title":"tractor"}}}`

// check compares an answer marked whole with the truth.
func (r *rig) check(t *testing.T, body string, from, size int) gjson.Result {
	t.Helper()
	want, total := r.truth(body, from, size)
	status, got := r.search(fmt.Sprintf("from=%d&size=%d", from, size), body)
	count := got.Get("hits.total")
	if status != 200 || !got.Get("coverage.whole").Bool() || !slices.Equal(hitIDs(got), want) {
		t.Errorf("%s from %d: %d %s\n got %v\nwant %v", body, from, status, got.Get("coverage").Raw, hitIDs(got), want)
	}
	if n := int(count.Get("value").Int()); n > total || count.Get("relation").Str == "eq" && n != total {
		t.Errorf("%s: total %s, truly %d", body, count.Raw, total)
	}
	return got
}

// In one phase or two, with bounds known or not, by score or by a field, an answer marked whole is the full one.
func TestPagesAreTheFullOnes(t *testing.T) {
	for _, phases := range []search.Phases{search.One, search.Two} {
		bubble(t, func(t *testing.T) {
			o := usual
			o.phases = phases
			r := newRig(o)
			defer r.stop()
			bodies := append(queries(rand.New(rand.NewPCG(3, 3)), 15),
				`{}`, `{"query":{"match":{"title":"no such thing"}}}`, `{"sort":["year",{"price":{"order":"desc","missing":"_first"}}]}`,
				`{"query":{"bool":{"should":[{"match":{"title":"tractor"}},{"match":{"title":"kubota"}}]}},"sort":[{"make":"desc"},"_score"]}`)
			for i, body := range append(bodies, bodies...) {
				got := r.check(t, body, i%3*4, 10)
				for _, h := range got.Get("hits.hits").Array() {
					if h.Get("_source.title").Str == "" || h.Get("_version").Exists() {
						t.Fatalf("hit %s", h.Raw)
					}
				}
			}
			for key, n := range r.most {
				if n > 1 {
					t.Errorf("%d attempts of %s at once", n, key)
				}
			}
		})
	}
}

// A write that no copy shows yet and one that they show by now: neither is lost by a bound that was learnt before.
func TestBoundsAgainstWrites(t *testing.T) {
	bubble(t, func(t *testing.T) {
		r := newRig(usual)
		defer r.stop()
		rng := rand.New(rand.NewPCG(4, 4))
		for i := range 30 {
			r.search("", tractors)
			shard := rng.IntN(24)
			r.corpus.Put(shard, lots.Lot{ID: fmt.Sprint("new-", i), Title: "tractor tractor", Make: "Kubota", Year: 2020, Price: 1})
			time.Sleep(usual.refresh) // every copy has refreshed once
			got := r.check(t, tractors, 0, 40)
			if !slices.Contains(hitIDs(got), fmt.Sprint("new-", i)) {
				t.Fatalf("lot new-%d is lost: %s", i, got.Get("coverage").Raw)
			}
		}
	})
}

// A copy that dies between the phases: its listings come from another one.
func TestCopyDiesBetweenPhases(t *testing.T) {
	bubble(t, func(t *testing.T) {
		r := newRig(usual)
		defer r.stop()
		want, _ := r.truth(tractors, 0, 10)
		died := false
		for _, s := range r.stores { // the first that is asked for listings
			s.trouble = func(_ int, p lots.Phase) (standin.End, time.Duration) {
				if p == lots.Listings && !died {
					died = true
					go r.kill(s)
				}
				return standin.Hit, 0
			}
		}
		for range 5 {
			status, got := r.search("", tractors)
			if status != 200 || !slices.Equal(hitIDs(got), want) || !got.Get("coverage.whole").Bool() {
				t.Errorf("%d %s: %v", status, got.Get("coverage").Raw, hitIDs(got))
			}
		}
		most := 0
		for _, n := range r.tries {
			most = max(most, n)
		}
		if !died || most < 3 || most > 4 { // scores, listings from the one that died, listings from another
			t.Errorf("died %v, at most %d attempts of a part", died, most)
		}
	})
}

// All copies of one range slow in the second phase: the answer comes in time with its exact share, and where that is
// under the floor it is refused or failed in time.
func TestSlowListings(t *testing.T) {
	for _, size := range []int{40, 2} {
		bubble(t, func(t *testing.T) {
			r := newRig(usual)
			defer r.stop()
			for range 3 {
				r.search("", tractors) // so that answer times are known
			}
			ids, _ := r.truth(tractors, 0, size)
			shard, lost := 0, 0
			fmt.Sscanf(ids[0], "lot-%d-", &shard)
			for _, id := range ids {
				if strings.HasPrefix(id, fmt.Sprintf("lot-%d-", shard)) {
					lost++
				}
			}
			for _, s := range r.holders(shard) {
				s.trouble = func(n int, p lots.Phase) (standin.End, time.Duration) {
					if n == shard && p == lots.Listings {
						return standin.Hit, 10 * time.Second
					}
					return standin.Hit, 0
				}
			}
			begin := time.Now()
			status, got := r.search(fmt.Sprint("size=", size), tractors)
			took := time.Since(begin)
			share := float64(size-lost) / float64(size)
			if took > 1200*time.Millisecond {
				t.Errorf("size %d: answered after %v", size, took)
			}
			if share < 0.7 {
				if status == 200 {
					t.Errorf("share %.2f, yet %s", share, got.Get("coverage").Raw)
				}
				return
			}
			c := got.Get("coverage")
			if status != 200 || c.Get("whole").Bool() || c.Get("weight").Num != 1 || c.Get("listed").Num < share-0.001 ||
				c.Get("listed").Num > share+0.001 || len(hitIDs(got)) != size-lost || got.Get("_shards.failed").Int() != 1 || !got.Get("timed_out").Bool() {
				t.Errorf("%d listed of %d expected: %s %s", len(hitIDs(got)), size-lost, c.Raw, got.Get("_shards").Raw)
			}
		})
	}
}

// Ranges without a sound copy in the first phase: from the floor on an answer that names them, under it none, and in
// time either way.
func TestScoresMissing(t *testing.T) {
	for _, silent := range []int{1, 2} { // cells of four ranges, of six
		bubble(t, func(t *testing.T) {
			r := newRig(usual)
			defer r.stop()
			for range 3 {
				r.search("", tractors)
			}
			time.Sleep(11 * time.Second) // promises have run out: all is asked
			for cell := range silent {
				r.silence(cell)
			}
			begin := time.Now()
			status, got := r.search("", tractors)
			if took := time.Since(begin); took > 1200*time.Millisecond {
				t.Errorf("%d cells silent: answered after %v", silent, took)
			}
			c := got.Get("coverage")
			if silent == 1 && (status != 200 || c.Get("whole").Bool() || len(c.Get("missing").Array()) != 4 || c.Get("weight").Num > 0.84 ||
				got.Get("hits.total.relation").Str != "gte") || silent == 2 && status != 429 && status != 504 && status != 500 {
				t.Errorf("%d cells silent: %d %s", silent, status, got.Raw)
			}
			if silent == 1 {
				if status, _ := r.search("allow_partial_search_results=false", tractors); status == 200 {
					t.Error("a partial answer to a client that allows none")
				}
			}
		})
	}
}

// Where lot stores answer within a millisecond, the second phase still has the core's own steps to go through.
func TestQuickLotStores(t *testing.T) {
	bubble(t, func(t *testing.T) {
		o := usual
		o.unit = 0.0001
		r := newRig(o)
		defer r.stop()
		r.silence(0)
		for range 10 {
			time.Sleep(11 * time.Second)
			if status, got := r.search("", tractors); status != 200 || len(hitIDs(got)) != 10 {
				t.Errorf("%d %s", status, got.Get("coverage").Raw)
			}
		}
	})
}

// A lot that changes between the phases so that its rank is not its own is left out and told; one that was bid on
// but keeps its rank stays.
func TestLotsChangeBetweenPhases(t *testing.T) {
	bubble(t, func(t *testing.T) {
		o := usual
		o.refresh = 0 // copies show writes at once
		r := newRig(o)
		defer r.stop()
		ids, _ := r.truth(tractors, 0, 10)
		done := false
		rangeOf := func(id string) (n int) { fmt.Sscanf(id, "lot-%d-", &n); return n }
		change := func() {
			done = true
			r.corpus.Delete(rangeOf(ids[0]), ids[0])
			r.corpus.Put(rangeOf(ids[1]), lots.Lot{ID: ids[1], Title: "tractor", Make: "LS", Year: 2001, Price: 5}) // scores otherwise now
			r.corpus.Put(rangeOf(ids[2]), lots.Lot{ID: ids[2], Title: r.title(ids[2]), Make: "bid on", Year: 2001, Price: 77})
		}
		for _, s := range r.stores {
			s.trouble = func(shard int, p lots.Phase) (standin.End, time.Duration) {
				if p == lots.Listings && !done {
					change()
				}
				return standin.Hit, 0
			}
		}
		status, got := r.search("", tractors)
		c := got.Get("coverage")
		if status != 200 || c.Get("changed").Int() != 2 || c.Get("whole").Bool() || !slices.Equal(hitIDs(got), ids[2:]) ||
			got.Get("hits.hits.0._source.price").Num != 77 {
			t.Errorf("%d %s: %v, before %v", status, c.Raw, hitIDs(got), ids)
		}
	})
}

// title finds a lot's title.
func (r *rig) title(id string) string {
	var shard int
	fmt.Sscanf(id, "lot-%d-", &shard)
	item := r.corpus.NewCopy("t", 0).Search(shard, gjson.Parse(`{"query":{"ids":{"values":["`+id+`"]}}}`))
	return gjson.Get(item, "hits.hits.0._source.title").Str
}

// Deep pages are served to 10,000 and refused beyond, naming the limit; pages past the end are empty.
func TestDeepPages(t *testing.T) {
	bubble(t, func(t *testing.T) {
		o := usual
		o.ranges, o.each = 4, 3000
		r := newRig(o)
		defer r.stop()
		r.check(t, `{}`, 9990, 10)
		r.check(t, `{"sort":[{"price":"desc"}]}`, 5000, 100)
		r.check(t, tractors, 9000, 10) // fewer match
		status, got := r.search("from=9991&size=10", `{}`)
		if status != 400 || !strings.Contains(got.Get("error.reason").Str, "[10000] but was [10001]") {
			t.Errorf("%d %s", status, got.Raw)
		}
	})
}

// A size of 0 counts, and a page that is larger than all there is ends with it.
func TestSizeZeroAndFew(t *testing.T) {
	bubble(t, func(t *testing.T) {
		r := newRig(usual)
		defer r.stop()
		for range 2 {
			r.check(t, tractors, 0, 0)
			r.check(t, `{"query":{"term":{"location":"Naju"}},"track_total_hits":true}`, 0, 1000)
		}
		if _, got := r.search("track_total_hits=false", tractors); got.Get("hits.total").Exists() {
			t.Error("a total that nobody wanted")
		}
	})
}

// A client that leaves between the phases: all that is out is called off, and nothing stays in the tables.
func TestClientLeavesBetweenPhases(t *testing.T) {
	bubble(t, func(t *testing.T) {
		r := newRig(usual)
		defer r.stop()
		gone, asked := make(chan struct{}), make(chan struct{})
		for _, s := range r.stores {
			s.trouble = func(_ int, p lots.Phase) (standin.End, time.Duration) {
				if p == lots.Listings {
					select {
					case <-asked:
					default:
						close(asked)
					}
					return standin.Hit, 20 * time.Second
				}
				return standin.Hit, 0
			}
		}
		answered := make(chan *http1.Response)
		go func() {
			answered <- r.front.Handle(&http1.Request{Method: "POST", Path: "/lots/_search", Body: []byte(tractors), At: time.Now()}, gone)
		}()
		<-asked
		close(gone)
		if p := <-answered; p != nil {
			t.Errorf("answered %d", p.Status)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		r.mu.Lock()
		out := len(r.out)
		r.mu.Unlock()
		if out != 0 || r.core.Load() != 0 {
			t.Errorf("%d attempts out, load %v", out, r.core.Load())
		}
	})
}

// Classes that are reloaded, and copies that drain, between the phases: the query ends under the rules that it came
// under, and nothing is asked of a copy that drains.
func TestReloadAndDrainBetweenPhases(t *testing.T) {
	bubble(t, func(t *testing.T) {
		r := newRig(usual)
		defer r.stop()
		want, _ := r.truth(tractors, 0, 10)
		done := false
		for _, s := range r.stores {
			s.trouble = func(_ int, p lots.Phase) (standin.End, time.Duration) {
				if p != lots.Listings || done {
					return standin.Hit, 0
				}
				done = true
				set := *r.front.Settings.Load()
				set.Policy.Classes = append(slices.Clone(set.Policy.Classes), decision.Class{Aim: time.Second, Deadline: 2 * time.Second, Need: 1, Floor: 1, MaxAttempts: 1})
				set.Classes = append(slices.Clone(set.Classes), "other")
				go func() {
					r.core.Retune(set)
					r.core.Detach("s-0-0")
				}()
				return standin.Hit, 0
			}
		}
		for range 3 {
			status, got := r.search("", tractors)
			if status != 200 || !slices.Equal(hitIDs(got), want) || !got.Get("coverage.whole").Bool() {
				t.Errorf("%d %s", status, got.Get("coverage").Raw)
			}
		}
		before := len(r.stores[1].asked[lots.Scores]) + len(r.stores[1].asked[lots.Listings])
		r.search("", tractors)
		if after := len(r.stores[1].asked[lots.Scores]) + len(r.stores[1].asked[lots.Listings]); after != before || !done {
			t.Errorf("%d parts to a copy that drains", after-before)
		}
	})
}

// Spoilt score answers count as failed attempts: those that claim too much, are out of order or name a lot twice are
// asked of another copy, and the page is the true one.
func TestSpoiltScores(t *testing.T) {
	for name, spoil := range map[string]func(string) string{
		"claims more than asked": func(s string) string {
			hits := gjson.Get(s, "hits.hits").Raw
			return strings.Replace(s, hits, strings.TrimSuffix(hits, "]")+strings.Repeat(`,{"_id":"x","_version":1,"_score":0}`, 11)+"]", 1)
		},
		"out of order": func(s string) string {
			return strings.Replace(s, `"hits":[`, `"hits":[{"_id":"x","_version":1,"_score":-5},`, 1)
		},
		"one lot twice":   func(s string) string { return strings.ReplaceAll(s, "-1\"", "-2\"") },
		"score of text":   func(s string) string { return strings.ReplaceAll(s, `"_score":`, `"_score":"high","was":`) },
		"total of text":   func(s string) string { return strings.Replace(s, `"value":`, `"value":"many","was":`, 1) },
		"total too small": func(s string) string { return strings.Replace(s, `"value":`, `"value":0,"was":`, 1) },
		"without ids":     func(s string) string { return strings.ReplaceAll(s, `"_id"`, `"_no"`) },
	} {
		bubble(t, func(t *testing.T) {
			r := newRig(usual)
			defer r.stop()
			want, _ := r.truth(tractors, 0, 20)
			for _, s := range r.holders(0)[:2] {
				s.tamper = func(_ int, p lots.Phase, item string) string {
					if p == lots.Scores {
						return spoil(item)
					}
					return item
				}
			}
			status, got := r.search("size=20", tractors)
			if status != 200 || !slices.Equal(hitIDs(got), want) {
				t.Errorf("%s: %d %s", name, status, got.Get("coverage").Raw)
			}
		})
	}
}

// A query that lot stores cannot answer is its client's fault: 400 with their words, a few parts, and no lot store is
// taken for failing by any number of such.
func TestUnanswerable(t *testing.T) {
	for _, phases := range []search.Phases{search.One, search.Two} {
		bubble(t, func(t *testing.T) {
			o := usual
			o.phases = phases
			r := newRig(o)
			defer r.stop()
			for range 50 {
				status, got := r.search("", `{"query":{"wildcard":{"title":"x*y"}}}`)
				if status != 400 || !strings.Contains(got.Get("error.reason").Str, "unknown query [wildcard]") {
					t.Fatalf("%d %s", status, got.Raw)
				}
			}
			begin := time.Now()
			if r.check(t, tractors, 0, 10); time.Since(begin) > 400*time.Millisecond {
				t.Errorf("a good search takes %v after bad ones", time.Since(begin))
			}
			for _, rec := range r.core.Snapshot().Records {
				if rec.Failing > 0 {
					t.Errorf("%+v", rec)
				}
			}
		})
	}
}

// Answers that are in hand are bounded: what has no room counts as a failed attempt, and the search ends.
func TestAnswersBounded(t *testing.T) {
	bubble(t, func(t *testing.T) {
		o := usual
		o.bytes = 40 << 10 // 10 KiB for one search
		r := newRig(o)
		defer r.stop()
		if status, _ := r.search("size=300", `{}`); status == 200 {
			t.Error("answered with more than there was room for")
		}
		for range 50 { // what is answered is given back
			r.check(t, tractors, 0, 2)
		}
	})
}

// Listings are asked of the copy that ranked the lots, and attempts of a range count over both phases: a range whose
// copies fail gets four at the most.
func TestListingsFromTheCopyThatRanked(t *testing.T) {
	bubble(t, func(t *testing.T) {
		r := newRig(usual)
		defer r.stop()
		for range 20 {
			r.search("", tractors)
		}
		for _, s := range r.stores {
			for shard, n := range s.asked[lots.Listings] {
				if s.asked[lots.Scores][shard] < n {
					t.Errorf("range %d: %d listings from a copy that ranked it %d times", shard, n, s.asked[lots.Scores][shard])
				}
			}
		}
		time.Sleep(usual.refresh) // all is asked again
		ids, _ := r.truth(tractors, 0, 10)
		shard, failed := 0, 0
		fmt.Sscanf(ids[0], "lot-%d-", &shard)
		for _, s := range r.holders(shard) {
			s.trouble = func(n int, p lots.Phase) (standin.End, time.Duration) {
				if n == shard && (p == lots.Listings || failed < 2) {
					failed++
					return standin.Fault, 0
				}
				return standin.Hit, 0
			}
		}
		clear(r.tries)
		status, got := r.search("", tractors)
		most := 0
		for _, n := range r.tries {
			most = max(most, n)
		}
		if most != 4 || status == 200 && got.Get("coverage.whole").Bool() {
			t.Errorf("%d attempts of a range, %d %s", most, status, got.Get("coverage").Raw)
		}
	})
}

// The choice by measurement goes with the load, and the front says which way a search went.
func TestChoiceOfPhases(t *testing.T) {
	bubble(t, func(t *testing.T) {
		o := usual
		o.phases = 0
		r := newRig(o)
		defer r.stop()
		ways := map[int64]int{}
		for range 60 {
			_, got := r.search("size=3", tractors)
			ways[got.Get("coverage.phases").Int()]++
		}
		if ways[2] < 55 || ways[1] == 0 {
			t.Errorf("phases %v: want two, and one now and then", ways)
		}
		_, got := r.search("preference=_shards:1,2", tractors)
		if got.Get("coverage.phases").Int() != 1 {
			t.Error("two phases for two ranges")
		}
	})
}

// Aggregations come from every range, in one phase or two; with ranges missing they say what their figures are.
func TestAggregations(t *testing.T) {
	for _, phases := range []search.Phases{search.One, search.Two} {
		bubble(t, func(t *testing.T) {
			o := usual
			o.phases = phases
			r := newRig(o)
			defer r.stop()
			body := `{"query":{"match":{"title":"tractor"}},"size":3,"aggs":{"makes":{"terms":{"field":"make"},"aggs":{"top":{"max":{"field":"price"}}}},"n":{"value_count":{"field":"year"}}}}`
			want := gjson.Get(r.corpus.Whole().NewCopy("w", 0).Search(0, gjson.Parse(body)), "aggregations")
			for range 3 {
				got := r.check(t, body, 0, 3)
				for _, path := range []string{"makes.buckets.#.key", "makes.buckets.#.doc_count", "makes.buckets.#.top.value", "n.value"} {
					if x, y := got.Get("aggregations."+path).Raw, want.Get(path).Raw; x != y || x == "" {
						t.Errorf("%s is %s, truly %s", path, x, y)
					}
				}
			}
			time.Sleep(usual.refresh)
			r.silence(0)
			status, got := r.search("", body)
			if n := got.Get("aggregations.n"); status != 200 || n.Get("meta.bound").Str != "lower" || n.Get("value").Num >= want.Get("n.value").Num {
				t.Errorf("%d %s of %s", status, n.Raw, want.Get("n").Raw)
			}
		})
	}
}

// walk reads all pages of a search at a point in time, five lots each, and calls between before each further page. named
// are the ranges that some page said to be missing, and under changedOf how many lots pages left out as they had changed.
func (r *rig) walk(t testing.TB, token, body string, between func(page int)) (ids []string, last gjson.Result, named map[int]int) {
	t.Helper()
	after := ""
	named = map[int]int{}
	for page := 1; ; page++ {
		text := strings.TrimSuffix(body, "}") + `,"size":5,"pit":{"id":"` + token + `","keep_alive":"2m"}` + after + "}"
		status, got := r.call("POST", "/_search", "", text)
		if status != 200 {
			t.Fatalf("page %d: %d %s", page, status, got.Raw)
		}
		for _, x := range got.Get("coverage.missing").Array() {
			named[int(x.Int())] = 1
		}
		if n := int(got.Get("coverage.changed").Int()); n > 0 {
			named[changedOf] += n
		}
		hits := got.Get("hits.hits").Array()
		if last = got; len(hits) == 0 {
			return ids, last, named
		}
		for _, h := range hits {
			ids = append(ids, h.Get("_id").Str)
		}
		after = `,"search_after":` + hits[len(hits)-1].Get("sort").Raw
		token = got.Get("pit_id").Str
		between(page)
	}
}

const changedOf = -1

func (r *rig) call(method, path, query, body string) (int, gjson.Result) {
	p := r.front.Handle(&http1.Request{Method: method, Path: path, Query: query, Body: []byte(body), At: time.Now()}, nil)
	return p.Status, gjson.ParseBytes(p.Body)
}

func (r *rig) open(t testing.TB) string {
	t.Helper()
	keys, err := pages.NewKeys([]byte(strings.Repeat("k", 32)))
	if err != nil {
		t.Fatal(err)
	}
	r.front.SetKeys(keys)
	status, got := r.call("POST", "/lots/_search/point_in_time", "keep_alive=1m", "")
	if status != 200 {
		t.Fatalf("%d %s", status, got.Raw)
	}
	return got.Get("pit_id").Str
}

// Pages of a point in time, walked to the end while lots are written: where lot stores keep what was pinned, they are
// the full search as it stood; where they do not, ranges that have changed stay out from then on and are named. Either
// way no lot is on two pages, and what is not there is of a range that was named.
func TestPagesHoldStill(t *testing.T) {
	body := `{"query":{"match":{"title":"tractor"}},"sort":[{"year":"desc"}]}`
	for _, keep := range []int{50, 0} {
		bubble(t, func(t *testing.T) {
			r := newRig(usual)
			defer r.stop()
			for _, s := range r.stores {
				s.copy.Keep = keep
			}
			token := r.open(t)
			want, _ := r.truth(body, 0, 10000)
			moved := map[int]bool{}
			ids, last, _ := r.walk(t, token, body, func(page int) {
				if page > 8 { // two ranges change for good
					return
				}
				r.corpus.Put(page%2, lots.Lot{ID: fmt.Sprint("new-", page), Title: "tractor", Year: 1990 + page, Price: 1})
				time.Sleep(usual.refresh)
			})
			for _, x := range last.Get("coverage.moved").Array() {
				moved[int(x.Int())] = true
			}
			seen := map[string]bool{}
			for _, id := range ids {
				if seen[id] || strings.HasPrefix(id, "new-") {
					t.Fatalf("lot %s is on two pages, or was not there", id)
				}
				seen[id] = true
			}
			for _, id := range want {
				var shard int
				fmt.Sscanf(id, "lot-%d-", &shard)
				if !seen[id] && !moved[shard] {
					t.Fatalf("lot %s is on no page, and its range is not named: %s", id, last.Get("coverage").Raw)
				}
			}
			if whole := last.Get("coverage.whole").Bool(); keep > 0 && (!whole || !slices.Equal(ids, want)) || keep == 0 && (whole || len(moved) != 2) {
				t.Errorf("keep %d: whole %v, %d lots of %d, moved %v", keep, whole, len(ids), len(want), moved)
			}
		})
	}
}

// A range that was missing when the point in time was opened stays out of its pages and is named, though it is back;
// a copy that lags behind is passed over; a token whose ranges have all changed, or whose time is over, says so.
func TestPointInTimeOfSomeRanges(t *testing.T) {
	bubble(t, func(t *testing.T) {
		r := newRig(usual)
		defer r.stop()
		for range 3 {
			r.search("", tractors)
		}
		r.silence(0)
		token := r.open(t)
		for _, s := range r.holders(0) {
			s.trouble = nil
		}
		time.Sleep(5 * time.Second)
		ids, last, _ := r.walk(t, token, tractors, func(int) {})
		c := last.Get("coverage")
		if c.Get("whole").Bool() || c.Get("missing").Raw != "[0,6,12,18]" || c.Get("weight").Num > 0.84 || len(ids) == 0 {
			t.Errorf("%d lots, %s", len(ids), c.Raw)
		}
		for _, id := range ids {
			if n := 0; strings.HasPrefix(id, "lot-0-") || strings.HasPrefix(id, "lot-6-") {
				t.Fatalf("lot %s of a range that stays out %d", id, n)
			}
		}
		if status, got := r.call("POST", "/_search", "allow_partial_search_results=false", `{"pit":{"id":"`+token+`"}}`); status == 200 {
			t.Error("a partial page to a client that allows none: " + got.Get("coverage").Raw)
		}
		for shard := range 24 {
			r.corpus.Put(shard, lots.Lot{ID: fmt.Sprint("new-", shard), Title: "tractor"})
		}
		time.Sleep(usual.refresh)
		if status, got := r.call("POST", "/_search", "", `{"pit":{"id":"`+token+`"}}`); status != 404 || got.Get("error.type").Str != "search_context_missing_exception" {
			t.Errorf("all has changed: %d %s", status, got.Raw)
		}
		time.Sleep(time.Minute)
		for text, want := range map[string]int{token: 404, token[:30]: 400, "": 400} {
			if status, got := r.call("POST", "/_search", "", `{"pit":{"id":"`+text+`"}}`); status != want {
				t.Errorf("%.5s: %d %s", text, status, got.Raw)
			}
		}
	})
}

// A copy that lags behind what is pinned is passed over for one that has it: pages are whole, and no lot is on two.
func TestLaggingCopies(t *testing.T) {
	bubble(t, func(t *testing.T) {
		r := newRig(usual)
		defer r.stop()
		for i, s := range r.holders(3) { // two see range 3 as it is now for an hour, one as it is at each second
			r.copyOf(s, fmt.Sprint("lag-", i), map[bool]time.Duration{true: time.Second, false: time.Hour}[i == 0])
			s.copy.Search(3, gjson.Parse(`{}`))
		}
		r.corpus.Put(3, lots.Lot{ID: "new", Title: "tractor", Make: "LS", Year: 2024, Price: 9})
		time.Sleep(2 * time.Second)
		keys, err := pages.NewKeys([]byte(strings.Repeat("k", 32)))
		if err != nil {
			t.Fatal(err)
		}
		token := ""
		for range 100 { // whichever copy answers; until it is the one that has caught up
			token = r.open(t)
			pin, err := keys.Open(token, "lots", time.Now())
			if err != nil {
				t.Fatal(err)
			}
			if pin.Versions[3] == 2 {
				break
			}
			token = ""
		}
		if token == "" {
			t.Fatal("the copy that has caught up never answered")
		}
		before := r.asked(3, lots.Scores) + r.asked(3, lots.Both)
		ids, last, _ := r.walk(t, token, tractors, func(int) {})
		want, _ := r.truth(tractors, 0, 10000)
		pagesSeen := (len(ids)+4)/5 + 1
		if asked := r.asked(3, lots.Scores) + r.asked(3, lots.Both) - before; asked <= pagesSeen {
			t.Errorf("%d pages asked range 3 %d times: no copy lagged", pagesSeen, asked)
		}
		if !last.Get("coverage.whole").Bool() || !slices.Equal(ids, want) {
			t.Errorf("%s: %d lots of %d", last.Get("coverage").Raw, len(ids), len(want))
		}
	})
}
