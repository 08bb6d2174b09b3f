package search

import (
	"fmt"
	"math/bits"
	"time"
)

// Parameters of the choice between one phase and two.
const (
	averageWeight      = 0.1      // weight of a query in the moving averages: about ten queries
	minMeasuredQueries = 5        // queries of both alternatives that must have been measured before a change
	lateTolerance      = 0.02     // difference in the fraction of late answers that counts
	maxLoadFraction    = 0.8      // fraction of the load of the alternative in use; the load of the other must be below that
	hysteresis         = 0.1      // further margin by which the other must be better, so that the choice does not oscillate
	trialInterval      = 50       // every so many queries, one uses the other alternative, to measure it
	bytesPerRequest    = 16 << 10 // bytes that count as much load as one request
)

// Chooser chooses between one phase and two by measurements of both, for each class, fan-out and page size. It is not safe
// for concurrent use. Its memory is bounded by the number of classes, as fan-outs and page sizes are grouped by powers of two.
type Chooser struct {
	force   Phases // 0 for none
	choices map[chooseKey]*choice
}

// chooseKey is a kind of query, with the logarithms of its numbers of ranges and of lots on the page.
type chooseKey struct{ class, ranges, page int }

// choice is the number of phases in use for a kind of query, with the measurements of both alternatives.
type choice struct {
	measurements [2]measurement // for One and Two
	use          Phases
	queries      int
}

// measurement has the moving averages over queries with one number of phases.
type measurement struct {
	n          int     // queries measured
	late, load float64 // fraction of late answers, and load in requests per query
}

// NewChooser returns a chooser. Force is One or Two to always use that, or 0 for whichever is better.
func NewChooser(force Phases) *Chooser {
	return &Chooser{force: force, choices: map[chooseKey]*choice{}}
}

// choiceFor returns the choice for a kind of query.
func (c *Chooser) choiceFor(class, ranges, page int) *choice {
	k := chooseKey{class, bits.Len(uint(ranges)), bits.Len(uint(page))}
	x := c.choices[k]
	if x == nil {
		x = &choice{use: One}
		if min(page, ranges)*2 <= ranges { // the lots of the page are from at most half of the ranges
			x.use = Two
		}
		c.choices[k] = x
	}
	return x
}

// Choose returns the number of phases for a query of a class over so many ranges. If the choice for its kind of queries has
// changed, why has the reason, for the log.
func (c *Chooser) Choose(class int, q *Query, ranges int) (p Phases, why string) {
	if c.force != 0 {
		return c.force, ""
	}
	if ranges < 2 || q.Size == 0 { // no range can be skipped, or there are no listings to fetch
		return One, ""
	}
	x := c.choiceFor(class, ranges, q.page())
	one, two := &x.measurements[0], &x.measurements[1]
	if one.n >= minMeasuredQueries && two.n >= minMeasuredQueries {
		use, other := one, two
		if x.use == Two {
			use, other = two, one
		}
		late := other.late < use.late-lateTolerance-hysteresis*use.late
		load := other.late < use.late+lateTolerance && other.load < (maxLoadFraction-hysteresis)*use.load
		if late || load {
			x.use = One + Two - x.use
			why = fmt.Sprintf("phases=%d class=%d ranges=%d page=%d one: late=%.2f load=%.1f two: late=%.2f load=%.1f",
				x.use, class, ranges, q.page(), one.late, one.load, two.late, two.load)
		}
	}
	x.queries++
	if x.queries%trialInterval == 0 {
		return One + Two - x.use, why
	}
	return x.use, why
}

// Record records the latency of a query, its latency target, and whether it was answered.
func (c *Chooser) Record(class int, p *Plan, latency, target time.Duration, answered bool) {
	if c.force != 0 || len(p.ranges) < 2 || p.Query.Size == 0 {
		return
	}
	s := &c.choiceFor(class, len(p.ranges), p.Query.page()).measurements[p.Phases-One]
	late := 0.0
	if !answered || latency > target {
		late = 1
	}
	load := float64(p.requests) + float64(p.bytes)/bytesPerRequest
	s.n++
	w := max(averageWeight, 1/float64(s.n))
	s.late += w * (late - s.late)
	if answered { // a query that ended early has not caused its full load
		s.load += w * (load - s.load)
	}
}
