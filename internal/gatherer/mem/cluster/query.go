package cluster

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/shared/tailguard"
)

// Query is a query in progress.
type Query struct {
	decision.QueryArrived
	Spec              *decision.Class
	ArrivedAt         time.Duration
	ClientTimeoutAt   time.Duration // when the client times out
	TargetAt          time.Duration // end of the latency target, never after ClientTimeoutAt
	Current           []*Subquery   // subqueries of the current step that have arrived
	All               []*Subquery   // subqueries of both steps that have arrived
	Step              int           // 1 or 2
	StepSize          int           // number of subqueries of the current step, including those still to arrive
	Admitted          bool
	FirstStepComplete bool          // whether the answer of the first step was complete
	FirstStepWeight   float64       // total weight of the subqueries that were answered in the first step
	Proven            bool          // a subquery has been answered, so the query is no poison
	Crashes           int           // crashes while it was in flight; those of attempts sent at the same time count once
	CrashedAt         time.Duration // when Crashes was last incremented
	Ended             bool
}

// Subquery is one shard's part of a query.
type Subquery struct {
	decision.SubqueryArrived
	Parent             *Query
	Server             *Server // the server in whose queue it is, or that it was last sent to
	tailguard.QueueKey         // its position in the queue
	QueueIndex         int     // index in the server's queue, -1 when not queued
	MissCounted        bool    // counted as a missed deadline
	Spare              bool    // withheld until others are late or have failed
	SpareRequested     bool    // late, and a spare has been requested in its place
	ReplicaWeight      float64 // total weight of its shard's replicas, to choose among spares
	Done               bool    // answered, or skipped by the planner
	Attempts           []*Attempt
	FirstRunAt         time.Duration // send time of the first attempt that may have run, -1 for none
	Failed             bool          // can no longer be answered
	CheapRetry         bool          // its last attempt failed fast, so that another one adds hardly any load
}

// Attempt is one sending of a subquery.
type Attempt struct {
	Subquery       *Subquery
	Server         *Server
	Number         int // from 0
	SentAt         time.Duration
	InFlightAtSend int  // other attempts in flight at the server when it was sent, without those of the same step
	NeverRan       bool // known never to have run
	OnIdleConn     bool // sent on a connection that had been idle
	InFlight       bool // sent and not ended
	Rerouted       bool // cancelled in order to send the subquery to another server
}

// AwaitsTurn reports whether the attempt's server answers in order and has not reached the attempt: it has answered
// something since the attempt was sent, but nothing that was sent later.
func (a *Attempt) AwaitsTurn() bool {
	return a.Server.AnsweredAt > a.SentAt && a.Server.AnsweredSentAt <= a.SentAt
}

// Forget drops a subquery unless an attempt of it is in flight.
func (st *State) Forget(sub *Subquery) {
	if !AnyInFlight(sub) {
		delete(st.Subqueries, sub.ID)
	}
}

// Fingerprint returns a hash of the request and of the shards of a query. A retry by the client has the same.
func Fingerprint(q *Query) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, q.Class, q.Key) // writing to a hash does not fail
	for _, sub := range q.Current {
		_, _ = fmt.Fprint(h, " ", sub.Shard)
	}
	return h.Sum64()
}

// AnyPending reports whether a subquery of the query is queued, or has an attempt in flight that was sent at or after
// from.
func AnyPending(q *Query, from time.Duration) bool {
	return slices.ContainsFunc(q.All, func(sub *Subquery) bool {
		return sub.QueueIndex >= 0 || slices.ContainsFunc(sub.Attempts, func(a *Attempt) bool { return a.InFlight && a.SentAt >= from })
	})
}

// End ends a query and removes it from the tables. Outcomes of attempts still in flight are recorded for their servers
// only.
func (st *State) End(q *Query) {
	if q == nil { // it has ended already
		return
	}
	q.Ended = true
	delete(st.Queries, q.ID)
	for _, sub := range q.All {
		st.Abort(sub)
		st.Forget(sub)
	}
}

