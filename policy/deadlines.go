package policy

import (
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/mem/cluster"
	"pulleygw.example/pulleygw/internal/shared/curve"
	"pulleygw.example/pulleygw/internal/shared/tailguard"
)

// Arrival of queries, and the deadline that all subqueries of a step share.

// onQuery records a new query. Its subqueries arrive as separate events.
func (sc *Scheduler) onQuery(e decision.QueryArrived) {
	sc.Received.Add(sc.Now, 1)
	if sc.Queries[e.ID] != nil {
		return
	} else if e.Class < 0 || e.Class >= len(sc.Settings.Classes) {
		sc.Emit(decision.Reject{Query: e.ID}) // unknown class; nothing has run, so a retry is harmless
		return
	}
	spec := &sc.Settings.Classes[e.Class]
	q := &cluster.Query{QueryArrived: e, Spec: spec, Step: 1, StepSize: e.Subqueries, ArrivedAt: sc.Now}
	q.ClientTimeoutAt = sc.Now + e.Remaining
	q.TargetAt = sc.Now + min(spec.LatencyTarget, e.Remaining) // no later than the client's time-out
	sc.Queries[e.ID], sc.ActiveQueries = q, append(sc.ActiveQueries, q)
}

// onSubquery records one subquery. When the last one of a step has arrived, the query is admitted or
// rejected and the step's subqueries are assigned to replicas.
func (sc *Scheduler) onSubquery(e decision.SubqueryArrived) {
	sc.Received.Add(sc.Now, 1)
	q := sc.Queries[e.Query]
	if q == nil || sc.Subqueries[e.ID] != nil || e.Shard < 0 {
		return
	}
	sc.Seq++
	if q.Phased && q.Step == 1 {
		e.UsedAttempts = 1 // reserves one attempt for the second step
	}
	sub := &cluster.Subquery{SubqueryArrived: e, Parent: q, QueueIndex: -1, FirstRunAt: -1, Spare: e.Deferred}
	sub.Seq = sc.Seq
	sc.Subqueries[e.ID] = sub
	q.Current, q.All = append(q.Current, sub), append(q.All, sub)
	if len(q.Current) < q.StepSize {
		return
	}
	sc.setDeadlines(q)
	if q.Step == 1 && (sc.poisoned(q) || sc.shouldReject(q)) {
		sc.abandon(q)
		return
	}
	q.Admitted = true
	if q.Step == 1 && q.Spec.CompleteFraction < 1 && !q.Phased {
		sc.withholdSpares(q)
	}
	sc.assign(q.Current)
	sc.setDeadlines(q)
}

// onPlan applies a decision of a phased query's planner: subqueries to send now, subqueries to skip, which
// count as done, and the number of subqueries of the second step. A subquery that was withheld until after
// its deadline does not count as a miss.
func (sc *Scheduler) onPlan(q *cluster.Query, e decision.Planned) {
	if q == nil {
		return
	}
	for _, sub := range q.Current {
		if slices.Contains(e.Skip, sub.ID) {
			sc.Abort(sub)
			sub.Done, sub.Failed, sub.Server = true, false, nil
		} else if sub.Spare && slices.Contains(e.Request, sub.ID) {
			sub.Spare, sub.NoBudget = false, sub.Deadline <= sc.Now
		}
	}
	if q.Step == 2 {
		q.StepSize = e.Fetch
	}
	sc.assign(q.Current)
	sc.reply(q)
}

// setDeadlines gives all subqueries of the current step the same deadline: the step's latency target minus
// the tail latency of the fan-out on unloaded servers.
func (sc *Scheduler) setDeadlines(q *cluster.Query) {
	targetAt := sc.stepTarget(q)
	deadline, noBudget := tailguard.QueueingDeadline(
		sc.Now, targetAt, sc.FanoutTail(q, tailPercentile), maxTailFraction)
	for _, sub := range q.Current {
		sub.Deadline, sub.NoBudget = deadline, noBudget
		if sub.QueueIndex >= 0 {
			sub.Server.Reorder(sub)
		}
	}
}

