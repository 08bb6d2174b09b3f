package search

// skip skips a range and counts its lots by its bound.
func (p *Plan) skip(o Orders, i int) Orders {
	if p.state[i] == pending {
		p.unsent--
	} else {
		p.waveAnswered++ // its request will not be answered
	}
	p.state[i] = skipped
	b := &p.bounds[i]
	p.total += b.Count
	p.atLeast = p.atLeast || !b.Exact
	o.Skip = append(o.Skip, i)
	return o
}

// request requests a range.
func (p *Plan) request(o Orders, i int) Orders {
	p.state[i] = requested
	p.unsent--
	p.requests++
	p.waveSize++
	o.Request = append(o.Request, i)
	return o
}

// requestAll requests all remaining ranges.
func (p *Plan) requestAll(o Orders) Orders {
	p.waves++
	for i := range p.ranges {
		if p.state[i] == pending {
			o = p.request(o, i)
		}
	}
	p.requestAllAt = 0
	return o
}

// wave requests the next ranges in the order of their bounds. The first wave has all ranges without a bound, and as many of
// the others as should have firstWavePages pages of lots. Further waves are chosen in the same way until the page is full;
// then a wave has half of the ranges that can still reach the page. The last wave has all remaining ranges.
func (p *Plan) wave(o Orders, first bool) Orders {
	p.waves++
	p.waveSize, p.waveAnswered = 0, 0
	if first {
		for i := range p.ranges {
			if !p.hasBound[i] && p.state[i] == pending {
				o = p.request(o, i)
			}
		}
	}
	wantLots, limit := firstWavePages*float64(p.Query.page()), p.unsent
	if p.top.Last() != nil {
		wantLots, limit = float64(p.unsent*p.Query.page()), (p.unsent+1)/2
	}
	if p.waves >= maxWaves || p.unsent <= requestRestAt {
		return p.requestAll(o)
	}
	for lots := 0.0; lots < wantLots && limit > 0 && p.next < len(p.order); p.next++ {
		i := p.order[p.next]
		if p.state[i] != pending {
			continue
		}
		n := float64(p.Query.page()) / unknownCountDivisor
		if p.bounds[i].Exact {
			n = float64(p.bounds[i].Count)
		}
		lots += n
		limit--
		o = p.request(o, i)
	}
	if p.unsent <= requestRestAt {
		return p.requestAll(o)
	}
	return o
}
