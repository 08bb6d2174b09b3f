package search

import (
	"fmt"
	"math/bits"
	"time"
)

// Tuned values of the choice between one phase and two.
const (
	chooseWeight = 0.1      // smoothing: some ten queries tell
	chooseEnough = 5        // queries of a side before its figures count
	chooseLate   = 0.02     // so much more of a side's answers late, and it loses
	chooseLoad   = 0.8      // of the other side's load: worth a change
	chooseStay   = 0.1      // by how much more the side not in use must lead
	chooseTrial  = 50       // one query in so many goes the other way
	partBytes    = 16 << 10 // bytes that weigh as much as a part asked
)

// Chooser decides between one phase and two by what was measured of both, by class, fan-out and page. It is not safe
// for concurrent use. Its memory is bounded by the number of classes: fan-outs and pages count by powers of two.
type Chooser struct {
	force Phases // 0 for none
	sides map[chooseKey]*choice
}

type chooseKey struct{ class, ranges, page int }

type choice struct {
	sides [2]side
	use   Phases
	asked int
}

// side is what was measured of one way.
type side struct {
	n          int
	late, load float64
}

// NewChooser makes a chooser; force is One, Two or 0 for whichever is better.
func NewChooser(force Phases) *Chooser { return &Chooser{force: force, sides: map[chooseKey]*choice{}} }

func (c *Chooser) of(class, ranges, page int) *choice {
	k := chooseKey{class, bits.Len(uint(ranges)), bits.Len(uint(page))}
	x := c.sides[k]
	if x == nil {
		x = &choice{use: One}
		if min(page, ranges)*2 <= ranges { // the page comes from half of the ranges at most
			x.use = Two
		}
		c.sides[k] = x
	}
	return x
}

// Choose says how a query of a class is put to so many ranges. why is not empty where the choice has changed.
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
		late := other.late < use.late-chooseLate-chooseStay*use.late
		load := other.late < use.late+chooseLate && other.load < (chooseLoad-chooseStay)*use.load
		if late || load {
			x.use = One + Two - x.use
			why = fmt.Sprintf("phases=%d class=%d ranges=%d page=%d one: late=%.2f load=%.1f two: late=%.2f load=%.1f",
				x.use, class, ranges, q.page(), one.late, one.load, two.late, two.load)
		}
	}
	x.asked++
	if x.asked%chooseTrial == 0 {
		return One + Two - x.use, why
	}
	return x.use, why
}

// Measured records how a query went: what its answer took, and whether it was an answer at all.
func (c *Chooser) Measured(class int, p *Plan, took, aim time.Duration, answered bool) {
	if c.force != 0 || len(p.ranges) < 2 || p.Query.Size == 0 {
		return
	}
	s := &c.of(class, len(p.ranges), p.Query.page()).sides[p.Phases-One]
	late := 0.0
	if !answered || took > aim {
		late = 1
	}
	load := float64(p.parts) + float64(p.bytes)/partBytes
	s.n++
	w := max(chooseWeight, 1/float64(s.n))
	s.late += w * (late - s.late)
	if answered { // the load of one that was cut short says nothing
		s.load += w * (load - s.load)
	}
}
