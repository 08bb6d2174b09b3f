package policy

import (
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/mem/cluster"
	"pulleygw.example/pulleygw/internal/shared/curve"
)

// Replica selection: a weighted rotation among the replicas of a shard, by tiers of suitability.

// assign queues the subqueries that are neither queued nor in flight at a replica. Where calls have a cost,
// subqueries that one server can take share a call, which counts as one turn of the rotation.
func (sc *Scheduler) assign(subs []*cluster.Subquery) {
	pending := cluster.Unassigned(subs)
	if len(pending) > 0 && sc.needsProof(pending[0].Parent) {
		if cluster.AnyPending(pending[0].Parent, sc.Now-curve.Duration(proofWaitMultiple*sc.PoolMedian)) {
			return
		}
		fewest := func(a, b *cluster.Subquery) int { return len(a.Attempts) - len(b.Attempts) }
		pending = []*cluster.Subquery{slices.MinFunc(pending, fewest)}
	}
	for len(pending) > 0 {
		first := pending[0].Preferred
		s, size := sc.chooseReplica(pending)
		if s == nil { // no replica accepts subqueries now; the next sweep tries again
			pending = pending[1:]
			continue
		}
		sc.Turn, s.LastTurn = sc.Turn+1, sc.Turn+1
		pending = slices.DeleteFunc(pending, func(sub *cluster.Subquery) bool {
			taken := size > 0 && sc.Serves(s, sub.Shard) && !cluster.InFlightAt(sub, s) && sub.Preferred == first
			if taken {
				s.Enqueue(sub)
				size--
			}
			return taken
		})
	}
}

// chooseReplica returns the replica of the best tier for the first subquery, and how many of the
// subqueries it can take in one call. Within a tier it prefers the replica that can take most, then the
// one whose turn it is.
func (sc *Scheduler) chooseReplica(subs []*cluster.Subquery) (best *cluster.Server, size int) {
	if sc.Settings.CallCost == 0 {
		subs = subs[:1]
	}
	sc.CollectCandidates(subs, sc.accepts)
	bestTier, bestWait := 0, 0.0
	for _, c := range sc.Candidates {
		if c.ID == subs[0].Preferred && c.BatchSize > 0 && sc.tier(c, subs[0]) == 0 {
			return c, c.BatchSize // it answered the first step, so it has the versions that were ranked
		}
		if c.BatchSize == 0 || best != nil && c.BatchSize < size && bestTier == 0 {
			continue
		}
		tier, wait := sc.tier(c, subs[0]), (float64(sc.Turn-c.LastTurn)+c.TieBreak)*sc.turnWeight(c)
		if tier == 1 { // none has capacity: prefers the shortest expected latency
			wait = 1 / sc.expectedLatency(c)
		}
		if best == nil || tier < bestTier ||
			tier == bestTier && (c.BatchSize > size || c.BatchSize == size && wait > bestWait) {
			best, size, bestTier, bestWait = c, c.BatchSize, tier, wait
		}
	}
	return sc.preferFastErrors(best, size, subs[0])
}

// preferFastErrors replaces the chosen server by one that fails fast on some subqueries if retrying there
// until it answers takes less time than the queue of the chosen server. Otherwise a single healthy server
// would get the load of all. This applies neither to the last attempt of a subquery nor where a retry
// budget is configured.
func (sc *Scheduler) preferFastErrors(
	best *cluster.Server, size int, sub *cluster.Subquery,
) (*cluster.Server, int) {
	if best == nil || len(sub.Attempts) > sub.Parent.Spec.MaxAttempts-sub.UsedAttempts-2 ||
		sc.Settings.Rules.BudgetEnabled {
		return best, size
	}
	shortest := sc.expectedLatency(best)
	for _, c := range sc.Candidates {
		failsFast := c.ErrorRate > 0 && c.ErrorLatency < fastErrorFraction*sc.PoolMedian
		if !failsFast || c.Latency == 0 || c.BatchSize == 0 || len(c.InFlight)+len(c.Queue) >= sc.capacity(c) {
			continue
		}
		if expected := c.Latency + c.ErrorLatency*c.ErrorRate/max(1-c.ErrorRate, epsilon); expected < shortest {
			best, size, shortest = c, c.BatchSize, expected
		}
	}
	return best, size
}

