package policy

import (
	"cmp"
	"slices"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/mem/cluster"
	"pulleygw.example/pulleygw/internal/shared/curve"
)

// Load shedding: queries are rejected before any of their subqueries is sent. The rejected fraction follows
// the fraction of subqueries that miss their deadline.

// shouldReject reports whether a query is to be rejected before any of its subqueries is sent. A query
// that can do without the subqueries that would be late, such as those of a cell with too few servers
// left, is admitted without them.
func (sc *Scheduler) shouldReject(q *cluster.Query) bool {
	// The load that rejecting the query would save, per value lost.
	cost := float64(len(q.Current)) / max(q.Spec.Value, epsilon)
	sc.CostPerValue = (1-costWeight)*cmp.Or(sc.CostPerValue, cost) + costWeight*cost
	if sc.unservable(q) ||
		sc.Now+curve.Duration(sc.FanoutTail(q, feasiblePercentile)+sc.excessLatency()) > q.ClientTimeoutAt {
		return true // no answer is possible, or the client would time out before it
	}
	certainlyLate := q.Spec.PartialFraction >= q.Spec.CompleteFraction &&
		slices.ContainsFunc(q.Current, func(sub *cluster.Subquery) bool {
			return sc.queuedEverywhere(sub) &&
				sc.Now+curve.Duration(sc.excessAtShard(sub)+sc.ServerMedian) > sc.stepTarget(q)
		})
	if sc.ShedFraction == 0 && !certainlyLate {
		return false // no recent misses, and no queue that would delay the query beyond its latency target
	}
	shed := certainlyLate || sc.RNG.Float64() < sc.ShedFraction*min(cost/sc.CostPerValue, 1)
	remaining := q.SetFailed(func(sub *cluster.Subquery) bool {
		s := sc.pickReplica(sub)
		return sc.wouldMiss(sub) || shed && (s == nil || len(s.InFlight)+len(s.Queue) >= sc.capacity(s))
	})
	tooLittle := remaining < q.Spec.PartialFraction-epsilon ||
		remaining < q.Spec.CompleteFraction-epsilon && q.Spec.Fetch > 0
	if tooLittle && !shed {
		q.SetFailed(func(*cluster.Subquery) bool { return false })
	}
	return tooLittle && shed
}

// unservable reports whether too few of a query's shards have a ready server for even a partial answer. As
// a server that comes back is listed only seconds later, the query is rejected and the client may retry
// then.
func (sc *Scheduler) unservable(q *cluster.Query) bool {
	attainable := 0.0
	ready := func(s *cluster.Server) bool { return s.State == decision.Ready }
	for _, sub := range q.Current {
		replicas := sc.Replicas[sub.Shard%sc.Settings.Cells]
		if sub.Done || cluster.AnyInFlight(sub) || slices.ContainsFunc(replicas, ready) {
			attainable += sub.Weight
		}
	}
	return attainable < q.Spec.PartialFraction-epsilon
}

// wouldMiss reports whether a subquery sent now would still be queued at its server when its deadline
// passes. It estimates the queue at the server by the excess latency of healthy servers: the schedulers of
// other instances fill these queues too, and this one cannot see them.
func (sc *Scheduler) wouldMiss(sub *cluster.Subquery) bool {
	return sc.Now+curve.Duration(max(sc.excessLatency(), sc.excessAtShard(sub))) > sub.Deadline
}

// queuedEverywhere reports whether every replica of a subquery's shard that accepts subqueries has some
// queued here, and at least one accepts any. Sending them will show whether the replicas are still slow.
func (sc *Scheduler) queuedEverywhere(sub *cluster.Subquery) bool {
	noQueue := func(s *cluster.Server) bool { return sc.accepts(s) && len(s.Queue) == 0 }
	replicas := sc.Replicas[sub.Shard%sc.Settings.Cells]
	return slices.ContainsFunc(replicas, sc.accepts) && !slices.ContainsFunc(replicas, noQueue)
}

// excessAtShard returns by how many seconds the expected latency at the fastest replica of a subquery's
// shard exceeds the median. The expected latency of a replica grows with its failure rate, as retries take
// time.
func (sc *Scheduler) excessAtShard(sub *cluster.Subquery) float64 {
	best := curve.HistogramHigh
	for _, s := range sc.Replicas[sub.Shard%sc.Settings.Cells] {
		if sc.accepts(s) {
			failing := curve.Decay(s.FailureRate, sc.Now-s.FailureRateAt, sc.recordHalfLife(failureHalfLife))
			best = min(best, sc.expectedLatency(s)/max(1-failing, epsilon))
		}
	}
	return best - sc.ServerMedian
}
