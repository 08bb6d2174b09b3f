package limits

import (
	"math"
	"time"
)

// Parameters of the adaptive limit.
const (
	shortAvgWeight   = 0.2   // weight of an answer in the short-term average of the latency: about five answers
	longAvgWeight    = 0.002 // weight of an answer in the long-term average: about five hundred answers
	latencyTolerance = 1.5   // ratio of the short-term to the long-term average above which requests are assumed to queue
	minUpdateFactor  = 0.5   // least factor by which one update may reduce the limit
	samplesPerUpdate = 10    // answers between two updates
	minUtilization   = 0.5   // fraction of the limit that must have been in flight for an update: below, latencies say nothing about it
)

// gradient is a concurrency limit that adapts to latency, after Gradient2 of Netflix's concurrency-limits. It falls in
// proportion to how much slower recent answers are than the long-term average, and otherwise grows by its square root.
type gradient struct {
	limit             float64 // 0 before the first answer
	shortAvg, longAvg float64 // short-term and long-term average of the latency, in seconds
	samples           int     // answers since the last update
	maxInFlight       int     // maximum number in flight since the last update
}

// current returns the limit, 0 for none.
func (g *gradient) current(c Concurrency) int {
	if c.Floor == 0 || g.limit == 0 {
		return c.Max
	}
	return min(max(int(g.limit), c.Floor), c.Max)
}

// record updates the limit by the latency of an answer and the number of requests that were in flight.
func (g *gradient) record(c Concurrency, latency time.Duration, inFlight int) {
	if c.Floor == 0 || c.Max == 0 {
		return
	}
	sec := latency.Seconds()
	if g.limit == 0 {
		g.limit, g.shortAvg, g.longAvg = float64(c.Max), sec, sec
	}
	g.shortAvg += shortAvgWeight * (sec - g.shortAvg)
	g.longAvg += longAvgWeight * (sec - g.longAvg)
	g.longAvg = min(g.longAvg, 2*g.shortAvg+1e-9) // a long congestion must not become the long-term average
	g.maxInFlight = max(g.maxInFlight, inFlight)
	if g.samples++; g.samples < samplesPerUpdate {
		return
	}
	if float64(g.maxInFlight) >= minUtilization*g.limit {
		g.limit *= min(max(latencyTolerance*g.longAvg/max(g.shortAvg, 1e-9), minUpdateFactor), 1)
		g.limit = min(max(g.limit+math.Sqrt(g.limit), float64(c.Floor)), float64(c.Max))
	}
	g.samples, g.maxInFlight = 0, 0
}
