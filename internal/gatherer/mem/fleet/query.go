package fleet

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/shared/tailguard"
)

// Query is a query in hand. Times are the host's clock, as everywhere here.
type Query struct {
	decision.QueryArrived
	Terms      *decision.Class
	At, End    time.Duration // arrival, and when the client gives up
	AimAt      time.Duration // arrival + aim, never past end
	Current    []*Part       // of the current step
	All        []*Part       // of both steps
	Step       int
	Admitted   bool
	FirstWhole bool
	First      float64       // share that the first step ended with
	Sure       bool          // a part has come back
	Deaths     int           // crashes that it was out at, those of one sending counted once
	DiedAt     time.Duration // the last of them
	Ended      bool
	Want       int // parts of this step still to be handed over
}

// Part is one shard's share of a query.
type Part struct {
	decision.PartArrived
	Q      *Query
	Server *Server // whose queue it is in, or chosen for
	tailguard.QueueKey
	Index    int     // place in the queue, -1 when not held
	Late     bool    // counted as a miss
	Spare    bool    // not asked for unless others are late or lost
	Replaced bool    // a spare was sent in its place
	Strength float64 // of its shard's replicas
	Done     bool
	Attempts []*Attempt
	MayRun   time.Duration // send time of the first attempt that may have run, -1 for none
	Dead     bool          // can no longer be answered
	Cheap    bool          // its last attempt was an error at once: another is no load to speak of
}

// Attempt is one sending of a part.
type Attempt struct {
	P           *Part
	S           *Server
	Number      int
	At          time.Duration
	SentOut     int  // parts of ours out at the server when it was sent
	Spared      bool // known never to have run
	Idle        bool // sent on a connection that had been idle
	Live, Moved bool // out, and called off to be sent elsewhere
}

// InTurn says whether the attempt's server has answered since it was sent, and nothing that was sent later.
func (a *Attempt) InTurn() bool { return a.S.AnswerAt > a.At && a.S.PassedAt <= a.At }

// Forget drops a part that nothing more is to be heard of.
func (m *State) Forget(p *Part) {
	if !AnyLive(p) {
		delete(m.Parts, p.ID)
	}
}

// Likeness is a hash of what a query asks for: another try of it has the same.
func Likeness(q *Query) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, q.Class, q.Key)
	for _, p := range q.Current {
		fmt.Fprint(h, " ", p.Shard)
	}
	return h.Sum64()
}

// Waits says whether a part of the query is held, or is out since from or later.
func Waits(q *Query, from time.Duration) bool {
	return slices.ContainsFunc(q.All, func(p *Part) bool {
		return p.Index >= 0 || slices.ContainsFunc(p.Attempts, func(a *Attempt) bool { return a.Live && a.At >= from })
	})
}

// End removes a query from the tables; outcomes still to come are recorded for the servers' sake.
func (m *State) End(q *Query) {
	if q == nil { // gone already
		return
	}
	q.Ended = true
	delete(m.Queries, q.ID)
	for _, p := range q.All {
		m.Settle(p)
		m.Forget(p)
	}
}

// Launch records an attempt of the part at the server.
func (m *State) Launch(p *Part, s *Server, idle bool) {
	a := &Attempt{P: p, S: s, Number: len(p.Attempts), At: m.Now, Live: true, Idle: idle}
	for _, o := range s.Out {
		if o.At < m.Now {
			a.SentOut++
		}
	}
	p.Attempts = append(p.Attempts, a)
	p.Server = s
	if p.MayRun < 0 {
		p.MayRun = m.Now
	}
	s.Out = append(s.Out, a)
	s.SentAt = m.Now
}

// Unplaced lists those of the parts that are neither ended nor held nor out.
func Unplaced(parts []*Part) (left []*Part) {
	for _, p := range parts {
		if p.Index < 0 && !p.Done && !p.Dead && !p.Spare && !AnyLive(p) {
			left = append(left, p)
		}
	}
	return left
}

// Settle stops what a part has still out or held.
func (m *State) Settle(p *Part) {
	if p.Index >= 0 {
		p.Server.Unhold(p)
	}
	for _, a := range p.Attempts {
		if a.Live && m.Set.Cancel {
			m.Do(decision.Cancel{Part: p.ID, Attempt: a.Number})
		}
	}
}

// OutAt says whether an attempt of the part is out at the server.
func OutAt(p *Part, s *Server) bool {
	return slices.ContainsFunc(p.Attempts, func(a *Attempt) bool { return a.Live && a.S == s })
}

// NeverRan works out anew when the first attempt that may have run was sent.
func (p *Part) NeverRan() {
	p.MayRun = -1
	if i := slices.IndexFunc(p.Attempts, func(a *Attempt) bool { return !a.Spared }); i >= 0 {
		p.MayRun = p.Attempts[i].At
	}
}

// AnyLive says whether an attempt of the part is out.
func AnyLive(p *Part) bool {
	return slices.ContainsFunc(p.Attempts, func(a *Attempt) bool { return a.Live })
}

// Share sums the weights of the step's parts that are in, and of those that are or can still come.
func Share(q *Query) (got, can float64, lost, in int) {
	for _, p := range q.Current {
		if p.Done {
			got += p.Weight
			in++
		}
		if p.Dead {
			lost++
		} else {
			can += p.Weight
		}
	}
	return got, can, lost, in
}

// Drop gives up the parts that are to be left out, and returns what the rest weigh.
func (q *Query) Drop(out func(*Part) bool) (left float64) {
	for _, p := range q.Current {
		if p.Dead = out(p); !p.Dead {
			left += p.Weight
		}
	}
	return left
}

// UseSpare takes the query's strongest spare part, nil if it has none.
func (q *Query) UseSpare() (best *Part) {
	for _, p := range q.Current {
		if p.Spare && !p.Later && !p.Dead && (best == nil || p.Strength > best.Strength) {
			best = p
		}
	}
	if best != nil {
		best.Spare = false
	}
	return best
}

// UseSpares takes the query's strongest spare parts until they weigh so much, or none is left.
func (q *Query) UseSpares(weight float64) {
	for got := 0.0; got < weight; {
		p := q.UseSpare()
		if p == nil {
			return
		}
		got += p.Weight
	}
}
