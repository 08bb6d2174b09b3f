package admission

import (
	"time"

	"pulleygw.example/pulleygw/internal/shared/curve"
)

// count takes in the priority of a request that came in.
func (v *service) count(priority int) {
	for i := range v.shares {
		v.shares[i] -= levelWeight * v.shares[i]
	}
	v.shares[level(priority)] += levelWeight
}

func level(priority int) int { return min(max(priority, 0), levels-1) }

// refuses decides on a request before it is sent or held.
func (c *core) refuses(v *service, w *waiter, now time.Duration, tier int) bool {
	if w.hopelessAt(now) <= now {
		c.refuse(v, w, Hopeless)
		return true
	}
	if tier == noRoom && v.wait(v.held+1) > (w.endAt-now)/waitPart {
		c.refuse(v, w, Overload)
		return true
	}
	share := v.missShare(now)
	if share == 0 || !v.busy(now) || c.random.Float64() >= v.refusedShare(w.Priority, share) {
		return false
	}
	c.refuse(v, w, Overload)
	return true
}

// missShare brings the share of new requests that is refused up to date, by the share of misses.
func (v *service) missShare(now time.Duration) float64 {
	missed, decided := v.missed.Since(now-missWindow), v.decided.Since(now-missWindow)
	v.refused, v.refusedAt = refusalRule.Next(v.refused, now-v.refusedAt, missed, decided), now
	return v.refused
}

// busy says whether a refusal is no waste: places are taken, or something waits for one.
func (v *service) busy(now time.Duration) bool {
	if v.held > 0 {
		return true
	}
	taken, all := v.places(now)
	return taken >= busyShare*all
}

// refusedShare is the share of a priority's requests that is refused, where a share of all is to be: the least urgent go
// first, most of theirs before any of the next.
func (v *service) refusedShare(priority int, share float64) float64 {
	total := 0.0
	for _, s := range v.shares {
		total += s
	}
	left := share * total
	for i := levels - 1; i > level(priority); i-- {
		left -= levelMost * v.shares[i]
	}
	if left <= 0 {
		return 0
	}
	return min(left/v.shares[level(priority)], max(levelMost, share))
}

// refuse ends a request with the time after which another try is of use.
func (c *core) refuse(v *service, w *waiter, reason Reason) {
	after := retryLeast + curve.Duration(v.refused*(retryMost-retryLeast).Seconds())
	after = min(max(after, v.wait(v.held)), retryMost)
	w.refusal = &Refusal{Reason: reason, RetryAfter: after}
}
