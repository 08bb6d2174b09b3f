package watch

import (
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/tier/invariant"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Change is the effect of a merge on an instance.
type Change uint8

// The kinds of change.
const (
	Unchanged Change = iota
	Heartbeat        // only the sequence or the remaining slow start changed
	Material         // the state or the description changed, which affects the routing of requests
)

// IsTerminal reports whether a state is final: no later update leads out of it.
func IsTerminal(state tierpb.InstanceState) bool {
	return state >= tierpb.InstanceState_INSTANCE_DRAINING
}

// mergeFrom merges a reply and reports whether it changed anything but heartbeats. The parameter source is the address of
// the replying source, or empty.
func (s *State) mergeFrom(reply *tierpb.WatchReply, source string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.mergeControl(s.reconstructControl(reply))
	for _, instance := range reply.Instances {
		if s.mergeInstance(instance, source) == Material {
			changed = true
		}
	}
	for _, status := range reply.Statuses {
		if s.mergeStatus(status, source) == Material {
			changed = true
		}
	}
	if len(reply.Coordinators) > 0 {
		s.learnedCoordinators = reply.Coordinators
	}
	if reply.Compared && s.suspectUnconfirmed(reply) {
		changed = true
	}
	return changed
}

// mergeInstance merges one instance, records the change and wakes held polls. The source is empty for an instance that
// was not received from a source.
func (s *State) mergeInstance(received *tierpb.Instance, source string) Change {
	s.expireTombstones()
	known := s.instances[received.Id]
	merged, change := mergeInstances(known.instance, received)
	if change == Unchanged {
		return change
	}
	s.revision++
	s.replaceEntry(known, instanceEntry{
		instance: merged, updatedAt: s.now(), source: source, descriptionRevision: known.descriptionRevision,
	})
	if change == Material {
		s.changes.append(s.revision, received.Id)
		s.notify(&s.changeSignal)
		return change
	}
	s.heartbeats.append(s.revision, received.Id)
	if source == "" { // watchers receive all other heartbeats directly from the source
		s.notify(&s.heartbeatSignal)
	}
	return change
}

// replaceEntry stores an entry in place of the known one, and updates the summary, the counts and the tombstones.
func (s *State) replaceEntry(known, next instanceEntry) {
	if known.instance == nil || !sameDescription(known.instance, next.instance) {
		next.descriptionRevision = s.revision
	}
	s.summary.remove(known.instance)
	s.summary.add(next.instance)
	if known.instance != nil {
		s.countByState[known.instance.State]--
	}
	s.countByState[next.instance.State]++
	if isDeregistered(next.instance) && !isDeregistered(known.instance) {
		s.tombstones = append(s.tombstones, tombstone{id: next.instance.Id, createdAt: next.updatedAt})
	}
	s.instances[next.instance.Id] = next
}

// mergeStatus merges a status, which is an update without a description. The status of an unknown instance is ignored,
// except that a deregistered one becomes a tombstone.
func (s *State) mergeStatus(status *tierpb.InstanceStatus, source string) Change {
	known := s.instances[status.Id]
	if known.instance == nil {
		if status.State != tierpb.InstanceState_INSTANCE_DEREGISTERED {
			return Unchanged
		}
		return s.mergeInstance(&tierpb.Instance{Id: status.Id, Sequence: status.Sequence, State: status.State}, source)
	}
	if status.Sequence <= known.instance.Sequence && status.State <= known.instance.State {
		return Unchanged
	}
	updated := known.instanceAt(s.now()).CloneVT()
	switch {
	case status.Description == 0 || status.Description == descriptionDigest(updated):
		updated.Sequence, updated.State = status.Sequence, status.State
	case IsTerminal(status.State):
		// The status belongs to a description that has not arrived yet. Keep the known sequence, so that this
		// description is merged when it arrives.
		updated.State = status.State
	default:
		return Unchanged
	}
	return s.mergeInstance(updated, source)
}

// isBehind reports whether a digests-only reply names a control state, an instance or a description that this State does
// not have.
func (s *State) isBehind(reply *tierpb.WatchReply) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reply.ControlVersion > s.control.GetVersion() {
		return true
	}
	for _, status := range reply.Statuses {
		known := s.instances[status.Id].instance
		if known == nil || status.Description != 0 && status.Description != descriptionDigest(known) {
			return true
		}
	}
	return false
}

// mergeInstances merges two descriptions of one instance. It is commutative, associative and idempotent, so that
// descriptions may arrive in any order: the higher sequence wins, at the same sequence the higher state, and terminal
// states are final.
func mergeInstances(known, received *tierpb.Instance) (*tierpb.Instance, Change) {
	if known == nil {
		return received, Material
	}
	merged := known
	if received.Sequence > known.Sequence || received.Sequence == known.Sequence && received.State > known.State {
		merged = received
	}
	state := mergeStates(known.State, received.State, merged.State)
	if merged.State != state {
		merged = merged.CloneVT()
		merged.State = state
	}
	invariant.Check(!IsTerminal(known.State) || merged.State >= known.State, invariant.TerminalStateFinal, merged.State, known.State)
	return merged, classify(known, merged)
}

func mergeStates(known, received, newest tierpb.InstanceState) tierpb.InstanceState {
	highest := max(known, received)
	if IsTerminal(highest) {
		return highest
	}
	return newest
}

func classify(known, merged *tierpb.Instance) Change {
	switch {
	case known == merged:
		return Unchanged
	case known.State != merged.State || !sameDescription(known, merged):
		return Material
	case known.Sequence == merged.Sequence && known.SlowStartRemainingMs == merged.SlowStartRemainingMs:
		return Unchanged
	}
	return Heartbeat
}

// sameDescription reports whether two instances are equal apart from id, state, sequence and remaining slow start.
func sameDescription(a, b *tierpb.Instance) bool {
	return a.Address == b.Address && a.Backend == b.Backend && a.Zone == b.Zone && a.Generation == b.Generation &&
		a.Slots == b.Slots && slices.Equal(a.Models, b.Models)
}

// instanceAt returns the instance with the slow start that remains instanceAt a time. The message holds the duration that remained
// when it was received, not a point in time, because the clocks of machines differ.
func (e instanceEntry) instanceAt(now time.Time) *tierpb.Instance {
	elapsed := now.Sub(e.updatedAt)
	if e.instance.SlowStartRemainingMs == 0 || elapsed < time.Millisecond {
		return e.instance
	}
	current := e.instance.CloneVT()
	current.SlowStartRemainingMs -= uint32(min(elapsed.Milliseconds(), int64(e.instance.SlowStartRemainingMs)))
	return current
}
