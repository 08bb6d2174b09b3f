// Package tailguard holds the rules of TF-EDFQ (TailGuard) that every admission stage shares: the deadline stamp, the order
// of release, the growth of a server's cap, the share refused for a share of misses, and the trust in a server. They
// are pure functions of what they are given; the callers keep the records, the queues and the clock.
package tailguard

import (
	"time"
)

// QueueKey is a held request's place in the order of release.
type QueueKey struct {
	Deadline time.Duration
	NoBudget bool   // it had no positive budget when it was stamped
	Seq      uint64 // order of arrival
}

// Before says whether a leaves before b: earliest deadline first, headless requests ahead of all.
func (a QueueKey) Before(b QueueKey) bool {
	switch {
	case a.NoBudget != b.NoBudget:
		return a.NoBudget
	case a.Deadline != b.Deadline:
		return a.Deadline < b.Deadline
	}
	return a.Seq < b.Seq
}

// Stamp returns the one deadline of a request: the end of its aim minus the unloaded tail in seconds, of which at most
// share of the time that is left is taken off. Headless is true where no positive budget is left.
func Stamp(now, aimAt time.Duration, tail, share float64) (deadline time.Duration, headless bool) {
	tail = min(tail, share*max(aimAt-now, 0).Seconds())
	deadline = aimAt - time.Duration(tail*float64(time.Second))
	return deadline, deadline <= now
}

// LimitRule says how many requests may be out at a server, by how its answer times compare with a base.
type LimitRule struct {
	Min, Max  float64
	Near, Far float64 // multiples of the base: below Near the cap grows, past Far it falls
	Fall      float64 // to this share, at most once an answer time
}

// Next returns the cap after an answer, and when it last fell. Latency is the server's smoothed answer time in seconds
// and base what it is held against.
func (r LimitRule) Next(limit float64, fellAt, now time.Duration, latency, base float64) (float64, time.Duration) {
	switch {
	case latency < r.Near*base:
		limit = min(limit+1/limit, r.Max)
	case latency > r.Far*base && (now-fellAt).Seconds() > latency:
		limit, fellAt = max(limit*r.Fall, r.Min), now
	}
	return limit, fellAt
}

// SheddingRule turns the share of misses into the share of new requests that are refused.
type SheddingRule struct {
	Share float64 // threshold on the miss share
	Least float64 // misses that count as evidence
	Gain  float64 // share refused for each share of misses over the threshold
	Fall  float64 // a second: how fast the share refused comes down
}

// Next returns the share to refuse, from the last one and the span since, and from the misses among those decided.
func (r SheddingRule) Next(refused float64, since time.Duration, missed, decided float64) float64 {
	target := 0.0
	if missed >= r.Least {
		target = min(max(r.Gain*(missed/decided-r.Share), 0), 1)
	}
	return max(target, refused-r.Fall*since.Seconds())
}

// FailureRule smooths a server's failures.
type FailureRule struct {
	Up   float64 // step of a failure towards 1
	Down float64 // step of a success towards 0
}

// Next returns the smoothed share of failures after one more outcome, where weight scales a failure.
func (r FailureRule) Next(failing float64, ok bool, weight float64) float64 {
	if ok {
		return failing - r.Down*failing
	}
	return failing + r.Up*weight*(1-failing)
}

// Weight is 1 on the ordinary path and less while a server fails, is slower than what is ordinary, or is cold. Slow
// is its answer time as a multiple of the longest that is ordinary.
func Weight(failing, slow, warmth float64) float64 {
	sound := 1 - failing
	return sound * sound * sound / max(slow*slow, 1) * warmth
}

// SlowStartShare is the share of its capacity that a server has at an age, from the first share up to 1 at the end of the ramp.
func SlowStartShare(first float64, age, ramp time.Duration) float64 {
	if ramp <= 0 || age >= ramp {
		return 1
	}
	return first + (1-first)*max(age.Seconds(), 0)/ramp.Seconds()
}
