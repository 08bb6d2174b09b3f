package gather

import (
	"hash/fnv"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/search"
)

// Admit: a request that the in-flight table has no room for is rejected here, unseen by the scheduler, as in the
// simulator. The scheduler admits or rejects all others.

// admit enters a request into the in-flight table and reports it to the scheduler.
func (c *Core) admit(r *Request) {
	switch {
	case !c.inFlight.Fits(len(r.Shards)):
		r.leaveRoute(c.now(), false)
		c.recordFinal(r, "refused", ReasonFull)
		r.Done <- Result{Kind: Rejected, RetryAfter: c.set.Policy.MaxRetryAfter, Reason: ReasonFull, Shards: shardResults(r)}
		return
	case c.inFlight.HasName(r.Name, time.Now()):
		// Lot stores could not distinguish its subqueries from those of the first. What that does is unknown.
		r.leaveRoute(c.now(), false)
		c.recordFinal(r, "failed", ReasonDuplicate)
		r.Done <- Result{Kind: Failed, Reason: ReasonDuplicate, Shards: shardResults(r)}
		return
	}
	c.lastID++
	r.id = c.lastID
	q := &query{Request: r}
	c.inFlight.AddQuery(r.id, r.Name, q)
	c.guard(q, func() { c.begin(q) })
}

// begin reports a query and its subqueries to the scheduler.
func (c *Core) begin(q *query) {
	r := q.Request
	first, phased, fetch := c.startSearch(q)
	c.events = append(c.events, decision.QueryArrived{ID: decision.QueryID(r.id), Class: r.Class, Key: fingerprint(r),
		Remaining: max(time.Until(r.Deadline), 0), Subqueries: len(r.Shards), Phased: phased, Fetch: fetch})
	results := shardResults(r)
	for i, s := range r.Shards {
		c.lastID++
		p := &subquery{id: c.lastID, q: q, res: &results[i], index: i, search: q.firstStepSearch(i)}
		q.subqueries = append(q.subqueries, p)
		c.inFlight.AddSubquery(p.id, p)
		c.events = append(c.events, decision.SubqueryArrived{ID: decision.SubqueryID(p.id), Query: decision.QueryID(r.id),
			Shard: s.Number, Weight: s.Weight, Deferred: phased && !slices.Contains(first.Request, i)})
	}
	c.applyOrders(q, search.Orders{Skip: first.Skip})
}

// fingerprint is a hash of what a request asks for. A retry of the client has the same.
func fingerprint(r *Request) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(r.Key)) // a hash does not fail
	_, _ = h.Write(r.Text)
	return h.Sum64()
}

// shardResults are the results of a request's shards before any outcome.
func shardResults(r *Request) []ShardResult {
	results := make([]ShardResult, len(r.Shards))
	for i, s := range r.Shards {
		results[i].Shard = s.Number
	}
	return results
}
