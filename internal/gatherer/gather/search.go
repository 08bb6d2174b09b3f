package gather

import (
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/search"
)

// Searches: a request with a search.Query is led by a plan, which says what to ask of which range and what the page
// is. The core carries the plan's orders to the Mixer and lot stores' answers to the plan, and decides nothing.

// searches is the core's own state of searches.
type searches struct {
	index   *search.Index   // nil where nothing is to be learnt
	chooser *search.Chooser // nil where all goes in one phase
	phased  map[*query]struct{}
	held    int // bytes of lot stores' answers that are in hand
	most    int // of held; 0 for no bound
}

// fetchUsual is how many usual answer times the plan leaves to the second step, whose end is the Mixer's to say.
const fetchUsual = 2

// queryMost is the share of all bytes that one query may hold.
const queryMost = 0.25

// SearchConfig says how searches are put to lot stores.
type SearchConfig struct {
	Phases search.Phases // One or Two to force it, 0 for what was measured to be better
	Ranges int           // there are
	Bounds int           // that are remembered at the most, about 100 bytes each; 0 for none
	Bytes  int           // of lot stores' answers in hand at the most; 0 for no bound
}

// Searches sets how searches are led. It must come before Run.
func (c *Core) Searches(s SearchConfig) {
	c.chooser, c.most = search.NewChooser(s.Phases), s.Bytes
	if s.Bounds > 0 {
		c.index = search.NewIndex(s.Ranges, s.Bounds)
	}
	c.phased = map[*query]struct{}{}
}

// lead is what a query has more if it is a search.
type lead struct {
	plan *search.Plan
	at   time.Duration
}

// startSearch makes the plan of a query that is a search. It says which ranges are asked first, whether the plan has
// two steps, and how many parts its second is expected to have.
func (c *Core) startSearch(q *query) (first search.Orders, phased bool, fetch int) {
	if q.Search == nil {
		return first, false, 0
	}
	class := c.set.Policy.Classes[q.Class]
	phases := search.One
	if c.chooser != nil && class.MaxAttempts > 1 { // the listings want an attempt of their own
		why := ""
		if phases, why = c.chooser.Choose(q.Class, q.Search, len(q.Shards)); why != "" {
			c.log.Info("phases changed", "why", why)
		}
	}
	ranges := make([]search.Range, len(q.Shards))
	for i, s := range q.Shards {
		ranges[i] = search.Range{Number: s.Number, Weight: s.Weight}
	}
	q.plan, q.at = search.NewPlan(q.Search, phases, ranges, c.index), c.now()
	fetch = q.plan.ExpectFetch()
	aim, usual := min(class.LatencyTarget, c.at(q.Deadline)-q.at), c.mixer.UsualLatency()
	first = q.plan.Start(q.at, search.Times{End: q.at + max(aim-fetchUsual*usual, aim/2), Usual: usual})
	if phases == search.Two {
		c.phased[q] = struct{}{}
	}
	return first, phases == search.Two, fetch
}

// askScores is what the first step asks of the range at a place; nil for what is no search.
func (q *query) askScores(i int) *Ask {
	if q.plan == nil {
		return nil
	}
	return &Ask{Query: q.Search, Scores: q.plan.Phases == search.Two, Extremes: q.plan.WantsExtremes(i)}
}

// order brings the plan's orders to the Mixer.
func (c *Core) order(q *query, o search.Orders) {
	if len(o.Ask)+len(o.Skip) == 0 {
		return
	}
	e := decision.Planned{Query: decision.QueryID(q.id)}
	for _, i := range o.Ask {
		e.Request = append(e.Request, decision.SubqueryID(q.parts[i].id))
	}
	for _, i := range o.Skip {
		q.parts[i].res.Skipped = true
		e.Skip = append(e.Skip, decision.SubqueryID(q.parts[i].id))
	}
	c.events = append(c.events, e)
}

// bookFound records an answer of a lot store to a search.
func (c *Core) bookFound(a *Attempt, found *search.Answer) {
	p, q := a.part, a.part.q
	switch {
	case a.outcome:
		return // timed out while this was on its way
	case q.over || p.res.OK:
		c.report(a, decision.OK)
		return
	case a.Ask.IDs == nil && !q.plan.Fits(p.place, found):
		c.report(a, decision.NotSent) // another copy may; and nothing speaks against this one
		return
	case q.overAnswer(found.Bytes):
		c.report(a, decision.Error) // as the route has it
		return
	case c.most > 0 && (c.held+found.Bytes > c.most || float64(q.bytes+found.Bytes) > queryMost*float64(c.most)):
		c.report(a, decision.Error) // there is no room for it
		return
	}
	q.bytes += found.Bytes
	c.held += found.Bytes
	p.res.OK = a.Ask.IDs != nil || !q.plan.Closed()
	sent := a.sent
	c.report(a, decision.OK)
	if a.Ask.IDs != nil {
		q.plan.Listed(p.place, found)
		return
	}
	c.order(q, q.plan.Scored(p.place, uint32(a.Server), found, sent, c.now()))
}

// bookUnanswerable records that a lot store cannot answer a question. It counts as never sent, as nothing speaks
// against the lot store: one client's bad query must not have all of them taken for failing.
func (c *Core) bookUnanswerable(a *Attempt, why string) {
	if a.outcome {
		return
	}
	q := a.part.q
	c.report(a, decision.NotSent)
	if !q.over && q.plan.Refused(uint32(a.Server)) {
		c.events = append(c.events, decision.ClientGone{Query: decision.QueryID(q.id)})
		c.finish(q, Result{Kind: Failed, Reason: ReasonQuestion, Detail: why})
	}
}

// allIn says whether nothing of the page is missing; true of what is no search.
func (q *query) allIn() bool {
	if q.plan == nil {
		return true
	}
	if q.plan.Phases == search.One {
		q.plan.Close()
	}
	r := q.plan.Result()
	return r.Whole()
}

// finishSearch fills in what came of a search.
func (c *Core) finishSearch(q *query, r *Result) {
	if q.plan == nil {
		return
	}
	if q.plan.Phases == search.One {
		q.plan.Close()
	}
	r.Search, r.Phases = q.plan.Result(), q.plan.Phases
	sent := slices.ContainsFunc(r.Parts, func(p PartResult) bool { return p.Attempts > 0 })
	if c.chooser != nil && sent && r.Reason != ReasonQuestion { // one that was refused unsent says nothing of either way
		c.chooser.Measured(q.Class, q.plan, c.now()-q.at, c.set.Policy.Classes[q.Class].LatencyTarget, r.Kind == Answered)
	}
}

// forgetSearch frees what a search holds.
func (c *Core) forgetSearch(q *query) {
	if q.plan != nil {
		delete(c.phased, q)
		c.held -= q.bytes
	}
}

// searchDue is when the next plan wants to be told the time, or due if that is sooner.
func (c *Core) searchDue(due time.Duration) time.Duration {
	for q := range c.phased {
		if d := q.plan.Due(); d > 0 {
			due = min(due, d)
		}
	}
	return due
}

// tickSearches tells plans the time.
func (c *Core) tickSearches(now time.Duration) {
	for q := range c.phased {
		if d := q.plan.Due(); d > 0 && now >= d {
			c.guard(q, func() { c.order(q, q.plan.Tick(now)) })
		}
	}
}
