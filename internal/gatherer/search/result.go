package search

import "pulleygw.example/pulleygw/internal/gatherer/merge"

// unchanged reports whether a lot still has its rank: its version or its sort values are the same.
func unchanged(keys []merge.Key, h, now *merge.Hit) bool {
	return h.Version != 0 && h.Version == now.Version || merge.Unchanged(keys, h.Sort, now.Sort)
}

// Result is the result of a query.
type Result struct {
	Hits            []*merge.Hit // lots of the page, in order, with their listings
	Total           int64        // lots that match
	AtLeast         bool         // Total is a lower bound
	Best            *merge.Hit   // best lot of all ranges; nil if there is none, or if ranges are missing
	Answered        int          // number of ranges that answered
	Skipped         []int        // numbers of the ranges that could not change the page
	Missing         []int        // numbers of the ranges that did not answer or were excluded
	Weight          float64      // of the ranges that answered or were skipped
	Listed          float64      // fraction of the page's lots whose range has answered the second phase
	ChangedLots     int          // lots left out of the page as they changed between the phases
	Bytes           int          // total size of the lot stores' answers
	Requests        int          // number of requests, without retries
	Extra           []any        // Answer.Extra of the ranges that answered, in the plan's order
	Views           map[int]View // of the ranges that answered, by number
	ChangedSincePin []int        // those of Missing that have changed since the pinned version
}

// Fraction returns the fraction of a complete answer that the result has: that of the weight times that of the page.
func (r *Result) Fraction() float64 { return r.Weight * r.Listed }

// Complete reports whether nothing is missing.
func (r *Result) Complete() bool { return len(r.Missing) == 0 && r.Listed == 1 && r.ChangedLots == 0 }

// Result returns the result so far. It must not be called before Close.
func (p *Plan) Result() (r Result) {
	r = Result{Total: p.total, AtLeast: p.atLeast, Listed: 1, ChangedLots: p.changedLots, Bytes: p.bytes, Requests: p.requests}
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
			if p.changedSincePin[i] {
				r.ChangedSincePin = append(r.ChangedSincePin, p.ranges[i].Number)
			}
		}
	}
	if len(r.Missing) > 0 {
		r.AtLeast = true
	} else {
		r.Weight = 1 // the sum may differ by rounding
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