// tier ranks a replica for a subquery. Replicas of a worse tier are skipped while there is one of a better
// tier: 0 is the best, 1 has no capacity now or is in reserve, 2 is overdue, unreachable or unhealthy, 3
// has been tried for this subquery.
func (sc *Scheduler) tier(s *cluster.Server, sub *cluster.Subquery) int {
	tried := slices.ContainsFunc(sub.Attempts, func(a *cluster.Attempt) bool { return a.Server == s })
	n := len(s.InFlight) + len(s.Queue)
	// An unhealthy server is tried with first attempts only and one at a time, and rarely if this instance
	// sends to it rarely. A trial that is queued remains a trial.
	trial := len(sub.Attempts) == 0 && (n == 1 && sub.QueueIndex >= 0 && sub.Server == s ||
		n == 0 && sc.Now-s.FailedAt >= sc.recordHalfLife(failureHalfLife)-failureHalfLife)
	switch {
	case tried:
		return 3
	case sc.hasOverdue(s) || sc.Zones[s.Zone].Unreachable || sc.suspectZone(&sc.Zones[s.Zone]):
		return 2
	case !sc.healthy(s) && !trial:
		return 2
	case !sc.sendable(s) || n >= sc.capacity(s) && !trial || s.InReserve && len(sub.Attempts) == 0:
		return 1
	}
	return 0
}

// pickReplica chooses a replica for one subquery. It returns nil if none accepts subqueries.
func (sc *Scheduler) pickReplica(sub *cluster.Subquery) *cluster.Server {
	sc.SingleSubquery[0] = sub
	s, _ := sc.chooseReplica(sc.SingleSubquery[:])
	return s
}

// turnWeight returns a server's weight in the rotation: its health times its nominal capacity.
func (sc *Scheduler) turnWeight(s *cluster.Server) float64 {
	return max(sc.weight(s), minWeight) * s.Nominal
}

// sendable reports whether the server accepts subqueries and, in slow start, its next one is due.
func (sc *Scheduler) sendable(s *cluster.Server) bool {
	return sc.accepts(s) && sc.Now >= sc.sendableFrom(s)
}

// accepts reports whether subqueries may be queued for a server. In slow start they may have to wait there.
func (sc *Scheduler) accepts(s *cluster.Server) bool {
	return s.Listed && s.State == decision.Ready && sc.Now >= s.BackoffUntil
}

// sendableFrom returns when the next subquery may be sent to a server.
func (sc *Scheduler) sendableFrom(s *cluster.Server) time.Duration {
	return max(s.SentAt, s.Started, s.SlowStartFrom) + curve.Duration(sc.sendInterval(s))
}

// sendInterval returns the least time in seconds between subqueries that this instance sends to a server
// in slow start. It is the interval at which a server past its slow start answers this instance, divided
// by the fraction of its capacity that the server has and by the overload multiple. It is 0 for a server
// past its slow start.
func (sc *Scheduler) sendInterval(s *cluster.Server) float64 {
	if w := sc.slowStartShare(s); w < 1 {
		return 1 / (w * sc.ServerRate * s.Nominal * sc.Settings.Rules.OverloadMultiple)
	}
	return 0
}

// expectedLatency returns the latency in seconds of a subquery queued for the server now: the wait until
// the server may be sent anything, the time to drain its queue, and the server's own latency.
func (sc *Scheduler) expectedLatency(s *cluster.Server) float64 {
	latency := s.LatencyNow(sc.ServerMedian, sc.Now, sc.recordHalfLife(latencyHalfLife))
	wait := curve.Seconds(max(sc.sendableFrom(s)-sc.Now, 0))
	return wait + latency + float64(len(s.Queue))*max(latency/float64(sc.capacity(s)), sc.sendInterval(s))
}

// onList applies an update of the server list.
func (sc *Scheduler) onList(e decision.ServerList) {
	if !sc.ListReceived(e.Kind) {
		return
	}
	sc.ApplyServerList(e, func(s *cluster.Server, i decision.ServerInfo) {
		if s.Listed && s.State == decision.Ready && (i.State == decision.Deregistered || i.Started > s.Started) {
			s.CrashedAt = sc.Now // it did not drain, as it would for a planned restart
		}
		if s.Started != i.Started { // a new process: the records of the old one do not apply
			s.FailureRate, s.Latency, s.Cap, s.LastTurn = 0, 0, initialCap, sc.Turn
			s.TieBreak = 1 + sc.RNG.Float64() // so that instances that start together begin at different servers
		}
	})
	// A subset needs fewer connections, and each of its servers gives more answers to learn from.
	sc.SelectSubset(maxSubsetDeviation, sc.slowStartShare)
}
