package search

import "pulleygw.example/pulleygw/internal/gatherer/merge"

// countOnly reports whether only a count is wanted.
func (p *Plan) countOnly() bool { return p.Query.page() == 0 }

// compareBounds orders ranges by the best lot that they may have; empty ones come last.
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

// beaten reports whether no lot of a range with a bound can reach the page.
func (p *Plan) beaten(i int) bool {
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
	case n < len(p.Query.Keys): // further keys decide
		return false
	}
	return last.Range < p.ranges[i].Number
}

// countable reports whether a range may be skipped without making the count less exact than the client wants.
func (p *Plan) countable(i int) bool {
	b := &p.bounds[i]
	switch c := p.Query.Count; {
	case p.Query.Every:
		return b.Empty
	case b.Exact || c == CountNone:
		return true
	case c == CountAll:
		return false
	case c == CountAnyhow:
		return !p.countOnly()
	default:
		return p.total >= int64(c)
	}
}

// prune skips the ranges that can no longer change the page, from the worst bound up: where one is not beaten, no better one
// is.
func (p *Plan) prune(o Orders) Orders {
	for ; p.pruneFrom > 0; p.pruneFrom-- {
		i := p.order[p.pruneFrom-1]
		if p.state[i] == answered || p.state[i] == skipped {
			continue
		}
		if !p.beaten(i) {
			break
		}
		if !p.countable(i) {
			return p.pruneBetween(o)
		}
		o = p.skip(o, i)
	}
	return o
}

// pruneBetween continues behind a range whose count is wanted: another may be beaten and counted.
func (p *Plan) pruneBetween(o Orders) Orders {
	for n := p.pruneFrom - 1; n >= 0; n-- {
		i := p.order[n]
		if p.state[i] == answered || p.state[i] == skipped {
			continue
		}
		if !p.beaten(i) {
			break
		}
		if p.countable(i) {
			o = p.skip(o, i)
		}
	}
	return o
}
