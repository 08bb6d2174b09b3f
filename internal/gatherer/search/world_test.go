package search

import (
	"fmt"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/merge"
)

// world is some ranges of lots, each as its one copy sees it.
type world struct {
	lots [][]merge.Hit // by range, sorted
	view []View
}

func newWorld(keys []merge.Key, ranges [][]merge.Value) *world {
	w := &world{}
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

func (w *world) sort(keys []merge.Key, r int) {
	slices.SortStableFunc(w.lots[r], func(a, b merge.Hit) int { return merge.Compare(keys, a.Sort, b.Sort) })
}

// write puts a lot into a range; the copy promises nothing more about what it had said.
func (w *world) write(keys []merge.Key, r int, id string, v merge.Value) {
	w.lots[r] = append(w.lots[r], merge.Hit{ID: id, Sort: []merge.Value{v}})
	w.view[r].Version++
	w.sort(keys, r)
}

func (w *world) answer(q *Query, r int) *Answer {
	n := min(len(w.lots[r]), q.page())
	return &Answer{Hits: slices.Clone(w.lots[r][:n]), Total: int64(len(w.lots[r])), View: w.view[r]}
}

// page is what a full search of everything gives.
func (w *world) page(q *Query) (ids []string, total int64) {
	var all []*merge.Hit
	for r := range w.lots {
		for i, h := range w.lots[r] {
			h.Range, h.Rank = r, i
			all = append(all, &h)
		}
		total += int64(len(w.lots[r]))
	}
	slices.SortFunc(all, func(a, b *merge.Hit) int { return merge.Before(q.Keys, a, b) })
	all = all[min(q.From, len(all)):]
	for _, h := range all[:min(q.Size, len(all))] {
		ids = append(ids, h.ID)
	}
	return ids, total
}

func (w *world) plan(q *Query, x *Index) *Plan {
	var ranges []Range
	for r := range w.lots {
		ranges = append(ranges, Range{r, 1 / float64(len(w.lots))})
	}
	return NewPlan(q, Two, ranges, x)
}

var roomy = Times{End: sec, Usual: 25 * ms}

// run plays a plan; each asked range answers after a while of its own, in an order given by pick.
func (w *world) run(p *Plan, at time.Duration, pick func(n int) int) (r Result, fetch []Fetch) {
	times := roomy
	times.End += at
	o := p.Start(at, times)
	out := slices.Clone(o.Request)
	for len(out) > 0 {
		n := pick(len(out))
		i := out[n]
		out = slices.Delete(out, n, n+1)
		o := p.Scored(i, uint32(i), w.answer(p.Query, i), at, at+20*ms)
		out = append(out, o.Request...)
		out = slices.DeleteFunc(out, func(i int) bool { return slices.Contains(o.Skip, i) })
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
		p.Listed(f.Index, a)
	}
	return p.Result(), fetch
}

func first(int) int { return 0 }

func ids(hits []*merge.Hit) (s []string) {
	for _, h := range hits {
		s = append(s, h.ID)
	}
	return s
}
