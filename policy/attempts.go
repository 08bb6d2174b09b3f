package policy

import (
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/mem/cluster"
	"pulleygw.example/pulleygw/internal/shared/curve"
)

// Further attempts: retries, hedged requests and rerouting.

// retryable reports whether another attempt of the subquery is safe by the effect of its class.
func (sc *Scheduler) retryable(sub *cluster.Subquery) bool {
	c := sub.Parent.Spec
	return sub.MayRun < 0 || c.Effect == decision.Idempotent ||
		c.Effect == decision.Deduplicated && sc.Now-sub.MayRun < c.Window-sc.Settings.Tick
}

// withinBudget reports whether the retry budget allows another attempt. The caller may use up that fraction
// of the free attempts.
func (sc *Scheduler) withinBudget(fraction float64) bool {
	r := sc.Settings.Rules
	free, ratio, span := defaultBudgetFree, defaultBudgetRatio, defaultBudgetSpan
	if r.BudgetOn {
		free, ratio, span = r.BudgetFree, r.BudgetRatio, r.BudgetSpan
	}
	used := sc.Retries.Since(sc.Now - span - sc.Settings.Tick) // attempts on the edge of the span count
	return used+1 <= fraction*free+ratio*sc.Received.Since(sc.Now-span+sc.Settings.Tick)
}

// retry queues a subquery whose attempts have all failed, or marks it failed where no more are allowed.
func (sc *Scheduler) retry(sub *cluster.Subquery) {
	if len(sub.Attempts)+sub.Used < sub.Parent.Spec.MaxAttempts && sc.retryable(sub) {
		subs := []*cluster.Subquery{sub}
		if sc.needsProof(sub.Parent) { // another shard first: this one may have lost a server to the query
			subs = sub.Parent.Current
		}
		sc.assign(subs)
		return
	}
	sub.Failed = true
	sc.useSpare(sub.Parent)
	sc.reply(sub.Parent)
}

// useSpare sends a spare subquery, if there is one, in place of one that is late or lost.
func (sc *Scheduler) useSpare(q *cluster.Query) {
	if sub := q.UseSpare(); sub != nil {
		sc.assign([]*cluster.Subquery{sub})
	}
}

// hedge sends a second attempt of a subquery that has been in flight too long to a healthy replica with
// capacity, if it can still be of use there. Only idempotent classes are hedged: others are cancelled first
// (see reroute). The hedged requests of all instances together may use the free attempts of one; retries of
// failed ones may use any.
func (sc *Scheduler) hedge(sub *cluster.Subquery) {
	q := sub.Parent
	attempts := len(sub.Attempts)
	waiting := sub.QueueIndex >= 0 || attempts == 0
	if sc.Stalled || sub.Done || waiting || attempts+sub.Used >= q.Spec.MaxAttempts {
		return
	}
	latest := sub.Attempts[attempts-1]
	unproven := !q.Proven && q.Crashes > 0
	if !latest.Live || !sc.retryable(sub) || unproven {
		return
	}
	if !sc.Settings.Hedging || q.Spec.Effect != decision.Idempotent {
		sc.reroute(sub, latest)
		return
	}
	overloaded := sc.Settings.Rules.BudgetOn && sc.Shed > 0 // hedging would add to the load
	expected := curve.Duration(sc.Typical + sc.waitNow())
	tooLate := sc.Now+expected > q.GivesUpAt
	if overloaded || tooLate || !sc.hedgeDue(sub, latest) {
		return
	}
	if !sc.withinBudget(1 / float64(sc.Settings.Instances)) {
		return
	}
	s := sc.pick(sub)
	if s == nil || !sc.hedgesAt(s, sub) {
		return
	}
	sc.Turn, s.Turn = sc.Turn+1, sc.Turn+1
	sc.send(sub, s)
}

// hedgeDue reports whether an attempt has been in flight for so long that a second one is worth its cost.
// Without a retry budget all that will miss the latency target are hedged in time.
func (sc *Scheduler) hedgeDue(sub *cluster.Subquery, latest *cluster.Attempt) bool {
	sc.CDF(latest.Server) // updates MaxAge
	if sc.Zones[latest.Server.Zone].Unreachable {
		return true
	}
	age := curve.Seconds(sc.Now - latest.SentAt)
	missesTarget := sc.Now > sub.Deadline-curve.Duration(sc.Typical)
	rationed := sc.Settings.Rules.BudgetOn
	late := age > latest.Server.MaxAge || !rationed && age > lateTimes*sc.Typical
	return missesTarget && late
}

