package opensearch

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/net/http1"
	"pulleygw.example/pulleygw/internal/gatherer/pages"
	"pulleygw.example/pulleygw/internal/gatherer/testbed/lots"
)

// walk reads all pages of a search at a point in time, five lots each, and calls between before each further page. named
// are the ranges that some page said to be missing, and under changedOf how many lots pages left out as they had changed.
func (r *rig) walk(tb testing.TB, token, body string, between func(page int)) (ids []string, last gjson.Result, named map[int]int) {
	tb.Helper()
	after := ""
	named = map[int]int{}
	for page := 1; ; page++ {
		text := strings.TrimSuffix(body, "}") + `,"size":5,"pit":{"id":"` + token + `","keep_alive":"2m"}` + after + "}"
		status, got := r.post("/_search", "", text)
		if status != 200 {
			tb.Fatalf("page %d: %d %s", page, status, got.Raw)
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

func (r *rig) post(path, query, body string) (int, gjson.Result) {
	p := r.front.Handle(&http1.Request{Method: "POST", Path: path, Query: query, Body: []byte(body), At: time.Now()}, nil)
	return p.Status, gjson.ParseBytes(p.Body)
}

func (r *rig) open(tb testing.TB) string {
	tb.Helper()
	keys, err := pages.NewKeys([]byte(strings.Repeat("k", 32)))
	if err != nil {
		tb.Fatal(err)
	}
	r.front.SetKeys(keys)
	status, got := r.post("/lots/_search/point_in_time", "keep_alive=1m", "")
	if status != 200 {
		tb.Fatalf("%d %s", status, got.Raw)
	}
	return got.Get("pit_id").Str
}

// Pages of a point in time, read to the end while lots are written: where lot stores keep what was pinned, they are the
// full search at that time; where they do not, ranges that have changed are left out from then on and named. Either way
// no lot is on two pages, and what is missing is of a range that was named.
func TestPagesAreStable(t *testing.T) {
	body := `{"query":{"match":{"title":"tractor"}},"sort":[{"year":"desc"}]}`
	for _, keep := range []int{50, 0} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(usual)
			defer r.stop()
			for _, s := range r.stores {
				s.copy.KeepViews = keep
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
				_, _ = fmt.Sscanf(id, "lot-%d-", &shard)
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

// A range that was missing when the point in time was opened is left out of its pages and named, though it is back; a
// replica that lags is skipped; a token whose ranges have all changed, or that has expired, is an error that says so.
func TestPointInTimeOfSomeRanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
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
		if status, got := r.post("/_search", "allow_partial_search_results=false", `{"pit":{"id":"`+token+`"}}`); status == 200 {
			t.Error("a partial page to a client that allows none: " + got.Get("coverage").Raw)
		}
		for shard := range 24 {
			r.corpus.Put(shard, lots.Lot{ID: fmt.Sprint("new-", shard), Title: "tractor"})
		}
		time.Sleep(usual.refresh)
		if status, got := r.post("/_search", "", `{"pit":{"id":"`+token+`"}}`); status != 404 || got.Get("error.type").Str != "search_context_missing_exception" {
			t.Errorf("all has changed: %d %s", status, got.Raw)
		}
		time.Sleep(time.Minute)
		for text, want := range map[string]int{token: 404, token[:30]: 400, "": 400} {
			if status, got := r.post("/_search", "", `{"pit":{"id":"`+text+`"}}`); status != want {
				t.Errorf("%.5s: %d %s", text, status, got.Raw)
			}
		}
	})
}

// A replica that lags behind what is pinned is skipped for one that has it: pages are complete, and no lot is on two.
func TestLaggingReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
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
		before := r.asked(lots.Scores) + r.asked(lots.Both)
		ids, last, _ := r.walk(t, token, tractors, func(int) {})
		want, _ := r.truth(tractors, 0, 10000)
		pagesSeen := (len(ids)+4)/5 + 1
		if asked := r.asked(lots.Scores) + r.asked(lots.Both) - before; asked <= pagesSeen {
			t.Errorf("%d pages asked range 3 %d times: no copy lagged", pagesSeen, asked)
		}
		if !last.Get("coverage.whole").Bool() || !slices.Equal(ids, want) {
			t.Errorf("%s: %d lots of %d", last.Get("coverage").Raw, len(ids), len(want))
		}
	})
}
