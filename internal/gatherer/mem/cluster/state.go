// Package cluster holds the state of one scheduler: tables of queries, subqueries, attempts, servers and zones, and the
// operations that keep them consistent. The decisions are made in package policy, which passes every parameter in
// Tuning or as an argument. The package does no I/O and has no clock.
package cluster

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/shared/curve"
)

// State is the state of one scheduler. It is not safe for concurrent use. Times are those of the host's clock.
type State struct {
	Tuning   Tuning
	Settings decision.Settings
	RNG      *rand.Rand
	Now      time.Duration
	Actions  []decision.Action // of the current step

	Queries       map[decision.QueryID]*Query
	ActiveQueries []*Query // queries in order of arrival; ended ones stay until the next sweep
	Subqueries    map[decision.SubqueryID]*Subquery
	Seq           uint64 // sequence number of the last subquery that arrived

	Servers       map[decision.ServerID]*Server
	SortedServers []*Server   // sorted by ID
	Replicas      [][]*Server // by first cell of a shard, the listed servers that hold the shard, sorted by ID
	Turn          uint64      // number of the last turn in the rotation among replicas

	Candidates     []*Server    // candidates of the current selection of a replica
	SelectionSeq   uint64       // sequence number of the current selection of a replica
	SingleSubquery [1]*Subquery // scratch space for the selection for a single subquery
	CDFProduct     []float64    // scratch space for a product of CDFs
	LatencyScratch []float64    // scratch space for the latencies of all servers

	Answered     curve.SlidingSum // subqueries answered by any server
	StartedAt    time.Duration    // time of the first step
	PoolChanged  bool             // whether Pool has changed since PoolCDF was computed
	Pool         *curve.Histogram // latencies of all servers, while unloaded
	PoolCDF      []float64        // cumulative distribution of Pool
	SurveyedAt   time.Duration    // time of the last survey of all servers; -1 for none
	PoolMedian   float64          // median of Pool in seconds
	PoolTail     float64          // tail percentile of Pool in seconds
	ServerMedian float64          // median of the servers' smoothed latencies in seconds
	Baseline     float64          // the median of Pool, but slow to rise, in seconds
	ServerRate   float64          // subqueries per second that a server of nominal capacity 1, past its slow start, answers

	Stalled             bool          // whether this step comes long after it was due
	WakeAt, NextSweepAt time.Duration // the last WakeAt, and when the next sweep is due

	Zones      []Zone
	Poisoned   map[uint64]time.Duration // by fingerprint, when a query was last found to be poison
	CrashAlarm bool                     // whether servers have crashed lately in several zones

	// The retry budget.
	Received, Retries curve.SlidingSum // queries and subqueries received; further attempts sent

	// Load shedding.
	Decided, Missed curve.SlidingSum // subqueries known to have met or missed their deadline; those that missed it
	ShedFraction    float64          // fraction of queries to reject
	ShedFractionAt  time.Duration    // when that was computed
	Shedding        bool             // whether load is being shed, as last logged
	ExcessLatency   float64          // smoothed excess of healthy servers' latencies over Baseline, in seconds
	ExcessLatencyAt time.Duration    // when that last changed
	CostPerValue    float64          // smoothed number of subqueries per value of a query

	LossRate      [2]float64 // smoothed fraction of lost attempts, by connection: 0 for busy ones, 1 for idle ones
	IdleConnsDead bool       // whether attempts on idle connections are being lost

	Subscribed  bool          // whether the server list is subscribed to
	PollAt      time.Duration // when the next call for the server list is due, if it has to be polled
	PollBackoff time.Duration // back-off after the last failed call
	ListFailing bool          // whether calls for the server list fail, as last logged
}

// Tuning holds the constants of package policy that the state depends on.
type Tuning struct {
	TailPercentile      float64       // percentile that counts as the tail of latencies, 0 to 1
	InitialTailFraction float64       // longest latency assumed before any answer, as a fraction of the shortest latency target
	ThroughputWindow    time.Duration // window over which the throughput of the servers is measured
	SurveyInterval      time.Duration // time between surveys of all servers
	CapMin, CapMax      float64       // bounds of a server's concurrency cap
}

// New returns a state without queries and servers.
func New(set decision.Settings, rng *rand.Rand, t Tuning) State {
	return State{
		Tuning: t, Settings: set.WithDefaults(), RNG: rng, Queries: map[decision.QueryID]*Query{}, Subqueries: map[decision.SubqueryID]*Subquery{},
		Servers: map[decision.ServerID]*Server{}, Pool: curve.NewLatencyHistogram(), Poisoned: map[uint64]time.Duration{},
		Replicas: make([][]*Server, set.Cells), PollBackoff: initialPollBackoff, PollAt: -1, SurveyedAt: -1, StartedAt: math.MaxInt64,
	}
}

// Emit adds an action to those that the current step returns.
func (st *State) Emit(a decision.Action) { st.Actions = append(st.Actions, a) }

// Log emits a log line for on-call staff.
func (st *State) Log(format string, args ...any) {
	st.Emit(decision.Log{Text: fmt.Sprintf(format, args...)})
}

// ApplyUpdate applies a SettingsChanged or Learned event and ignores any other.
func (st *State) ApplyUpdate(e decision.Event) {
	switch e := e.(type) {
	case decision.SettingsChanged:
		st.Settings = e.Settings.WithDefaults() // queries in progress keep pointers to their old classes
	case decision.Learned:
		st.Learn(e)
	}
}

// SetFlag sets a flag and, if it changes, logs a line. The first argument of the format is the new value.
func (st *State) SetFlag(flag *bool, to bool, format string, args ...any) {
	if *flag != to {
		*flag = to
		st.Log(format, append([]any{to}, args...)...)
	}
}
