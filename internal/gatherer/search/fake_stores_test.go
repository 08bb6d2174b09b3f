package search

import (
	"fmt"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/merge"
)

// fakeStores has ranges of lots with one replica each.
type fakeStores struct {
	lots [][]merge.Hit // by range, sorted
	view []View        // by range
}

// newFakeStores returns ranges with one lot for each of the sort values.
func newFakeStores(keys []merge.Key, ranges [][]merge.Value) *fakeStores {
	w := &fakeStores{}
	for r, list := range ranges {
		var lots []merge.Hit
		for i, v := range list {
			lots = append(lots, merge.Hit{ID: fmt.Sprintf("%d-%d", r, i), Sort: []merge.Value{v}})
		}
		w.lots = append(w.lots, lots)
		w.view = append(w.view, View{Boot: "b", Version: 1, StableFor: 10})
		w.sort(keys, r)
	}
	return w
}

func (w *fakeStores) sort(keys []merge.Key, r int) {
	slices.SortStableFunc(w.lots[r], func(a, b merge.Hit) int { return merge.Compare(keys, a.Sort, b.Sort) })
}

// write adds a lot to a range, which gets a new version.
func (w *fakeStores) write(keys []merge.Key, r int, id string, v merge.Value) {
	w.lots[r] = append(w.lots[r], merge.Hit{ID: id, Sort: []merge.Value{v}})
	w.view[r].Version++
	w.sort(keys, r)
}

// answer returns the answer of a range to the score phase.
func (w *fakeStores) answer(q *Query, r int) *Answer {
	n := min(len(w.lots[r]), q.page())
	return &Answer{Hits: slices.Clone(w.lots[r][:n]), Total: int64(len(w.lots[r])), View: w.view[r]}
}

// page returns the page and the total by sorting the lots of all ranges.
func (w *fakeStores) page(q *Query) (ids []string, total int64) {
	var all []*merge.Hit
	for r := range w.lots {
		for i, h := range w.lots[r] {
			h.Range, h.Rank = r, i
			all = append(all, &h)
		}
		total += int64(len(w.lots[r]))
	}
	slices.SortFunc(all, func(a, b *merge.Hit) int { return merge.CompareHits(q.Keys, a, b) })
	all = all[min(q.From, len(all)):]
	for _, h := range all[:min(q.Size, len(all))] {
		ids = append(ids, h.ID)
	}
	return ids, total
}

func (w *fakeStores) plan(q *Query, x *Index) *Plan {
	var ranges []Range
	for r := range w.lots {
		ranges = append(ranges, Range{r, 1 / float64(len(w.lots))})
	}
	return NewPlan(q, Two, ranges, x)
}

// ampleTime is enough for all waves.
var ampleTime = Times{End: sec, UsualLatency: 25 * ms}

// run executes a plan. Requested ranges answer in the order given by pick, which returns the index of the next of n.
func (w *fakeStores) run(p *Plan, at time.Duration, pick func(n int) int) (r Result, fetch []Fetch) {
	times := ampleTime
	times.End += at
	o := p.Start(at, times)
	inFlight := slices.Clone(o.Request)
	for len(inFlight) > 0 {
		n := pick(len(inFlight))
		i := inFlight[n]
		inFlight = slices.Delete(inFlight, n, n+1)
		o := p.RecordAnswer(i, uint32(i), w.answer(p.Query, i), at, at+20*ms)
		inFlight = append(inFlight, o.Request...)
		inFlight = slices.DeleteFunc(inFlight, func(i int) bool { return slices.Contains(o.Skip, i) })
	}
	fetch = p.Close()
	for _, f := range fetch {
		a := &Answer{}
		for _, h := range w.lots[f.Index] {
			if slices.Contains(f.IDs, h.ID) {
				h.Listing = "listing of " + h.ID
				a.Hits = append(a.Hits, h)
			}
		}
		p.RecordListings(f.Index, a)
	}
	return p.Result(), fetch
}

func pickFirst(int) int { return 0 }

func ids(hits []*merge.Hit) (s []string) {
	for _, h := range hits {
		s = append(s, h.ID)
	}
	return s
}
