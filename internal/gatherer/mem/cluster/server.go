package cluster

import (
	"cmp"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/shared/curve"
)

// Zone is the state of a failure domain and of the network path to it.
type Zone struct {
	Number          int
	Servers         []*Server     // listed and ready, by ID
	SlowOutcomes    int           // slow outcomes in a row
	OverdueAttempts int           // attempts in flight that are overdue
	FailedChecks    int           // failed health checks in a row
	ReachableUntil  time.Duration // after a successful health check: the zone is not suspect until then
	CheckAt         time.Duration // when the next health check is due
	CheckIndex      int           // index of the last checked server, modulo their number
	CrashedServers  int           // servers that crashed lately
	Unreachable     bool
}

// Server is the state of a server, listed or not.
type Server struct {
	decision.ServerInfo
	Listed   bool
	ListedAt time.Duration // when an update of the list last contained it
	InFlight []*Attempt    // in the order of sending
	Queue    []*Subquery   // a heap, see Enqueue

	Latencies     *curve.Histogram // histogram of latencies while unloaded
	CDF           []float64        // blend of Latencies and the pool; see State.CDF
	CDFValid      bool             // whether CDF and MaxAge are up to date
	MaxAge        float64          // age in seconds from which an attempt in flight is overdue
	Latency       float64          // smoothed latency in seconds; 0 before any answer
	LatencyAt     time.Duration    // when Latency last changed
	FailureRate   float64          // smoothed failure rate, 0 to 1
	FailureRateAt time.Duration    // when FailureRate last changed
	FailedAt      time.Duration    // when an attempt last failed
	Failing       bool             // whether it is failing, as last logged
	ErrorLatency  float64          // smoothed latency of its errors in seconds; 0 for none
	ErrorRate     float64          // smoothed fraction of errors among its answers
	Cap           float64          // concurrency cap: how many subqueries of this scheduler may be in flight
	CapFellAt     time.Duration    // when Cap last fell

	LastTurn       uint64        // number of its last turn in the rotation
	TieBreak       float64       // random head start in the rotation, in turns
	SentAt         time.Duration // when an attempt was last sent to it
	EndedAt        time.Duration // when an attempt last ended
	AnsweredAt     time.Duration // when it last answered
	AnsweredSentAt time.Duration // latest send time of the attempts that it has answered
	CrashedAt      time.Duration // when it was last seen to have crashed; 0 for never
	BackoffUntil   time.Duration // after it rejected a subquery: it is sent nothing until then
	ResetAt        time.Duration // when a connection to it last broke with a subquery in flight
	SlowStartFrom  time.Duration // when a connection to it last failed, after which it may restart; 0 for never
	InReserve      bool          // not in this scheduler's subset

	SelectionSeq uint64 // SelectionSeq of the State when BatchSize and Eligible were computed
	BatchSize    int    // how many of the subqueries it could take in one call
	Eligible     bool   // whether it accepts subqueries at all
}

// LatencyNow returns the server's smoothed latency in seconds, decayed towards the median with the half-life.
func (s *Server) LatencyNow(median float64, now, half time.Duration) float64 {
	if s.Latency == 0 {
		return median
	}
	return median + curve.Decay(s.Latency-median, now-s.LatencyAt, half)
}

// RecordError records the latency in seconds of an error, and smooths ErrorLatency and ErrorRate with the given
// weights.
func (s *Server) RecordError(took, latencyWeight, rateWeight float64) {
	s.ErrorLatency = cmp.Or(s.ErrorLatency, took)
	s.ErrorLatency += latencyWeight * (took - s.ErrorLatency)
	s.ErrorRate += rateWeight * (1 - s.ErrorRate)
}

// RecordOutcome counts consecutive slow outcomes of attempts in the zone. An outcome that is not slow resets SlowOutcomes
// if it shows that the network path works (pathWorks).
func (z *Zone) RecordOutcome(slow, pathWorks bool) {
	switch {
	case slow:
		z.SlowOutcomes++
	case pathWorks:
		z.SlowOutcomes = 0
	}
}

// RemoveAttempt removes an attempt from those in flight at the server.
func (s *Server) RemoveAttempt(a *Attempt) {
	s.InFlight = slices.DeleteFunc(s.InFlight, func(x *Attempt) bool { return x == a })
}

// FindUnsent returns a subquery of q that is queued at the server and has not been attempted, nil if there is none.
func (s *Server) FindUnsent(q *Query) *Subquery {
	for _, sub := range s.Queue {
		if sub.Parent == q && len(sub.Attempts) == 0 {
			return sub
		}
	}
	return nil
}

// CountOverdue sets OverdueAttempts of each zone to the number of attempts in flight that were sent before cutoff.
func (st *State) CountOverdue(cutoff time.Duration) {
	for i := range st.Zones {
		st.Zones[i].OverdueAttempts = 0
	}
	for _, s := range st.SortedServers {
		for i := 0; i < len(s.InFlight) && s.InFlight[i].SentAt < cutoff; i++ {
			st.Zones[s.Zone].OverdueAttempts++
		}
	}
}

// CountCrashed returns how many servers have crashed after from, and in how many zones.
func (st *State) CountCrashed(from time.Duration) (servers, zones int) {
	for i := range st.Zones {
		st.Zones[i].CrashedServers = 0
	}
	for _, s := range st.SortedServers {
		if s.CrashedAt > 0 && s.CrashedAt > from {
			servers++
			if st.Zones[s.Zone].CrashedServers++; st.Zones[s.Zone].CrashedServers == 1 {
				zones++
			}
		}
	}
	return servers, zones
}