// stepTarget returns when the current step should be answered. The first of two steps leaves the second the
// tail latency of its fan-out, but no more than half of the time.
func (sc *Scheduler) stepTarget(q *cluster.Query) time.Duration {
	if q.Step == 2 || q.Spec.Fetch == 0 && !q.Phased {
		return q.TargetAt
	}
	second := curve.Duration(sc.SecondStepTail(q, tailPercentile)) + replyMarginTicks*sc.Settings.Tick
	return q.TargetAt - min(second, (q.TargetAt-q.ArrivedAt)/2)
}

// withholdSpares withholds the subqueries that a complete answer can do without. These are the subqueries
// of the shards whose replicas have the lowest total weight. They are sent when others are late or have
// failed.
func (sc *Scheduler) withholdSpares(q *cluster.Query) {
	for _, sub := range q.Current {
		sub.Spare, sub.ReplicaWeight = true, 0
		for _, s := range sc.Replicas[sub.Shard%sc.Settings.Cells] {
			if sc.sendable(s) && !sc.hasOverdue(s) {
				sub.ReplicaWeight += sc.turnWeight(s)
			}
		}
	}
	q.UseSpares(q.Spec.CompleteFraction - epsilon)
}

// Queues: subqueries leave by earliest deadline first, up to the concurrency cap of each server.

// sendQueued sends queued subqueries, earliest deadline first, up to the concurrency cap of each server.
// Those of a server that no longer accepts any are assigned anew; further attempts beyond the retry budget
// stay queued.
func (sc *Scheduler) sendQueued() {
	for _, s := range sc.SortedServers {
		var overBudget []*cluster.Subquery
		for len(s.Queue) > 0 && len(s.InFlight) < sc.capacity(s) && (sc.sendable(s) || !sc.accepts(s)) {
			sub := s.Dequeue()
			if !sc.accepts(s) {
				sc.assign([]*cluster.Subquery{sub})
				continue
			}
			if len(sub.Attempts) > 0 && !sub.CheapRetry && !sc.withinBudget(1) {
				overBudget = append(overBudget, sub)
				continue
			}
			sc.send(sub, s)
			sc.fillCall(sub.Parent, s)
		}
		for _, sub := range overBudget {
			s.Enqueue(sub)
		}
	}
}

// fillCall sends other subqueries of the query that are queued for the same server, up to the batch size,
// so that they share one call.
func (sc *Scheduler) fillCall(q *cluster.Query, s *cluster.Server) {
	other := s.FindUnsent(q)
	for n := 1; other != nil && sc.Settings.CallCost > 0 && n < sc.Settings.Batch && sc.sendable(s); n++ {
		s.Unqueue(other)
		sc.send(other, s)
		other = s.FindUnsent(q)
	}
}

// capacity returns how many of our subqueries may be in flight at a server: its cap, reduced in slow start.
func (sc *Scheduler) capacity(s *cluster.Server) int { return max(int(s.Cap*sc.slowStartShare(s)), 1) }

// send starts an attempt. It enforces that nothing is sent for an ended query or beyond MaxAttempts, that
// further attempts are sent only while the effect of the class allows them, and that they are counted in
// the retry budget.
func (sc *Scheduler) send(sub *cluster.Subquery, s *cluster.Server) {
	q := sub.Parent
	if sub.Done || q.Ended || len(sub.Attempts)+sub.UsedAttempts >= q.Spec.MaxAttempts || !sc.retryable(sub) {
		return
	}
	if len(sub.Attempts) > 0 && !sub.CheapRetry {
		sc.Retries.Add(sc.Now, 1)
	} else if len(sub.Attempts) == 0 && !sub.NoBudget && !sub.MissCounted {
		sc.Decided.Add(sc.Now, 1)
		if sc.wouldMiss(sub) {
			sc.Missed.Add(sc.Now, 1)
		}
	}
	idle := len(s.InFlight) == 0 && s.EndedAt > 0 && sc.Now-s.EndedAt > minIdleTime
	if idle && sc.IdleConnsDead {
		sc.Emit(decision.CloseIdle{Server: s.ID})
		idle = false
	}
	if n := len(s.InFlight); n > 0 && s.InFlight[n-1].SentAt == sc.Now {
		idle = s.InFlight[n-1].OnIdleConn // sent in the same call, on the same connection
	}
	sc.AddAttempt(sub, s, idle)
	limit := max(q.ClientTimeoutAt-sc.Now, sc.Settings.Tick)
	sc.Emit(decision.Send{Subquery: sub.ID, Server: s.ID, Limit: limit})
}
