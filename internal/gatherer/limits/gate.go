package limits

import (
	"slices"
	"time"
)

// Action says what is to be done with a request.
type Action uint8

// The actions.
const (
	Admit  Action = iota
	Wait          // it is queued; Next says when it leaves
	Reject        // at once, with a time to retry after
)

// Why a request is rejected, as clients see it.
const (
	ReasonRate  = "the route's rate"
	ReasonFull  = "the route's concurrency, and its queue is full"
	ReasonLate  = "the route's queue: its time would be up before it left"
	ReasonShort = "the time left is under the route's usual answer time"
)

// Decision is an action with its reason.
type Decision struct {
	Action     Action
	Reason     string
	RetryAfter time.Duration
}

// Gate enforces the limits of one route. It is not safe for concurrent use.
type Gate struct {
	Limits Limits

	rate     gcra
	budget   budget
	limit    gradient
	inFlight int
	waiting  []waiter // by priority, then in order of arrival
	usual    float64  // smoothed latency in seconds
	counts   Counts
}

// Counts are the statistics of a gate, for operators.
type Counts struct {
	Admitted        uint64 `json:"admitted"`
	Queued          uint64 `json:"queued"`
	Rejected        uint64 `json:"refused"`  // on arrival
	TimedOut        uint64 `json:"given_up"` // after they had been queued
	Retries         uint64 `json:"repeats"`
	RetriesRejected uint64 `json:"repeats_refused"`
	InFlight        int    `json:"in_hand"`
	Waiting         int    `json:"waiting"`
	Limit           int    `json:"limit"` // of concurrency now, 0 for none
}

type waiter struct {
	id       uint64
	priority int
	until    time.Duration // when its wait is over
	end      time.Duration // when its client times out
}

// Change changes the limits. A new rate starts afresh: the schedule of a lower one may lie far ahead.
func (g *Gate) Change(l Limits) {
	if l.Rate != g.Limits.Rate {
		g.rate = gcra{}
	}
	g.Limits = l
}

// Arrive decides on a new request whose client times out at end.
func (g *Gate) Arrive(id uint64, priority int, now, end time.Duration) Decision {
	if end-now < time.Duration(g.usual*minTimeShare*float64(time.Second)) {
		g.counts.Rejected++
		return Decision{Reject, ReasonShort, g.retryAfter()}
	}
	if wait := g.rate.allow(g.Limits.Rate, now); wait > 0 {
		g.counts.Rejected++
		return Decision{Reject, ReasonRate, wait}
	}
	c := g.Limits.Concurrency
	if c.Max == 0 || g.inFlight < g.limit.now(c) && len(g.waiting) == 0 {
		g.admit()
		return Decision{Action: Admit}
	}
	w := waiter{id, priority, min(now+c.Wait, end-time.Duration(g.usual*float64(time.Second))), end}
	switch {
	case c.Queue == 0 || w.until <= now:
		g.counts.Rejected++
		return Decision{Reject, ReasonFull, g.retryAfter()}
	case len(g.waiting) >= c.Queue:
		if last := g.waiting[len(g.waiting)-1]; last.priority >= priority {
			g.counts.Rejected++
			return Decision{Reject, ReasonFull, g.retryAfter()}
		}
	}
	i, _ := slices.BinarySearchFunc(g.waiting, priority, func(x waiter, p int) int {
		if x.priority >= p {
			return -1
		}
		return 1
	})
	g.waiting = slices.Insert(g.waiting, i, w)
	g.counts.Queued++
	return Decision{Action: Wait}
}

// minTimeShare is the fraction of the usual latency that a client must still wait: with less the work would be wasted.
const minTimeShare = 0.25

// admit counts an admitted request.
func (g *Gate) admit() {
	g.inFlight++
	g.counts.Admitted++
}

// retryAfter is when a rejected client may be admitted: after a latency, when others have ended.
func (g *Gate) retryAfter() time.Duration {
	return min(max(time.Duration(g.usual*float64(time.Second)), retryAfterLeast), retryAfterMost)
}

// Bounds of retryAfter.
const (
	retryAfterLeast = 100 * time.Millisecond
	retryAfterMost  = 5 * time.Second
)

// Dequeued is a queued request that is decided on now.
type Dequeued struct {
	ID uint64
	Decision
}

// Next decides on queued requests: those whose wait is over are rejected, and others are admitted up to the limit. Where a
// queue is longer than its limit by now, as after a reload, those beyond it are rejected.
func (g *Gate) Next(now time.Duration) (list []Dequeued) {
	c := g.Limits.Concurrency
	kept := g.waiting[:0]
	for _, w := range g.waiting {
		switch {
		case w.until <= now || c.Max > 0 && len(kept) >= max(c.Queue, 0) && g.inFlight >= g.limit.now(c):
			g.counts.TimedOut++
			list = append(list, Dequeued{w.id, Decision{Reject, ReasonLate, g.retryAfter()}})
		case c.Max == 0 || g.inFlight < g.limit.now(c):
			g.admit()
			list = append(list, Dequeued{w.id, Decision{Action: Admit}})
		default:
			kept = append(kept, w)
		}
	}
	g.waiting = kept
	return list
}

// Due is when Next must be called at the latest, 0 for never.
func (g *Gate) Due() (due time.Duration) {
	for _, w := range g.waiting {
		if due == 0 || w.until < due {
			due = w.until
		}
	}
	return due
}

// Remove removes a queued request whose client has disconnected. It returns false if it is not queued.
func (g *Gate) Remove(id uint64) bool {
	n := len(g.waiting)
	g.waiting = slices.DeleteFunc(g.waiting, func(w waiter) bool { return w.id == id })
	return len(g.waiting) < n
}

// Done records the end of an admitted request. Only the latency of an answer is recorded, not that of a rejection or a
// failure.
func (g *Gate) Done(took time.Duration, answered bool) {
	inHand := g.inFlight
	g.inFlight = max(g.inFlight-1, 0)
	if !answered {
		return
	}
	if g.usual == 0 {
		g.usual = took.Seconds()
	}
	g.usual += shortHalf * (took.Seconds() - g.usual)
	g.limit.answered(g.Limits.Concurrency, took, inHand)
}

// FirstAttempt counts the first attempt of a subquery.
func (g *Gate) FirstAttempt(now time.Duration) { g.budget.countFirst(g.Limits.Retries, now) }

// Retry reports whether a retry of a subquery is within the budget of the route, and counts it.
func (g *Gate) Retry(now time.Duration) bool {
	ok := g.budget.retry(g.Limits.Retries, now)
	if ok {
		g.counts.Retries++
	} else {
		g.counts.RetriesRejected++
	}
	return ok
}

// Counts returns the statistics so far.
func (g *Gate) Counts() Counts {
	c := g.counts
	c.InFlight, c.Waiting, c.Limit = g.inFlight, len(g.waiting), g.limit.now(g.Limits.Concurrency)
	return c
}
