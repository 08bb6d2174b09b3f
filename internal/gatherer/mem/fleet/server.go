package fleet

import (
	"cmp"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/shared/curve"
)

// Zone is what is known of the way to a zone's servers.
type Zone struct {
	Number  int
	Servers []*Server // listed and ready, by ID
	Slow    int       // outcomes in a row that were not quick
	Stuck   int       // parts out there for longer than a quick one takes
	Fails   int       // probes in a row that failed
	ClearTo time.Duration
	ProbeAt time.Duration
	Next    int // whose turn to be probed it is
	Dead    int // servers of it that crashed of late
	Far     bool
}

// Server is what is known of a server, listed or not.
type Server struct {
	decision.ServerInfo
	Listed          bool
	Out             []*Attempt // in send order
	Held            []*Part
	Record          *curve.Histogram
	Lat             float64 // smoothed answer time, seconds; 0 when unheard
	LatAt           time.Duration
	Bad             float64 // smoothed share of failures
	BadAt, FailedAt time.Duration
	Cap             float64
	CapAt           time.Duration
	Turn            uint64        // number of its last turn
	Lead            float64       // turns by which it leads among equals
	SentAt          time.Duration // of the last part sent to it
	EndAt           time.Duration // when an attempt last ended there
	AnswerAt        time.Duration // when something last came from it
	PassedAt        time.Duration // when the latest sent of what came was sent
	GoneAt          time.Duration // when the list last named it
	DiedAt          time.Duration // when it was last seen to have crashed
	ErrorTook       float64       // smoothed time of its errors, seconds; 0 for none
	Errors          float64       // smoothed share of errors among its answers
	FullTo          time.Duration // it turned a part away: until when it is left alone
	ResetAt         time.Duration // when a connection to it last broke under a part
	WasBad          bool
	ColdFrom        time.Duration
	Curve           []float64 // blend of record and pool, anew where not fresh
	Patience        float64   // seconds a part may be out before the server is skipped
	Fresh           bool
	Round           uint64 // of the choice that the next two belong to
	Cover           int    // parts of that choice that it holds
	Able            bool   // whether it may be sent anything
	Reserve         bool   // not of this mixer's subset
}

// LatNow is a server's smoothed answer time, fading to the median.
func (s *Server) LatNow(median float64, now, half time.Duration) float64 {
	if s.Lat == 0 {
		return median
	}
	return median + curve.Decay(s.Lat-median, now-s.LatAt, half)
}

// Erred records an error that took so many seconds.
func (s *Server) Erred(took, tookWeight, shareWeight float64) {
	s.ErrorTook = cmp.Or(s.ErrorTook, took)
	s.ErrorTook += tookWeight * (took - s.ErrorTook)
	s.Errors += shareWeight * (1 - s.Errors)
}

// Heard records an outcome from the zone: one that was not quick, or one that proves the way.
func (z *Zone) Heard(slow, proves bool) {
	switch {
	case slow:
		z.Slow++
	case proves:
		z.Slow = 0
	}
}

// Drop removes an attempt from those out at the server.
func (s *Server) Drop(a *Attempt) {
	s.Out = slices.DeleteFunc(s.Out, func(x *Attempt) bool { return x == a })
}

// Unsent returns a part of the query that the server holds and that was never sent, or nil.
func (s *Server) Unsent(q *Query) *Part {
	for _, p := range s.Held {
		if p.Q == q && len(p.Attempts) == 0 {
			return p
		}
	}
	return nil
}

// CountStuck counts, by zone, the parts out since before from.
func (m *State) CountStuck(from time.Duration) {
	for i := range m.Zones {
		m.Zones[i].Stuck = 0
	}
	for _, s := range m.Order {
		for i := 0; i < len(s.Out) && s.Out[i].At < from; i++ {
			m.Zones[s.Zone].Stuck++
		}
	}
}

// CountDead counts the servers that have crashed since from, and the zones they stand in.
func (m *State) CountDead(from time.Duration) (servers, zones int) {
	for i := range m.Zones {
		m.Zones[i].Dead = 0
	}
	for _, s := range m.Order {
		if s.DiedAt > 0 && s.DiedAt > from {
			servers++
			if m.Zones[s.Zone].Dead++; m.Zones[s.Zone].Dead == 1 {
				zones++
			}
		}
	}
	return servers, zones
}
