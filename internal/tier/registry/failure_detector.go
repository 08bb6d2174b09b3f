package registry

import (
	"time"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Times of the failure detector, in heartbeat periods.
const (
	// suspectPeriods is the heartbeat timeout. It tolerates two lost heartbeats in a row, and a third that is half a period
	// late.
	suspectPeriods = 3.5
	// synchronizedPeriods is how long a coordinator must have been in contact with most voters before it suspects any
	// store. It is longer than suspectPeriods, so that a coordinator that has just started or was partitioned has
	// received a heartbeat from every live store by then.
	synchronizedPeriods = 5
)

// ExpireAfter is the time without a heartbeat after which a store counts as deregistered, whatever its state was.
const ExpireAfter = 10 * time.Minute

// FailureDetector finds stores whose sequence number has stopped increasing. It does no I/O and reads no clock; callers pass
// the current time. It is not safe for concurrent use.
type FailureDetector struct {
	period         time.Duration
	contactSince   time.Time                // zero while there is no contact with most voters
	lastHeartbeats map[string]lastHeartbeat // by instance id
}

type lastHeartbeat struct {
	sequence   uint64
	observedAt time.Time
}

// NewFailureDetector returns a detector for stores that send a heartbeat in each period.
func NewFailureDetector(period time.Duration) *FailureDetector {
	return &FailureDetector{period: period, lastHeartbeats: make(map[string]lastHeartbeat)}
}

// Observe records the heartbeats since the last call and returns the instances that have timed out, with their new state.
// A timeout is detected at the first call after it has passed. The argument inContact is true if the coordinator is in
// contact with most voters, so that heartbeats sent to other coordinators reach it.
func (d *FailureDetector) Observe(now time.Time, inContact bool, instances []*tierpb.Instance) []*tierpb.Instance {
	if !inContact {
		d.contactSince = time.Time{}
	} else if d.contactSince.IsZero() {
		d.contactSince = now
	}
	synchronized := d.Synchronized(now)
	suspectAfter := time.Duration(suspectPeriods * float64(d.period))
	current := make(map[string]lastHeartbeat, len(instances))
	var timedOut []*tierpb.Instance
	for _, instance := range instances {
		last, known := d.lastHeartbeats[instance.Id]
		if !known || instance.Sequence > last.sequence {
			last = lastHeartbeat{sequence: instance.Sequence, observedAt: now}
		}
		current[instance.Id] = last
		if updated := ApplyTimeout(instance, now.Sub(last.observedAt), suspectAfter); synchronized && updated != nil {
			timedOut = append(timedOut, updated)
		}
	}
	d.lastHeartbeats = current
	return timedOut
}

// Synchronized reports whether the coordinator has been in contact with most voters for long enough to have received a
// heartbeat from every live store, as of the last call of Observe.
func (d *FailureDetector) Synchronized(now time.Time) bool {
	return !d.contactSince.IsZero() && now.Sub(d.contactSince) >= synchronizedPeriods*d.period
}

// ApplyTimeout returns a copy of the instance with the state that follows from the time since its last heartbeat: suspect
// after suspectAfter if it was ready, deregistered after ExpireAfter. It returns nil if the state does not change.
func ApplyTimeout(instance *tierpb.Instance, sinceHeartbeat, suspectAfter time.Duration) *tierpb.Instance {
	state := instance.State
	switch {
	case state != tierpb.InstanceState_INSTANCE_DEREGISTERED && sinceHeartbeat >= ExpireAfter:
		state = tierpb.InstanceState_INSTANCE_DEREGISTERED
	case state == tierpb.InstanceState_INSTANCE_READY && sinceHeartbeat >= suspectAfter:
		state = tierpb.InstanceState_INSTANCE_SUSPECT
	default:
		return nil
	}
	updated := instance.CloneVT()
	updated.State = state
	return updated
}
