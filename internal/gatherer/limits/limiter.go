package limits

import (
	"slices"
	"time"
)

// Action is what to do with a request.
type Action uint8

// The actions.
const (
	Admit  Action = iota
	Wait          // the request is queued until Next returns it
	Reject        // the client may retry after Decision.RetryAfter
)

// The reasons why a request is rejected, as clients see them.
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

// Limiter enforces the limits of one route. The zero value has no limits. It is not safe for concurrent use.
type Limiter struct {
	Limits Limits

	rate          gcra
	budget        budget
	adaptiveLimit gradient
	inFlight      int
	queue         []queuedRequest // queued requests by priority, then in order of arrival
	avgLatency    float64         // moving average of the latency in seconds; 0 before the first answer
	counts        Counts
}

// Counts are the statistics of a limiter, for operators.
type Counts struct {
	Admitted        uint64 `json:"admitted"`
	Queued          uint64 `json:"queued"`
	Rejected        uint64 `json:"refused"`  // on arrival
	TimedOut        uint64 `json:"given_up"` // rejected after they had been queued
	Retries         uint64 `json:"repeats"`
	RetriesRejected uint64 `json:"repeats_refused"`
	InFlight        int    `json:"in_hand"`
	Waiting         int    `json:"waiting"` // in the queue
	Limit           int    `json:"limit"`   // current limit of concurrency, 0 for none
}

// queuedRequest is a request in the queue.
type queuedRequest struct {
	id       uint64
	priority int
	waitEnd  time.Duration // when its wait is over
	deadline time.Duration // when its client times out
}

// Change replaces the limits. If the rate changes, its state is reset: with a lower rate, the next request may have been
// scheduled far ahead.
func (l *Limiter) Change(limits Limits) {
	if limits.Rate != l.Limits.Rate {
		l.rate = gcra{}
	}
	l.Limits = limits
}

// Arrive decides on a new request whose client times out at end.
func (l *Limiter) Arrive(id uint64, priority int, now, end time.Duration) Decision {
	if end-now < time.Duration(l.avgLatency*minTimeLeftFraction*float64(time.Second)) {
		l.counts.Rejected++
		return Decision{Reject, ReasonShort, l.retryAfter()}
	}
	if wait := l.rate.allow(l.Limits.Rate, now); wait > 0 {
		l.counts.Rejected++
		return Decision{Reject, ReasonRate, wait}
	}
	c := l.Limits.Concurrency
	if c.Max == 0 || l.inFlight < l.adaptiveLimit.current(c) && len(l.queue) == 0 {
		l.admit()
		return Decision{Action: Admit}
	}
	w := queuedRequest{id, priority, min(now+c.Wait, end-time.Duration(l.avgLatency*float64(time.Second))), end}
	switch {
	case c.Queue == 0 || w.waitEnd <= now:
		l.counts.Rejected++
		return Decision{Reject, ReasonFull, l.retryAfter()}
	case len(l.queue) >= c.Queue:
		if last := l.queue[len(l.queue)-1]; last.priority >= priority {
			l.counts.Rejected++
			return Decision{Reject, ReasonFull, l.retryAfter()}
		}
	}
	i, _ := slices.BinarySearchFunc(l.queue, priority, func(x queuedRequest, p int) int {
		if x.priority >= p {
			return -1
		}
		return 1
	})
	l.queue = slices.Insert(l.queue, i, w)
	l.counts.Queued++
	return Decision{Action: Wait}
}

// minTimeLeftFraction is the least time left until the client times out with which a request is admitted, as a fraction of the
// average latency. With less, the work would probably be wasted.
const minTimeLeftFraction = 0.25

// admit counts an admitted request.
func (l *Limiter) admit() {
	l.inFlight++
	l.counts.Admitted++
}

// retryAfter returns when a rejected client may retry: after the average latency, when requests in flight have ended.
func (l *Limiter) retryAfter() time.Duration {
	return min(max(time.Duration(l.avgLatency*float64(time.Second)), minRetryAfter), maxRetryAfter)
}

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Dequeued is a request that has left the queue.
type Dequeued struct {
	ID uint64
	Decision
}

// Next returns the requests that leave the queue now. Those whose wait is over are rejected, and others are admitted up to
// the concurrency limit. If the queue is longer than its limit, as may happen after a reload, the excess is rejected.
func (l *Limiter) Next(now time.Duration) (list []Dequeued) {
	c := l.Limits.Concurrency
	kept := l.queue[:0]
	for _, w := range l.queue {
		switch {
		case w.waitEnd <= now || c.Max > 0 && len(kept) >= max(c.Queue, 0) && l.inFlight >= l.adaptiveLimit.current(c):
			l.counts.TimedOut++
			list = append(list, Dequeued{w.id, Decision{Reject, ReasonLate, l.retryAfter()}})
		case c.Max == 0 || l.inFlight < l.adaptiveLimit.current(c):
			l.admit()
			list = append(list, Dequeued{w.id, Decision{Action: Admit}})
		default:
			kept = append(kept, w)
		}
	}
	l.queue = kept
	return list
}

// Due returns when Next must be called at the latest, 0 for never.
func (l *Limiter) Due() (due time.Duration) {
	for _, w := range l.queue {
		if due == 0 || w.waitEnd < due {
			due = w.waitEnd
		}
	}
	return due
}

// Remove removes a queued request whose client has disconnected. It returns false if it is not queued.
func (l *Limiter) Remove(id uint64) bool {
	n := len(l.queue)
	l.queue = slices.DeleteFunc(l.queue, func(w queuedRequest) bool { return w.id == id })
	return len(l.queue) < n
}

// Done records the end of an admitted request, with its latency if it was answered: the latency of a rejection or a failure
// says nothing about the load.
func (l *Limiter) Done(latency time.Duration, answered bool) {
	inFlight := l.inFlight
	l.inFlight = max(l.inFlight-1, 0)
	if !answered {
		return
	}
	if l.avgLatency == 0 {
		l.avgLatency = latency.Seconds()
	}
	l.avgLatency += shortAvgWeight * (latency.Seconds() - l.avgLatency)
	l.adaptiveLimit.record(l.Limits.Concurrency, latency, inFlight)
}

// FirstAttempt counts the first attempt of a subquery.
func (l *Limiter) FirstAttempt(now time.Duration) { l.budget.countFirst(l.Limits.Retries, now) }

// Retry reports whether a retry of a subquery is within the retry budget, and counts it.
func (l *Limiter) Retry(now time.Duration) bool {
	ok := l.budget.retry(l.Limits.Retries, now)
	if ok {
		l.counts.Retries++
	} else {
		l.counts.RetriesRejected++
	}
	return ok
}

// Counts returns the statistics so far.
func (l *Limiter) Counts() Counts {
	c := l.counts
	c.InFlight, c.Waiting, c.Limit = l.inFlight, len(l.queue), l.adaptiveLimit.current(l.Limits.Concurrency)
	return c
}
