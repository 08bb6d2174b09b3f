// Package cluster holds the state of one scheduler: tables of queries, subqueries, attempts, servers and zones, and the
// operations that keep them consistent. It decides nothing, does no I/O and has no clock: every parameter comes from
// package policy, by Tuning or by call.
package cluster

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/shared/curve"
)

// State is the state of one scheduler. It is not safe for concurrent use. Durations are the host's clock.
type State struct {
	Tuning   Tuning
	Settings decision.Settings
	RNG      *rand.Rand
	Now      time.Duration
	Actions  []decision.Action // of the current step

	Queries    map[decision.QueryID]*Query
	Live       []*Query // in order of arrival; ended ones until the next sweep
	Subqueries map[decision.SubqueryID]*Subquery
	Seq        uint64 // of the last subquery

	Servers  map[decision.ServerID]*Server
	Order    []*Server   // by ID
	Replicas [][]*Server // by cell, the servers that hold the shards that begin there, by ID
	Turn     uint64      // of the rotation among replicas

	Candidates []*Server    // of the current choice of a replica
	Choice     uint64       // number of that choice
	Single     [1]*Subquery // scratch: a choice for one subquery
	Product    []float64    // scratch: product of CDFs
	Scratch    []float64

	Answered    curve.SlidingSum // subqueries answered by any server
	StartedAt   time.Duration    // first step
	PoolChanged bool             // Pool has changed since PoolCDF was computed
	Pool        *curve.Histogram // latencies of all servers
	PoolCDF     []float64
	Surveyed    time.Duration // time of the last survey of all servers, -1 for none
	Typical     float64       // median of the pool, seconds
	TailLatency float64       // tail percentile of the pool, seconds
	Median      float64       // of the servers' smoothed latencies, seconds
	Baseline    float64       // the pool's median, slow to rise, seconds
	ServerRate  float64       // subqueries per second that a warm server of nominal size 1 answers us

	Stalled        bool          // this step comes long after it was due
	WakeAt, Wanted time.Duration // the last WakeAt, and when the next sweep is wanted

	Zones    []Zone
	Poisoned map[uint64]time.Duration // by fingerprint, when a query last crashed servers
	Alarm    bool                     // servers have crashed lately in several zones

	Received, Retries curve.SlidingSum // queries and subqueries received, and further attempts: the retry budget
	Decided, Missed   curve.SlidingSum // subqueries of which it is known whether they missed their deadline, and misses
	Shed              float64          // fraction of queries to reject
	ShedAt            time.Duration
	Shedding          bool          // as last logged
	Wait              float64       // smoothed excess latency of healthy servers, seconds
	WaitAt            time.Duration // of the last change of Wait
	Cost              float64       // smoothed number of subqueries of a query per value
	LossRate          [2]float64    // smoothed, on busy and on idle connections
	IdleConnsDead     bool          // idle connections lose what is sent on them

	Subscribed  bool          // to the server list
	PollAt      time.Duration // of the next call for the server list, where it has to be polled
	PollBackoff time.Duration
	ListFailing bool
}

// Tuning holds the values by which package policy tunes the tables and records.
type Tuning struct {
	Tail           float64       // percentile of the tails that are read off histograms, 0 to 1
	StartTail      float64       // of the least latency target: the top of the histogram assumed before any answer
	UsualSpan      time.Duration // window of the servers' throughput
	SurveyGap      time.Duration // between surveys of all servers
	CapMin, CapMax float64       // bounds of a server's cap
}

// New returns a state without queries and servers.
func New(set decision.Settings, rng *rand.Rand, t Tuning) State {
	return State{
		Tuning: t, Settings: set.WithDefaults(), RNG: rng, Queries: map[decision.QueryID]*Query{}, Subqueries: map[decision.SubqueryID]*Subquery{},
		Servers: map[decision.ServerID]*Server{}, Pool: curve.NewRecord(), Poisoned: map[uint64]time.Duration{},
		Replicas: make([][]*Server, set.Cells), PollBackoff: pollBackoffFirst, PollAt: -1, Surveyed: -1, StartedAt: math.MaxInt64,
	}
}

// Emit appends an action for the host.
func (st *State) Emit(a decision.Action) { st.Actions = append(st.Actions, a) }

// Log emits a line for on-call staff.
func (st *State) Log(format string, args ...any) {
	st.Emit(decision.Log{Text: fmt.Sprintf(format, args...)})
}

// ApplyUpdate applies events that change settings or records.
func (st *State) ApplyUpdate(e decision.Event) {
	switch e := e.(type) {
	case decision.SettingsChanged:
		st.Settings = e.Settings.WithDefaults() // queries in flight point to the class that they arrived under
	case decision.Learned:
		st.Learn(e)
	}
}

// SetFlag sets a flag and logs a line when it changes. The new value is the first argument of the format.
func (st *State) SetFlag(flag *bool, to bool, format string, args ...any) {
	if *flag != to {
		*flag = to
		st.Log(format, append([]any{to}, args...)...)
	}
}
