package gather

import (
	"cmp"
	"slices"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/search"
)

// Second step: a class may have one, and a search in two phases has. The scheduler's first answer ends the first step;
// the query's time-out stays, and a few more subqueries make the answer. Which ones the scheduler does not decide.

// secondStep decides what a query asks for once its first step has ended.
type secondStep interface {
	// close ends the first step, whose answer was complete or not, and returns the subqueries of the second.
	close(q *query, complete bool) []secondSubquery
}

// secondSubquery is one subquery of a second step.
type secondSubquery struct {
	index  int // of its shard in the request
	weight float64
	prefer decision.ServerID // 0 for none
	used   int               // attempts of the first step that count as its own
	search *ShardSearch
	load   *Load
}

// byScore is a plain second step: the shards whose values had the highest scores, at most size, all of equal weight.
type byScore struct{ size int }

func (s byScore) close(q *query, complete bool) (parts []secondSubquery) {
	load := &Load{FirstComplete: complete}
	var in []*subquery
	for _, p := range q.subqueries {
		if p.res.OK {
			in, load.From = append(in, p), append(load.From, p.res.Shard)
		}
	}
	slices.Sort(load.From)
	slices.SortFunc(in, func(a, b *subquery) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.res.Shard, b.res.Shard))
	})
	in = in[:min(s.size, len(in))]
	for _, p := range in {
		parts = append(parts, secondSubquery{index: p.index, weight: 1 / float64(len(in)), load: load})
	}
	return parts
}

// byPlan is the second step of a search: the listings of the page, each first at the replica that ranked it.
type byPlan struct{ plan *search.Plan }

func (s byPlan) close(q *query, _ bool) (parts []secondSubquery) {
	for _, f := range s.plan.Close() {
		parts = append(parts, secondSubquery{index: f.Index, weight: f.Weight, prefer: decision.ServerID(f.Source),
			used: len(q.subqueries[f.Index].attempts), search: &ShardSearch{Query: q.Search, IDs: f.IDs}})
	}
	return parts
}

// wantsScore reports whether the value of a subquery must come with a score.
func (c *Core) wantsScore(p *subquery) bool {
	return p.q.plan == nil && p.load == nil && c.set.Policy.Classes[p.q.Class].Fetch > 0
}

// startSecondStep ends a query's first step and begins its second.
func (c *Core) startSecondStep(q *query, complete bool) {
	for _, p := range q.subqueries {
		p.unfinished, p.closed = p.result().Pending, true
	}
	delete(c.search.phased, q)
	c.inFlight.RemoveSubqueries(ids(q.subqueries)) // they have ended, and the second step has no more than the first
	var step secondStep = byScore{c.set.Policy.Classes[q.Class].Fetch}
	if q.plan != nil {
		step = byPlan{q.plan}
	}
	parts := step.close(q, complete)
	c.events = append(c.events, decision.Planned{Query: decision.QueryID(q.id), Fetch: len(parts)})
	for _, x := range parts {
		c.lastID++
		p := &subquery{id: c.lastID, q: q, res: &ShardResult{Shard: q.subqueries[x.index].res.Shard}, index: x.index, search: x.search, load: x.load}
		q.second = append(q.second, p)
		c.inFlight.AddSubquery(p.id, p)
		c.events = append(c.events, decision.SubqueryArrived{ID: decision.SubqueryID(p.id), Query: decision.QueryID(q.id),
			Shard: p.res.Shard, Weight: x.weight, Preferred: x.prefer, UsedAttempts: x.used})
	}
}

// finishSecond fills in the results of a second step. A shard that was not answered there is not OK.
func (q *query) finishSecond(r *Result) {
	for _, p := range q.second {
		second, first := p.result(), &r.Shards[p.index]
		first.Attempts += second.Attempts
		if !second.OK {
			first.OK, first.Last, first.Pending = false, second.Last, second.Pending
		}
		if p.load != nil {
			r.Second = append(r.Second, second)
		}
	}
}
