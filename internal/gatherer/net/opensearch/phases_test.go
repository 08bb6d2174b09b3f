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

	"pulleygw.example/pulleygw/internal/gatherer/search"
	"pulleygw.example/pulleygw/internal/gatherer/testbed"
	"pulleygw.example/pulleygw/internal/gatherer/testbed/lots"
)

var usual = rigOptions{ranges: 24, each: 30, phases: search.Two, refresh: 10 * time.Second, maxBounds: 100000}

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

// In one phase or two, with bounds known or not, by score or by a field, an answer marked complete is complete.
func TestPagesAreComplete(t *testing.T) {
	for _, phases := range []search.Phases{search.One, search.Two} {
		synctest.Test(t, func(t *testing.T) {
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

// A write that no replica shows yet and one that they show by now: neither is lost by a bound that was learned before.
func TestBoundsAndWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
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

// Where lot stores answer within a millisecond, the second phase still has the core's own steps to go through.
func TestFastLotStores(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
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

// Deep pages are served to 10,000 and rejected beyond, naming the limit; pages beyond the end are empty.
func TestDeepPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
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
	synctest.Test(t, func(t *testing.T) {
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

// A query that lot stores cannot answer is its client's fault: 400 with their reason, a few attempts, and no lot store
// counts as unhealthy by any number of such.
func TestUnanswerable(t *testing.T) {
	for _, phases := range []search.Phases{search.One, search.Two} {
		synctest.Test(t, func(t *testing.T) {
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
				if rec.FailureRate > 0 {
					t.Errorf("%+v", rec)
				}
			}
		})
	}
}

// Answers in memory are bounded: what exceeds the bound counts as a failed attempt, and the search ends.
func TestAnswersBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := usual
		o.maxBytes = 40 << 10 // 10 KiB for one search
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

// Listings are requested of the replica that ranked the lots, and attempts of a range count over both phases: a range
// whose replicas fail gets four at most.
func TestListingsFromTheReplicaThatRanked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
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
		_, _ = fmt.Sscanf(ids[0], "lot-%d-", &shard)
		for _, s := range r.holders(shard) {
			s.trouble = func(n int, p lots.Phase) (testbed.End, time.Duration) {
				if n == shard && (p == lots.Listings || failed < 2) {
					failed++
					return testbed.Fault, 0
				}
				return testbed.Hit, 0
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

// The choice by measurement follows the load, and the front reports how a search was executed.
func TestChoiceOfPhases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
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

// Aggregations come from every range, in one phase or two; with ranges missing they say what their values are.
func TestAggregations(t *testing.T) {
	for _, phases := range []search.Phases{search.One, search.Two} {
		synctest.Test(t, func(t *testing.T) {
			o := usual
			o.phases = phases
			r := newRig(o)
			defer r.stop()
			body := `{"query":{"match":{"title":"tractor"}},"size":3,"aggs":{"makes":{"terms":{"field":"make"},"aggs":{"top":{"max":{"field":"price"}}}},"n":{"value_count":{"field":"year"}}}}`
			want := gjson.Get(r.corpus.Merged().NewReplica("w", 0).Search(0, gjson.Parse(body)), "aggregations")
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
