package gather

import (
	"hash/fnv"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/search"
)

// Admission to the in-flight table: a request that does not fit into it ends here, and the scheduler never sees it, as in
// the simulator. The scheduler admits or rejects all others.

// admit adds a request to the in-flight table and reports it to the scheduler.
func (c *Core) admit(r *Request) {
	switch {
	case !c.inFlight.Fits(len(r.Shards)):
		r.releaseLimiter(c.now(), false)
		c.recordFinal(r, "refused", ReasonFull)
		r.Done <- Result{Kind: Rejected, RetryAfter: c.set.Policy.MaxRetryAfter, Reason: ReasonFull, Shards: emptyShardResults(r)}
		return
	case c.inFlight.HasName(r.Name, time.Now()):
		// Lot stores could not tell its subqueries from those of the earlier request, with unknown effects.
		r.releaseLimiter(c.now(), false)
		c.recordFinal(r, "failed", ReasonDuplicate)
		r.Done <- Result{Kind: Failed, Reason: ReasonDuplicate, Shards: emptyShardResults(r)}
		return
	}
	c.lastID++
	r.id = c.lastID
	q := &query{Request: r}
	c.inFlight.AddQuery(r.id, r.Name, q)
	c.failOnPanic(q, func() { c.startQuery(q) })
}

// startQuery reports a query and its subqueries to the scheduler, with the first orders of its plan if it is a search.
func (c *Core) startQuery(q *query) {
	r := q.Request
	first, phased, fetch := c.startSearch(q)
	c.events = append(c.events, decision.QueryArrived{ID: decision.QueryID(r.id), Class: r.Class, Key: fingerprint(r),
		Remaining: max(time.Until(r.Deadline), 0), Subqueries: len(r.Shards), Phased: phased, Fetch: fetch})
	results := emptyShardResults(r)
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

// fingerprint returns a hash of a request's content. A client's retry has the same one.
func fingerprint(r *Request) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(r.Key)) // a hash.Hash never returns an error
	_, _ = h.Write(r.Text)
	return h.Sum64()
}

// emptyShardResults returns the results of a request's shards before any attempt has ended.
func emptyShardResults(r *Request) []ShardResult {
	results := make([]ShardResult, len(r.Shards))
	for i, s := range r.Shards {
		results[i].Shard = s.Number
	}
	return results
}
