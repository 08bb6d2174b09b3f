// Package curve provides statistics of response times: exponentially decaying histograms, cumulative distributions and their
// quantiles, and sums over a sliding window. Its types are not safe for concurrent use. They read no clock: the caller
// passes the time.
package curve

import (
	"math"
	"sort"
	"time"
)

// The parameters of a histogram of response times.
const (
	HistogramLow      = 0.001            // upper bound of the first bucket, seconds
	HistogramHigh     = 60.0             // upper bound of the last bucket, seconds
	HistogramRatio    = 1.12             // ratio of the bounds of adjacent buckets: finer than any decision needs
	HistogramHalfLife = 20 * time.Second // longer than a stall, short enough to follow a change of machine
	PriorWeight       = 8.0              // weight, in responses, of all servers' distribution when blended into one server's
)

// Histogram is an exponentially decaying histogram of durations, in buckets whose bounds have a constant ratio. It uses
// forward decay: in place of decaying old values as time passes, later values get a higher weight, and all weights are
// scaled down about once per half-life.
type Histogram struct {
	Low, Ratio float64       // upper bound of the first bucket in seconds, and ratio of the bounds of adjacent buckets
	HalfLife   time.Duration // in which the weight of a value halves
	Weights    []float64     // weight of the values by bucket
	Total      float64       // sum of Weights
	Epoch      time.Duration // when a new value has weight 1
}

// NewHistogram returns an empty Histogram with buckets from low to high seconds.
func NewHistogram(low, high, ratio float64, half time.Duration) *Histogram {
	size := int(math.Ceil(math.Log(high/low)/math.Log(ratio))) + 1
	return &Histogram{Low: low, Ratio: ratio, HalfLife: half, Weights: make([]float64, size)}
}

// Bucket returns the index of the bucket of a duration in seconds.
func (h *Histogram) Bucket(sec float64) int {
	if sec <= h.Low {
		return 0
	}
	return min(int(math.Ceil(math.Log(sec/h.Low)/math.Log(h.Ratio))), len(h.Weights)-1)
}

// UpperBound returns the upper bound of a bucket in seconds.
func (h *Histogram) UpperBound(i int) float64 { return h.Low * math.Pow(h.Ratio, float64(i)) }

// Weight returns the weight of a value that is added now. Divided by it, a weight in the histogram is the decayed number of
// values.
func (h *Histogram) Weight(now time.Duration) float64 {
	return math.Exp2(float64(now-h.Epoch) / float64(h.HalfLife))
}

// Count returns the decayed number of values.
func (h *Histogram) Count(now time.Duration) float64 { return h.Total / h.Weight(now) }

// Add adds a duration in seconds.
func (h *Histogram) Add(now time.Duration, sec float64) { h.AddToBucket(now, h.Bucket(sec), 1) }

// AddToBucket adds a number of values to a bucket.
func (h *Histogram) AddToBucket(now time.Duration, bucket int, answers float64) {
	w := h.Weight(now)
	if now-h.Epoch > h.HalfLife {
		for i := range h.Weights {
			h.Weights[i] /= w
		}
		h.Total, h.Epoch, w = h.Total/w, now, 1
	}
	h.Weights[bucket] += w * answers
	h.Total += w * answers
}

// Blend fills out with the cumulative distribution of own blended with prior, where prior has the weight of k values added
// now, and returns out. If out is nil, it is allocated. If own is empty, the result is the distribution of prior.
func Blend(out []float64, own, prior *Histogram, k float64, now time.Duration) []float64 {
	if out == nil {
		out = make([]float64, len(own.Weights))
	}
	switch {
	case prior.Total == 0 || k == 0:
		k = 0
	case own.Total == 0: // its epoch has not been set, so that its Weight may overflow
		own, k = prior, 0
	default:
		k *= own.Weight(now) / prior.Total
	}
	sum := 0.0
	for i := range out {
		sum += own.Weights[i] + k*prior.Weights[i]
		out[i] = sum
	}
	for i := range out {
		out[i] /= sum
	}
	return out
}

// Quantile returns the q-quantile, in seconds, of a cumulative distribution over the buckets of h.
func (h *Histogram) Quantile(cdf []float64, q float64) float64 {
	i := sort.Search(len(cdf), func(i int) bool { return cdf[i] >= q })
	return h.UpperBound(min(i, len(cdf)-1))
}

// SlidingSum is the sum of amounts over a sliding window.
type SlidingSum struct {
	Times   []time.Duration // times of the amounts, not decreasing
	Amounts []float64       // the amounts
	Sum     float64         // sum of Amounts
}

// Add adds an amount. Times must not decrease.
func (w *SlidingSum) Add(now time.Duration, n float64) {
	w.Times, w.Amounts, w.Sum = append(w.Times, now), append(w.Amounts, n), w.Sum+n
}

// SumSince drops the amounts from before a time and returns the sum of the others.
func (w *SlidingSum) SumSince(from time.Duration) float64 {
	i := 0
	for i < len(w.Times) && w.Times[i] < from {
		w.Sum -= w.Amounts[i]
		i++
	}
	w.Times, w.Amounts = w.Times[i:], w.Amounts[i:]
	if len(w.Times) == 0 {
		w.Sum = 0
	}
	return w.Sum
}

// Decay returns x after exponential decay over d with the given half-life.
func Decay(x float64, d, half time.Duration) float64 {
	return x * math.Exp2(-float64(d)/float64(half))
}

// Seconds converts a duration to seconds.
func Seconds(d time.Duration) float64 { return d.Seconds() }

// Duration converts seconds to a duration.
func Duration(sec float64) time.Duration { return time.Duration(sec * float64(time.Second)) }

// Median sorts x in place and returns its upper median, or 0 if x is empty.
func Median(x []float64) float64 {
	if len(x) == 0 {
		return 0
	}
	sort.Float64s(x)
	return x[len(x)/2]
}

// Multiply multiplies x by y in place and returns it. For the cumulative distributions of two independent variables, the
// product is that of their maximum. If x is empty, the result is a copy of y.
func Multiply(x, y []float64) []float64 {
	if len(x) == 0 {
		return append(x, y...)
	}
	for i := range x {
		x[i] *= y[i]
	}
	return x
}

// NewLatencyHistogram returns an empty Histogram with the parameters for response times.
func NewLatencyHistogram() *Histogram {
	return NewHistogram(HistogramLow, HistogramHigh, HistogramRatio, HistogramHalfLife)
}

// FillUniform adds as many values as there are buckets, spread uniformly from 0 to top seconds.
func (h *Histogram) FillUniform(top float64) {
	for i := range h.Weights {
		h.Add(h.Epoch, top*float64(i+1)/float64(len(h.Weights)))
	}
}
