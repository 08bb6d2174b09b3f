package policy

import (
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/mem/cluster"
	"pulleygw.example/pulleygw/internal/shared/curve"
)

// Replica selection: weighted turns among the replicas, which of them are skipped, and which accept anything.

// assign chooses replicas for subqueries that have none. Where calls cost, subqueries share a call and its
// turn.
func (sc *Scheduler) assign(subs []*cluster.Subquery) {
	pending := cluster.Unassigned(subs)
	if len(pending) > 0 && sc.needsProof(pending[0].Parent) {
		if cluster.Pending(pending[0].Parent, sc.Now-curve.Duration(proveWait*sc.Typical)) {
			return
		}
		fewest := func(a, b *cluster.Subquery) int { return len(a.Attempts) - len(b.Attempts) }
		pending = []*cluster.Subquery{slices.MinFunc(pending, fewest)}
	}
	for len(pending) > 0 {
		first := pending[0].Prefer
		s, cover := sc.choose(pending)
		if s == nil { // no replica accepts anything now: wait for one
			pending = pending[1:]
			continue
		}
		sc.Turn, s.Turn = sc.Turn+1, sc.Turn+1
		pending = slices.DeleteFunc(pending, func(sub *cluster.Subquery) bool {
			taken := cover > 0 && sc.Serves(s, sub.Shard) && !cluster.InFlightAt(sub, s) && sub.Prefer == first
			if taken {
				s.Enqueue(sub)
				cover--
			}
			return taken
		})
	}
}

// choose returns the replica whose turn it is, of the best tier for the first subquery, and how many of the
// subqueries it covers.
func (sc *Scheduler) choose(subs []*cluster.Subquery) (best *cluster.Server, cover int) {
	if sc.Settings.CallCost == 0 {
		subs = subs[:1]
	}
	sc.CollectCandidates(subs, sc.accepts)
	bestTier, bestWait := 0, 0.0
	for _, c := range sc.Candidates {
		if c.ID == subs[0].Prefer && c.Cover > 0 && sc.tier(c, subs[0]) == 0 {
			return c, c.Cover // it has the versions that were ranked
		}
		if c.Cover == 0 || best != nil && c.Cover < cover && bestTier == 0 {
			continue
		}
		tier, wait := sc.tier(c, subs[0]), (float64(sc.Turn-c.Turn)+c.TieBreak)*sc.turnWeight(c)
		if tier == 1 { // all have a queue: the shortest, by expected time
			wait = 1 / sc.expected(c)
		}
		if best == nil || tier < bestTier ||
			tier == bestTier && (c.Cover > cover || c.Cover == cover && wait > bestWait) {
			best, cover, bestTier, bestWait = c, c.Cover, tier, wait
		}
	}
	return sc.preferFastErrors(best, cover, subs[0])
}

// preferFastErrors replaces a choice by a server that fails fast on some requests, where retrying there until
// it answers takes less than the queue at the chosen server: else one healthy server would carry all the
// load. It does not apply to the last attempt.
func (sc *Scheduler) preferFastErrors(
	best *cluster.Server, cover int, sub *cluster.Subquery,
) (*cluster.Server, int) {
	if best == nil || len(sub.Attempts) > sub.Parent.Spec.MaxAttempts-sub.Used-2 || sc.Settings.Rules.BudgetOn {
		return best, cover
	}
	soonest := sc.expected(best)
	for _, c := range sc.Candidates {
		quick := c.ErrorRate > 0 && c.ErrorLatency < errorQuick*sc.Typical
		if !quick || c.Latency == 0 || c.Cover == 0 || len(c.InFlight)+len(c.Queue) >= sc.capacity(c) {
			continue
		}
		if takes := c.Latency + c.ErrorLatency*c.ErrorRate/max(1-c.ErrorRate, weightSlip); takes < soonest {
			best, cover, soonest = c, c.Cover, takes
		}
	}
	return best, cover
}

