package gather

import (
	"cmp"
	"slices"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/search"
)

// A query has a second step if its class has one, or if it is a search in two phases. The scheduler's first Answer ends the
// first step. The answer then comes from a few more subqueries, within the same deadline. A secondStep chooses these, not
// the scheduler.

// secondStep chooses the subqueries of a query's second step.
type secondStep interface {
	// endFirstStep ends the first step and returns the subqueries of the second. Complete says whether the answer of the
	// first step was complete.
	endFirstStep(q *query, complete bool) []secondSubquery
}

// secondSubquery is one subquery of a second step.
type secondSubquery struct {
	index        int // of its shard in the request
	weight       float64
	prefer       decision.ServerID // server to prefer, 0 for none
	usedAttempts int               // attempts of the first step that count towards its maximum number of attempts
	search       *ShardSearch
	firstStep    *FirstStep
}

// byScore is the second step of a class that has one: it asks the shards whose values had the highest scores, at most size
// of them, all with equal weight.
type byScore struct{ size int }

func (s byScore) endFirstStep(q *query, complete bool) (list []secondSubquery) {
	firstStep := &FirstStep{Complete: complete}
	var answered []*subquery
	for _, p := range q.subqueries {
		if p.res.OK {
			answered, firstStep.From = append(answered, p), append(firstStep.From, p.res.Shard)
		}
	}
	slices.Sort(firstStep.From)
	slices.SortFunc(answered, func(a, b *subquery) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.res.Shard, b.res.Shard))
	})
	answered = answered[:min(s.size, len(answered))]
	for _, p := range answered {
		list = append(list, secondSubquery{index: p.index, weight: 1 / float64(len(answered)), firstStep: firstStep})
	}
	return list
}

// byPlan is the second step of a search: it fetches the listings of the page, preferably from the replicas that ranked them.
type byPlan struct{ plan *search.Plan }

func (s byPlan) endFirstStep(q *query, _ bool) (list []secondSubquery) {
	for _, f := range s.plan.Close() {
		list = append(list, secondSubquery{index: f.Index, weight: f.Weight, prefer: decision.ServerID(f.Source),
			usedAttempts: len(q.subqueries[f.Index].attempts), search: &ShardSearch{Query: q.Search, IDs: f.IDs}})
	}
	return list
}

// wantsScore reports whether the value of a subquery must have a score.
func (c *Core) wantsScore(p *subquery) bool {
	return p.q.plan == nil && p.firstStep == nil && c.set.Policy.Classes[p.q.Class].Fetch > 0
}

// startSecondStep ends a query's first step and starts its second.
func (c *Core) startSecondStep(q *query, complete bool) {
	for _, p := range q.subqueries {
		p.pendingAtStepEnd, p.stepEnded = p.result().Pending, true
	}
	delete(c.search.twoPhase, q)
	c.inFlight.RemoveSubqueries(subqueryIDs(q.subqueries)) // makes room for the second step, which has at most as many
	var step secondStep = byScore{c.set.Policy.Classes[q.Class].Fetch}
	if q.plan != nil {
		step = byPlan{q.plan}
	}
	list := step.endFirstStep(q, complete)
	c.events = append(c.events, decision.Planned{Query: decision.QueryID(q.id), Fetch: len(list)})
	for _, x := range list {
		c.lastID++
		p := &subquery{id: c.lastID, q: q, res: &ShardResult{Shard: q.subqueries[x.index].res.Shard}, index: x.index, search: x.search, firstStep: x.firstStep}
		q.secondSubqueries = append(q.secondSubqueries, p)
		c.inFlight.AddSubquery(p.id, p)
		c.events = append(c.events, decision.SubqueryArrived{ID: decision.SubqueryID(p.id), Query: decision.QueryID(q.id),
			Shard: p.res.Shard, Weight: x.weight, Preferred: x.prefer, UsedAttempts: x.usedAttempts})
	}
}

// addSecondStep adds the results of a second step. A shard that did not answer the second step is not OK.
func (q *query) addSecondStep(r *Result) {
	for _, p := range q.secondSubqueries {
		second, first := p.result(), &r.Shards[p.index]
		first.Attempts += second.Attempts
		if !second.OK {
			first.OK, first.Last, first.Pending = false, second.Last, second.Pending
		}
		if p.firstStep != nil {
			r.Second = append(r.Second, second)
		}
	}
}
