package policy

import (
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/mem/cluster"
	"pulleygw.example/pulleygw/internal/shared/curve"
)

// Further attempts: retries, hedged requests and rerouting.

// retryable reports whether the effect of the subquery's class makes another attempt safe now.
func (sc *Scheduler) retryable(sub *cluster.Subquery) bool {
	c := sub.Parent.Spec
	return sub.FirstRunAt < 0 || c.Effect == decision.Idempotent ||
		c.Effect == decision.Deduplicated && sc.Now-sub.FirstRunAt < c.DeduplicationWindow-sc.Settings.Tick
}

// withinBudget reports whether the retry budget allows another attempt. Of the free attempts, which do not
// depend on the traffic, the caller may use only the given fraction.
func (sc *Scheduler) withinBudget(fraction float64) bool {
	r := sc.Settings.Rules
	free, ratio, span := defaultBudgetFree, defaultBudgetRatio, defaultBudgetSpan
	if r.BudgetEnabled {
		free, ratio, span = r.BudgetFree, r.BudgetRatio, r.BudgetSpan
	}
	used := sc.Retries.SumSince(sc.Now - span - sc.Settings.Tick) // includes attempts on the edge of the span
	return used+1 <= fraction*free+ratio*sc.Received.SumSince(sc.Now-span+sc.Settings.Tick)
}

// retry assigns a subquery whose attempts have all failed to a replica again, or marks it as failed if no
// further attempt is allowed.
func (sc *Scheduler) retry(sub *cluster.Subquery) {
	if len(sub.Attempts)+sub.UsedAttempts < sub.Parent.Spec.MaxAttempts && sc.retryable(sub) {
		subs := []*cluster.Subquery{sub}
		if sc.needsProof(sub.Parent) { // prefers another shard: the query may have crashed a server of this one
			subs = sub.Parent.Current
		}
		sc.assign(subs)
		return
	}
	sub.Failed = true
	sc.useSpare(sub.Parent)
	sc.reply(sub.Parent)
}

// useSpare sends a spare subquery, if there is one, in place of one that is late or has failed.
func (sc *Scheduler) useSpare(q *cluster.Query) {
	if sub := q.UseSpare(); sub != nil {
		sc.assign([]*cluster.Subquery{sub})
	}
}

// hedge sends a second attempt of a subquery that has been in flight too long to a healthy replica with
// capacity, if that one can still answer before the client times out. Only idempotent classes are hedged;
// attempts of other classes are cancelled first (see reroute). Each instance's hedged requests may use only
// its share of the free attempts of the retry budget; retries of failed attempts may use all of them.
func (sc *Scheduler) hedge(sub *cluster.Subquery) {
	q := sub.Parent
	attempts := len(sub.Attempts)
	waiting := sub.QueueIndex >= 0 || attempts == 0
	if sc.Stalled || sub.Done || waiting || attempts+sub.UsedAttempts >= q.Spec.MaxAttempts {
		return
	}
	latest := sub.Attempts[attempts-1]
	unproven := !q.Proven && q.Crashes > 0
	if !latest.InFlight || !sc.retryable(sub) || unproven {
		return
	}
	if !sc.Settings.Hedging || q.Spec.Effect != decision.Idempotent {
		sc.reroute(sub, latest)
		return
	}
	overloaded := sc.Settings.Rules.BudgetEnabled && sc.ShedFraction > 0 // hedging would add load
	expected := curve.Duration(sc.PoolMedian + sc.excessLatency())
	tooLate := sc.Now+expected > q.ClientTimeoutAt
	if overloaded || tooLate || !sc.hedgeDue(sub, latest) {
		return
	}
	if !sc.withinBudget(1 / float64(sc.Settings.Instances)) {
		return
	}
	s := sc.pickReplica(sub)
	if s == nil || !sc.suitsHedge(s, sub) {
		return
	}
	sc.Turn, s.LastTurn = sc.Turn+1, sc.Turn+1
	sc.send(sub, s)
}

// hedgeDue reports whether an attempt has been in flight so long that a second one is worth its cost.
// Without a configured retry budget, every attempt that would miss the latency target is hedged in time.
func (sc *Scheduler) hedgeDue(sub *cluster.Subquery, latest *cluster.Attempt) bool {
	sc.CDF(latest.Server) // updates MaxAge
	if sc.Zones[latest.Server.Zone].Unreachable {
		return true
	}
	age := curve.Seconds(sc.Now - latest.SentAt)
	missesTarget := sc.Now > sub.Deadline-curve.Duration(sc.PoolMedian)
	rationed := sc.Settings.Rules.BudgetEnabled
	late := age > latest.Server.MaxAge || !rationed && age > lateMultiple*sc.PoolMedian
	return missesTarget && late
}