// hedgesAt reports whether the replica suits a hedged request: it is healthy and of the best tier. For the
// last subqueries of a query any that was not tried does.
func (sc *Scheduler) hedgesAt(s *cluster.Server, sub *cluster.Subquery) bool {
	tier := sc.tier(s, sub)
	if !sc.sendable(s) || tier > 2 {
		return false
	}
	current := sub.Parent.Current
	missing := float64(len(current) - cluster.ProgressOf(sub.Parent).Done)
	lastOnes := missing <= lastFraction*float64(len(current))
	return lastOnes || tier == 0 && sc.healthy(s)
}

// reroute cancels an attempt that has been in flight too long at a server that has answered nothing since, or
// that has answered something sent later, if a healthy replica can still answer in time: after twice the tail
// latency, or after the tail where that is too late. Scores, which the listings wait for, are rerouted
// sooner. The subquery is sent again once the cancellation is confirmed.
func (sc *Scheduler) reroute(sub *cluster.Subquery, a *cluster.Attempt) {
	if !sc.Settings.Cancel || a.Rerouted || a.InTurn() {
		return
	}
	sc.CDF(a.Server) // updates MaxAge
	q := sub.Parent
	expected := sc.Typical + sc.waitNow()
	s := sc.pick(sub)
	age := curve.Seconds(sc.Now - a.SentAt)
	seldom := sc.Settings.Instances >= seldomFrom && sc.ServerRate*age < 1 // no answer was due meanwhile
	until := sc.answerBy(q)
	if seldom && q.Spec.Floor >= q.Spec.Need {
		until = q.GivesUpAt // a late answer has some value, an incomplete one none
	}
	scores := q.Phased && q.Step == 1
	tooLate := sc.Now+curve.Duration(expected) > until
	if tooLate || age < sc.rerouteAge(a, scores, seldom, expected, until) {
		return
	}
	if s == nil || sc.tier(s, sub) > 0 || !sc.healthy(s) {
		return
	}
	overtaken := s.AnsweredAt > a.SentAt
	if (scores || seldom || overtaken) && sc.withinBudget(1) {
		a.Rerouted = true
		sc.Emit(decision.Cancel{Subquery: sub.ID, Attempt: a.Number})
	}
}

// rerouteAge is the age in seconds from which an attempt is rerouted.
func (sc *Scheduler) rerouteAge(
	a *cluster.Attempt, scores, seldom bool, expected float64, until time.Duration,
) float64 {
	tooLong := lateTimes*sc.Typical + sc.waitNow()
	if scores {
		return tooLong
	}
	tooLong = max(a.Server.MaxAge, tooLong)
	timeToBeCertain := a.SentAt+curve.Duration(2*tooLong+expected) < until
	if !seldom || timeToBeCertain {
		tooLong *= 2
	}
	return tooLong
}

// Poison queries crash the servers that execute them. One subquery that is answered clears its query, as the
// fault crashes every server. Servers that crash in several zones without having drained raise the alarm.

// needsProof reports whether only one subquery of a query may be in flight until one has been answered.
func (sc *Scheduler) needsProof(q *cluster.Query) bool {
	return !q.Proven && (q.Crashes > 0 || sc.Alarm && len(q.Current) >= proveFrom)
}

// onCrash counts the crashes at which a query was in flight. What was sent before the last one is the same
// evidence. A query that crashes again, with a server known to have crashed lately, is ended, and queries
// with the same fingerprint are rejected for a while.
func (sc *Scheduler) onCrash(q *cluster.Query, a *cluster.Attempt) {
	if q.Proven || a.SentAt < q.CrashedAt {
		return
	}
	q.Crashes, q.CrashedAt = q.Crashes+1, sc.Now
	if crashed, _ := sc.CountCrashed(sc.Now - crashSpan); crashed > 0 && q.Crashes >= poisonCrashes {
		sc.Poisoned[cluster.Fingerprint(q)] = sc.Now
		sc.Log("poison class=%d key=%x", q.Class, q.Key)
		sc.abandon(q)
	}
}

// poisoned reports whether a query with the same fingerprint has lately been found to crash servers.
func (sc *Scheduler) poisoned(q *cluster.Query) bool {
	at, is := sc.Poisoned[cluster.Fingerprint(q)]
	return is && sc.Now-at <= poisonSpan
}
