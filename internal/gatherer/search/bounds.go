package search

import "pulleygw.example/pulleygw/internal/gatherer/merge"

// page0 says whether only a count is wanted.
func (p *Plan) page0() bool { return p.Query.page() == 0 }

// compareBounds orders ranges by the best lot that they may have; those that have none come last.
func (p *Plan) compareBounds(i, j int) int {
	a, b := &p.bounds[i], &p.bounds[j]
	switch {
	case a.None != b.None:
		if b.None {
			return -1
		}
		return 1
	case !a.None:
		n := min(len(a.Best), len(b.Best))
		if c := merge.Compare(p.Query.Keys[:n], a.Best, b.Best); c != 0 {
			return c
		}
	}
	return p.ranges[i].Number - p.ranges[j].Number
}

// beaten says whether no lot of a range with a bound can reach the page.
func (p *Plan) beaten(i int) bool {
	b := &p.bounds[i]
	if b.None || p.page0() {
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

// countable says whether a range may be left out without making the count less than the client wants.
func (p *Plan) countable(i int) bool {
	b := &p.bounds[i]
	switch c := p.Query.Count; {
	case p.Query.Every:
		return b.None
	case b.Exact || c == CountNone:
		return true
	case c == CountAll:
		return false
	case c == CountAnyhow:
		return !p.page0()
	default:
		return p.total >= int64(c)
	}
}

// prune skips the ranges that cannot change the page any more, from the worst bound up: where one is not beaten, no
// better one is.
func (p *Plan) prune(o Orders) Orders {
	for ; p.worst > 0; p.worst-- {
		i := p.order[p.worst-1]
		if p.state[i] == in || p.state[i] == skipped {
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

// pruneBetween goes on past a range whose count is wanted: another may be beaten and counted.
func (p *Plan) pruneBetween(o Orders) Orders {
	for n := p.worst - 1; n >= 0; n-- {
		i := p.order[n]
		if p.state[i] == in || p.state[i] == skipped {
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
