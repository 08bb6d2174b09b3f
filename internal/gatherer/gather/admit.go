package gather

import (
	"hash/fnv"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/search"
)

// Admit: a request that the table has no room for is refused here, unseen by the Mixer, as in the
// simulator. All others are the Mixer's to admit or refuse.

func (c *Core) admit(r *Request) {
	switch {
	case !c.flight.Room(len(r.Shards)):
		r.out(c.now(), false)
		c.recordFinal(r, "refused", ReasonFull)
		r.Done <- Result{Kind: Refused, RetryAfter: c.set.Policy.MaxRetryAfter, Reason: ReasonFull, Parts: partResults(r)}
		return
	case c.flight.Named(r.Name, time.Now()):
		// Its parts could not be told from the first one's. Nothing is known of what that may do.
		r.out(c.now(), false)
		c.recordFinal(r, "failed", ReasonDuplicate)
		r.Done <- Result{Kind: Failed, Reason: ReasonDuplicate, Parts: partResults(r)}
		return
	}
	c.lastID++
	r.id = c.lastID
	q := &query{Request: r}
	c.flight.AddQuery(r.id, r.Name, q)
	c.guard(q, func() { c.begin(q) })
}

// begin tells the Mixer of a query and of its parts.
func (c *Core) begin(q *query) {
	r := q.Request
	first, phased, fetch := c.startSearch(q)
	c.events = append(c.events, decision.QueryArrived{ID: decision.QueryID(r.id), Class: r.Class, Key: subject(r),
		Remaining: max(time.Until(r.Deadline), 0), Subqueries: len(r.Shards), Phased: phased, Fetch: fetch})
	results := partResults(r)
	for i, s := range r.Shards {
		c.lastID++
		p := &part{id: c.lastID, q: q, res: &results[i], place: i, ask: q.askScores(i)}
		q.parts = append(q.parts, p)
		c.flight.AddPart(p.id, p)
		c.events = append(c.events, decision.SubqueryArrived{ID: decision.SubqueryID(p.id), Query: decision.QueryID(r.id),
			Shard: s.Number, Weight: s.Weight, Later: phased && !slices.Contains(first.Ask, i)})
	}
	c.order(q, search.Orders{Skip: first.Skip})
}

// subject is a number for what a request is about: another try of it has the same.
func subject(r *Request) uint64 {
	h := fnv.New64a()
	h.Write([]byte(r.Key))
	h.Write(r.Text)
	return h.Sum64()
}

func partResults(r *Request) []PartResult {
	results := make([]PartResult, len(r.Shards))
	for i, s := range r.Shards {
		results[i].Shard = s.Number
	}
	return results
}
