package watch

import (
	"crypto/rand"
	"encoding/binary"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// State holds the newest chosen control state and all known instances. It merges updates in any order and from any
// source, and never goes back. Messages that it holds or returns must not be modified. It is safe for concurrent use.
type State struct {
	now   func() time.Time
	after func(time.Duration, func())

	mu          sync.Mutex
	incarnation uint64 // random id of this State, which its revisions belong to; never 0
	revision    uint64 // of the newest change

	control         *tierpb.ControlState
	controlRevision uint64 // at which control changed
	bodies          bodyHistory

	instances    map[string]entry // by id
	countByState map[tierpb.InstanceState]int
	summary      summary
	changes      journal     // material changes
	heartbeats   journal     // all other changes
	tombstones   []tombstone // oldest first

	learnedCoordinators    []*tierpb.Node // from sources
	advertisedCoordinators []*tierpb.Node // to watchers
	advertisedRevision     uint64         // at which advertisedCoordinators changed
	synchronizedAt         time.Time      // of the last call of MarkSynchronized

	publishedRevision          uint64 // watchers have been woken for changes up to here
	publishedHeartbeatRevision uint64
	changeSignal               signal
	heartbeatSignal            signal
}

// entry is an instance with what the State notes about it.
type entry struct {
	instance            *tierpb.Instance
	updatedAt           time.Time
	source              string // address of the source that sent it, empty where it came from the store itself
	descriptionRevision uint64 // at which anything but the state and the sequence changed
}

// NewState returns an empty State with an incarnation of its own.
func NewState() *State {
	return newState(time.Now, func(delay time.Duration, run func()) { time.AfterFunc(delay, run) })
}

func newState(now func() time.Time, after func(time.Duration, func())) *State {
	return &State{
		now:             now,
		after:           after,
		incarnation:     randomIncarnation(),
		instances:       make(map[string]entry),
		countByState:    make(map[tierpb.InstanceState]int),
		changes:         newJournal(),
		heartbeats:      newJournal(),
		changeSignal:    newSignal(minChangeInterval),
		heartbeatSignal: newSignal(minHeartbeatInterval),
	}
}

// randomIncarnation draws an odd number, so that it is never 0, which stands for none.
func randomIncarnation() uint64 {
	var drawn [8]byte
	_, _ = rand.Read(drawn[:])
	return binary.BigEndian.Uint64(drawn[:]) | 1
}

// Merge merges a reply of any source and reports whether anything but heartbeats changed.
func (s *State) Merge(reply *tierpb.WatchReply) bool { return s.mergeFrom(reply, "") }

// Upsert merges one instance, as its store described it, and returns what that changed.
func (s *State) Upsert(instance *tierpb.Instance) Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mergeInstance(instance, "")
}

// SetControl merges a chosen control state and reports whether it was newer.
func (s *State) SetControl(control *tierpb.ControlState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mergeControl(control)
}

// AdvertiseCoordinators sets the coordinators that replies name to watchers.
func (s *State) AdvertiseCoordinators(nodes []*tierpb.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advertisedCoordinators = nodes
	s.revision++
	s.advertisedRevision = s.revision
	s.notify(&s.changeSignal)
}

// Control returns the newest control state, nil if none is known.
func (s *State) Control() *tierpb.ControlState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.control
}

// Coordinators returns the coordinators that the last source to name any advertised.
func (s *State) Coordinators() []*tierpb.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.learnedCoordinators
}

// Instance returns one instance, nil if it is not known.
func (s *State) Instance(id string) *tierpb.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instances[id].instance
}

// Instances returns a snapshot of all instances, tombstones included, in no particular order.
func (s *State) Instances() []*tierpb.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	all := make([]*tierpb.Instance, 0, len(s.instances))
	for _, e := range s.instances {
		all = append(all, e.at(now))
	}
	return all
}

// Count returns the number of instances in a state.
func (s *State) Count(state tierpb.InstanceState) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.countByState[state]
}

// ChangedSince returns the instances that changed materially after a revision, oldest change first, and the revision
// to pass next time. Revision 0 returns all.
func (s *State) ChangedSince(revision uint64) ([]*tierpb.Instance, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var changed []*tierpb.Instance
	s.changes.since(revision, func(id string, _ uint64) bool {
		changed = append(changed, s.instances[id].at(now))
		return true
	})
	return changed, s.revision
}

// Revision returns the number of the newest change, heartbeats included. It belongs to this State alone.
func (s *State) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Changed returns a channel that is closed at the next change other than a heartbeat. Get it before reading the State,
// else a change in between is missed.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changeSignal.channel
}
