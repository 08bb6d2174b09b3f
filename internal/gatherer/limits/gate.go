package limits

import (
	"slices"
	"time"
)

// Verdict is what becomes of a request on arrival.
type Verdict uint8

// The verdicts.
const (
	Admit  Verdict = iota
	Wait           // it has a place in the queue; Next says when it leaves
	Refuse         // at once, with when to come back
)

// Why a request is refused.
const (
	WhyRate  = "the route's rate"
	WhyFull  = "the route's concurrency, and its queue is full"
	WhyLate  = "the route's queue: its time would be up before it left"
	WhyShort = "the time left is under the route's usual answer time"
)

// Decision is a verdict with its reason.
type Decision struct {
	Verdict    Verdict
	Why        string
	RetryAfter time.Duration
}

// Gate keeps one route. It is not safe for concurrent use.
type Gate struct {
	Limits Limits

	rate    gcra
	budget  budget
	limit   gradient
	inHand  int
	waiting []waiter // by priority, then as they came
	usual   float64  // smoothed answer time in seconds
	counts  Counts
}

// Counts are what a gate has done, for operators.
type Counts struct {
	Admitted       uint64 `json:"admitted"`
	Queued         uint64 `json:"queued"`
	Refused        uint64 `json:"refused"`  // on arrival
	GivenUp        uint64 `json:"given_up"` // after they had waited
	Repeats        uint64 `json:"repeats"`
	RepeatsRefused uint64 `json:"repeats_refused"`
	InHand         int    `json:"in_hand"`
	Waiting        int    `json:"waiting"`
	Limit          int    `json:"limit"` // of concurrency now, 0 for none
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
	if end-now < time.Duration(g.usual*shortOf*float64(time.Second)) {
		g.counts.Refused++
		return Decision{Refuse, WhyShort, g.comeBack()}
	}
	if wait := g.rate.take(g.Limits.Rate, now); wait > 0 {
		g.counts.Refused++
		return Decision{Refuse, WhyRate, wait}
	}
	c := g.Limits.Concurrency
	if c.Most == 0 || g.inHand < g.limit.now(c) && len(g.waiting) == 0 {
		g.admit()
		return Decision{Verdict: Admit}
	}
	w := waiter{id, priority, min(now+c.Wait, end-time.Duration(g.usual*float64(time.Second))), end}
	switch {
	case c.Queue == 0 || w.until <= now:
		g.counts.Refused++
		return Decision{Refuse, WhyFull, g.comeBack()}
	case len(g.waiting) >= c.Queue:
		if last := g.waiting[len(g.waiting)-1]; last.priority >= priority {
			g.counts.Refused++
			return Decision{Refuse, WhyFull, g.comeBack()}
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
	return Decision{Verdict: Wait}
}

// shortOf is the share of the usual answer time that a request's time must at least be: with less it is work for nobody.
const shortOf = 0.25

func (g *Gate) admit() {
	g.inHand++
	g.counts.Admitted++
}

// comeBack is when a refused client may well be let in: after an answer time, by when places have come free.
func (g *Gate) comeBack() time.Duration {
	return min(max(time.Duration(g.usual*float64(time.Second)), comeBackLeast), comeBackMost)
}

// Bounds of what a refused client is told.
const (
	comeBackLeast = 100 * time.Millisecond
	comeBackMost  = 5 * time.Second
)

// Given is a request that waited and is decided on now.
type Given struct {
	ID uint64
	Decision
}

// Next decides on those that wait: whose wait is over is refused, and free places are given to the rest. A queue that is
// longer than its limit by now, as after a reload, gives up those behind it.
func (g *Gate) Next(now time.Duration) (list []Given) {
	c := g.Limits.Concurrency
	kept := g.waiting[:0]
	for _, w := range g.waiting {
		switch {
		case w.until <= now || c.Most > 0 && len(kept) >= max(c.Queue, 0) && g.inHand >= g.limit.now(c):
			g.counts.GivenUp++
			list = append(list, Given{w.id, Decision{Refuse, WhyLate, g.comeBack()}})
		case c.Most == 0 || g.inHand < g.limit.now(c):
			g.admit()
			list = append(list, Given{w.id, Decision{Verdict: Admit}})
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
func (g *Gate) Leave(id uint64) bool {
	n := len(g.waiting)
	g.waiting = slices.DeleteFunc(g.waiting, func(w waiter) bool { return w.id == id })
	return len(g.waiting) < n
}

// Done records the end of an admitted request. Only an answer's time says anything: a refusal by the decision module,
// or a failure, is none.
func (g *Gate) Done(took time.Duration, answered bool) {
	inHand := g.inHand
	g.inHand = max(g.inHand-1, 0)
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
func (g *Gate) First(now time.Duration) { g.budget.attempt(g.Limits.Repeats, now) }

// Repeat says whether a part's further attempt fits the route's budget.
func (g *Gate) Repeat(now time.Duration) bool {
	ok := g.budget.repeat(g.Limits.Repeats, now)
	if ok {
		g.counts.Repeats++
	} else {
		g.counts.RepeatsRefused++
	}
	return ok
}

// Counts tells what the gate has done so far.
func (g *Gate) Counts() Counts {
	c := g.counts
	c.InHand, c.Waiting, c.Limit = g.inHand, len(g.waiting), g.limit.now(g.Limits.Concurrency)
	return c
}
