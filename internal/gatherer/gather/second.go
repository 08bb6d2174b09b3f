package gather

import (
	"cmp"
	"slices"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/search"
)

// Second step: a class may have one, and a search that goes in two phases has. The Mixer's first answer ends the first
// step; the query's time runs on, and a few more parts make the answer. Which ones is not the Mixer's to say.

// secondStep says what a query asks for once its first step has ended.
type secondStep interface {
	// close ends the first step, whose answer was whole or not, and names the parts of the second.
	close(q *query, whole bool) []secondPart
}

// secondPart is one part of a second step.
type secondPart struct {
	place  int // of its shard in the request
	weight float64
	prefer decision.ServerID // 0 for none
	used   int               // attempts of the first step that count as its own
	ask    *Ask
	load   *Load
}

// byScore is the platform's own second step: the shards whose values had the highest scores, all of equal weight.
type byScore struct{ most int }

func (s byScore) close(q *query, whole bool) (parts []secondPart) {
	load := &Load{Whole: whole}
	var in []*part
	for _, p := range q.parts {
		if p.res.OK {
			in, load.From = append(in, p), append(load.From, p.res.Shard)
		}
	}
	slices.Sort(load.From)
	slices.SortFunc(in, func(a, b *part) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.res.Shard, b.res.Shard))
	})
	in = in[:min(s.most, len(in))]
	for _, p := range in {
		parts = append(parts, secondPart{place: p.place, weight: 1 / float64(len(in)), load: load})
	}
	return parts
}

// byPlan is that of a search in two phases: the listings of the page, each first at the copy that ranked it.
type byPlan struct{ plan *search.Plan }

func (s byPlan) close(q *query, _ bool) (parts []secondPart) {
	for _, f := range s.plan.Close() {
		parts = append(parts, secondPart{place: f.Place, weight: f.Weight, prefer: decision.ServerID(f.Source),
			used: len(q.parts[f.Place].attempts), ask: &Ask{Query: q.Search, IDs: f.IDs}})
	}
	return parts
}

// scored says whether the values of a query's first step want a score.
func (c *Core) scored(p *part) bool {
	return p.q.plan == nil && p.load == nil && c.set.Policy.Classes[p.q.Class].Fetch > 0
}

// fetch ends a query's first step and begins its second.
func (c *Core) fetch(q *query, whole bool) {
	for _, p := range q.parts {
		p.cut, p.closed = p.result().Waiting, true
	}
	delete(c.phased, q)
	c.flight.RemoveParts(ids(q.parts)) // ended, and the second step has no more than the first had
	var step secondStep = byScore{c.set.Policy.Classes[q.Class].Fetch}
	if q.plan != nil {
		step = byPlan{q.plan}
	}
	parts := step.close(q, whole)
	c.events = append(c.events, decision.Planned{Query: decision.QueryID(q.id), Fetch: len(parts)})
	for _, x := range parts {
		c.lastID++
		p := &part{id: c.lastID, q: q, res: &PartResult{Shard: q.parts[x.place].res.Shard}, place: x.place, ask: x.ask, load: x.load}
		q.second = append(q.second, p)
		c.flight.AddPart(p.id, p)
		c.events = append(c.events, decision.SubqueryArrived{ID: decision.SubqueryID(p.id), Query: decision.QueryID(q.id),
			Shard: p.res.Shard, Weight: x.weight, Prefer: x.prefer, Used: x.used})
	}
}

// finishSecond fills in what came of a second step: a shard without its part of it is not in.
func (q *query) finishSecond(r *Result) {
	for _, p := range q.second {
		second, first := p.result(), &r.Parts[p.place]
		first.Attempts += second.Attempts
		if !second.OK {
			first.OK, first.Last, first.Waiting = false, second.Last, second.Waiting
		}
		if p.load != nil {
			r.Second = append(r.Second, second)
		}
	}
}