// tier ranks a replica for a subquery, 0 the best. Replicas of a worse tier are skipped while a better one is
// there: 1 has no capacity now or is in reserve, 2 is late, unreachable or unhealthy, 3 has been tried.
func (sc *Scheduler) tier(s *cluster.Server, sub *cluster.Subquery) int {
	tried := slices.ContainsFunc(sub.Attempts, func(a *cluster.Attempt) bool { return a.Server == s })
	n := len(s.InFlight) + len(s.Queue)
	// A trial of an unhealthy server is for first attempts and, with many instances, rare. A queued trial stays
	// one.
	trial := len(sub.Attempts) == 0 && (n == 1 && sub.QueueIndex >= 0 && sub.Server == s ||
		n == 0 && sc.Now-s.FailedAt >= sc.memory(failureHalf)-failureHalf)
	switch {
	case tried:
		return 3
	case sc.late(s) || sc.Zones[s.Zone].Unreachable || sc.suspectZone(&sc.Zones[s.Zone]):
		return 2
	case !sc.healthy(s) && !trial:
		return 2
	case !sc.sendable(s) || n >= sc.capacity(s) && !trial || s.Reserve && len(sub.Attempts) == 0:
		return 1
	}
	return 0
}

// pick chooses a replica for one subquery.
func (sc *Scheduler) pick(sub *cluster.Subquery) *cluster.Server {
	sc.Single[0] = sub
	s, _ := sc.choose(sc.Single[:])
	return s
}

// turnWeight is a server's weight in the rotation, by its size.
func (sc *Scheduler) turnWeight(s *cluster.Server) float64 {
	return max(sc.weight(s), minWeight) * s.Nominal
}

// sendable reports whether a server may be sent another subquery now.
func (sc *Scheduler) sendable(s *cluster.Server) bool {
	return sc.accepts(s) && sc.Now >= sc.sendableFrom(s)
}

// accepts reports whether subqueries may be queued for a server. In slow start the next one may have to wait.
func (sc *Scheduler) accepts(s *cluster.Server) bool {
	return s.Listed && s.State == decision.Ready && sc.Now >= s.BackoffUntil
}

// sendableFrom is when a server's next subquery may leave.
func (sc *Scheduler) sendableFrom(s *cluster.Server) time.Duration {
	return max(s.SentAt, s.Started, s.SlowStartFrom) + curve.Duration(sc.sendInterval(s))
}

// sendInterval is the least time in seconds between subqueries sent to a server in slow start, within this
// instance's share of its capacity: the interval at which a warm server answers us, longer the less it has
// warmed up.
func (sc *Scheduler) sendInterval(s *cluster.Server) float64 {
	if w := sc.slowStartShare(s); w < 1 {
		return 1 / (w * sc.ServerRate * s.Nominal * sc.Settings.Rules.OverloadMultiple)
	}
	return 0
}

// expected is the latency in seconds of a subquery given to a server now: its latency and that of its queue
// here.
func (sc *Scheduler) expected(s *cluster.Server) float64 {
	takes := s.LatencyNow(sc.Median, sc.Now, sc.memory(latencyHalf))
	until := curve.Seconds(max(sc.sendableFrom(s)-sc.Now, 0))
	return until + takes + float64(len(s.Queue))*max(takes/float64(sc.capacity(s)), sc.sendInterval(s))
}

// onList applies an update of the server list.
func (sc *Scheduler) onList(e decision.ServerList) {
	if !sc.ListReceived(e.Kind) {
		return
	}
	sc.Apply(e, func(s *cluster.Server, i decision.ServerInfo) {
		if s.Listed && s.State == decision.Ready && (i.State == decision.Deregistered || i.Started > s.Started) {
			s.CrashedAt = sc.Now // a planned restart drains first
		}
		if s.Started != i.Started { // a new process: what was learned of the old one is void
			s.FailureRate, s.Latency, s.Cap, s.Turn = 0, 0, capStart, sc.Turn
			s.TieBreak = 1 + sc.RNG.Float64() // else all instances that start would begin at the same servers
		}
	})
	sc.SelectSubset(uneven, sc.slowStartShare) // fewer connections, and fewer servers to learn about
}
