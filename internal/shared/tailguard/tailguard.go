// Package tailguard holds the rules of TF-EDFQ (TailGuard) that every admission stage shares: the request deadline,
// the order of release, the concurrency limit, load shedding by the miss rate, and a server's weight. They are pure functions;
// the callers keep the statistics, the queues and the clock. Source: Wang et al., "TailGuard: Tail Latency SLO Guaranteed Task
// Scheduling for Data-Intensive User-Facing Applications".
package tailguard

import (
	"time"
)

// QueueKey is a queued request's position in the order of release.
type QueueKey struct {
	Deadline time.Duration
	NoBudget bool   // it had no positive budget when its deadline was set
	Seq      uint64 // order of arrival
}

// Before reports whether a is released before b: earliest deadline first, requests without budget ahead of all.
func (a QueueKey) Before(b QueueKey) bool {
	switch {
	case a.NoBudget != b.NoBudget:
		return a.NoBudget
	case a.Deadline != b.Deadline:
		return a.Deadline < b.Deadline
	}
	return a.Seq < b.Seq
}

// Stamp returns the deadline of a request: the end of its latency target minus the unloaded tail in seconds, of which at most
// a share of the remaining time is subtracted. NoBudget is true where no positive budget is left.
func Stamp(now, targetAt time.Duration, tail, share float64) (deadline time.Duration, noBudget bool) {
	tail = min(tail, share*max(targetAt-now, 0).Seconds())
	deadline = targetAt - time.Duration(tail*float64(time.Second))
	return deadline, deadline <= now
}

// LimitRule adapts how many requests may be in flight at a server, by how its response times compare with a baseline.
type LimitRule struct {
	Min, Max  float64
	Near, Far float64 // multiples of the baseline: below Near the limit grows, above Far it falls
	Fall      float64 // factor of a fall, at most once per response time
}

// Next returns the limit after a response, and when it last fell. Latency is the server's smoothed response time in seconds
// and base its baseline.
func (r LimitRule) Next(limit float64, fellAt, now time.Duration, latency, base float64) (float64, time.Duration) {
	switch {
	case latency < r.Near*base:
		limit = min(limit+1/limit, r.Max)
	case latency > r.Far*base && (now-fellAt).Seconds() > latency:
		limit, fellAt = max(limit*r.Fall, r.Min), now
	}
	return limit, fellAt
}

// SheddingRule turns the miss rate into the share of new requests that are shed.
type SheddingRule struct {
	Share float64 // threshold of the miss rate
	Least float64 // misses that count as evidence
	Gain  float64 // share shed for each share of misses above the threshold
	Fall  float64 // per second: how fast the share shed falls
}

// Next returns the share to shed, by the last one and the time since, and by the misses among the decided requests.
func (r SheddingRule) Next(refused float64, since time.Duration, missed, decided float64) float64 {
	target := 0.0
	if missed >= r.Least {
		target = min(max(r.Gain*(missed/decided-r.Share), 0), 1)
	}
	return max(target, refused-r.Fall*since.Seconds())
}

// FailureRule smooths a server's failure rate.
type FailureRule struct {
	Up   float64 // step of a failure towards 1
	Down float64 // step of a success towards 0
}

// Next returns the failure rate after one more outcome, where weight scales a failure.
func (r FailureRule) Next(failing float64, ok bool, weight float64) float64 {
	if ok {
		return failing - r.Down*failing
	}
	return failing + r.Up*weight*(1-failing)
}

// Weight returns a server's weight: 1 ordinarily, and less while it fails, is slow or in slow start. Slow is its response time
// as a multiple of the longest ordinary one, and slowStart the share of its capacity that it has.
func Weight(failureRate, slow, slowStart float64) float64 {
	successRate := 1 - failureRate
	return successRate * successRate * successRate / max(slow*slow, 1) * slowStart
}

// SlowStartShare returns the share of its capacity that a server has at an age: it grows linearly from first to 1 at the end of
// the slow start.
func SlowStartShare(first float64, age, ramp time.Duration) float64 {
	if ramp <= 0 || age >= ramp {
		return 1
	}
	return first + (1-first)*max(age.Seconds(), 0)/ramp.Seconds()
}
