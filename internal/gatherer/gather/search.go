package gather

import (
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/search"
)

// Searches: a request with a search.Query is led by a plan, which says what to ask of which range and what the page is.
// The core passes the plan's orders to the scheduler and the lot stores' answers to the plan, and decides nothing.

// searchState is the core's state of searches.
type searchState struct {
	index     *search.Index   // nil where no bounds are to be learned
	chooser   *search.Chooser // nil where all searches have one phase
	phased    map[*query]struct{}
	bytesHeld int // of lot stores' answers held in memory
	maxBytes  int // of bytesHeld; 0 for no bound
}

// fetchUsual is how many usual latencies the plan leaves to the second step, whose end the scheduler decides.
const fetchUsual = 2

// maxQueryShare is the fraction of maxBytes that one query may hold.
const maxQueryShare = 0.25

// SearchConfig says how searches are executed.
type SearchConfig struct {
	Phases search.Phases // One or Two to force it, 0 for whichever is measured to be better
	Ranges int           // number of ranges
	Bounds int           // remembered at most, about 100 bytes each; 0 for none
	Bytes  int           // of lot stores' answers held in memory at most; 0 for no bound
}

// ConfigureSearches sets how searches are executed. It must be called before Run.
func (c *Core) ConfigureSearches(s SearchConfig) {
	c.search.chooser, c.search.maxBytes = search.NewChooser(s.Phases), s.Bytes
	if s.Bounds > 0 {
		c.search.index = search.NewIndex(s.Ranges, s.Bounds)
	}
	c.search.phased = map[*query]struct{}{}
}

// startSearch makes the plan of a query that is a search. It returns the plan's first orders, whether the plan has two
// steps, and how many subqueries its second step is expected to have.
func (c *Core) startSearch(q *query) (first search.Orders, phased bool, fetch int) {
	if q.Search == nil {
		return first, false, 0
	}
	class := c.set.Policy.Classes[q.Class]
	phases := search.One
	if c.search.chooser != nil && class.MaxAttempts > 1 { // the listings need an attempt of their own
		var why string
		if phases, why = c.search.chooser.Choose(q.Class, q.Search, len(q.Shards)); why != "" {
			c.log.Info("phases changed", "why", why)
		}
	}
	ranges := make([]search.Range, len(q.Shards))
	for i, s := range q.Shards {
		ranges[i] = search.Range{Number: s.Number, Weight: s.Weight}
	}
	q.plan, q.startedAt = search.NewPlan(q.Search, phases, ranges, c.search.index), c.now()
	fetch = q.plan.ExpectFetch()
	target, usual := min(class.LatencyTarget, c.at(q.Deadline)-q.startedAt), c.scheduler.UsualLatency()
	first = q.plan.Start(q.startedAt, search.Times{End: q.startedAt + max(target-fetchUsual*usual, target/2), Usual: usual})
	if phases == search.Two {
		c.search.phased[q] = struct{}{}
	}
	return first, phases == search.Two, fetch
}

// firstStepSearch is what the first step asks of the i-th range; nil if the query is no search.
func (q *query) firstStepSearch(i int) *ShardSearch {
	if q.plan == nil {
		return nil
	}
	return &ShardSearch{Query: q.Search, ScoresOnly: q.plan.Phases == search.Two, Extremes: q.plan.WantsExtremes(i)}
}

// applyOrders passes the plan's orders to the scheduler.
func (c *Core) applyOrders(q *query, o search.Orders) {
	if len(o.Request)+len(o.Skip) == 0 {
		return
	}
	e := decision.Planned{Query: decision.QueryID(q.id)}
	for _, i := range o.Request {
		e.Request = append(e.Request, decision.SubqueryID(q.subqueries[i].id))
	}
	for _, i := range o.Skip {
		q.subqueries[i].res.Skipped = true
		e.Skip = append(e.Skip, decision.SubqueryID(q.subqueries[i].id))
	}
	c.events = append(c.events, e)
}

