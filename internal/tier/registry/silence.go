package registry

import (
	"time"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Periods without a heartbeat after which a store counts as silent, and for which a coordinator has to have run, in
// touch with most others, before it says so.
const (
	silentAfterPeriods = 3.5
	confidentPeriods   = 5
)

// ExpireAfter is the time without heartbeats after which a store is taken for gone.
const ExpireAfter = 10 * time.Minute

// FailureDetector notices stores whose sequence has stopped to rise. It is not safe for concurrent use.
type FailureDetector struct {
	period         time.Duration
	confidentSince time.Time // zero while the coordinator is out of touch
	heard          map[string]heardInstance
}

type heardInstance struct {
	sequence uint64
	at       time.Time
}

// NewFailureDetector makes a FailureDetector for stores that send a heartbeat in each period.
func NewFailureDetector(period time.Duration) *FailureDetector {
	return &FailureDetector{period: period, heard: make(map[string]heardInstance)}
}

// Observe notes the heartbeats that arrived since the last look and returns marks for the stores that are newly silent.
// InTouch says that the coordinator hears most of the voters, so that heartbeats sent to others reach it.
func (s *FailureDetector) Observe(now time.Time, inTouch bool, instances []*tierpb.Instance) []*tierpb.Instance {
	if !inTouch {
		s.confidentSince = time.Time{}
	} else if s.confidentSince.IsZero() {
		s.confidentSince = now
	}
	confident := s.Synchronized(now)
	present := make(map[string]heardInstance, len(instances))
	var marks []*tierpb.Instance
	for _, instance := range instances {
		heard, known := s.heard[instance.Id]
		if !known || instance.Sequence > heard.sequence {
			heard = heardInstance{sequence: instance.Sequence, at: now}
		}
		present[instance.Id] = heard
		if mark := s.mark(instance, now.Sub(heard.at)); confident && mark != nil {
			marks = append(marks, mark)
		}
	}
	s.heard = present
	return marks
}

// Synchronized says whether every store that sends heartbeats has been heard by now, as of the last look.
func (s *FailureDetector) Synchronized(now time.Time) bool {
	return !s.confidentSince.IsZero() && now.Sub(s.confidentSince) >= confidentPeriods*s.period
}

// mark is what to say of an instance that has said nothing for so long, nil for nothing new.
func (s *FailureDetector) mark(instance *tierpb.Instance, quiet time.Duration) *tierpb.Instance {
	return TimedOut(instance, quiet, time.Duration(silentAfterPeriods*float64(s.period)))
}

// TimedOut is what to believe of an instance without news for so long: that it is silent after silentAfter, and gone after
// ExpireAfter. It is nil for nothing new.
func TimedOut(instance *tierpb.Instance, quiet, silentAfter time.Duration) *tierpb.Instance {
	state := instance.State
	switch {
	case state != tierpb.InstanceState_INSTANCE_DEREGISTERED && quiet >= ExpireAfter:
		state = tierpb.InstanceState_INSTANCE_DEREGISTERED
	case state == tierpb.InstanceState_INSTANCE_READY && quiet >= silentAfter:
		state = tierpb.InstanceState_INSTANCE_SUSPECT
	default:
		return nil
	}
	marked := instance.CloneVT()
	marked.State = state
	return marked
}
