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

// QueueingDeadline returns the deadline by which a request must leave the queue: targetAt, the end of its latency target,
// minus tail, the tail latency of unloaded servers in seconds. The tail latency subtracted is capped at share of the time
// that remains until targetAt. NoBudget is true if the deadline is not after now.
func QueueingDeadline(now, targetAt time.Duration, tail, share float64) (deadline time.Duration, noBudget bool) {
	tail = min(tail, share*max(targetAt-now, 0).Seconds())
	deadline = targetAt - time.Duration(tail*float64(time.Second))
	return deadline, deadline <= now
}

// LimitRule adapts the concurrency limit of a server, by additive increase and multiplicative decrease, to the ratio of its
// response time and a baseline.
type LimitRule struct {
	Min, Max             float64 // bounds of the limit
	RiseBelow, FallAbove float64 // ratios of response time to baseline below which the limit rises and above which it falls
	FallFactor           float64 // what the limit is multiplied by when it falls, at most once per response time
}

// Next returns the limit after a response, and when the limit last fell. Latency is the server's smoothed response time and
// baseline the one that it is compared with, both in seconds.
func (r LimitRule) Next(limit float64, fellAt, now time.Duration, latency, baseline float64) (float64, time.Duration) {
	switch {
	case latency < r.RiseBelow*baseline:
		limit = min(limit+1/limit, r.Max)
	case latency > r.FallAbove*baseline && (now-fellAt).Seconds() > latency:
		limit, fellAt = max(limit*r.FallFactor, r.Min), now
	}
	return limit, fellAt
}

// SheddingRule derives the share of new requests to shed from the miss rate: the fraction of requests that miss their
// deadline.
type SheddingRule struct {
	MissRateThreshold float64 // miss rate above which requests are shed
	MinMisses         float64 // with fewer misses, the share to shed only falls
	Gain              float64 // share to shed per unit of the miss rate above MissRateThreshold
	FallPerSecond     float64 // largest decrease of the share to shed per second
}

// Next returns the share of requests to shed. Previous is the result of the last call, and elapsed the time since that call.
// Total is the number of requests known to have met or missed their deadline, and missed the number of those that missed it.
func (r SheddingRule) Next(previous float64, elapsed time.Duration, missed, total float64) float64 {
	target := 0.0
	if missed >= r.MinMisses {
		target = min(max(r.Gain*(missed/total-r.MissRateThreshold), 0), 1)
	}
	return max(target, previous-r.FallPerSecond*elapsed.Seconds())
}

// FailureRule is the exponential smoothing of a server's failure rate.
type FailureRule struct {
	FailureStep float64 // smoothing factor of a failure, which moves the rate towards 1
	SuccessStep float64 // smoothing factor of a success, which moves the rate towards 0
}

// Next returns the failure rate after another outcome. Weight scales the effect of a failure.
func (r FailureRule) Next(failureRate float64, ok bool, weight float64) float64 {
	if ok {
		return failureRate - r.SuccessStep*failureRate
	}
	return failureRate + r.FailureStep*weight*(1-failureRate)
}

// Weight returns the weight of a server: 1 if it is healthy and past its slow start, and less if it fails, is slow or is in
// slow start. Slow is its response time divided by the longest tolerated one; a ratio below 1 has no effect. SlowStartShare
// is the result of the function of that name.
func Weight(failureRate, slow, slowStartShare float64) float64 {
	successRate := 1 - failureRate
	return successRate * successRate * successRate / max(slow*slow, 1) * slowStartShare
}

// SlowStartShare returns the share of its capacity that a server has at the given age. It grows linearly from first, at age
// 0, to 1 at the end of the ramp.
func SlowStartShare(first float64, age, ramp time.Duration) float64 {
	if ramp <= 0 || age >= ramp {
		return 1
	}
	return first + (1-first)*max(age.Seconds(), 0)/ramp.Seconds()
}
