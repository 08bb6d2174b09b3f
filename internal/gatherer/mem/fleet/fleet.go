// Package fleet is what a mixer knows: tables of queries, parts, attempts, servers and zones, and how they are kept.
// It decides nothing, does no I/O and keeps no clock: every parameter comes from package policy, by Tuning or by call.
package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/shared/curve"
)

// State is what one mixer knows, and what it has been told. It is not safe for concurrent use.
type State struct {
	Tuning           Tuning
	Set              decision.Settings
	RNG              *rand.Rand
	Now              time.Duration
	Acts             []decision.Action
	Queries          map[decision.QueryID]*Query
	Live             []*Query // in order of arrival, ended ones until the next sweep
	Parts            map[decision.PartID]*Part
	Servers          map[decision.ServerID]*Server
	Order            []*Server   // by ID
	Replicas         [][]*Server // of the shards that begin at a cell, by ID
	Candidates       []*Server   // of the choice at hand
	Round            uint64      // number of that choice
	Product          []float64   // of the CDFs at hand
	Alone            [1]*Part
	Scratch          []float64
	Answered         curve.SlidingSum // parts answered by any server
	Begun            time.Duration    // first step
	News             bool             // the pool has news since poolCDF was made
	Pool             *curve.Histogram // all servers' answers
	PoolCDF          []float64
	Surveyed         time.Duration
	Typical, TailAge float64 // quantiles of the pool, seconds
	Median           float64 // of the servers' smoothed answer times
	Base             float64 // the pool's median, slow to rise
	Carried          float64 // parts a second that a warm server of size 1 answers us
	Seq              uint64
	Stalled          bool // this step comes long after it was due
	Turn             uint64
	WakeAt, Wanted   time.Duration

	Zones    []Zone
	Suspects map[uint64]time.Duration // by likeness, when a query last brought servers down
	Alarm    bool                     // servers have crashed of late, here and there

	Taken, Extras   curve.SlidingSum
	Decided, Missed curve.SlidingSum
	Shed            float64
	ShedAt, WaitAt  time.Duration
	Wait            float64 // smoothed wait at sound servers, seconds
	Cost            float64 // smoothed parts of a query by its worth
	Shedding        bool
	Lost            [2]float64 // smoothed share lost, on busy and on idle connections
	IdleDead        bool       // idle connections lose what is sent on them

	Subscribed bool
	AskAt      time.Duration
	AskWait    time.Duration
	ListBad    bool
}

// Tuning is what package policy decides of how tables and records are kept.
type Tuning struct {
	Tail           float64       // percentile of the tails that are read off records
	StartTail      float64       // of the least aim: the top of the start curve
	UsualSpan      time.Duration // what servers carry is counted so long
	SurveyGap      time.Duration // between looks at every server
	CapMin, CapMax float64       // bounds of a server's cap
}

// New makes empty tables.
func New(set decision.Settings, rng *rand.Rand, t Tuning) State {
	return State{
		Tuning: t, Set: set.Filled(), RNG: rng, Queries: map[decision.QueryID]*Query{}, Parts: map[decision.PartID]*Part{},
		Servers: map[decision.ServerID]*Server{}, Pool: curve.NewRecord(), Suspects: map[uint64]time.Duration{},
		Replicas: make([][]*Server, set.Cells), AskWait: askFirst, AskAt: -1, Surveyed: -1, Begun: math.MaxInt64,
	}
}

// Do adds to what the host is to do.
func (m *State) Do(a decision.Action) { m.Acts = append(m.Acts, a) }

// Log adds a line for the on-call staff.
func (m *State) Log(format string, args ...any) {
	m.Do(decision.Log{Text: fmt.Sprintf(format, args...)})
}

// Told applies what the host tells of itself.
func (m *State) Told(e decision.Event) {
	switch e := e.(type) {
	case decision.Retuned:
		m.Set = e.Settings.Filled() // queries in hand point to the class that they came under
	case decision.Learned:
		m.Learn(e)
	}
}

// Flip sets a state and leaves a line in the log when it changes.
func (m *State) Flip(state *bool, to bool, format string, args ...any) {
	if *state != to {
		*state = to
		m.Log(format, append([]any{to}, args...)...)
	}
}
