package limits

import (
	"math"
	"time"
)

// Tuned values of the limit that follows answer times.
const (
	shortHalf        = 0.2   // smoothing of recent answer times: some five answers
	longHalf         = 0.002 // and of the usual: some five hundred
	slack            = 1.5   // times the usual: slower answers are a queue at work
	minFall          = 0.5   // the steepest fall of one look
	samplesPerUpdate = 10    // answers between two looks
	minUtilization   = 0.5   // of the limit: where fewer are in hand, answer times say nothing of it
)

// gradient is a limit that follows answer times, after Netflix's concurrency-limits (Gradient2): it falls by how much
// recent answers are slower than the usual ones, and grows by its root while they are not.
type gradient struct {
	limit       float64
	short, long float64 // seconds
	samples     int
	maxInFlight int // in hand at once since the last look
}

func (g *gradient) now(c Concurrency) int {
	if c.Floor == 0 || g.limit == 0 {
		return c.Max
	}
	return min(max(int(g.limit), c.Floor), c.Max)
}

func (g *gradient) answered(c Concurrency, took time.Duration, inHand int) {
	if c.Floor == 0 || c.Max == 0 {
		return
	}
	sec := took.Seconds()
	if g.limit == 0 {
		g.limit, g.short, g.long = float64(c.Max), sec, sec
	}
	g.short += shortHalf * (sec - g.short)
	g.long += longHalf * (sec - g.long)
	g.long = min(g.long, 2*g.short+1e-9) // a long jam must not become the usual's memory for ever
	g.maxInFlight = max(g.maxInFlight, inHand)
	if g.samples++; g.samples < samplesPerUpdate {
		return
	}
	if float64(g.maxInFlight) >= minUtilization*g.limit {
		g.limit *= min(max(slack*g.long/max(g.short, 1e-9), minFall), 1)
		g.limit = min(max(g.limit+math.Sqrt(g.limit), float64(c.Floor)), float64(c.Max))
	}
	g.samples, g.maxInFlight = 0, 0
}
