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
	Spec          *decision.Class
	ArrivedAt     time.Duration
	GivesUpAt     time.Duration // when the client times out
	TargetAt      time.Duration // arrival and latency target, never after GivesUpAt
	Current       []*Subquery   // of the current step
	All           []*Subquery   // of both steps
	Step          int           // 1 or 2
	Awaited       int           // subqueries of this step, those still to arrive included
	Admitted      bool
	FirstComplete bool          // the first step ended with a complete answer
	FirstWeight   float64       // weight that the first step ended with
	Proven        bool          // a subquery has been answered: the query is no poison
	Crashes       int           // crashes at which it was in flight; those of one round of sends count once
	CrashedAt     time.Duration // the last of them
	Ended         bool
}

// Subquery is one shard's part of a query.
type Subquery struct {
	decision.SubqueryArrived
	Parent             *Query
	Server             *Server // whose queue it is in, or that was chosen last
	tailguard.QueueKey         // in the order of release
	QueueIndex         int     // index in the server's queue, -1 when not queued
	Late               bool    // counted as a missed deadline
	Spare              bool    // not sent unless others are late or lost
	Replaced           bool    // a spare was sent in its place
	Strength           float64 // total weight of its shard's replicas, to choose among spares
	Done               bool
	Attempts           []*Attempt
	MayRun             time.Duration // send time of the first attempt that may have run, -1 for none
	Failed             bool          // can no longer be answered
	Cheap              bool          // its last attempt failed fast: another one is hardly any load
}

// Attempt is one sending of a subquery.
type Attempt struct {
	Subquery       *Subquery
	Server         *Server
	Number         int // from 0
	SentAt         time.Duration
	InFlightAtSend int  // subqueries of ours in flight at the server when it was sent
	NotRun         bool // known never to have run
	Idle           bool // sent on a connection that had been idle
	Live           bool // in flight
	Rerouted       bool // cancelled to be sent elsewhere
}

// InTurn reports whether the attempt's server has answered since it was sent, but nothing that was sent later.
func (a *Attempt) InTurn() bool {
	return a.Server.AnsweredAt > a.SentAt && a.Server.AnsweredSentAt <= a.SentAt
}

// Forget drops a subquery with no attempt in flight.
func (st *State) Forget(sub *Subquery) {
	if !AnyLive(sub) {
		delete(st.Subqueries, sub.ID)
	}
}

// Fingerprint is a hash of what a query asks for. A retry of the client has the same.
func Fingerprint(q *Query) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, q.Class, q.Key) // a hash does not fail
	for _, sub := range q.Current {
		_, _ = fmt.Fprint(h, " ", sub.Shard)
	}
	return h.Sum64()
}

// Pending reports whether a subquery of the query is queued, or in flight since from or later.
func Pending(q *Query, from time.Duration) bool {
	return slices.ContainsFunc(q.All, func(sub *Subquery) bool {
		return sub.QueueIndex >= 0 || slices.ContainsFunc(sub.Attempts, func(a *Attempt) bool { return a.Live && a.SentAt >= from })
	})
}

// End removes a query from the tables. Outcomes still to come are recorded for their servers only.
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

// Launch records an attempt of the subquery at the server.
func (st *State) Launch(sub *Subquery, s *Server, idle bool) {
	a := &Attempt{Subquery: sub, Server: s, Number: len(sub.Attempts), SentAt: st.Now, Live: true, Idle: idle}
	for _, o := range s.InFlight {
		if o.SentAt < st.Now {
			a.InFlightAtSend++
		}
	}
	sub.Attempts = append(sub.Attempts, a)
	sub.Server = s
	if sub.MayRun < 0 {
		sub.MayRun = st.Now
	}
	s.InFlight = append(s.InFlight, a)
	s.SentAt = st.Now
}

// Unassigned lists those of the subqueries that have not ended and are neither queued nor in flight.
func Unassigned(subs []*Subquery) (unassigned []*Subquery) {
	for _, sub := range subs {
		if sub.QueueIndex < 0 && !sub.Done && !sub.Failed && !sub.Spare && !AnyLive(sub) {
			unassigned = append(unassigned, sub)
		}
	}
	return unassigned
}

// Abort takes a subquery off its queue and cancels its attempts in flight.
func (st *State) Abort(sub *Subquery) {
	if sub.QueueIndex >= 0 {
		sub.Server.Unqueue(sub)
	}
	for _, a := range sub.Attempts {
		if a.Live && st.Settings.Cancel {
			st.Emit(decision.Cancel{Subquery: sub.ID, Attempt: a.Number})
		}
	}
}

// InFlightAt reports whether an attempt of the subquery is in flight at the server.
func InFlightAt(sub *Subquery, s *Server) bool {
	return slices.ContainsFunc(sub.Attempts, func(a *Attempt) bool { return a.Live && a.Server == s })
}

// UpdateMayRun recomputes when the first attempt that may have run was sent.
func (sub *Subquery) UpdateMayRun() {
	sub.MayRun = -1
	if i := slices.IndexFunc(sub.Attempts, func(a *Attempt) bool { return !a.NotRun }); i >= 0 {
		sub.MayRun = sub.Attempts[i].SentAt
	}
}

// AnyLive reports whether an attempt of the subquery is in flight.
func AnyLive(sub *Subquery) bool {
	return slices.ContainsFunc(sub.Attempts, func(a *Attempt) bool { return a.Live })
}

// Progress is how far the current step of a query has come.
type Progress struct {
	Answered   float64 // weight of the subqueries that have been answered
	Attainable float64 // weight of those that have been or may still be
	Failed     int     // subqueries that cannot be answered any more
	Done       int     // subqueries that have been answered
}

// ProgressOf returns how far the current step of a query has come.
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

// Drop marks the selected subqueries as failed and the rest as not, and returns the weight of the rest.
func (q *Query) Drop(selected func(*Subquery) bool) (rest float64) {
	for _, sub := range q.Current {
		if sub.Failed = selected(sub); !sub.Failed {
			rest += sub.Weight
		}
	}
	return rest
}

// UseSpare returns the spare subquery whose shard has the strongest replicas, and makes it an ordinary one. It
// returns nil if there is none.
func (q *Query) UseSpare() (best *Subquery) {
	for _, sub := range q.Current {
		if sub.Spare && !sub.Later && !sub.Failed && (best == nil || sub.Strength > best.Strength) {
			best = sub
		}
	}
	if best != nil {
		best.Spare = false
	}
	return best
}

// UseSpares makes the strongest spare subqueries ordinary ones until they reach the weight or none is left.
func (q *Query) UseSpares(weight float64) {
	for got := 0.0; got < weight; {
		sub := q.UseSpare()
		if sub == nil {
			return
		}
		got += sub.Weight
	}
}
