package search

import "time"

func (p *Plan) skip(o Orders, i int) Orders {
	if p.state[i] == waiting {
		p.left--
	} else {
		p.waveIn++ // of the wave it went with
	}
	p.state[i] = skipped
	b := &p.bounds[i]
	p.total += b.Count
	p.atLeast = p.atLeast || !b.Exact
	o.Skip = append(o.Skip, i)
	return o
}

func (p *Plan) ask(o Orders, i int) Orders {
	p.state[i] = asked
	p.left--
	p.parts++
	p.waveSize++
	o.Ask = append(o.Ask, i)
	return o
}

func (p *Plan) askAll(o Orders) Orders {
	p.waves++
	for i := range p.ranges {
		if p.state[i] == waiting {
			o = p.ask(o, i)
		}
	}
	p.hurryAt = 0
	return o
}

// wave asks the next ranges: at first those without a bound and, by their bounds, as many of the others as hold a
// page and a half; then, with a page to beat, half of what can still reach it, and at last the rest.
func (p *Plan) wave(o Orders, now time.Duration, first bool) Orders {
	p.waves++
	p.waveSize, p.waveIn = 0, 0
	if first {
		for i := range p.ranges {
			if !p.known[i] && p.state[i] == waiting {
				o = p.ask(o, i)
			}
		}
	}
	want, most := pageAndHalf*float64(p.Query.page()), p.left
	if p.top.Last() != nil {
		want, most = float64(p.left*p.Query.page()), (p.left+1)/2
	}
	if p.waves >= mostWaves || p.left <= leastLeft {
		return p.askAll(o)
	}
	for held := 0.0; held < want && most > 0 && p.next < len(p.order); p.next++ {
		i := p.order[p.next]
		if p.state[i] != waiting {
			continue
		}
		n := float64(p.Query.page()) / pageEighth
		if p.bounds[i].Exact {
			n = float64(p.bounds[i].Count)
		}
		held += n
		most--
		o = p.ask(o, i)
	}
	if p.left <= leastLeft {
		return p.askAll(o)
	}
	return o
}
