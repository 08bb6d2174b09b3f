package gather

import (
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

// Outcomes: every attempt ends exactly once, and its result is recorded.

// maxValueBytes bounds the values of one answer, as a body holds 64 KiB at most.
const maxValueBytes = 56 << 10

// recordOutcome records the outcome of an attempt. Score is nil for a value without one.
func (c *Core) recordOutcome(a *Attempt, s decision.Status, value string, score *float64) {
	if a.ended {
		return // timed out while this was on its way
	}
	if s == decision.Cancelled {
		a.cancelledAt = c.now() + cancelGrace
		return
	}
	p := a.subquery
	switch {
	case s != decision.OK || p.res.OK || p.closed:
	case c.wantsScore(p) && score == nil: // the shard could not be ranked among the others; another replica may have a score
		c.log.Warn("answer without a score", "store", a.Server, "request", p.q.Name, "shard", p.res.Shard)
		s = decision.Error
	case p.q.bytes+len(value) > maxValueBytes:
		s = decision.Error // the answer would be too large
	default:
		p.q.bytes += len(value)
		p.res.OK, p.res.Value = true, value
		if score != nil {
			p.score = *score
		}
	}
	c.endAttempt(a, s)
}

// endAttempt ends an attempt. The scheduler is informed in the next step.
func (c *Core) endAttempt(a *Attempt, s decision.Status) {
	p, took := a.subquery, max(c.now()-a.sent, time.Microsecond)
	c.removeAttempt(a)
	c.recordAttempt(a, s)
	if s != decision.OK {
		p.res.Last = s
	}
	if s == decision.Rejected || s == decision.ConnectFailed || s == decision.NotSent {
		c.neverRan(a)
	}
	c.events = append(c.events, decision.Outcome{Subquery: decision.SubqueryID(p.id), Server: a.Server, Attempt: a.Number,
		Status: s, Latency: took})
}

// removeAttempt takes an attempt out of those in flight.
func (c *Core) removeAttempt(a *Attempt) {
	a.ended = true
	delete(c.attempts, a)
}

// neverRan excludes an attempt from those that may have run: the window of a deduplicated subquery starts with the
// first that may have.
func (c *Core) neverRan(a *Attempt) {
	p := a.subquery
	a.sent, p.mayRun = 0, 0
	for _, o := range p.attempts {
		if o.sent > 0 {
			p.mayRun = o.sent
			return
		}
	}
}
