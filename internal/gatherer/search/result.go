package search

import "pulleygw.example/pulleygw/internal/gatherer/merge"

// unchanged reports whether a lot still has its rank: it has not changed, or its sort values have not.
func unchanged(keys []merge.Key, h, now *merge.Hit) bool {
	return h.Version != 0 && h.Version == now.Version || merge.Unchanged(keys, h.Sort, now.Sort)
}

// Result is the result of a query.
type Result struct {
	Hits     []*merge.Hit // of the page, in order, with their listings
	Total    int64
	AtLeast  bool       // Total is a lower bound
	Best     *merge.Hit // of all lots, nil where there is none or a better one may be missing
	Answered int        // ranges that answered
	Skipped  []int      // range numbers
	Missing  []int
	Weight   float64      // of the ranges that answered or were skipped
	Listed   float64      // fraction of the page's lots that were listed
	Changed  int          // lots left out as they changed between the phases
	Bytes    int          // of the lot stores' answers
	Requests int          // made, retries not counted
	Extra    []any        // of the ranges that answered, in the plan's order
	Views    map[int]View // of the ranges that answered, by number
	Moved    []int        // those of Missing that have changed since the pinned version
}

// Fraction is the fraction of a complete answer that the result is: of the weight, times that of the page.
func (r *Result) Fraction() float64 { return r.Weight * r.Listed }

// Complete reports whether nothing is missing.
func (r *Result) Complete() bool { return len(r.Missing) == 0 && r.Listed == 1 && r.Changed == 0 }

// Result is the result so far. The score phase must have been closed.
func (p *Plan) Result() (r Result) {
	r = Result{Total: p.total, AtLeast: p.atLeast, Listed: 1, Changed: p.changed, Bytes: p.bytes, Requests: p.requests}
	r.Views = map[int]View{}
	r.Missing = append(r.Missing, p.Query.Absent...)
	for _, x := range p.extra {
		if x != nil {
			r.Extra = append(r.Extra, x)
		}
	}
	for i, s := range p.state {
		switch s {
		case answered:
			r.Answered++
			r.Weight += p.ranges[i].Weight
			r.Views[p.ranges[i].Number] = p.views[i]
		case skipped:
			r.Skipped = append(r.Skipped, p.ranges[i].Number)
			r.Weight += p.ranges[i].Weight
		default:
			r.Missing = append(r.Missing, p.ranges[i].Number)
			if p.movedOn[i] {
				r.Moved = append(r.Moved, p.ranges[i].Number)
			}
		}
	}
	if len(r.Missing) > 0 {
		r.AtLeast = true
	} else {
		r.Weight = 1 // but for rounding
		r.Best = p.top.Best()
	}
	if p.Phases == Two && len(p.page) > 0 {
		r.Listed = float64(p.fetched) / float64(len(p.page))
	}
	for _, h := range p.page {
		if h.Listing != "" {
			r.Hits = append(r.Hits, h)
		}
	}
	return r
}
