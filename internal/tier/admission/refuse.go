package admission

import (
	"time"

	"pulleygw.example/pulleygw/internal/shared/curve"
	"pulleygw.example/pulleygw/internal/tier/ablation"
)

// level is a request's place in the order of refusal, the least urgent last: requests by priority, then by priority the first
// turns of programs, as a program that has begun is worth something only when all of its turns are served.
func (w *waiter) level() int {
	l := min(max(w.Priority, 0), priorities-1)
	if ablation.Disabled(ablation.PriorityLevels) {
		l = 0
	}
	if w.begins {
		l += priorities
	}
	return l
}

// count takes in the level of a request that came in.
func (v *service) count(level int) {
	for i := range v.shares {
		v.shares[i] -= levelWeight * v.shares[i]
	}
	v.shares[level] += levelWeight
}

// begins says whether a request is the first of its program, as far as this proxy can know.
func (v *service) begins(r *Request) bool {
	if ablation.Disabled(ablation.FirstTurns) {
		return false
	}
	return r.FirstTurn && r.Affinity != 0 && !v.begun.has(r.Affinity)
}

// refuses decides on a request before it is sent or held.
func (c *core) refuses(v *service, w *waiter, now time.Duration, tier int) bool {
	if w.hopelessAt(now) <= now {
		c.refuse(v, w, DeadlineUnreachable)
		return true
	}
	if w.ResponseStarted {
		return false
	}
	if tier == noRoom && v.wait(v.held+1) > (w.endAt-now)/waitPart {
		c.refuse(v, w, Overload)
		return true
	}
	share := v.missShare(now)
	if share == 0 || ablation.Disabled(ablation.LoadShedding) || !v.busy(now) || c.random.Float64() >= v.refusedShare(w.level(), share) {
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

// refusedShare is the share of a level's requests that is refused, where a share of all is to be. The last levels go first,
// most of theirs before any of the next; a program that does not begin also saves the turns it would have had.
func (v *service) refusedShare(level int, share float64) float64 {
	total, beginning := 0.0, 0.0
	for i, s := range v.shares {
		total += s
		if i >= priorities {
			beginning += s
		}
	}
	left := share * total
	for i := levels - 1; i > level; i-- {
		left -= levelMost * v.shares[i] * v.saves(i, total, beginning)
	}
	if left <= 0 {
		return 0
	}
	return min(left/(v.shares[level]*v.saves(level, total, beginning)), max(levelMost, share))
}

// saves is how many requests one that is refused saves.
func (v *service) saves(level int, total, beginning float64) float64 {
	if level < priorities || beginning == 0 {
		return 1
	}
	return total / beginning
}

// refuse ends a request with the time after which another try is of use.
func (c *core) refuse(v *service, w *waiter, reason RejectReason) {
	after := retryLeast + curve.Duration(v.refused*(retryMost-retryLeast).Seconds())
	after = min(max(after, v.wait(v.held)), retryMost)
	w.refusal = &RejectedError{Reason: reason, RetryAfter: after}
}
