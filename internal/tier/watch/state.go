package watch

import (
	"crypto/rand"
	"encoding/binary"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// State holds the newest chosen control state and all known instances. It merges updates from any source in any order
// and never reverts to older data. Messages that are passed to it or returned by it must not be modified. It is safe for
// concurrent use.
type State struct {
	now   func() time.Time
	after func(time.Duration, func())

	mu          sync.Mutex
	incarnation uint64 // random id that distinguishes this State's revisions from those of others; never 0
	revision    uint64 // of the newest change

	control         *tierpb.ControlState
	controlRevision uint64 // of the last change of control
	bodies          bodyHistory

	instances    map[string]instanceEntry // by id
	countByState map[tierpb.InstanceState]int
	summary      summary
	changes      journal     // material changes
	heartbeats   journal     // changes of only the sequence or the slow start
	tombstones   []tombstone // oldest first

	learnedCoordinators    []*tierpb.Node // received from sources
	advertisedCoordinators []*tierpb.Node // sent to watchers
	advertisedRevision     uint64         // of the last change of advertisedCoordinators
	synchronizedAt         time.Time      // of the last call of MarkSynchronized

	publishedRevision          uint64 // held polls have been woken for changes up to this revision
	publishedHeartbeatRevision uint64 // held polls have been woken for heartbeats up to this revision
	changeSignal               signal
	heartbeatSignal            signal
}

// instanceEntry is an instance with the State's bookkeeping for it.
type instanceEntry struct {
	instance            *tierpb.Instance
	updatedAt           time.Time
	source              string // address of the source that a Watcher received it from, else empty
	descriptionRevision uint64 // of the last change of the description
}

// NewState returns an empty State with a new incarnation.
func NewState() *State {
	return newState(time.Now, func(delay time.Duration, run func()) { time.AfterFunc(delay, run) })
}

func newState(now func() time.Time, after func(time.Duration, func())) *State {
	return &State{
		now:             now,
		after:           after,
		incarnation:     randomIncarnation(),
		instances:       make(map[string]instanceEntry),
		countByState:    make(map[tierpb.InstanceState]int),
		changes:         newJournal(),
		heartbeats:      newJournal(),
		changeSignal:    newSignal(minChangeInterval),
		heartbeatSignal: newSignal(minHeartbeatInterval),
	}
}

// randomIncarnation returns an odd number, because 0 stands for an unknown incarnation.
func randomIncarnation() uint64 {
	var drawn [8]byte
	_, _ = rand.Read(drawn[:])
	return binary.BigEndian.Uint64(drawn[:]) | 1
}

// Merge merges a reply whose source is not recorded and reports whether it changed anything but heartbeats.
func (s *State) Merge(reply *tierpb.WatchReply) bool { return s.mergeFrom(reply, "") }

// Upsert adds or updates an instance as described by its store and returns what kind of change that was.
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

// AdvertiseCoordinators sets the list of coordinators that is sent to watchers.
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

// Coordinators returns the list of coordinators most recently received from a source.
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
		all = append(all, e.instanceAt(now))
	}
	return all
}

// Count returns the number of instances in a state.
func (s *State) Count(state tierpb.InstanceState) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.countByState[state]
}

// ChangedSince returns the instances with a Material change after a revision, oldest change first, and the revision to
// pass to the next call. Revision 0 returns all instances.
func (s *State) ChangedSince(revision uint64) ([]*tierpb.Instance, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var changed []*tierpb.Instance
	s.changes.since(revision, func(id string, _ uint64) bool {
		changed = append(changed, s.instances[id].instanceAt(now))
		return true
	})
	return changed, s.revision
}

// Revision returns the number of the newest change, heartbeats included. Revisions of different States are unrelated.
func (s *State) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Changed returns a channel that is closed at the next change other than a heartbeat. Callers must call it before they
// read the State, or they miss a change in between.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changeSignal.channel
}
