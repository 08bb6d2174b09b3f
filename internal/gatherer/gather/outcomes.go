package gather

import (
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

// Outcomes of attempts: every attempt ends exactly once.

// maxValueBytes limits the total size of the values of one answer, as the body of a response has at most 64 KiB.
const maxValueBytes = 56 << 10

// recordOutcome handles the reported outcome of an attempt. Score is nil for a value without one.
func (c *Core) recordOutcome(a *Attempt, s decision.Status, value string, score *float64) {
	if a.ended {
		return // it timed out while the message was queued
	}
	if s == decision.Cancelled {
		a.cancelDueAt = c.now() + cancelGrace
		return
	}
	p := a.subquery
	switch {
	case s != decision.OK || p.res.OK || p.stepEnded:
	case c.wantsScore(p) && score == nil: // the shard cannot be ranked without it; another replica may return one
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

// endAttempt ends an attempt and reports its outcome to the scheduler in the next step.
func (c *Core) endAttempt(a *Attempt, s decision.Status) {
	p, latency := a.subquery, max(c.now()-a.sent, time.Microsecond)
	c.removeAttempt(a)
	c.recordAttempt(a, s)
	if s != decision.OK {
		p.res.Last = s
	}
	if s == decision.Rejected || s == decision.ConnectFailed || s == decision.NotSent {
		c.markNeverRan(a)
	}
	c.events = append(c.events, decision.Outcome{Subquery: decision.SubqueryID(p.id), Server: a.Server, Attempt: a.Number,
		Status: s, Latency: latency})
}

// removeAttempt marks an attempt as ended and removes it from those in flight.
func (c *Core) removeAttempt(a *Attempt) {
	a.ended = true
	delete(c.attempts, a)
}

// markNeverRan excludes an attempt from those that may have run. The window of a deduplicated subquery starts with the first
// attempt that may have run.
func (c *Core) markNeverRan(a *Attempt) {
	p := a.subquery
	a.sent, p.mayHaveRunAt = 0, 0
	for _, o := range p.attempts {
		if o.sent > 0 {
			p.mayHaveRunAt = o.sent
			return
		}
	}
}
