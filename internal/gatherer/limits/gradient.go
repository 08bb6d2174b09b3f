package limits

import (
	"math"
	"time"
)

// Tuned values of the adaptive limit.
const (
	shortHalf        = 0.2   // smoothing of recent latencies: some five answers
	longHalf         = 0.002 // and of the usual: some five hundred
	slack            = 1.5   // times the usual: slower answers show a queue
	minFall          = 0.5   // the steepest fall of one update
	samplesPerUpdate = 10    // answers between two updates
	minUtilization   = 0.5   // of the limit: with fewer in flight, latencies say nothing of it
)

// gradient is a limit of concurrency that adapts to latency, after Gradient2 of Netflix's concurrency-limits: it falls by
// how much recent answers are slower than the usual ones, and grows by its square root while they are not.
type gradient struct {
	limit       float64
	short, long float64 // seconds
	samples     int
	maxInFlight int // in flight at once since the last update
}

// now is the current limit, 0 for none.
func (g *gradient) now(c Concurrency) int {
	if c.Floor == 0 || g.limit == 0 {
		return c.Max
	}
	return min(max(int(g.limit), c.Floor), c.Max)
}

// answered records the latency of an answer, and how many requests were in flight.
func (g *gradient) answered(c Concurrency, took time.Duration, inFlight int) {
	if c.Floor == 0 || c.Max == 0 {
		return
	}
	sec := took.Seconds()
	if g.limit == 0 {
		g.limit, g.short, g.long = float64(c.Max), sec, sec
	}
	g.short += shortHalf * (sec - g.short)
	g.long += longHalf * (sec - g.long)
	g.long = min(g.long, 2*g.short+1e-9) // long congestion must not become the usual
	g.maxInFlight = max(g.maxInFlight, inFlight)
	if g.samples++; g.samples < samplesPerUpdate {
		return
	}
	if float64(g.maxInFlight) >= minUtilization*g.limit {
		g.limit *= min(max(slack*g.long/max(g.short, 1e-9), minFall), 1)
		g.limit = min(max(g.limit+math.Sqrt(g.limit), float64(c.Floor)), float64(c.Max))
	}
	g.samples, g.maxInFlight = 0, 0
}
