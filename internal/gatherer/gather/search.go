package gather

import (
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/search"
)

// A request with a search.Query is executed by a search.Plan, which decides what to ask of which range and which lots make
// the page. The core only passes the plan's orders to the scheduler and the lot stores' answers to the plan.

// searchState is the core's state of searches.
type searchState struct {
	index     *search.Index       // nil if bounds are not learned
	chooser   *search.Chooser     // nil if all searches have one phase
	twoPhase  map[*query]struct{} // queries in two phases whose first step has not ended
	bytesHeld int                 // total size of lot stores' answers in memory
	maxBytes  int                 // limit of bytesHeld; 0 for no limit
}

// fetchLatencies is the time that a plan leaves to the second step, in multiples of the usual latency. The scheduler decides
// when the second step ends.
const fetchLatencies = 2

// maxQueryFraction is the fraction of maxBytes that one query may hold.
const maxQueryFraction = 0.25

// SearchConfig says how searches are executed.
type SearchConfig struct {
	Phases    search.Phases // search.One or search.Two to force it, 0 for whichever is measured to be better
	Ranges    int           // number of ranges
	MaxBounds int           // maximum number of bounds remembered, about 100 bytes each; 0 for none
	MaxBytes  int           // maximum total size of lot stores' answers in memory; 0 for no limit
}

// ConfigureSearches sets how searches are executed. It must be called before Run.
func (c *Core) ConfigureSearches(s SearchConfig) {
	c.search.chooser, c.search.maxBytes = search.NewChooser(s.Phases), s.MaxBytes
	if s.MaxBounds > 0 {
		c.search.index = search.NewIndex(s.Ranges, s.MaxBounds)
	}
	c.search.twoPhase = map[*query]struct{}{}
}

// startSearch creates the plan of a query if it is a search. It returns the plan's first orders, whether the search has two
// phases, and how many subqueries its second step is expected to have.
func (c *Core) startSearch(q *query) (first search.Orders, phased bool, fetch int) {
	if q.Search == nil {
		return first, false, 0
	}
	class := c.set.Policy.Classes[q.Class]
	phases := search.One
	if c.search.chooser != nil && class.MaxAttempts > 1 { // fetching the listings takes a second attempt
		var why string
		if phases, why = c.search.chooser.Choose(q.Class, q.Search, len(q.Shards)); why != "" {
			c.log.Info("number of search phases changed", "why", why)
		}
	}
	ranges := make([]search.Range, len(q.Shards))
	for i, s := range q.Shards {
		ranges[i] = search.Range{Number: s.Number, Weight: s.Weight}
	}
	q.plan, q.startedAt = search.NewPlan(q.Search, phases, ranges, c.search.index), c.now()
	fetch = q.plan.ExpectedFetches()
	target, usual := min(class.LatencyTarget, c.clockTime(q.Deadline)-q.startedAt), c.scheduler.UsualLatency()
	first = q.plan.Start(q.startedAt, search.Times{End: q.startedAt + max(target-fetchLatencies*usual, target/2), UsualLatency: usual})
	if phases == search.Two {
		c.search.twoPhase[q] = struct{}{}
	}
	return first, phases == search.Two, fetch
}

// firstStepSearch returns what the first step asks of the i-th range, nil if the query is not a search.
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

// recordFound handles a lot store's answer to a search.
func (c *Core) recordFound(a *Attempt, found *search.Answer) {
	p, q := a.subquery, a.subquery.q
	switch {
	case a.ended:
		return // it timed out while the message was queued
	case q.ended || p.res.OK:
		c.endAttempt(a, decision.OK)
		return
	case a.Search.IDs == nil && !q.plan.MatchesPin(p.index, found):
		c.endAttempt(a, decision.NotSent) // retried at another replica, and no failure of this one
		return
	case q.answerTooLarge(found.Bytes):
		c.endAttempt(a, decision.Error) // limit of the route
		return
	case c.search.maxBytes > 0 && (c.search.bytesHeld+found.Bytes > c.search.maxBytes || float64(q.bytes+found.Bytes) > maxQueryFraction*float64(c.search.maxBytes)):
		c.endAttempt(a, decision.Error) // limit of memory
		return
	}
	q.bytes += found.Bytes
	c.search.bytesHeld += found.Bytes
	p.res.OK = a.Search.IDs != nil || !q.plan.Closed()
	sent := a.sent
	c.endAttempt(a, decision.OK)
	if a.Search.IDs != nil {
		q.plan.RecordListings(p.index, found)
		return
	}
	c.applyOrders(q, q.plan.RecordAnswer(p.index, uint32(a.Server), found, sent, c.now()))
}

// recordUnanswerable handles the report that a lot store cannot answer a query. The attempt counts as not sent, so that a
// client's bad query does not make lot stores look unhealthy.
func (c *Core) recordUnanswerable(a *Attempt, why string) {
	if a.ended {
		return
	}
	q := a.subquery.q
	c.endAttempt(a, decision.NotSent)
	if !q.ended && q.plan.Unanswerable(uint32(a.Server)) {
		c.events = append(c.events, decision.ClientDisconnected{Query: decision.QueryID(q.id)})
		c.finish(q, Result{Kind: Failed, Reason: ReasonUnanswerable, Detail: why})
	}
}

// pageComplete reports whether nothing is missing from the page. It is true for a query that is not a search.
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

// addSearchResult sets the result of a search.
func (c *Core) addSearchResult(q *query, r *Result) {
	if q.plan == nil {
		return
	}
	if q.plan.Phases == search.One {
		q.plan.Close()
	}
	r.Search, r.Phases = q.plan.Result(), q.plan.Phases
	sent := slices.ContainsFunc(r.Shards, func(p ShardResult) bool { return p.Attempts > 0 })
	if c.search.chooser != nil && sent && r.Reason != ReasonUnanswerable { // without an attempt nothing was measured
		c.search.chooser.Record(q.Class, q.plan, c.now()-q.startedAt, c.set.Policy.Classes[q.Class].LatencyTarget, r.Kind == Answered)
	}
}

// releaseSearch removes the state of a search, and its answers from the memory in use.
func (c *Core) releaseSearch(q *query) {
	if q.plan != nil {
		delete(c.search.twoPhase, q)
		c.search.bytesHeld -= q.bytes
	}
}

// searchDue returns when the next Plan.Tick is due, or due if that is sooner.
func (c *Core) searchDue(due time.Duration) time.Duration {
	for q := range c.search.twoPhase {
		if d := q.plan.Due(); d > 0 {
			due = min(due, d)
		}
	}
	return due
}

// tickSearches calls Plan.Tick for the plans that are due.
func (c *Core) tickSearches(now time.Duration) {
	for q := range c.search.twoPhase {
		if d := q.plan.Due(); d > 0 && now >= d {
			c.failOnPanic(q, func() { c.applyOrders(q, q.plan.Tick(now)) })
		}
	}
}
