package policy

import (
	"math"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/mem/cluster"
	"pulleygw.example/pulleygw/internal/shared/curve"
)

// Answers, complete or partial, and the periodic check of all queries.

// reply answers a query if that is due: as soon as a complete answer is possible, or partially once waiting
// longer would miss the latency target. It abandons the query if too little can still be answered.
func (sc *Scheduler) reply(q *cluster.Query) {
	if q.Ended || !q.Admitted || len(q.Current) < q.StepSize || len(q.Current) == 0 && q.Step == 1 {
		return
	}
	progress := cluster.ProgressOf(q)
	need, floor := q.Spec.CompleteFraction, q.Spec.PartialFraction
	if q.Step == 2 {
		progress.Answered *= q.FirstStepWeight // the second step fetches only what the first step has answered
		progress.Attainable *= q.FirstStepWeight
		need = 1
		if q.Spec.PartialFraction >= q.Spec.CompleteFraction {
			floor = 1
		}
	}
	complete := progress.Answered >= need-epsilon
	if q.Step == 2 || need == 1 {
		complete = progress.Done == len(q.Current)
	}
	partial := floor < need && progress.Answered >= floor-epsilon
	decided := progress.Failed+progress.Done == len(q.Current)
	targetReached := sc.Now >= sc.answerBy(q)
	unattainable := progress.Attainable < floor-epsilon
	switch {
	case complete:
	case partial && (targetReached || decided):
	case unattainable || targetReached && q.Phased:
		sc.abandon(q)
		return
	default:
		return
	}
	if q.Step == 1 && (q.Spec.Fetch > 0 || q.Phased) {
		sc.endFirstStep(q, complete, progress.Answered, progress.Done)
		return
	}
	sc.Emit(decision.Answer{
		Query: q.ID, Complete: complete && (q.Step == 1 || q.FirstStepComplete), Final: true,
	})
	sc.End(q)
}

// endFirstStep answers the first of a query's two steps and waits for the subqueries of the second. Weight
// is the total weight, and answered the number, of the subqueries that have been answered.
func (sc *Scheduler) endFirstStep(q *cluster.Query, complete bool, weight float64, answered int) {
	sc.Emit(decision.Answer{Query: q.ID, Complete: complete})
	for _, sub := range q.Current {
		if !sub.Done { // too late to count
			sub.Failed = true
			sc.Abort(sub)
		}
	}
	q.Step, q.StepSize, q.Current, q.FirstStepComplete, q.FirstStepWeight =
		2, min(q.Spec.Fetch, answered), nil, complete, 1
	if q.Phased {
		q.StepSize, q.FirstStepWeight = math.MaxInt, weight // until the planner sets the number
	}
}

// answerBy returns when the answer of the current step must leave to meet its latency target.
func (sc *Scheduler) answerBy(q *cluster.Query) time.Duration {
	return sc.stepTarget(q) - replyMarginTicks*sc.Settings.Tick
}

// abandon ends a query without an answer. The query is rejected if a retry by the client is harmless, and
// fails otherwise.
func (sc *Scheduler) abandon(q *cluster.Query) {
	ran := slices.ContainsFunc(q.All, func(sub *cluster.Subquery) bool { return sub.FirstRunAt >= 0 })
	if q.Spec.Effect != decision.Idempotent && ran {
		sc.Emit(decision.Fail{Query: q.ID})
	} else {
		after := minRetryAfter + curve.Duration(sc.ShedFraction*curve.Seconds(maxRetryAfter-minRetryAfter))
		sc.Emit(decision.Reject{Query: q.ID, RetryAfter: min(after, sc.Settings.MaxRetryAfter)})
	}
	sc.End(q)
}

// sweep checks every query for what is due by the passing of time: the client's time-out, partial answers,
// spare subqueries, missed deadlines, retries and hedged requests.
func (sc *Scheduler) sweep() {
	expected := curve.Duration(sc.Baseline)
	sc.ActiveQueries, sc.NextSweepAt =
		slices.DeleteFunc(sc.ActiveQueries, func(q *cluster.Query) bool { return q.Ended }), sc.Now+sweepInterval
	for _, q := range sc.ActiveQueries {
		if at := sc.answerBy(q); at > sc.Now {
			sc.NextSweepAt = min(sc.NextSweepAt, at) // the sweep after that would be too late
		}
		if sc.reply(q); !q.Ended && sc.Now >= q.ClientTimeoutAt-2*sc.Settings.Tick {
			sc.abandon(q) // any partial answer was due at the latency target, which is earlier
		}
		for _, sub := range q.Current {
			if sub.Done || sub.Failed || sub.Spare || q.Ended {
				continue
			}
			if sc.Now > sub.Deadline && !sub.SpareRequested {
				sub.SpareRequested = true
				sc.useSpare(q)
			}
			if !cluster.AnyInFlight(sub) && q.Admitted {
				sc.checkPending(sub, expected)
			} else {
				sc.hedge(sub)
			}
		}
	}
}

// checkPending checks a subquery with no attempt in flight. It counts a missed deadline, moves the
// subquery from a server that has become unsuitable to another replica and, while load is shed, abandons
// its query once the latency target is out of reach. Expected is the expected latency of an attempt.
func (sc *Scheduler) checkPending(sub *cluster.Subquery, expected time.Duration) {
	missed := sc.Now > sub.Deadline && !sub.MissCounted && !sub.NoBudget && len(sub.Attempts) == 0
	if missed && !sc.needsProof(sub.Parent) && !sc.Stalled {
		sub.MissCounted = true
		sc.Missed.Add(sc.Now, 1)
		sc.Decided.Add(sc.Now, 1)
	}
	if sc.unservable(sub.Parent) {
		sc.abandon(sub.Parent)
		return
	}
	if !sc.retryable(sub) { // its deduplication window has passed while it was queued
		sub.Server.Unqueue(sub)
		sc.retry(sub)
		return
	}
	if sub.QueueIndex < 0 {
		sc.assign([]*cluster.Subquery{sub})
	} else if c := sc.pickReplica(sub); c != sub.Server &&
		(c == nil || !sc.accepts(sub.Server) || sc.healthy(c) && sc.tier(c, sub) < sc.tier(sub.Server, sub)) {
		sub.Server.Unqueue(sub) // its server accepts nothing, or another replica is better
		sc.assign([]*cluster.Subquery{sub})
	}
	if sc.ShedFraction > 0 && sc.Now+expected > sub.Parent.TargetAt &&
		!slices.ContainsFunc(sub.Parent.All, func(o *cluster.Subquery) bool { return len(o.Attempts) > 0 }) {
		sc.abandon(sub.Parent) // nothing has been sent, so no work is wasted
	}
}
