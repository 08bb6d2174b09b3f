package gather

import (
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

// Book: every attempt ends exactly once, and what it brought is written down.

// valuesMost bounds the values of one answer, as a body holds 64 KiB at most.
const valuesMost = 56 << 10

// book records the outcome of an attempt. A score is told of a value that has one.
func (c *Core) book(a *Attempt, s decision.Status, value string, score *float64) {
	if a.outcome {
		return // timed out while this was on its way
	}
	if s == decision.Cancelled {
		a.settled = c.now() + settleFor
		return
	}
	p := a.part
	switch {
	case s != decision.OK || p.res.OK || p.closed:
	case c.scored(p) && score == nil: // its shard could not be ranked among the others; another replica's may be
		c.log.Warn("answer without a score", "store", a.Server, "request", p.q.Name, "shard", p.res.Shard)
		s = decision.Error
	case p.q.bytes+len(value) > valuesMost:
		s = decision.Error // an answer with it could not be given
	default:
		p.q.bytes += len(value)
		p.res.OK, p.res.Value = true, value
		if score != nil {
			p.score = *score
		}
	}
	c.report(a, s)
}

// report ends an attempt and tells the Mixer in the next step.
func (c *Core) report(a *Attempt, s decision.Status) {
	p, took := a.part, max(c.now()-a.sent, time.Microsecond)
	c.ended(a)
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

func (c *Core) ended(a *Attempt) {
	a.outcome = true
	delete(c.out, a)
}

// neverRan takes an attempt out of those that may have run: the window of a keyed part counts from the
// first that may.
func (c *Core) neverRan(a *Attempt) {
	p := a.part
	a.sent, p.mayRun = 0, 0
	for _, o := range p.attempts {
		if o.sent > 0 {
			p.mayRun = o.sent
			return
		}
	}
}