// AddAttempt records a new attempt of the subquery at the server. Idle is true if its connection had been idle.
func (st *State) AddAttempt(sub *Subquery, s *Server, idle bool) {
	a := &Attempt{Subquery: sub, Server: s, Number: len(sub.Attempts), SentAt: st.Now, InFlight: true, OnIdleConn: idle}
	for _, o := range s.InFlight {
		if o.SentAt < st.Now {
			a.InFlightAtSend++
		}
	}
	sub.Attempts = append(sub.Attempts, a)
	sub.Server = s
	if sub.FirstRunAt < 0 {
		sub.FirstRunAt = st.Now
	}
	s.InFlight = append(s.InFlight, a)
	s.SentAt = st.Now
}

// Unassigned returns the subqueries that need a replica: not ended or withheld, and neither queued nor in flight.
func Unassigned(subs []*Subquery) (unassigned []*Subquery) {
	for _, sub := range subs {
		if sub.QueueIndex < 0 && !sub.Done && !sub.Failed && !sub.Spare && !AnyInFlight(sub) {
			unassigned = append(unassigned, sub)
		}
	}
	return unassigned
}

// Abort removes a subquery from its queue and cancels its attempts in flight, if attempts can be cancelled.
func (st *State) Abort(sub *Subquery) {
	if sub.QueueIndex >= 0 {
		sub.Server.Unqueue(sub)
	}
	for _, a := range sub.Attempts {
		if a.InFlight && st.Settings.Cancel {
			st.Emit(decision.Cancel{Subquery: sub.ID, Attempt: a.Number})
		}
	}
}

// InFlightAt reports whether an attempt of the subquery is in flight at the server.
func InFlightAt(sub *Subquery, s *Server) bool {
	return slices.ContainsFunc(sub.Attempts, func(a *Attempt) bool { return a.InFlight && a.Server == s })
}

// UpdateFirstRunAt recomputes FirstRunAt after an attempt is known never to have run.
func (sub *Subquery) UpdateFirstRunAt() {
	sub.FirstRunAt = -1
	if i := slices.IndexFunc(sub.Attempts, func(a *Attempt) bool { return !a.NeverRan }); i >= 0 {
		sub.FirstRunAt = sub.Attempts[i].SentAt
	}
}

// AnyInFlight reports whether an attempt of the subquery is in flight.
func AnyInFlight(sub *Subquery) bool {
	return slices.ContainsFunc(sub.Attempts, func(a *Attempt) bool { return a.InFlight })
}

// Progress is the progress of a query's current step.
type Progress struct {
	Answered   float64 // total weight of the subqueries that are done
	Attainable float64 // total weight of the subqueries that are done or may still be answered
	Failed     int     // number of subqueries that can no longer be answered
	Done       int     // number of subqueries that are done
}

// ProgressOf returns the progress of a query's current step.
func ProgressOf(q *Query) (p Progress) {
	for _, sub := range q.Current {
		if sub.Done {
			p.Answered += sub.Weight
			p.Done++
		}
		if sub.Failed {
			p.Failed++
		} else {
			p.Attainable += sub.Weight
		}
	}
	return p
}

// SetFailed sets Failed for the selected subqueries, clears it for the others, and returns the total weight of the
// others.
func (q *Query) SetFailed(selected func(*Subquery) bool) (rest float64) {
	for _, sub := range q.Current {
		if sub.Failed = selected(sub); !sub.Failed {
			rest += sub.Weight
		}
	}
	return rest
}

// UseSpare returns the spare subquery whose shard's replicas have the highest total weight, and makes it an ordinary
// subquery. It returns nil if there is no spare.
func (q *Query) UseSpare() (best *Subquery) {
	for _, sub := range q.Current {
		if sub.Spare && !sub.Deferred && !sub.Failed && (best == nil || sub.ReplicaWeight > best.ReplicaWeight) {
			best = sub
		}
	}
	if best != nil {
		best.Spare = false
	}
	return best
}

// UseSpares calls UseSpare until the subqueries reach a total weight or no spare is left.
func (q *Query) UseSpares(weight float64) {
	for got := 0.0; got < weight; {
		sub := q.UseSpare()
		if sub == nil {
			return
		}
		got += sub.Weight
	}
}
