package cluster

import (
	"cmp"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/shared/curve"
)

// Zone is what is known of the network path to a failure domain.
type Zone struct {
	Number         int
	Servers        []*Server     // listed and ready, by ID
	Slow           int           // outcomes in a row that were not quick
	Stuck          int           // subqueries in flight there for longer than a quick one takes
	FailedChecks   int           // health checks in a row that failed
	ReachableUntil time.Duration // a health check got through: the zone is not suspect until then
	CheckAt        time.Duration // of the next health check
	Next           int           // index of the server to be checked next, modulo their number
	Crashed        int           // servers that crashed lately
	Unreachable    bool
}

// Server is what is known of a server, listed or not.
type Server struct {
	decision.ServerInfo
	Listed   bool
	ListedAt time.Duration // when the list last named it
	InFlight []*Attempt    // in the order of sending
	Queue    []*Subquery   // a heap, see Enqueue

	Record        *curve.Histogram // of latencies
	CDF           []float64        // blend of Record and the pool; see State.CDF
	CDFValid      bool             // CDF and MaxAge are up to date
	MaxAge        float64          // seconds that a subquery may be in flight before the server is skipped
	Latency       float64          // smoothed, in seconds; 0 before any answer
	LatencyAt     time.Duration    // of the last change of Latency
	FailureRate   float64          // smoothed, 0 to 1
	FailureRateAt time.Duration    // of the last change of FailureRate
	FailedAt      time.Duration    // of the last failure
	Failing       bool             // as last logged
	ErrorLatency  float64          // smoothed latency of its errors, seconds; 0 for none
	ErrorRate     float64          // smoothed fraction of errors among its answers
	Cap           float64          // how many subqueries may be in flight
	CapAt         time.Duration    // when Cap last fell

	Turn           uint64        // number of its last turn
	TieBreak       float64       // turns by which it is ahead among equals
	SentAt         time.Duration // of the last attempt sent to it
	EndedAt        time.Duration // when an attempt last ended
	AnsweredAt     time.Duration // when it last answered
	AnsweredSentAt time.Duration // send time of the latest sent attempt that it has answered
	CrashedAt      time.Duration // when it was last seen to have crashed, 0 for never
	BackoffUntil   time.Duration // it rejected a subquery: nothing is sent until then
	ResetAt        time.Duration // when a connection to it last broke with a subquery in flight
	SlowStartFrom  time.Duration // when it was last seen to restart, 0 for never
	Reserve        bool          // outside this scheduler's subset

	Choice uint64 // number of the choice that Cover and Able belong to
	Cover  int    // subqueries of that choice that it could take in a call
	Able   bool   // whether it could take any
}

// LatencyNow is the server's smoothed latency in seconds, fading to the median with the half-life.
func (s *Server) LatencyNow(median float64, now, half time.Duration) float64 {
	if s.Latency == 0 {
		return median
	}
	return median + curve.Decay(s.Latency-median, now-s.LatencyAt, half)
}

// RecordError records an error that took so many seconds, with the weights of the smoothing.
func (s *Server) RecordError(took, latencyWeight, rateWeight float64) {
	s.ErrorLatency = cmp.Or(s.ErrorLatency, took)
	s.ErrorLatency += latencyWeight * (took - s.ErrorLatency)
	s.ErrorRate += rateWeight * (1 - s.ErrorRate)
}

// RecordOutcome records an outcome from the zone: one that was not quick, or one that proves the path.
func (z *Zone) RecordOutcome(slow, proves bool) {
	switch {
	case slow:
		z.Slow++
	case proves:
		z.Slow = 0
	}
}

// RemoveAttempt removes an attempt from those in flight at the server.
func (s *Server) RemoveAttempt(a *Attempt) {
	s.InFlight = slices.DeleteFunc(s.InFlight, func(x *Attempt) bool { return x == a })
}

// Unsent returns a subquery of the query that is in the server's queue and was never sent, or nil.
func (s *Server) Unsent(q *Query) *Subquery {
	for _, sub := range s.Queue {
		if sub.Parent == q && len(sub.Attempts) == 0 {
			return sub
		}
	}
	return nil
}

// CountStuck counts, by zone, the subqueries in flight since before from.
func (st *State) CountStuck(from time.Duration) {
	for i := range st.Zones {
		st.Zones[i].Stuck = 0
	}
	for _, s := range st.Order {
		for i := 0; i < len(s.InFlight) && s.InFlight[i].SentAt < from; i++ {
			st.Zones[s.Zone].Stuck++
		}
	}
}

// CountCrashed counts the servers that have crashed since from, and the zones that they are in.
func (st *State) CountCrashed(from time.Duration) (servers, zones int) {
	for i := range st.Zones {
		st.Zones[i].Crashed = 0
	}
	for _, s := range st.Order {
		if s.CrashedAt > 0 && s.CrashedAt > from {
			servers++
			if st.Zones[s.Zone].Crashed++; st.Zones[s.Zone].Crashed == 1 {
				zones++
			}
		}
	}
	return servers, zones
}
