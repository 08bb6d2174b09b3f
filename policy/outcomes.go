package policy

import (
	"slices"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/mem/cluster"
	"pulleygw.example/pulleygw/internal/shared/curve"
)

// Outcomes of attempts, and what they say of servers, connections and zones.

// onOutcome ends an attempt, records what it says of its server and of the way there, and continues its
// subquery.
func (sc *Scheduler) onOutcome(e decision.Outcome) {
	sub := sc.Subqueries[e.Subquery]
	if sub == nil || e.Attempt < 0 || e.Attempt >= len(sub.Attempts) || !sub.Attempts[e.Attempt].Live {
		return
	}
	a := sub.Attempts[e.Attempt]
	sc.endAttempt(a, e.Status)
	age := curve.Seconds(sc.Now - a.SentAt)
	if sc.Stalled && e.Latency > 0 { // measured by the host on arrival: a stall of our own does not lengthen it
		age = min(age, curve.Seconds(e.Latency))
	}
	overdue := age > min(sc.TailLatency, lateTimes*sc.Typical)+sc.waitNow()
	if e.Status == decision.OK {
		sc.recordLoss(a, 0)
	} else if overdue && e.Status != decision.NotSent {
		sc.recordLoss(a, 1)
	}
	z := &sc.Zones[a.Server.Zone]
	silence := e.Status == decision.Cancelled || e.Status == decision.NotSent
	z.RecordOutcome(age >= lateTimes*sc.Typical || e.Status == decision.ConnectFailed, !silence)
	sc.recordAtServer(a, e.Status, age, overdue)
	if e.Status == decision.Rejected || e.Status == decision.ConnectFailed || e.Status == decision.NotSent {
		a.NotRun = true
		sub.UpdateMayRun()
	}
	if sub.Parent.Ended {
		sc.Forget(sub)
		return
	}
	sub.Cheap = e.Status == decision.Error && age < errorQuick*sc.Typical && !sc.Settings.Rules.BudgetOn
	sc.proceed(sub, a, e.Status)
}

// endAttempt takes an attempt out of those in flight at its server.
func (sc *Scheduler) endAttempt(a *cluster.Attempt, status decision.Status) {
	s := a.Server
	a.Live, s.EndedAt = false, sc.Now
	s.RemoveAttempt(a)
	if status == decision.OK || status == decision.Error || status == decision.Rejected {
		s.AnsweredAt, s.AnsweredSentAt = sc.Now, max(s.AnsweredSentAt, a.SentAt)
	}
}

// recordAtServer records what an outcome says of its server. An outcome that the network or a dead idle
// connection explains says nothing of it. Age is in seconds.
func (sc *Scheduler) recordAtServer(a *cluster.Attempt, status decision.Status, age float64, overdue bool) {
	s := a.Server
	switch {
	case status != decision.Rejected && sc.suspectZone(&sc.Zones[s.Zone]):
	case status == decision.OK:
		sc.Answered.Add(sc.Now, 1)
		s.ErrorRate -= errorWeight * s.ErrorRate
		sc.recordOutcome(s, true, 1)
		sc.recordLatency(s, age, a.InFlightAtSend < quietOut)
	case a.Idle && sc.IdleConnsDead:
	case status == decision.Cancelled:
		if overdue { // cancelling must not leave a slow server with a good record
			weight := cancelWeight * curve.Seconds(sc.memory(failureHalf)) / curve.Seconds(failureHalf)
			sc.recordOutcome(s, false, min(weight, cancelMost))
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
		if s.ResetAt > 0 && sc.Now-s.ResetAt < crashSpan && s.State == decision.Ready {
			s.CrashedAt = sc.Now
		}
	case decision.Rejected: // it rejects the next one too, until a slot is free
		backoff := sc.Typical
		if sc.Settings.Instances >= seldomFrom { // and stays full if all come back sooner than they otherwise would
			backoff = max(backoff, min(1/max(sc.ServerRate, weightSlip), rejectBackoffMax))
		}
		s.BackoffUntil = sc.Now + curve.Duration(backoff)
	case decision.Reset: // not a crash by itself: a connection may break alone
		s.ResetAt = sc.Now
	}
}

// proceed continues a subquery one of whose attempts has ended.
func (sc *Scheduler) proceed(sub *cluster.Subquery, a *cluster.Attempt, status decision.Status) {
	q := sub.Parent
	if status == decision.Reset {
		sc.onCrash(q, a)
	}
	if status == decision.OK {
		sub.Done = true
		sc.Abort(sub)
		if !q.Proven { // the rest of the query waited for its first answer
			q.Proven = true
			sc.assign(q.Current)
		}
		sc.reply(q)
	} else if !sub.Done && !q.Ended && !cluster.AnyLive(sub) && sub.QueueIndex < 0 {
		sc.retry(sub)
	}
}

// recordLoss records whether an attempt was lost (1) or answered (0). Where attempts on connections that had
// been idle are lost and the others are not, idle connections have died unnoticed: they are closed before
// they are used, until the loss rate has faded.
func (sc *Scheduler) recordLoss(a *cluster.Attempt, lost float64) {
	if a.InFlightAtSend > 0 {
		return // on a connection that another subquery may block
	}
	x := &sc.LossRate[0]
	if a.Idle {
		x = &sc.LossRate[1]
	}
	*x += lossWeight * (lost - *x)
	dead := sc.LossRate[1] > lossLeast && sc.LossRate[1] > lossTimes*sc.LossRate[0]
	if dead && !sc.IdleConnsDead {
		for _, s := range sc.Order {
			s.FailureRate = 0 // the failures were their connections'
		}
		sc.SetFlag(&sc.IdleConnsDead, dead, "idle connections dead=%v")
	}
}

// Zones: a slow or lossy network path to a zone makes all its servers look bad at once, the fast ones too.

// suspectZone reports whether nothing quick has come from a zone for many subqueries in a row, while another
// zone is well.
func (sc *Scheduler) suspectZone(z *cluster.Zone) bool {
	doubt := func(z cluster.Zone) bool { return z.Slow+z.Stuck >= suspectRun }
	well := slices.ContainsFunc(sc.Zones, func(o cluster.Zone) bool { return len(o.Servers) > 0 && !doubt(o) })
	return sc.Settings.HealthChecks && well && (z.Unreachable || doubt(*z) && sc.Now > z.ReachableUntil)
}

// checkZones sends health checks to a suspect zone's servers in turn, so that one dead server proves nothing.
// A busy server answers a health check and a broken path does not, which tells the one from the other.
func (sc *Scheduler) checkZones() {
	for i := range sc.Zones {
		z := &sc.Zones[i]
		if !sc.suspectZone(z) || sc.Now < z.CheckAt || len(z.Servers) == 0 {
			continue
		}
		z.CheckAt, z.Next = sc.Now+zoneCheckGap, z.Next+1
		sc.Emit(decision.HealthCheck{Server: z.Servers[z.Next%len(z.Servers)].ID})
	}
}

// onHealthCheck records the result of a health check. Servers of an unreachable zone are skipped, and not
// blamed, until a check gets through.
func (sc *Scheduler) onHealthCheck(z *cluster.Zone, ok bool) {
	if z.FailedChecks++; ok {
		z.FailedChecks, z.Slow, z.ReachableUntil = 0, 0, sc.Now+zoneReachableFor
	}
	sc.SetFlag(&z.Unreachable, z.FailedChecks >= unreachableFails, "far=%v zone=%d", z.Number)
}
