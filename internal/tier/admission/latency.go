package admission

import (
	"time"

	"pulleygw.example/pulleygw/internal/shared/curve"
)

// latencyClass holds the response times of a service's requests that have the same latency target and are all streaming or
// all not. Classes are kept apart because requests of different routes may take several times as long as each other.
type latencyClass struct {
	target    time.Duration
	streaming bool
	unloaded  *curve.Histogram // unloaded response times of all stores
	recent    *curve.Histogram // response times of all stores in the last few seconds, under any load

	// The following values are derived from the histograms by refresh, in seconds.
	upToDate   bool
	cdf        []float64 // of unloaded; the slice is reused
	median     float64   // of unloaded
	tail       float64   // tailQuantile of unloaded
	recentTail float64   // tailQuantile of recent; 0 if there are too few responses
	baseline   float64   // follows the median down at once and up slowly, so that a long overload does not raise it
	baselineAt time.Duration
}

// storeLatencies holds a store's unloaded response times in one class.
type storeLatencies struct {
	class     *latencyClass
	histogram *curve.Histogram
	upToDate  bool
	tail      float64 // tailQuantile, blended with the class's distribution
}

func newLatencyClass(target time.Duration, streaming bool) *latencyClass {
	return &latencyClass{
		target: target, streaming: streaming, unloaded: curve.NewLatencyHistogram(),
		recent: curve.NewHistogram(curve.HistogramLow, curve.HistogramHigh, curve.HistogramRatio, recentHalfLife),
	}
}

// refresh updates the derived values if the histograms have changed. Before the first response it assumes a uniform
// distribution up to initialTailShare of the latency target.
func (c *latencyClass) refresh(now time.Duration) {
	if c.upToDate {
		return
	}
	c.upToDate = true
	unloaded := c.unloaded
	if unloaded.Total == 0 {
		unloaded = curve.NewLatencyHistogram()
		unloaded.FillUniform(c.target.Seconds() * initialTailShare)
	}
	c.cdf = curve.Blend(c.cdf, unloaded, unloaded, 0, now)
	c.median, c.tail = unloaded.Quantile(c.cdf, 0.5), unloaded.Quantile(c.cdf, tailQuantile)
	c.recentTail = 0
	if c.recent.Count(now) >= curve.PriorWeight {
		c.recentTail = c.recent.Quantile(curve.Blend(nil, c.recent, c.recent, 0, now), tailQuantile)
	}
	c.refreshBaseline(now)
}

// refreshBaseline updates the baseline, which rises by no more than baselineRise per second.
func (c *latencyClass) refreshBaseline(now time.Duration) {
	risen := c.baseline * (1 + baselineRise*(now-c.baselineAt).Seconds())
	if c.baseline == 0 || c.unloaded.Count(now) < curve.PriorWeight {
		risen = c.median
	}
	c.baseline, c.baselineAt = min(c.median, risen), now
}

// recordRecent records a response time, whether the store was loaded or not.
func (c *latencyClass) recordRecent(now time.Duration, seconds float64) {
	c.recent.Add(now, seconds)
	c.upToDate = false
}

// recordUnloaded records an unloaded response time for the store and for the class.
func (s *store) recordUnloaded(c *latencyClass, now time.Duration, seconds float64) {
	own := s.latenciesOf(c)
	if own == nil {
		s.latencies = append(s.latencies, storeLatencies{class: c, histogram: curve.NewLatencyHistogram()})
		own = &s.latencies[len(s.latencies)-1]
	}
	own.histogram.Add(now, seconds)
	c.unloaded.Add(now, seconds)
	own.upToDate, c.upToDate = false, false
}

// latenciesOf returns the store's response times in a class, or nil if there are none.
func (s *store) latenciesOf(c *latencyClass) *storeLatencies {
	for i := range s.latencies {
		if s.latencies[i].class == c {
			return &s.latencies[i]
		}
	}
	return nil
}

// unloadedTail returns the 99th percentile of the store's unloaded response times, in seconds. For a store without responses
// it returns that of all stores.
func (s *store) unloadedTail(c *latencyClass, now time.Duration) float64 {
	c.refresh(now)
	own := s.latenciesOf(c)
	if own == nil {
		return c.tail
	}
	if !own.upToDate {
		mixed := curve.Blend(nil, own.histogram, c.unloaded, curve.PriorWeight, now)
		own.tail, own.upToDate = own.histogram.Quantile(mixed, tailQuantile), true
	}
	return own.tail
}

// stallTimeout returns after how many seconds without a first byte a store counts as stalled. It does not grow with the
// store's own slowness, but it does grow with recent response times of all stores.
func (s *store) stallTimeout(c *latencyClass, now time.Duration) float64 {
	return max(min(s.unloadedTail(c, now), c.tail), c.recentTail)
}
