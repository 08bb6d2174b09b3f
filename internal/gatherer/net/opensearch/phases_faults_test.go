package opensearch

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/net/http1"
	"pulleygw.example/pulleygw/internal/gatherer/testbed"
	"pulleygw.example/pulleygw/internal/gatherer/testbed/lots"
)

// A replica fails between the phases: its listings come from another one.
func TestReplicaFailsBetweenPhases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(usual)
		defer r.stop()
		want, _ := r.truth(tractors, 0, 10)
		died := false
		for _, s := range r.stores { // the first that is asked for listings
			s.trouble = func(_ int, p lots.Phase) (testbed.End, time.Duration) {
				if p == lots.Listings && !died {
					died = true
					go r.kill(s)
				}
				return testbed.Hit, 0
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
			t.Errorf("died %v, at most %d attempts of a subquery", died, most)
		}
	})
}

// All replicas of one range are slow in the second phase: the answer comes in time with its exact coverage, and where
// that is below the floor it is rejected or failed in time.
func TestSlowListings(t *testing.T) {
	for _, size := range []int{40, 2} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(usual)
			defer r.stop()
			for range 3 {
				r.search("", tractors) // so that answer times are known
			}
			ids, _ := r.truth(tractors, 0, size)
			shard, lost := 0, 0
			_, _ = fmt.Sscanf(ids[0], "lot-%d-", &shard)
			for _, id := range ids {
				if strings.HasPrefix(id, fmt.Sprintf("lot-%d-", shard)) {
					lost++
				}
			}
			for _, s := range r.holders(shard) {
				s.trouble = func(n int, p lots.Phase) (testbed.End, time.Duration) {
					if n == shard && p == lots.Listings {
						return testbed.Hit, 10 * time.Second
					}
					return testbed.Hit, 0
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

// Ranges without a healthy replica in the first phase: from the floor on an answer that names them, below it none, and in
// time either way.
func TestScoresMissing(t *testing.T) {
	for _, silent := range []int{1, 2} { // cells of four ranges, of six
		synctest.Test(t, func(t *testing.T) {
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

// A lot that changes its rank between the phases is left out and reported; one that was changed but keeps its rank stays.
func TestLotsChangeBetweenPhases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := usual
		o.refresh = 0 // copies show writes at once
		r := newRig(o)
		defer r.stop()
		ids, _ := r.truth(tractors, 0, 10)
		done := false
		rangeOf := func(id string) (n int) { _, _ = fmt.Sscanf(id, "lot-%d-", &n); return n }
		change := func() {
			done = true
			r.corpus.Delete(rangeOf(ids[0]), ids[0])
			r.corpus.Put(rangeOf(ids[1]), lots.Lot{ID: ids[1], Title: "tractor", Make: "LS", Year: 2001, Price: 5}) // scores otherwise now
			r.corpus.Put(rangeOf(ids[2]), lots.Lot{ID: ids[2], Title: r.title(ids[2]), Make: "bid on", Year: 2001, Price: 77})
		}
		for _, s := range r.stores {
			s.trouble = func(shard int, p lots.Phase) (testbed.End, time.Duration) {
				if p == lots.Listings && !done {
					change()
				}
				return testbed.Hit, 0
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
	_, _ = fmt.Sscanf(id, "lot-%d-", &shard)
	item := r.corpus.NewReplica("t", 0).Search(shard, gjson.Parse(`{"query":{"ids":{"values":["`+id+`"]}}}`))
	return gjson.Get(item, "hits.hits.0._source.title").Str
}

// A client disconnects between the phases: all attempts in flight are cancelled, and nothing stays in the tables.
func TestClientDisconnectsBetweenPhases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(usual)
		defer r.stop()
		gone, asked := make(chan struct{}), make(chan struct{})
		for _, s := range r.stores {
			s.trouble = func(_ int, p lots.Phase) (testbed.End, time.Duration) {
				if p == lots.Listings {
					select {
					case <-asked:
					default:
						close(asked)
					}
					return testbed.Hit, 20 * time.Second
				}
				return testbed.Hit, 0
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
		if out != 0 || r.core.Utilization() != 0 {
			t.Errorf("%d attempts in flight, utilization %v", out, r.core.Utilization())
		}
	})
}

// Classes are reloaded, and replicas drain, between the phases: the query ends under the rules of its arrival, and
// nothing is sent to a draining replica.
func TestReloadAndDrainBetweenPhases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(usual)
		defer r.stop()
		want, _ := r.truth(tractors, 0, 10)
		done := false
		for _, s := range r.stores {
			s.trouble = func(_ int, p lots.Phase) (testbed.End, time.Duration) {
				if p != lots.Listings || done {
					return testbed.Hit, 0
				}
				done = true
				set := *r.front.Settings.Load()
				set.Policy.Classes = append(slices.Clone(set.Policy.Classes), decision.Class{LatencyTarget: time.Second, Deadline: 2 * time.Second, CompleteFraction: 1, PartialFraction: 1, MaxAttempts: 1})
				set.Classes = append(slices.Clone(set.Classes), "other")
				go func() {
					r.core.ChangeSettings(set)
					r.core.Detach("s-0-0")
				}()
				return testbed.Hit, 0
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
			t.Errorf("%d subqueries to a copy that drains", after-before)
		}
	})
}

// Invalid score answers count as failed attempts: those that claim too much, are out of order or name a lot twice are
// retried at another replica, and the page is the true one.
func TestInvalidScores(t *testing.T) {
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
		synctest.Test(t, func(t *testing.T) {
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