// recordFound records a lot store's answer to a search.
func (c *Core) recordFound(a *Attempt, found *search.Answer) {
	p, q := a.subquery, a.subquery.q
	switch {
	case a.ended:
		return // timed out while this was on its way
	case q.over || p.res.OK:
		c.endAttempt(a, decision.OK)
		return
	case a.Search.IDs == nil && !q.plan.Fits(p.index, found):
		c.endAttempt(a, decision.NotSent) // another replica's may fit, and this one is not at fault
		return
	case q.answerTooLarge(found.Bytes):
		c.endAttempt(a, decision.Error) // beyond the limit of the route
		return
	case c.search.maxBytes > 0 && (c.search.bytesHeld+found.Bytes > c.search.maxBytes || float64(q.bytes+found.Bytes) > maxQueryShare*float64(c.search.maxBytes)):
		c.endAttempt(a, decision.Error) // beyond the limit of memory
		return
	}
	q.bytes += found.Bytes
	c.search.bytesHeld += found.Bytes
	p.res.OK = a.Search.IDs != nil || !q.plan.Closed()
	sent := a.sent
	c.endAttempt(a, decision.OK)
	if a.Search.IDs != nil {
		q.plan.Listed(p.index, found)
		return
	}
	c.applyOrders(q, q.plan.Scored(p.index, uint32(a.Server), found, sent, c.now()))
}

// recordUnanswerable records that a lot store cannot answer a query. The attempt counts as not sent: one client's bad
// query must not make all lot stores look unhealthy.
func (c *Core) recordUnanswerable(a *Attempt, why string) {
	if a.ended {
		return
	}
	q := a.subquery.q
	c.endAttempt(a, decision.NotSent)
	if !q.over && q.plan.Unanswerable(uint32(a.Server)) {
		c.events = append(c.events, decision.ClientDisconnected{Query: decision.QueryID(q.id)})
		c.finish(q, Result{Kind: Failed, Reason: ReasonQuestion, Detail: why})
	}
}

// pageComplete reports whether nothing of the page is missing. It is true of a query that is no search.
func (q *query) pageComplete() bool {
	if q.plan == nil {
		return true
	}
	if q.plan.Phases == search.One {
		q.plan.Close()
	}
	r := q.plan.Result()
	return r.Complete()
}

// finishSearch fills in the result of a search.
func (c *Core) finishSearch(q *query, r *Result) {
	if q.plan == nil {
		return
	}
	if q.plan.Phases == search.One {
		q.plan.Close()
	}
	r.Search, r.Phases = q.plan.Result(), q.plan.Phases
	sent := slices.ContainsFunc(r.Shards, func(p ShardResult) bool { return p.Attempts > 0 })
	if c.search.chooser != nil && sent && r.Reason != ReasonQuestion { // one rejected before any send says nothing of either
		c.search.chooser.Measured(q.Class, q.plan, c.now()-q.startedAt, c.set.Policy.Classes[q.Class].LatencyTarget, r.Kind == Answered)
	}
}

// forgetSearch releases the memory of a search.
func (c *Core) forgetSearch(q *query) {
	if q.plan != nil {
		delete(c.search.phased, q)
		c.search.bytesHeld -= q.bytes
	}
}

// searchDue is when the next plan wants a tick, or due if that is sooner.
func (c *Core) searchDue(due time.Duration) time.Duration {
	for q := range c.search.phased {
		if d := q.plan.Due(); d > 0 {
			due = min(due, d)
		}
	}
	return due
}

// tickSearches passes the time to plans that want it.
func (c *Core) tickSearches(now time.Duration) {
	for q := range c.search.phased {
		if d := q.plan.Due(); d > 0 && now >= d {
			c.guard(q, func() { c.applyOrders(q, q.plan.Tick(now)) })
		}
	}
}
