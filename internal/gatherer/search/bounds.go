package search

import "pulleygw.example/pulleygw/internal/gatherer/merge"

// countOnly reports whether the query asks for no lots, only for their count.
func (p *Plan) countOnly() bool { return p.Query.page() == 0 }

// compareBounds orders ranges with a bound by the best lot that they may have. Empty ones come last.
func (p *Plan) compareBounds(i, j int) int {
	a, b := &p.bounds[i], &p.bounds[j]
	switch {
	case a.Empty != b.Empty:
		if b.Empty {
			return -1
		}
		return 1
	case !a.Empty:
		n := min(len(a.Best), len(b.Best))
		if c := merge.Compare(p.Query.Keys[:n], a.Best, b.Best); c != 0 {
			return c
		}
	}
	return p.ranges[i].Number - p.ranges[j].Number
}

// cannotReachPage reports whether the bound of a range shows that none of its lots can be on the page.
func (p *Plan) cannotReachPage(i int) bool {
	b := &p.bounds[i]
	if b.Empty || p.countOnly() {
		return true
	}
	last := p.top.Last()
	if last == nil {
		return false
	}
	n := len(b.Best)
	switch c := merge.Compare(p.Query.Keys[:n], last.Sort, b.Best); {
	case c != 0:
		return c < 0
	case n < len(p.Query.Keys): // a tie in the keys of the bound: the remaining ones decide, which it does not cover
		return false
	}
	return last.Range < p.ranges[i].Number
}

// countAllowsSkip reports whether a range may be skipped without making the count less exact than the client asks for.
func (p *Plan) countAllowsSkip(i int) bool {
	b := &p.bounds[i]
	switch c := p.Query.Count; {
	case p.Query.SkipEmptyOnly:
		return b.Empty
	case b.Exact || c == CountNone:
		return true
	case c == CountAll:
		return false
	case c == CountBestEffort:
		return !p.countOnly()
	default:
		return p.total >= int64(c)
	}
}

// prune skips the ranges that can no longer change the page, starting with the worst bound. It stops at the first range that
// can reach the page, as all ranges with better bounds can.
func (p *Plan) prune(o Orders) Orders {
	for ; p.pruneFrom > 0; p.pruneFrom-- {
		i := p.order[p.pruneFrom-1]
		if p.state[i] == answered || p.state[i] == skipped {
			continue
		}
		if !p.cannotReachPage(i) {
			break
		}
		if !p.countAllowsSkip(i) {
			return p.pruneRest(o)
		}
		o = p.skip(o, i)
	}
	return o
}

// pruneRest continues prune after a range that cannot reach the page but is needed for the count. It must look at all ranges
// again the next time, so that it does not move pruneFrom.
func (p *Plan) pruneRest(o Orders) Orders {
	for n := p.pruneFrom - 1; n >= 0; n-- {
		i := p.order[n]
		if p.state[i] == answered || p.state[i] == skipped {
			continue
		}
		if !p.cannotReachPage(i) {
			break
		}
		if p.countAllowsSkip(i) {
			o = p.skip(o, i)
		}
	}
	return o
}
