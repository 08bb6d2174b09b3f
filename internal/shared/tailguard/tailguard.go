// Package tailguard holds the rules of TF-EDFQ (TailGuard) that all admission stages share: the deadline of a request, the
// order of a queue, the concurrency limit, load shedding by the miss rate, and the weight of a server. The rules are pure
// functions; the callers keep the statistics, the queues and the clock. Source: Wang et al., "TailGuard: Tail Latency SLO
// Guaranteed Task Scheduling for Data-Intensive User-Facing Applications".
package tailguard

import (
	"time"
)

// QueueKey is the sort key of a queued request.
type QueueKey struct {
	Deadline time.Duration
	NoBudget bool   // the deadline had already passed when it was set
	Seq      uint64 // sequence number of arrival
}

// Before reports whether a leaves the queue before b: first the requests without budget, and of each kind the earliest
// deadline first.
func (a QueueKey) Before(b QueueKey) bool {
	switch {
	case a.NoBudget != b.NoBudget:
		return a.NoBudget
	case a.Deadline != b.Deadline:
		return a.Deadline < b.Deadline
	}
	return a.Seq < b.Seq
}

// QueueingDeadline returns the deadline by which a request must leave the queue: the end of its latency target minus the tail latency
// of unloaded servers, in seconds. At most a share of the remaining time is subtracted. NoBudget is true if the deadline is
// not after now.
func QueueingDeadline(now, targetAt time.Duration, tail, share float64) (deadline time.Duration, noBudget bool) {
	tail = min(tail, share*max(targetAt-now, 0).Seconds())
	deadline = targetAt - time.Duration(tail*float64(time.Second))
	return deadline, deadline <= now
}

// LimitRule adapts the concurrency limit of a server, by additive increase and multiplicative decrease, to the ratio of its
// response time and a baseline.
type LimitRule struct {
	Min, Max             float64 // bounds of the limit
	RiseBelow, FallAbove float64 // multiples of the baseline: below the first the limit rises, above the second it falls
	FallFactor           float64 // factor by which the limit falls, at most once per response time
}

// Next returns the limit after a response, and when the limit last fell. Latency is the server's smoothed response time and
// base its baseline, both in seconds.
func (r LimitRule) Next(limit float64, fellAt, now time.Duration, latency, base float64) (float64, time.Duration) {
	switch {
	case latency < r.RiseBelow*base:
		limit = min(limit+1/limit, r.Max)
	case latency > r.FallAbove*base && (now-fellAt).Seconds() > latency:
		limit, fellAt = max(limit*r.FallFactor, r.Min), now
	}
	return limit, fellAt
}

// SheddingRule derives the share of new requests to shed from the miss rate: the fraction of requests that miss their
// deadline.
type SheddingRule struct {
	MissRateThreshold float64 // miss rate above which requests are shed
	MinMisses         float64 // least number of misses that count as evidence
	Gain              float64 // share to shed per unit of the miss rate above that
	FallPerSecond     float64 // largest decrease of the share to shed per second
}

// Next returns the share of requests to shed. Refused is the last share and since the time since it was computed. Decided is
// the number of requests known to have met or missed their deadline, and missed the number of those that missed it.
func (r SheddingRule) Next(refused float64, since time.Duration, missed, decided float64) float64 {
	target := 0.0
	if missed >= r.MinMisses {
		target = min(max(r.Gain*(missed/decided-r.MissRateThreshold), 0), 1)
	}
	return max(target, refused-r.FallPerSecond*since.Seconds())
}

// FailureRule is the exponential smoothing of a server's failure rate.
type FailureRule struct {
	FailureStep float64 // smoothing factor of a failure, which moves the rate towards 1
	SuccessStep float64 // smoothing factor of a success, which moves the rate towards 0
}

// Next returns the failure rate after another outcome. Weight scales the effect of a failure.
func (r FailureRule) Next(failing float64, ok bool, weight float64) float64 {
	if ok {
		return failing - r.SuccessStep*failing
	}
	return failing + r.FailureStep*weight*(1-failing)
}

// Weight returns the weight of a server: 1 if it is healthy and warm, and less if it fails, is slow or is in slow start. Slow
// is its response time as a multiple of the longest that is not slow, and slowStart the share of its capacity that it has.
func Weight(failureRate, slow, slowStart float64) float64 {
	successRate := 1 - failureRate
	return successRate * successRate * successRate / max(slow*slow, 1) * slowStart
}

// SlowStartShare returns the share of its capacity that a server has at the given age. It grows linearly from first, at age
// 0, to 1 at the end of the ramp.
func SlowStartShare(first float64, age, ramp time.Duration) float64 {
	if ramp <= 0 || age >= ramp {
		return 1
	}
	return first + (1-first)*max(age.Seconds(), 0)/ramp.Seconds()
}
