// Package curve holds response time statistics: decaying histograms, cumulative distributions and their quantiles, and sums
// over a sliding window. Its types are not safe for concurrent use; they are passed the time and read no clock.
package curve

import (
	"math"
	"sort"
	"time"
)

// The shape of a histogram of response times.
const (
	RecordLow      = 0.001 // seconds: histograms span 1 ms to 60 s ...
	RecordHigh     = 60.0
	RecordRatio    = 1.12             // ... in buckets of 12%, finer than any decision needs
	RecordHalfLife = 20 * time.Second // half-life: longer than a stall, short enough to follow a change of machine
	RecordPrior    = 8.0              // responses' worth of the other servers' average mixed into a histogram
)

// Histogram is an exponentially decaying histogram of durations in buckets of constant ratio. Values are not decayed as time
// passes (forward decay): later ones weigh more, and all are scaled down once a half-life.
type Histogram struct {
	Low, Ratio float64 // seconds of the first bucket's upper end, and the buckets' ratio
	HalfLife   time.Duration
	N          []float64
	Total      float64
	Epoch      time.Duration // when a response weighed 1
}

// NewHistogram returns an empty Histogram from low to high seconds, with a half-life.
func NewHistogram(low, high, ratio float64, half time.Duration) *Histogram {
	size := int(math.Ceil(math.Log(high/low)/math.Log(ratio))) + 1
	return &Histogram{Low: low, Ratio: ratio, HalfLife: half, N: make([]float64, size)}
}

// Bucket returns the index of the bucket that a duration in seconds falls into.
func (h *Histogram) Bucket(sec float64) int {
	if sec <= h.Low {
		return 0
	}
	return min(int(math.Ceil(math.Log(sec/h.Low)/math.Log(h.Ratio))), len(h.N)-1)
}

// Edge returns a bucket's upper bound in seconds.
func (h *Histogram) Edge(i int) float64 { return h.Low * math.Pow(h.Ratio, float64(i)) }

// Weight returns what a response weighs now, relative to one at the epoch.
func (h *Histogram) Weight(now time.Duration) float64 {
	return math.Exp2(float64(now-h.Epoch) / float64(h.HalfLife))
}

// Size returns the decayed number of responses.
func (h *Histogram) Size(now time.Duration) float64 { return h.Total / h.Weight(now) }

// Add adds a response time in seconds.
func (h *Histogram) Add(now time.Duration, sec float64) { h.Put(now, h.Bucket(sec), 1) }

// Put adds a number of responses to a bucket.
func (h *Histogram) Put(now time.Duration, bucket int, answers float64) {
	w := h.Weight(now)
	if now-h.Epoch > h.HalfLife {
		for i := range h.N {
			h.N[i] /= w
		}
		h.Total, h.Epoch, w = h.Total/w, now, 1
	}
	h.N[bucket] += w * answers
	h.Total += w * answers
}

// Blend fills out with the cumulative distribution of own, with k responses' worth of prior mixed in. A nil out is allocated.
func Blend(out []float64, own, prior *Histogram, k float64, now time.Duration) []float64 {
	if out == nil {
		out = make([]float64, len(own.N))
	}
	switch {
	case prior.Total == 0 || k == 0:
		k = 0
	case own.Total == 0: // its epoch is not set
		own, k = prior, 0
	default:
		k *= own.Weight(now) / prior.Total
	}
	sum := 0.0
	for i := range out {
		sum += own.N[i] + k*prior.N[i]
		out[i] = sum
	}
	for i := range out {
		out[i] /= sum
	}
	return out
}

// Quantile returns the q-quantile in seconds of a cumulative distribution on h's buckets.
func (h *Histogram) Quantile(cdf []float64, q float64) float64 {
	i := sort.Search(len(cdf), func(i int) bool { return cdf[i] >= q })
	return h.Edge(min(i, len(cdf)-1))
}

// SlidingSum sums amounts over a sliding window.
type SlidingSum struct {
	At  []time.Duration
	N   []float64
	Sum float64
}

// Add adds an amount. Times must not decrease.
func (w *SlidingSum) Add(now time.Duration, n float64) {
	w.At, w.N, w.Sum = append(w.At, now), append(w.N, n), w.Sum+n
}

// Since drops the amounts before a time and returns the sum of the rest.
func (w *SlidingSum) Since(from time.Duration) float64 {
	i := 0
	for i < len(w.At) && w.At[i] < from {
		w.Sum -= w.N[i]
		i++
	}
	w.At, w.N = w.At[i:], w.N[i:]
	if len(w.At) == 0 {
		w.Sum = 0
	}
	return w.Sum
}

// Decay returns x decayed over d with the given half-life.
func Decay(x float64, d, half time.Duration) float64 {
	return x * math.Exp2(-float64(d)/float64(half))
}

// Seconds returns a duration in seconds.
func Seconds(d time.Duration) float64 { return d.Seconds() }

// Duration converts seconds to a duration.
func Duration(sec float64) time.Duration { return time.Duration(sec * float64(time.Second)) }

// Median sorts x and returns its upper median, 0 where x is empty.
func Median(x []float64) float64 {
	if len(x) == 0 {
		return 0
	}
	sort.Float64s(x)
	return x[len(x)/2]
}

// Multiply multiplies the cumulative distribution x by y in place, which gives that of the maximum of two independent
// variables, and returns it. An empty x becomes a copy of y.
func Multiply(x, y []float64) []float64 {
	if len(x) == 0 {
		return append(x, y...)
	}
	for i := range x {
		x[i] *= y[i]
	}
	return x
}

// NewRecord returns an empty Histogram of response times.
func NewRecord() *Histogram { return NewHistogram(RecordLow, RecordHigh, RecordRatio, RecordHalfLife) }

// FillUniform adds a uniform distribution from 0 to top seconds.
func (h *Histogram) FillUniform(top float64) {
	for i := range h.N {
		h.Add(h.Epoch, top*float64(i+1)/float64(len(h.N)))
	}
}
