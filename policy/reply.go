package policy

import (
	"math"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/mem/cluster"
	"pulleygw.example/pulleygw/internal/shared/curve"
)

// Answers: complete, partial or none, and what the passing of time alone brings.

// reply answers a query when it is time to: completely as soon as it can be, partially when waiting longer
// would miss the latency target. It ends the query when what is missing can no longer come.
func (sc *Scheduler) reply(q *cluster.Query) {
	if q.Ended || !q.Admitted || len(q.Current) < q.Awaited || len(q.Current) == 0 && q.Step == 1 {
		return
	}
	progress := cluster.ProgressOf(q)
	need, floor := q.Spec.Need, q.Spec.Floor
	if q.Step == 2 {
		progress.Answered *= q.FirstWeight // a fraction of the page, out of what was ranked
		progress.Attainable *= q.FirstWeight
		need = 1
		if q.Spec.Floor >= q.Spec.Need {
			floor = 1
		}
	}
	complete := progress.Answered >= need-weightSlip
	if q.Step == 2 || need == 1 {
		complete = progress.Done == len(q.Current)
	}
	partial := floor < need && progress.Answered >= floor-weightSlip
	decided := progress.Failed+progress.Done == len(q.Current)
	targetReached := sc.Now >= sc.answerBy(q)
	unattainable := progress.Attainable < floor-weightSlip
	switch {
	case complete:
	case partial && (targetReached || decided):
	case unattainable || targetReached && q.Phased: // what has come and what still can is too little
		sc.abandon(q)
		return
	default:
		return
	}
	if q.Step == 1 && (q.Spec.Fetch > 0 || q.Phased) {
		sc.endFirstStep(q, complete, progress.Answered, progress.Done)
		return
	}
	sc.Emit(decision.Answer{Query: q.ID, Complete: complete && (q.Step == 1 || q.FirstComplete), Final: true})
	sc.End(q)
}

// endFirstStep answers the first of a query's two steps, to which so many subqueries of that weight have come
// in, and awaits those of the second.
func (sc *Scheduler) endFirstStep(q *cluster.Query, complete bool, weight float64, in int) {
	sc.Emit(decision.Answer{Query: q.ID, Complete: complete})
	for _, sub := range q.Current {
		if !sub.Done { // it no longer counts
			sub.Failed = true
			sc.Abort(sub)
		}
	}
	q.Step, q.Awaited, q.Current, q.FirstComplete, q.FirstWeight = 2, min(q.Spec.Fetch, in), nil, complete, 1
	if q.Phased {
		q.Awaited, q.FirstWeight = math.MaxInt, weight // until the planner says how many
	}
}

// answerBy is when an answer must leave to meet the latency target.
func (sc *Scheduler) answerBy(q *cluster.Query) time.Duration {
	return sc.stepTarget(q) - stepTicks*sc.Settings.Tick
}

// abandon ends a query without an answer: rejected where a retry by the client is harmless, else failed.
func (sc *Scheduler) abandon(q *cluster.Query) {
	ran := slices.ContainsFunc(q.All, func(sub *cluster.Subquery) bool { return sub.MayRun >= 0 })
	if q.Spec.Effect != decision.Idempotent && ran {
		sc.Emit(decision.Fail{Query: q.ID})
	} else {
		after := retryAfterLeast + curve.Duration(sc.Shed*curve.Seconds(retryAfterMost-retryAfterLeast))
		sc.Emit(decision.Reject{Query: q.ID, RetryAfter: min(after, sc.Settings.MaxRetryAfter)})
	}
	sc.End(q)
}

// sweep checks every query for what time alone brings: the client's time-out, partial answers, subqueries
// that can no longer be answered, misses and hedged requests.
func (sc *Scheduler) sweep() {
	soon := curve.Duration(sc.Baseline)
	sc.Live, sc.Wanted = slices.DeleteFunc(sc.Live, func(q *cluster.Query) bool { return q.Ended }), sc.Now+pace
	for _, q := range sc.Live {
		if at := sc.answerBy(q); at > sc.Now {
			sc.Wanted = min(sc.Wanted, at) // one sweep later would be too late
		}
		if sc.reply(q); !q.Ended && sc.Now >= q.GivesUpAt-2*sc.Settings.Tick {
			sc.abandon(q) // a partial answer would have been given at the latency target
		}
		for _, sub := range q.Current {
			if sub.Done || sub.Failed || sub.Spare || q.Ended {
				continue
			}
			if sc.Now > sub.Deadline && !sub.Replaced {
				sub.Replaced = true
				sc.useSpare(q)
			}
			if !cluster.AnyLive(sub) && q.Admitted {
				sc.checkPending(sub, soon)
			} else {
				sc.hedge(sub)
			}
		}
	}
}

// checkPending looks after a subquery with no attempt in flight: it counts a missed deadline, moves the
// subquery off a server that became unhealthy and, while load is shed, ends its query once the latency target
// is out of reach.
func (sc *Scheduler) checkPending(sub *cluster.Subquery, soon time.Duration) {
	missed := sc.Now > sub.Deadline && !sub.Late && !sub.NoBudget && len(sub.Attempts) == 0
	if missed && !sc.needsProof(sub.Parent) && !sc.Stalled {
		sub.Late = true
		sc.Missed.Add(sc.Now, 1)
		sc.Decided.Add(sc.Now, 1)
	}
	if sc.unserved(sub.Parent) {
		sc.abandon(sub.Parent)
		return
	}
	if !sc.retryable(sub) { // queued past its deduplication window: no attempt can follow
		sub.Server.Unqueue(sub)
		sc.retry(sub)
		return
	}
	if sub.QueueIndex < 0 {
		sc.assign([]*cluster.Subquery{sub})
	} else if c := sc.pick(sub); c != sub.Server &&
		(c == nil || !sc.accepts(sub.Server) || sc.healthy(c) && sc.tier(c, sub) < sc.tier(sub.Server, sub)) {
		sub.Server.Unqueue(sub) // it cannot leave here, while another replica has capacity
		sc.assign([]*cluster.Subquery{sub})
	}
	if sc.Shed > 0 && sc.Now+soon > sub.Parent.TargetAt &&
		!slices.ContainsFunc(sub.Parent.All, func(o *cluster.Subquery) bool { return len(o.Attempts) > 0 }) {
		sc.abandon(sub.Parent) // nothing was sent, so nothing is wasted
	}
}
