package gather

import (
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

// Relay: the Mixer's final decision on a query goes to its front at once. Nothing is ever held back.

func (c *Core) relayAnswer(a decision.Answer) {
	q, ok := c.flight.Query(uint64(a.Query))
	switch {
	case !ok:
	case !a.Final && !(q.WholeOnly && !a.Complete):
		c.fetch(q, a.Complete)
	case q.WholeOnly && !(a.Complete && q.allIn()):
		c.events = append(c.events, decision.ClientGone{Query: a.Query}) // of the first step, all that is left to do
		c.finish(q, Result{Kind: Failed, Reason: ReasonPartial})
	default:
		c.finish(q, Result{Kind: Answered, Whole: a.Complete && q.allIn()})
	}
}

func (c *Core) relayRefusal(r decision.Reject) {
	if q, ok := c.flight.Query(uint64(r.Query)); ok {
		c.finish(q, Result{Kind: Refused, RetryAfter: r.RetryAfter, Reason: ReasonGivenUp})
	}
}

func (c *Core) relayFailure(f decision.Fail) {
	if q, ok := c.flight.Query(uint64(f.Query)); ok {
		reason := ReasonGivenUp
		if c.now() >= c.at(q.Deadline)-3*c.set.Policy.Tick {
			reason = ReasonDeadline
		}
		c.finish(q, Result{Kind: Failed, Reason: reason})
	}
}

// endAll ends what is in hand when the last answers are due.
func (c *Core) endAll(now time.Duration) {
	if c.endBy.IsZero() || now < c.at(c.endBy) {
		return
	}
	for _, q := range c.flight.Queries() {
		kind := Failed
		if c.set.Policy.Classes[q.Class].Effect == decision.Idempotent || !slices.ContainsFunc(q.parts, func(p *part) bool { return p.mayRun > 0 }) {
			kind = Refused
		}
		c.events = append(c.events, decision.ClientGone{Query: decision.QueryID(q.id)}) // the Mixer calls off what is out
		c.finish(q, Result{Kind: kind, Reason: ReasonStopping})
	}
}

// finish gives a query its final answer and takes it off the table.
func (c *Core) finish(q *query, r Result) {
	r.Parts = make([]PartResult, len(q.parts))
	for i, p := range q.parts {
		r.Parts[i] = p.result()
	}
	q.finishSecond(&r)
	c.finishSearch(q, &r)
	c.tellFinal(q, r)
}

// tellFinal hands a query's final answer over and takes it off the table.
func (c *Core) tellFinal(q *query, r Result) {
	q.out(c.now(), r.Kind == Answered)
	c.recordFinal(q.Request, kinds[r.Kind], r.Reason)
	q.Done <- r
	c.forget(q)
}

// result is what has come of a part so far.
func (p *part) result() PartResult {
	r := *p.res
	r.Waiting = !r.OK && !r.Skipped && (p.cut || len(p.attempts) == 0 ||
		slices.ContainsFunc(p.attempts, func(a *Attempt) bool { return !a.outcome }))
	return r
}

// forget takes a query off the table. The Mixer has cancelled, or now cancels, what is out for it.
func (c *Core) forget(q *query) {
	q.over = true
	q.out(c.now(), false) // unless finish has told
	c.forgetSearch(q)
	c.flight.Remove(q.id, q.Name, append(ids(q.parts), ids(q.second)...), time.Now())
}

func ids(parts []*part) []uint64 {
	ids := make([]uint64, len(parts))
	for i, p := range parts {
		ids[i] = p.id
	}
	return ids
}
