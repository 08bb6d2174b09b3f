package policy

import (
	"cmp"
	"slices"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/mem/cluster"
	"pulleygw.example/pulleygw/internal/shared/curve"
)

// Load shedding: whole queries are rejected before any subquery is sent, by the fraction of missed deadlines.

// rejects reports whether a query is to be rejected before any subquery is sent. Where a query can do without
// the subqueries that would be late, as those of a cell with too few servers left, it is admitted without
// them.
func (sc *Scheduler) rejects(q *cluster.Query) bool {
	// The load that rejecting the query saves, per value lost.
	cost := float64(len(q.Current)) / max(q.Spec.Value, weightSlip)
	sc.Cost = (1-costWeight)*cmp.Or(sc.Cost, cost) + costWeight*cost
	if sc.unserved(q) || sc.Now+curve.Duration(sc.FanoutTail(q, mostDone)+sc.waitNow()) > q.GivesUpAt {
		return true // the client would time out first: wasted work
	}
	sure := q.Spec.Floor >= q.Spec.Need && slices.ContainsFunc(q.Current, func(sub *cluster.Subquery) bool {
		return sc.queued(sub) && sc.Now+curve.Duration(sc.waitAtShard(sub)+sc.Median) > sc.stepTarget(q)
	})
	if sc.Shed == 0 && !sure {
		return false // misses say what has been; waiting time and capacity at every shard what is
	}
	shed := sure || sc.RNG.Float64() < sc.Shed*min(cost/sc.Cost, 1)
	remaining := q.Drop(func(sub *cluster.Subquery) bool {
		s := sc.pick(sub)
		return sc.wouldMiss(sub) || shed && (s == nil || len(s.InFlight)+len(s.Queue) >= sc.capacity(s))
	})
	tooLittle := remaining < q.Spec.Floor-weightSlip || remaining < q.Spec.Need-weightSlip && q.Spec.Fetch > 0
	if tooLittle && !shed {
		q.Drop(func(*cluster.Subquery) bool { return false })
	}
	return tooLittle && shed
}

// unserved reports whether so few of a query's shards have a ready server that no answer could be given. A
// server that comes back is listed seconds later: the client is told at once and may retry by then.
func (sc *Scheduler) unserved(q *cluster.Query) bool {
	can := 0.0
	ready := func(s *cluster.Server) bool { return s.State == decision.Ready }
	for _, sub := range q.Current {
		replicas := sc.Replicas[sub.Shard%sc.Settings.Cells]
		if sub.Done || cluster.AnyLive(sub) || slices.ContainsFunc(replicas, ready) {
			can += sub.Weight
		}
	}
	return can < q.Spec.Floor-weightSlip
}

// wouldMiss reports whether a subquery sent now would still be queued at its server when its deadline passes,
// by the latency of healthy servers beyond the usual: with dozens of schedulers the queues are at the
// servers.
func (sc *Scheduler) wouldMiss(sub *cluster.Subquery) bool {
	return sc.Now+curve.Duration(max(sc.waitNow(), sc.waitAtShard(sub))) > sub.Deadline
}

// queued reports whether each replica of a subquery's shard has a queue here. As it drains, latencies are
// learned.
func (sc *Scheduler) queued(sub *cluster.Subquery) bool {
	idle := func(s *cluster.Server) bool { return sc.accepts(s) && len(s.Queue) == 0 }
	list := sc.Replicas[sub.Shard%sc.Settings.Cells]
	return slices.ContainsFunc(list, sc.accepts) && !slices.ContainsFunc(list, idle)
}

// waitAtShard is the expected latency, beyond the usual, at the fastest replica of a subquery's shard, in
// seconds. It is longer the more the replica fails.
func (sc *Scheduler) waitAtShard(sub *cluster.Subquery) float64 {
	best := curve.RecordHigh
	for _, s := range sc.Replicas[sub.Shard%sc.Settings.Cells] {
		if sc.accepts(s) {
			failing := curve.Decay(s.FailureRate, sc.Now-s.FailureRateAt, sc.memory(failureHalf))
			best = min(best, sc.expected(s)/max(1-failing, weightSlip))
		}
	}
	return best - sc.Median
}
