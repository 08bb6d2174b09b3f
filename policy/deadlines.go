package policy

import (
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/mem/cluster"
	"pulleygw.example/pulleygw/internal/shared/curve"
	"pulleygw.example/pulleygw/internal/shared/tailguard"
)

// Arrival of queries, and the one deadline of all subqueries of a step.

// onQuery records a new query. Its subqueries follow.
func (sc *Scheduler) onQuery(e decision.QueryArrived) {
	sc.Received.Add(sc.Now, 1)
	if sc.Queries[e.ID] != nil {
		return
	} else if e.Class < 0 || e.Class >= len(sc.Settings.Classes) {
		sc.Emit(decision.Reject{Query: e.ID}) // an unknown class: nothing has run
		return
	}
	spec := &sc.Settings.Classes[e.Class]
	q := &cluster.Query{QueryArrived: e, Spec: spec, Step: 1, Awaited: e.Subqueries, ArrivedAt: sc.Now}
	q.GivesUpAt = sc.Now + e.Remaining
	q.TargetAt = sc.Now + min(spec.LatencyTarget, e.Remaining) // never beyond the client's own time-out
	sc.Queries[e.ID], sc.Live = q, append(sc.Live, q)
}

// onSubquery records one subquery. With the last of a step, the query is admitted or rejected.
func (sc *Scheduler) onSubquery(e decision.SubqueryArrived) {
	sc.Received.Add(sc.Now, 1)
	q := sc.Queries[e.Query]
	if q == nil || sc.Subqueries[e.ID] != nil || e.Shard < 0 {
		return
	}
	sc.Seq++
	if q.Phased && q.Step == 1 {
		e.Used = 1 // one is left for the listings
	}
	sub := &cluster.Subquery{SubqueryArrived: e, Parent: q, QueueIndex: -1, MayRun: -1, Spare: e.Later}
	sub.Seq = sc.Seq
	sc.Subqueries[e.ID] = sub
	q.Current, q.All = append(q.Current, sub), append(q.All, sub)
	if len(q.Current) < q.Awaited {
		return
	}
	sc.setDeadlines(q)
	if q.Step == 1 && (sc.poisoned(q) || sc.rejects(q)) {
		sc.abandon(q)
		return
	}
	q.Admitted = true
	if q.Step == 1 && q.Spec.Need < 1 && !q.Phased {
		sc.keepSpares(q)
	}
	sc.assign(q.Current)
	sc.setDeadlines(q)
}

// onPlan applies what a search's planner decided from its answers: subqueries to send now, subqueries to
// skip, which count as done, and how many the second step has. A subquery withheld on purpose is no missed
// deadline.
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
		q.Awaited = e.Fetch
	}
	sc.assign(q.Current)
	sc.reply(q)
}

// setDeadlines gives all subqueries of a step one deadline: the latency target minus the fan-out's unloaded
// tail.
func (sc *Scheduler) setDeadlines(q *cluster.Query) {
	targetAt := sc.stepTarget(q)
	deadline, headless := tailguard.Stamp(sc.Now, targetAt, sc.FanoutTail(q, tail), maxTailFraction)
	for _, sub := range q.Current {
		sub.Deadline, sub.NoBudget = deadline, headless
		if sub.QueueIndex >= 0 {
			sub.Server.Reorder(sub)
		}
	}
}

// stepTarget is when a step should be answered: the first of two steps leaves the second its fan-out's tail.
func (sc *Scheduler) stepTarget(q *cluster.Query) time.Duration {
	if q.Step == 2 || q.Spec.Fetch == 0 && !q.Phased {
		return q.TargetAt
	}
	second := curve.Duration(sc.ListingsTail(q, tail)) + stepTicks*sc.Settings.Tick
	return q.TargetAt - min(second, (q.TargetAt-q.ArrivedAt)/2)
}

// keepSpares withholds the subqueries that a complete answer can do without, those of the shards with the
// weakest replicas. They are sent when others are late or lost.
func (sc *Scheduler) keepSpares(q *cluster.Query) {
	for _, sub := range q.Current {
		sub.Spare, sub.Strength = true, 0
		for _, s := range sc.Replicas[sub.Shard%sc.Settings.Cells] {
			if sc.sendable(s) && !sc.late(s) {
				sub.Strength += sc.turnWeight(s)
			}
		}
	}
	q.UseSpares(q.Spec.Need - weightSlip)
}

// Queues and release: earliest deadline first, up to the concurrency cap of each server.

// release sends queued subqueries, earliest deadline first, while fewer than the cap are in flight at their
// server.
func (sc *Scheduler) release() {
	for _, s := range sc.Order {
		var overBudget []*cluster.Subquery
		for len(s.Queue) > 0 && len(s.InFlight) < sc.capacity(s) && (sc.sendable(s) || !sc.accepts(s)) {
			sub := s.Dequeue()
			if !sc.accepts(s) {
				sc.assign([]*cluster.Subquery{sub})
				continue
			}
			if len(sub.Attempts) > 0 && !sub.Cheap && !sc.withinBudget(1) {
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

// fillCall sends the query's other subqueries queued for the server, up to the batch size: they share the
// call.
func (sc *Scheduler) fillCall(q *cluster.Query, s *cluster.Server) {
	other := s.Unsent(q)
	for n := 1; other != nil && sc.Settings.CallCost > 0 && n < sc.Settings.Batch && sc.sendable(s); n++ {
		s.Unqueue(other)
		sc.send(other, s)
		other = s.Unsent(q)
	}
}

// capacity is how many of our subqueries may be in flight at a server: its cap, reduced in slow start.
func (sc *Scheduler) capacity(s *cluster.Server) int { return max(int(s.Cap*sc.slowStartShare(s)), 1) }

// send starts an attempt. It enforces that nothing is sent for an ended query, that attempts and the retry
// budget are counted, and that there are further attempts only where the class allows them now.
func (sc *Scheduler) send(sub *cluster.Subquery, s *cluster.Server) {
	q := sub.Parent
	if sub.Done || q.Ended || len(sub.Attempts)+sub.Used >= q.Spec.MaxAttempts || !sc.retryable(sub) {
		return
	}
	if len(sub.Attempts) > 0 && !sub.Cheap {
		sc.Retries.Add(sc.Now, 1)
	} else if len(sub.Attempts) == 0 && !sub.NoBudget && !sub.Late {
		sc.Decided.Add(sc.Now, 1)
		if sc.wouldMiss(sub) {
			sc.Missed.Add(sc.Now, 1)
		}
	}
	idle := len(s.InFlight) == 0 && s.EndedAt > 0 && sc.Now-s.EndedAt > idleLeast
	if idle && sc.IdleConnsDead {
		sc.Emit(decision.CloseIdle{Server: s.ID})
		idle = false
	}
	if n := len(s.InFlight); n > 0 && s.InFlight[n-1].SentAt == sc.Now {
		idle = s.InFlight[n-1].Idle // in the same call
	}
	sc.Launch(sub, s, idle)
	limit := max(q.GivesUpAt-sc.Now, sc.Settings.Tick)
	sc.Emit(decision.Send{Subquery: sub.ID, Server: s.ID, Limit: limit})
}
