package search

import "pulleygw.example/pulleygw/internal/gatherer/merge"

// same says whether a lot still belongs where it was ranked: it has not changed, or its rank has not.
func same(keys []merge.Key, h, now *merge.Hit) bool {
	return h.Version != 0 && h.Version == now.Version || merge.Same(keys, h.Sort, now.Sort)
}

// Result is what a query's answer says.
type Result struct {
	Hits    []*merge.Hit // of the page, in order, with their listings
	Total   int64
	AtLeast bool       // Total is a lower bound
	Best    *merge.Hit // of all lots, nil where there is none or a better one may be missing
	In      int        // ranges that answered
	Skipped []int      // range numbers
	Missing []int
	Weight  float64      // of the ranges that are in or skipped
	Listed  float64      // share of the page's lots whose ranges gave their listings
	Changed int          // lots left out as they had changed between the phases
	Bytes   int          // of the lot stores' answers
	Parts   int          // asked, further attempts not counted
	Extra   []any        // of the ranges that are in, in the plan's order
	Views   map[int]View // of the ranges that are in, by number
	Moved   []int        // those of Missing that were ahead of where they are pinned
}

// Share is the share of a whole answer that the result is: of the weight, and of the page.
func (r *Result) Share() float64 { return r.Weight * r.Listed }

// Whole says whether nothing is missing.
func (r *Result) Whole() bool { return len(r.Missing) == 0 && r.Listed == 1 && r.Changed == 0 }

// Result is what is in now; the host ends the score phase first.
func (p *Plan) Result() (r Result) {
	r = Result{Total: p.total, AtLeast: p.atLeast, Listed: 1, Changed: p.changed, Bytes: p.bytes, Parts: p.parts}
	r.Views = map[int]View{}
	r.Missing = append(r.Missing, p.Query.Absent...)
	for _, x := range p.extra {
		if x != nil {
			r.Extra = append(r.Extra, x)
		}
	}
	for i, s := range p.state {
		switch s {
		case in:
			r.In++
			r.Weight += p.ranges[i].Weight
			r.Views[p.ranges[i].Number] = p.views[i]
		case skipped:
			r.Skipped = append(r.Skipped, p.ranges[i].Number)
			r.Weight += p.ranges[i].Weight
		default:
			r.Missing = append(r.Missing, p.ranges[i].Number)
			if p.ahead[i] {
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
