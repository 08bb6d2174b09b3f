package gather

import (
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

// The scheduler's final decision on a query is passed to its front at once.

// relayAnswer ends the query with an answer, or starts its second step.
func (c *Core) relayAnswer(a decision.Answer) {
	q, ok := c.inFlight.Query(uint64(a.Query))
	switch {
	case !ok:
	case !a.Final && (!q.CompleteOnly || a.Complete):
		c.startSecondStep(q, a.Complete)
	case q.CompleteOnly && (!a.Complete || !q.pageComplete()):
		// After the first of two steps the query is still in progress in the scheduler: this ends it there.
		c.events = append(c.events, decision.ClientDisconnected{Query: a.Query})
		c.finish(q, Result{Kind: Failed, Reason: ReasonPartial})
	default:
		c.finish(q, Result{Kind: Answered, Complete: a.Complete && q.pageComplete()})
	}
}

func (c *Core) relayRejection(r decision.Reject) {
	if q, ok := c.inFlight.Query(uint64(r.Query)); ok {
		c.finish(q, Result{Kind: Rejected, RetryAfter: r.RetryAfter, Reason: ReasonGivenUp})
	}
}

func (c *Core) relayFailure(f decision.Fail) {
	if q, ok := c.inFlight.Query(uint64(f.Query)); ok {
		reason := ReasonGivenUp
		// A failure within the last three ticks before the deadline is reported as a missed deadline.
		if c.now() >= c.clockTime(q.Deadline)-3*c.set.Policy.Tick {
			reason = ReasonDeadline
		}
		c.finish(q, Result{Kind: Failed, Reason: reason})
	}
}

// endAllIfDue ends all requests in flight if the time set by EndBy has come. Those for which a retry is safe are rejected, the
// others fail.
func (c *Core) endAllIfDue(now time.Duration) {
	if c.endBy.IsZero() || now < c.clockTime(c.endBy) {
		return
	}
	c.closeQueue()
	for _, q := range c.inFlight.Queries() {
		kind := Failed
		if c.set.Policy.Classes[q.Class].Effect == decision.Idempotent || !slices.ContainsFunc(q.subqueries, func(p *subquery) bool { return p.mayHaveRunAt > 0 }) {
			kind = Rejected
		}
		c.events = append(c.events, decision.ClientDisconnected{Query: decision.QueryID(q.id)}) // makes the scheduler cancel its attempts
		c.finish(q, Result{Kind: kind, Reason: ReasonStopping})
	}
}

// finish completes the result of a query with those of its shards, sends it as the final answer and removes the query.
func (c *Core) finish(q *query, r Result) {
	r.Shards = make([]ShardResult, len(q.subqueries))
	for i, p := range q.subqueries {
		r.Shards[i] = p.result()
	}
	q.addSecondStep(&r)
	c.addSearchResult(q, &r)
	c.deliver(q, r)
}

// deliver sends a query's final answer to its front and removes the query. It withdraws the attempts first, as the front may
// write the answer before the scheduler's cancellations are executed, and nothing may be sent after the answer.
func (c *Core) deliver(q *query, r Result) {
	q.withdraw()
	q.releaseLimiter(c.now(), r.Kind == Answered)
	c.recordFinal(q.Request, kindNames[r.Kind], r.Reason)
	q.Done <- r
	c.removeQuery(q)
}

// withdraw makes the query's attempts stale, so that transports no longer write them. Attempts that have been written are
// cancelled by the scheduler.
func (q *query) withdraw() {
	for _, p := range slices.Concat(q.subqueries, q.secondSubqueries) {
		for _, a := range p.attempts {
			a.withdrawn.Store(true)
		}
	}
}

// result returns the result of a subquery so far.
func (p *subquery) result() ShardResult {
	r := *p.res
	r.Pending = !r.OK && !r.Skipped && (p.pendingAtStepEnd || len(p.attempts) == 0 ||
		slices.ContainsFunc(p.attempts, func(a *Attempt) bool { return !a.ended }))
	return r
}

// removeQuery removes a query that has ended. Its attempts in flight are left to the scheduler, which cancels them.
func (c *Core) removeQuery(q *query) {
	q.ended = true
	q.releaseLimiter(c.now(), false) // no effect if deliver has called it
	c.releaseSearch(q)
	c.inFlight.Remove(q.id, q.Name, append(subqueryIDs(q.subqueries), subqueryIDs(q.secondSubqueries)...), time.Now())
}

// subqueryIDs returns the ids of subqueries.
func subqueryIDs(subqueries []*subquery) []uint64 {
	ids := make([]uint64, len(subqueries))
	for i, p := range subqueries {
		ids[i] = p.id
	}
	return ids
}
