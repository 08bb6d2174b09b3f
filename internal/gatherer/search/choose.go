package search

import (
	"fmt"
	"math/bits"
	"time"
)

// Tuned values of the choice between one phase and two.
const (
	chooseWeight     = 0.1      // smoothing: some ten queries
	chooseEnough     = 5        // queries of a side before its measurements count
	chooseLate       = 0.02     // a side with so many more late answers is worse
	chooseLoad       = 0.8      // of the other side's load: better by enough for a change
	chooseHysteresis = 0.1      // margin by which the side not in use must be better
	chooseTrial      = 50       // one query in so many uses the other side
	bytesPerRequest  = 16 << 10 // bytes that count as much load as one request
)

// Chooser chooses between one phase and two by measurements of both, by class, fan-out and page size. It is not safe for
// concurrent use. Its memory is bounded by the number of classes: fan-outs and pages count by powers of two.
type Chooser struct {
	force Phases // 0 for none
	sides map[chooseKey]*choice
}

type chooseKey struct{ class, ranges, page int }

type choice struct {
	sides   [2]side
	use     Phases
	queries int
}

// side is the measurements of one number of phases.
type side struct {
	n          int
	late, load float64
}

// NewChooser returns a chooser. Force is One, Two or 0 for whichever is better.
func NewChooser(force Phases) *Chooser { return &Chooser{force: force, sides: map[chooseKey]*choice{}} }

// of returns the choice for a kind of query.
func (c *Chooser) of(class, ranges, page int) *choice {
	k := chooseKey{class, bits.Len(uint(ranges)), bits.Len(uint(page))}
	x := c.sides[k]
	if x == nil {
		x = &choice{use: One}
		if min(page, ranges)*2 <= ranges { // the page comes from at most half of the ranges
			x.use = Two
		}
		c.sides[k] = x
	}
	return x
}

// Choose returns the number of phases for a query of a class over so many ranges. Why is not empty if the choice has changed.
func (c *Chooser) Choose(class int, q *Query, ranges int) (p Phases, why string) {
	if c.force != 0 {
		return c.force, ""
	}
	if ranges < 2 || q.Size == 0 { // nothing to fetch, or nothing to save
		return One, ""
	}
	x := c.of(class, ranges, q.page())
	one, two := &x.sides[0], &x.sides[1]
	if one.n >= chooseEnough && two.n >= chooseEnough {
		use, other := one, two
		if x.use == Two {
			use, other = two, one
		}
		late := other.late < use.late-chooseLate-chooseHysteresis*use.late
		load := other.late < use.late+chooseLate && other.load < (chooseLoad-chooseHysteresis)*use.load
		if late || load {
			x.use = One + Two - x.use
			why = fmt.Sprintf("phases=%d class=%d ranges=%d page=%d one: late=%.2f load=%.1f two: late=%.2f load=%.1f",
				x.use, class, ranges, q.page(), one.late, one.load, two.late, two.load)
		}
	}
	x.queries++
	if x.queries%chooseTrial == 0 {
		return One + Two - x.use, why
	}
	return x.use, why
}

// Measured records the latency of a query, its target, and whether it was answered at all.
func (c *Chooser) Measured(class int, p *Plan, took, target time.Duration, answered bool) {
	if c.force != 0 || len(p.ranges) < 2 || p.Query.Size == 0 {
		return
	}
	s := &c.of(class, len(p.ranges), p.Query.page()).sides[p.Phases-One]
	late := 0.0
	if !answered || took > target {
		late = 1
	}
	load := float64(p.requests) + float64(p.bytes)/bytesPerRequest
	s.n++
	w := max(chooseWeight, 1/float64(s.n))
	s.late += w * (late - s.late)
	if answered { // the load of a query that ended early says nothing
		s.load += w * (load - s.load)
	}
}
