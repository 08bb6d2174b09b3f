package gather

import (
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

// Relay: the scheduler's final decision on a query goes to its front at once.

func (c *Core) relayAnswer(a decision.Answer) {
	q, ok := c.inFlight.Query(uint64(a.Query))
	switch {
	case !ok:
	case !a.Final && (!q.CompleteOnly || a.Complete):
		c.startSecondStep(q, a.Complete)
	case q.CompleteOnly && (!a.Complete || !q.pageComplete()):
		c.events = append(c.events, decision.ClientDisconnected{Query: a.Query}) // ends the query where the first step ended
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
		if c.now() >= c.at(q.Deadline)-3*c.set.Policy.Tick {
			reason = ReasonDeadline
		}
		c.finish(q, Result{Kind: Failed, Reason: reason})
	}
}

// endAllDue ends all requests in flight when the last answers are due.
func (c *Core) endAllDue(now time.Duration) {
	if c.endBy.IsZero() || now < c.at(c.endBy) {
		return
	}
	for _, q := range c.inFlight.Queries() {
		kind := Failed
		if c.set.Policy.Classes[q.Class].Effect == decision.Idempotent || !slices.ContainsFunc(q.subqueries, func(p *subquery) bool { return p.mayRun > 0 }) {
			kind = Rejected
		}
		c.events = append(c.events, decision.ClientDisconnected{Query: decision.QueryID(q.id)}) // the scheduler cancels what is in flight
		c.finish(q, Result{Kind: kind, Reason: ReasonStopping})
	}
}

// finish gives a query its final answer with the results of its shards, and removes it.
func (c *Core) finish(q *query, r Result) {
	r.Shards = make([]ShardResult, len(q.subqueries))
	for i, p := range q.subqueries {
		r.Shards[i] = p.result()
	}
	q.finishSecond(&r)
	c.finishSearch(q, &r)
	c.deliver(q, r)
}

// deliver sends a query's final answer to its front and removes the query. What the query has not sent by then is never
// sent: its attempts are withdrawn first, as the front may write the answer before the scheduler's cancels are carried out.
func (c *Core) deliver(q *query, r Result) {
	q.withdraw()
	q.leaveRoute(c.now(), r.Kind == Answered)
	c.recordFinal(q.Request, kinds[r.Kind], r.Reason)
	q.Done <- r
	c.forget(q)
}

// withdraw keeps the query's attempts from being written. Those that have been are cancelled by the scheduler.
func (q *query) withdraw() {
	for _, p := range slices.Concat(q.subqueries, q.second) {
		for _, a := range p.attempts {
			a.withdrawn.Store(true)
		}
	}
}

// result is the result of a subquery so far.
func (p *subquery) result() ShardResult {
	r := *p.res
	r.Pending = !r.OK && !r.Skipped && (p.unfinished || len(p.attempts) == 0 ||
		slices.ContainsFunc(p.attempts, func(a *Attempt) bool { return !a.ended }))
	return r
}

// forget removes a query. The scheduler has cancelled its attempts in flight, or does so now.
func (c *Core) forget(q *query) {
	q.over = true
	q.leaveRoute(c.now(), false) // unless deliver has reported it
	c.forgetSearch(q)
	c.inFlight.Remove(q.id, q.Name, append(ids(q.subqueries), ids(q.second)...), time.Now())
}

func ids(subqueries []*subquery) []uint64 {
	ids := make([]uint64, len(subqueries))
	for i, p := range subqueries {
		ids[i] = p.id
	}
	return ids
}