// suitsHedge reports whether a hedged request of the subquery may be sent to the server. The server must be
// healthy and of the best tier. For the last missing subqueries of a query, any server that accepts one now
// and was not tried will do.
func (sc *Scheduler) suitsHedge(s *cluster.Server, sub *cluster.Subquery) bool {
	tier := sc.tier(s, sub)
	if !sc.sendable(s) || tier > 2 {
		return false
	}
	current := sub.Parent.Current
	missing := float64(len(current) - cluster.ProgressOf(sub.Parent).Done)
	fewMissing := missing <= lastSubqueriesFraction*float64(len(current))
	return fewMissing || tier == 0 && sc.healthy(s)
}

// reroute cancels an attempt that has been in flight too long, if a healthy replica can still answer in
// time. The attempt's server must have answered nothing since it was sent, or something that was sent
// later. An attempt is rerouted after twice the tail latency, or after the tail latency if twice would be
// too late. In the first step of a phased query, which the second step waits for, it is rerouted sooner. In
// other steps the healthy replica must have answered something meanwhile, unless this instance sends to
// servers rarely. The subquery is sent again once the cancellation is confirmed.
func (sc *Scheduler) reroute(sub *cluster.Subquery, a *cluster.Attempt) {
	if !sc.Settings.Cancel || a.Rerouted || a.AwaitsTurn() {
		return
	}
	sc.CDF(a.Server) // updates MaxAge
	q := sub.Parent
	expected := sc.PoolMedian + sc.excessLatency()
	s := sc.pickReplica(sub)
	age := curve.Seconds(sc.Now - a.SentAt)
	// Whether this instance sends so rarely that no other answer was to be expected meanwhile.
	sendsRarely := sc.Settings.Instances >= manyInstancesFrom && sc.ServerRate*age < 1
	until := sc.answerBy(q)
	if sendsRarely && q.Spec.PartialFraction >= q.Spec.CompleteFraction {
		until = q.ClientTimeoutAt // this class accepts late answers, but no partial ones
	}
	firstStep := q.Phased && q.Step == 1
	tooLate := sc.Now+curve.Duration(expected) > until
	if tooLate || age < sc.rerouteAge(a, firstStep, sendsRarely, expected, until) {
		return
	}
	if s == nil || sc.tier(s, sub) > 0 || !sc.healthy(s) {
		return
	}
	otherAnswers := s.AnsweredAt > a.SentAt
	if (firstStep || sendsRarely || otherAnswers) && sc.withinBudget(1) {
		a.Rerouted = true
		sc.Emit(decision.Cancel{Subquery: sub.ID, Attempt: a.Number})
	}
}

// rerouteAge returns the age in seconds at which an attempt is rerouted.
func (sc *Scheduler) rerouteAge(
	a *cluster.Attempt, firstStep, sendsRarely bool, expected float64, until time.Duration,
) float64 {
	tooLong := lateMultiple*sc.PoolMedian + sc.excessLatency()
	if firstStep {
		return tooLong
	}
	tooLong = max(a.Server.MaxAge, tooLong)
	timeToBeCertain := a.SentAt+curve.Duration(2*tooLong+expected) < until
	if !sendsRarely || timeToBeCertain {
		tooLong *= 2
	}
	return tooLong
}

// Poison queries: queries that crash every server that executes them. A query is cleared as soon as one of
// its subqueries has been answered. Servers in several zones that crash without draining raise the crash
// alarm.

// needsProof reports whether the query may have only one subquery in flight until one has been answered.
func (sc *Scheduler) needsProof(q *cluster.Query) bool {
	return !q.Proven && (q.Crashes > 0 || sc.CrashAlarm && len(q.Current) >= proofSubqueries)
}

// onCrash counts a reset connection as a crash that the query may have caused. Attempts sent before the
// last counted crash are not counted again. If the query reaches poisonCrashes and a server is known to
// have crashed lately, it is ended, and queries with the same fingerprint are rejected for poisonRetention.
func (sc *Scheduler) onCrash(q *cluster.Query, a *cluster.Attempt) {
	if q.Proven || a.SentAt < q.CrashedAt {
		return
	}
	q.Crashes, q.CrashedAt = q.Crashes+1, sc.Now
	if crashed, _ := sc.CountCrashed(sc.Now - crashWindow); crashed > 0 && q.Crashes >= poisonCrashes {
		sc.Poisoned[cluster.Fingerprint(q)] = sc.Now
		sc.Log("poison class=%d key=%x", q.Class, q.Key)
		sc.abandon(q)
	}
}

// poisoned reports whether a query with the same fingerprint was found to be poison within poisonRetention.
func (sc *Scheduler) poisoned(q *cluster.Query) bool {
	at, ok := sc.Poisoned[cluster.Fingerprint(q)]
	return ok && sc.Now-at <= poisonRetention
}
