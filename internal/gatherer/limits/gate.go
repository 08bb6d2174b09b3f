package limits

import (
	"slices"
	"time"
)

// Verdict is what becomes of a request on arrival.
type Action uint8

// The verdicts.
const (
	Admit  Action = iota
	Wait          // it has a place in the queue; Next says when it leaves
	Reject        // at once, with when to come back
)

// Why a request is refused.
const (
	ReasonRate  = "the route's rate"
	ReasonFull  = "the route's concurrency, and its queue is full"
	ReasonLate  = "the route's queue: its time would be up before it left"
	ReasonShort = "the time left is under the route's usual answer time"
)

// Decision is a verdict with its reason.
type Decision struct {
	Action     Action
	Reason     string
	RetryAfter time.Duration
}

// Gate keeps one route. It is not safe for concurrent use.
type Gate struct {
	Limits Limits

	rate     gcra
	budget   budget
	limit    gradient
	inFlight int
	waiting  []waiter // by priority, then as they came
	usual    float64  // smoothed answer time in seconds
	counts   Counts
}

// Counts are what a gate has done, for operators.
type Counts struct {
	Admitted        uint64 `json:"admitted"`
	Queued          uint64 `json:"queued"`
	Rejected        uint64 `json:"refused"`  // on arrival
	TimedOut        uint64 `json:"given_up"` // after they had waited
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
	end      time.Duration // when its client gives up
}

// Change puts other limits in force. Another rate begins anew: the schedule of a lower one may lie far ahead.
func (g *Gate) Change(l Limits) {
	if l.Rate != g.Limits.Rate {
		g.rate = gcra{}
	}
	g.Limits = l
}

// Arrive decides on a request whose client gives up at end.
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

// shortOf is the share of the usual answer time that a request's time must at least be: with less it is work for nobody.
const minTimeShare = 0.25

func (g *Gate) admit() {
	g.inFlight++
	g.counts.Admitted++
}

// comeBack is when a refused client may well be let in: after an answer time, by when places have come free.
func (g *Gate) retryAfter() time.Duration {
	return min(max(time.Duration(g.usual*float64(time.Second)), retryAfterLeast), retryAfterMost)
}

// Bounds of what a refused client is told.
const (
	retryAfterLeast = 100 * time.Millisecond
	retryAfterMost  = 5 * time.Second
)

// Given is a request that waited and is decided on now.
type Dequeued struct {
	ID uint64
	Decision
}

// Next decides on those that wait: whose wait is over is refused, and free places are given to the rest. A queue that is
// longer than its limit by now, as after a reload, gives up those behind it.
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

// Due is when Next is wanted at the latest, 0 for not at all.
func (g *Gate) Due() (due time.Duration) {
	for _, w := range g.waiting {
		if due == 0 || w.until < due {
			due = w.until
		}
	}
	return due
}

// Leave takes a request out that waits and whose client is gone; false where it does not wait.
func (g *Gate) Remove(id uint64) bool {
	n := len(g.waiting)
	g.waiting = slices.DeleteFunc(g.waiting, func(w waiter) bool { return w.id == id })
	return len(g.waiting) < n
}

// Done records the end of an admitted request. Only an answer's time says anything: a refusal by the decision module,
// or a failure, is none.
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

// First counts a part's first attempt.
func (g *Gate) FirstAttempt(now time.Duration) { g.budget.countFirst(g.Limits.Retries, now) }

// Repeat says whether a part's further attempt fits the route's budget.
func (g *Gate) Retry(now time.Duration) bool {
	ok := g.budget.retry(g.Limits.Retries, now)
	if ok {
		g.counts.Retries++
	} else {
		g.counts.RetriesRejected++
	}
	return ok
}

// Counts tells what the gate has done so far.
func (g *Gate) Counts() Counts {
	c := g.counts
	c.InFlight, c.Waiting, c.Limit = g.inFlight, len(g.waiting), g.limit.now(g.Limits.Concurrency)
	return c
}
