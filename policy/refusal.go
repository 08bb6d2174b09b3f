package policy

import (
	"cmp"
	"slices"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/mem/fleet"
	"pulleygw.example/pulleygw/internal/shared/curve"
)

// Refusal of whole queries before any part is sent: on the miss share.

// refuses decides on a whole query before any part is sent: on the miss share. Where a query can do without
// those of its parts that would be late, it is taken without them, as of a cell with too few servers left.
func (m *Mixer) refuses(q *fleet.Query) bool {
	cost := float64(len(q.Current)) / max(q.Terms.Worth, weightSlip) // what it frees to refuse it, and loses
	m.Cost = (1-costWeight)*cmp.Or(m.Cost, cost) + costWeight*cost
	if m.unheld(q) || m.Now+curve.Duration(m.FanoutTail(q, mostDone)+m.waitNow()) > q.End {
		return true // the client would leave before: work for nobody
	}
	sure := q.Terms.Floor >= q.Terms.Need && slices.ContainsFunc(q.Current, func(p *fleet.Part) bool {
		return m.queued(p) && m.Now+curve.Duration(m.waitAtShard(p)+m.Median) > m.stepAim(q)
	})
	if m.Shed == 0 && !sure {
		return false // the misses tell what was; wait and room at every shard what is
	}
	shed := sure || m.RNG.Float64() < m.Shed*min(cost/m.Cost, 1)
	left := q.Drop(func(p *fleet.Part) bool {
		s := m.pick(p)
		return m.wouldMiss(p) || shed && (s == nil || len(s.Out)+len(s.Held) >= m.room(s))
	})
	little := left < q.Terms.Floor-weightSlip || left < q.Terms.Need-weightSlip && q.Terms.Fetch > 0
	if little && !shed {
		q.Drop(func(*fleet.Part) bool { return false })
	}
	return little && shed
}

// unheld says whether the list names a ready server for so few of a query's parts that no answer could be
// given. One that comes back is listed seconds later: the client is told at once, and may come back itself.
func (m *Mixer) unheld(q *fleet.Query) bool {
	can := 0.0
	ready := func(s *fleet.Server) bool { return s.State == decision.Ready }
	for _, p := range q.Current {
		if p.Done || fleet.AnyLive(p) || slices.ContainsFunc(m.Replicas[p.Shard%m.Set.Cells], ready) {
			can += p.Weight
		}
	}
	return can < q.Terms.Floor-weightSlip
}

// wouldMiss says whether a part sent now would still wait at its server when its deadline passes, by what
// sound servers' answers lately took beyond the usual: among dozens of mixers the queues stand there.
func (m *Mixer) wouldMiss(p *fleet.Part) bool {
	return m.Now+curve.Duration(max(m.waitNow(), m.waitAtShard(p))) > p.Deadline
}

// queued says whether parts of ours wait at each replica of a part's shard: as they leave, it is heard from.
func (m *Mixer) queued(p *fleet.Part) bool {
	none := func(s *fleet.Server) bool { return m.open(s) && len(s.Held) == 0 }
	list := m.Replicas[p.Shard%m.Set.Cells]
	return slices.ContainsFunc(list, m.open) && !slices.ContainsFunc(list, none)
}

// waitAtShard is what the quickest replica of a part's shard took beyond the usual, longer the more it fails.
func (m *Mixer) waitAtShard(p *fleet.Part) float64 {
	best := curve.RecordHigh
	for _, s := range m.Replicas[p.Shard%m.Set.Cells] {
		if m.open(s) {
			best = min(best, m.expected(s)/max(1-curve.Decay(s.Bad, m.Now-s.BadAt, m.memory(badHalf)), weightSlip))
		}
	}
	return best - m.Median
}
