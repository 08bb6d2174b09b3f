package policy

import (
	"slices"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/mem/cluster"
	"pulleygw.example/pulleygw/internal/shared/curve"
)

// Outcomes of attempts, and what they show about servers, connections and zones.

// onOutcome ends an attempt, records what its outcome shows about the server and the network path to it,
// and continues its subquery.
func (sc *Scheduler) onOutcome(e decision.Outcome) {
	sub := sc.Subqueries[e.Subquery]
	if sub == nil || e.Attempt < 0 || e.Attempt >= len(sub.Attempts) || !sub.Attempts[e.Attempt].InFlight {
		return
	}
	a := sub.Attempts[e.Attempt]
	sc.endAttempt(a, e.Status)
	age := curve.Seconds(sc.Now - a.SentAt)
	if sc.Stalled && e.Latency > 0 { // measured by the host on arrival, so that our own stall is not included
		age = min(age, curve.Seconds(e.Latency))
	}
	overdue := age > min(sc.PoolTail, lateMultiple*sc.PoolMedian)+sc.excessLatency()
	if e.Status == decision.OK {
		sc.recordLoss(a, 0)
	} else if overdue && e.Status != decision.NotSent {
		sc.recordLoss(a, 1)
	}
	z := &sc.Zones[a.Server.Zone]
	noReply := e.Status == decision.Cancelled || e.Status == decision.NotSent
	z.RecordOutcome(age >= lateMultiple*sc.PoolMedian || e.Status == decision.ConnectFailed, !noReply)
	sc.recordAtServer(a, e.Status, age, overdue)
	if e.Status == decision.Rejected || e.Status == decision.ConnectFailed || e.Status == decision.NotSent {
		a.NeverRan = true
		sub.UpdateFirstRunAt()
	}
	if sub.Parent.Ended {
		sc.Forget(sub)
		return
	}
	sub.CheapRetry = e.Status == decision.Error && age < fastErrorFraction*sc.PoolMedian &&
		!sc.Settings.Rules.BudgetEnabled
	sc.continueSubquery(sub, a, e.Status)
}

// endAttempt removes an attempt from those in flight at its server and updates when the server last
// answered.
func (sc *Scheduler) endAttempt(a *cluster.Attempt, status decision.Status) {
	s := a.Server
	a.InFlight, s.EndedAt = false, sc.Now
	s.RemoveAttempt(a)
	if status == decision.OK || status == decision.Error || status == decision.Rejected {
		s.AnsweredAt, s.AnsweredSentAt = sc.Now, max(s.AnsweredSentAt, a.SentAt)
	}
}

// recordAtServer records what an outcome shows about the attempt's server. Outcomes that are caused by the
// network path or by a dead idle connection do not count against the server. Age is in seconds.
func (sc *Scheduler) recordAtServer(a *cluster.Attempt, status decision.Status, age float64, overdue bool) {
	s := a.Server
	switch {
	case status != decision.Rejected && sc.suspectZone(&sc.Zones[s.Zone]):
	case status == decision.OK:
		sc.Answered.Add(sc.Now, 1)
		s.ErrorRate -= errorWeight * s.ErrorRate
		sc.recordOutcome(s, true, 1)
		sc.recordLatency(s, age, a.InFlightAtSend < loadedInFlight)
	case a.OnIdleConn && sc.IdleConnsDead:
	case status == decision.Cancelled:
		if overdue { // otherwise a slow server would keep a good record, as its attempts are cancelled
			weight := cancelWeight * curve.Seconds(sc.recordHalfLife(failureHalfLife)) /
				curve.Seconds(failureHalfLife)
			sc.recordOutcome(s, false, min(weight, maxCancelWeight))
			sc.recordLatency(s, age, false)
		}
	case status != decision.NotSent:
		sc.recordFailure(s, status, age)
	}
}

