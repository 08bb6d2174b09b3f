package admission

import (
	"time"

	"pulleygw.example/pulleygw/internal/shared/curve"
)

// class is what is usual for the requests of a service that have one aim and one kind of answer. Routes of one service
// may ask for work that takes several times longer than another's, so that each class has its own records.
type class struct {
	aim       time.Duration
	streaming bool
	pool      *curve.Histogram // all stores' unloaded answer times
	recent    *curve.Histogram // all stores' answer times of the last seconds
	late      float64          // their tail: what takes longer is late also under the load that there is
	curve     []float64
	fresh     bool
	typical   float64 // median of the pool, seconds
	tail      float64
	base      float64 // the median, slow to rise: a jam must not pass for the usual
	baseAt    time.Duration
}

// record is a store's unloaded answer times for one class.
type record struct {
	class *class
	times *curve.Histogram
	tail  float64 // with the others' average mixed in
	fresh bool
}

func newTimes() *curve.Histogram {
	return curve.NewHistogram(curve.RecordLow, curve.RecordHigh, curve.RecordRatio, curve.RecordHalfLife)
}

func newClass(aim time.Duration, streaming bool) *class {
	return &class{aim: aim, streaming: streaming, pool: newTimes(),
		recent: curve.NewHistogram(curve.RecordLow, curve.RecordHigh, curve.RecordRatio, recentHalf)}
}

// refresh brings what is read off the pool up to date. Before any answer it is a start curve from the aim.
func (c *class) refresh(now time.Duration) {
	if c.fresh {
		return
	}
	c.fresh = true
	pool := c.pool
	if pool.Total == 0 {
		pool = newTimes()
		pool.FillUniform(c.aim.Seconds() * startTail)
	}
	c.curve = curve.Blend(c.curve, pool, pool, 0, now)
	c.typical, c.tail = pool.Quantile(c.curve, 0.5), pool.Quantile(c.curve, tail)
	c.late = 0
	if c.recent.Size(now) >= curve.RecordPrior {
		c.late = c.recent.Quantile(curve.Blend(nil, c.recent, c.recent, 0, now), tail)
	}
	risen := c.base * (1 + baseRise*(now-c.baseAt).Seconds())
	if c.base == 0 || c.pool.Size(now) < curve.RecordPrior {
		risen = c.typical
	}
	c.base, c.baseAt = min(c.typical, risen), now
}

// of returns the store's record for a class, or nil before its first answer.
func (s *store) of(c *class) *record {
	for i := range s.records {
		if s.records[i].class == c {
			return &s.records[i]
		}
	}
	return nil
}

// tailOf is the 99th percentile of the store's unloaded answers in seconds; one that was not heard yet counts as the
// others' average.
func (s *store) tailOf(c *class, now time.Duration) float64 {
	c.refresh(now)
	r := s.of(c)
	if r == nil {
		return c.tail
	}
	if !r.fresh {
		mixed := curve.Blend(nil, r.times, c.pool, curve.RecordPrior, now)
		r.tail, r.fresh = r.times.Quantile(mixed, tail), true
	}
	return r.tail
}

// patience is how many seconds a request may be out before its store is skipped: a slow store's own record does not
// excuse it, and a load that all have does.
func (s *store) patience(c *class, now time.Duration) float64 {
	return max(min(s.tailOf(c, now), c.tail), c.late)
}

// remember adds an unloaded answer time to the records.
func (s *store) remember(c *class, now time.Duration, seconds float64) {
	r := s.of(c)
	if r == nil {
		s.records = append(s.records, record{class: c, times: newTimes()})
		r = &s.records[len(s.records)-1]
	}
	r.times.Add(now, seconds)
	c.pool.Add(now, seconds)
	r.fresh, c.fresh = false, false
}