// recordFailure records a failed attempt at a server. Age is in seconds.
func (sc *Scheduler) recordFailure(s *cluster.Server, status decision.Status, age float64) {
	sc.recordOutcome(s, false, 1)
	switch status {
	case decision.Error:
		s.RecordError(age, latencyWeight, errorWeight)
	case decision.ConnectFailed:
		s.SlowStartFrom = sc.Now // it may restart before the server list says so
		if s.ResetAt > 0 && sc.Now-s.ResetAt < crashWindow && s.State == decision.Ready {
			s.CrashedAt = sc.Now
		}
	case decision.Rejected: // it would reject the next one too, until it has capacity again
		backoff := sc.PoolMedian
		if sc.Settings.Instances >= manyInstancesFrom { // it stays full if all instances return sooner than usual
			backoff = max(backoff, min(1/max(sc.ServerRate, epsilon), maxRejectBackoff))
		}
		s.BackoffUntil = sc.Now + curve.Duration(backoff)
	case decision.Reset: // by itself no crash: a single connection may break
		s.ResetAt = sc.Now
	}
}

// continueSubquery continues a subquery one of whose attempts has ended.
func (sc *Scheduler) continueSubquery(sub *cluster.Subquery, a *cluster.Attempt, status decision.Status) {
	q := sub.Parent
	if status == decision.Reset {
		sc.onCrash(q, a)
	}
	if status == decision.OK {
		sub.Done = true
		sc.Abort(sub)
		if !q.Proven { // other subqueries may have been waiting for the first answer
			q.Proven = true
			sc.assign(q.Current)
		}
		sc.reply(q)
	} else if !sub.Done && !q.Ended && !cluster.AnyInFlight(sub) && sub.QueueIndex < 0 {
		sc.retry(sub)
	}
}

// recordLoss records whether an attempt was lost (1) or answered (0). If attempts on connections that had
// been idle are lost while others are answered, idle connections have died without notice. Then idle
// connections are closed before use until their loss rate has decayed.
func (sc *Scheduler) recordLoss(a *cluster.Attempt, lost float64) {
	if a.InFlightAtSend > 0 {
		return // the attempt may share a connection with others, which may have blocked it
	}
	rate := &sc.LossRate[0]
	if a.OnIdleConn {
		rate = &sc.LossRate[1]
	}
	*rate += lossWeight * (lost - *rate)
	dead := sc.LossRate[1] > minIdleLossRate && sc.LossRate[1] > idleLossMultiple*sc.LossRate[0]
	if dead && !sc.IdleConnsDead {
		for _, s := range sc.SortedServers {
			s.FailureRate = 0 // the failures were those of the connections
		}
		sc.SetFlag(&sc.IdleConnsDead, dead, "idle connections dead=%v")
	}
}

// Zones: a slow or lossy network path to a zone makes all its servers look slow or failing at once.

// suspectZone reports whether the network path to a zone is suspect: many subqueries in a row had a slow
// outcome or are overdue, while another zone is not affected.
func (sc *Scheduler) suspectZone(z *cluster.Zone) bool {
	slow := func(z cluster.Zone) bool { return z.SlowOutcomes+z.OverdueAttempts >= suspectOutcomes }
	otherOK := slices.ContainsFunc(sc.Zones, func(o cluster.Zone) bool { return len(o.Servers) > 0 && !slow(o) })
	return sc.Settings.HealthChecks && otherOK && (z.Unreachable || slow(*z) && sc.Now > z.ReachableUntil)
}

// checkZones sends health checks to the servers of suspect zones. It goes through a zone's servers in
// turn, so that a single dead server does not make the zone unreachable. An overloaded server answers a
// health check, while a broken network path loses it.
func (sc *Scheduler) checkZones() {
	for i := range sc.Zones {
		z := &sc.Zones[i]
		if !sc.suspectZone(z) || sc.Now < z.CheckAt || len(z.Servers) == 0 {
			continue
		}
		z.CheckAt, z.CheckIndex = sc.Now+zoneCheckInterval, z.CheckIndex+1
		sc.Emit(decision.HealthCheck{Server: z.Servers[z.CheckIndex%len(z.Servers)].ID})
	}
}

// onHealthCheck records the result of a health check. While a zone is unreachable its servers are skipped,
// and outcomes there do not count against them. One successful check ends this.
func (sc *Scheduler) onHealthCheck(z *cluster.Zone, ok bool) {
	if z.FailedChecks++; ok {
		z.FailedChecks, z.SlowOutcomes, z.ReachableUntil = 0, 0, sc.Now+zoneReachableFor
	}
	sc.SetFlag(&z.Unreachable, z.FailedChecks >= unreachableChecks, "far=%v zone=%d", z.Number)
}
