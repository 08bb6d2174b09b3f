// Package watch brings the control state and the list of stores from where they are kept to all that need them: a
// State merges what any source tells, a long poll serves it on, and a Follower keeps a State up to date.
package watch

import (
	"crypto/rand"
	"encoding/binary"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Times of a State.
const (
	changeGap    = 25 * time.Millisecond  // between two wake-ups for changes
	heartbeatGap = 250 * time.Millisecond // between two wake-ups for heartbeats
	goneKept     = time.Minute            // for which a gone instance is remembered
)

// State holds the newest chosen control state and all instances known. It merges what it is told in any order and
// from any source, and never goes back. Messages that it holds or returns must not be changed. It is safe for
// concurrent use.
type State struct {
	now   func() time.Time
	after func(time.Duration, func())

	mu           sync.Mutex
	feed         uint64
	cursor       uint64 // of the newest event
	control      *tierpb.ControlState
	controlAt    uint64 // cursor of the newest control state
	instances    map[string]entry
	changes      journal
	heartbeats   journal
	gone         []goneMark // oldest first
	counts       map[tierpb.InstanceState]int
	coordinators []*tierpb.Node
	listedAt     uint64 // cursor at which coordinators changed
	heard        []*tierpb.Node

	published          uint64 // changes up to here have been told
	publishedHeartbeat uint64
	changed            signal
	beat               signal
}

type entry struct {
	instance *tierpb.Instance
	at       time.Time // when it was told
	source   string    // address of the source that told it, empty where the store did itself
}

type goneMark struct {
	id string
	at time.Time
}

// NewState makes an empty State with a feed of its own.
func NewState() *State {
	return newState(time.Now, func(delay time.Duration, run func()) { time.AfterFunc(delay, run) })
}

func newState(now func() time.Time, after func(time.Duration, func())) *State {
	return &State{
		now: now, after: after, feed: randomFeed(), instances: make(map[string]entry), counts: make(map[tierpb.InstanceState]int),
		changes: newJournal(), heartbeats: newJournal(), changed: newSignal(changeGap), beat: newSignal(heartbeatGap),
	}
}

func randomFeed() uint64 {
	var drawn [8]byte
	_, _ = rand.Read(drawn[:])
	return binary.BigEndian.Uint64(drawn[:]) | 1
}

// Merge takes in a reply of any source and says whether anything but heartbeats was new.
func (s *State) Merge(reply *tierpb.WatchReply) bool { return s.mergeFrom(reply, "") }

// mergeFrom takes in a reply of the source at an address.
func (s *State) mergeFrom(reply *tierpb.WatchReply, source string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.takeControl(reply.Control)
	for _, instance := range reply.Instances {
		if s.take(instance, source) == Material {
			changed = true
		}
	}
	for _, heartbeat := range reply.Heartbeats {
		if s.takeHeartbeat(heartbeat, source) == Material {
			changed = true
		}
	}
	if len(reply.Coordinators) > 0 {
		s.heard = reply.Coordinators
	}
	return changed
}

// Upsert merges one instance and says what that changed.
func (s *State) Upsert(instance *tierpb.Instance) Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.take(instance, "")
}

// SetControl takes in a chosen control state and says whether it was newer.
func (s *State) SetControl(control *tierpb.ControlState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.takeControl(control)
}

// SetCoordinators sets the coordinators that this State tells its followers of.
func (s *State) SetCoordinators(nodes []*tierpb.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coordinators = nodes
	s.cursor++
	s.listedAt = s.cursor
	s.tell(&s.changed)
}

// Control returns the newest control state, nil where none is known.
func (s *State) Control() *tierpb.ControlState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.control
}

// Coordinators returns the coordinators that the newest source to name any told of.
func (s *State) Coordinators() []*tierpb.Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heard
}

// Instance returns one instance, nil where it is not known.
func (s *State) Instance(id string) *tierpb.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instances[id].instance
}

// Instances returns all instances, gone ones included, in no order.
func (s *State) Instances() []*tierpb.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	all := make([]*tierpb.Instance, 0, len(s.instances))
	for _, e := range s.instances {
		all = append(all, aged(e.instance, now.Sub(e.at)))
	}
	return all
}

// Count returns how many instances there are in a state.
func (s *State) Count(state tierpb.InstanceState) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[state]
}

// Since returns the instances that changed materially after the version, and the version that this brings the caller
// to. Version 0 returns all.
func (s *State) Since(version uint64) ([]*tierpb.Instance, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.collect(&s.changes, version, nil), s.cursor
}

// Version rises with each change.
func (s *State) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cursor
}

// Changed returns a channel that is closed at the next change that is no mere heartbeat. Take it before looking at
// the State.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed.channel
}

func (s *State) takeControl(control *tierpb.ControlState) bool {
	if control == nil || s.control != nil && control.Version <= s.control.Version {
		return false
	}
	s.control = control
	s.cursor++
	s.controlAt = s.cursor
	s.tell(&s.changed)
	return true
}

func (s *State) take(told *tierpb.Instance, source string) Change {
	s.dropGone()
	known := s.instances[told.Id].instance
	merged, change := join(known, told)
	if change == Unchanged {
		return change
	}
	if known != nil {
		s.counts[known.State]--
	}
	s.counts[merged.State]++
	s.instances[told.Id] = entry{instance: merged, at: s.now(), source: source}
	s.cursor++
	if change == Heartbeat {
		s.heartbeats.append(s.cursor, told.Id)
		if source == "" { // others hear of the rest from where this State did
			s.tell(&s.beat)
		}
		return change
	}
	s.changes.append(s.cursor, told.Id)
	s.tell(&s.changed)
	if merged.State == tierpb.InstanceState_INSTANCE_GONE && (known == nil || known.State != merged.State) {
		s.gone = append(s.gone, goneMark{id: told.Id, at: s.now()})
	}
	return change
}

// takeHeartbeat merges a heartbeat of an instance; it says nothing where the instance is not known.
func (s *State) takeHeartbeat(heartbeat *tierpb.Heartbeat, source string) Change {
	known := s.instances[heartbeat.Id]
	if known.instance == nil || heartbeat.Sequence <= known.instance.Sequence {
		return Unchanged
	}
	told := aged(known.instance, s.now().Sub(known.at)).CloneVT()
	told.Sequence, told.State = heartbeat.Sequence, heartbeat.State
	return s.take(told, source)
}

// dropGone forgets instances that have been gone for long; until then the mark keeps older news from bringing one back.
func (s *State) dropGone() {
	for len(s.gone) > 0 && s.now().Sub(s.gone[0].at) >= goneKept {
		id := s.gone[0].id
		s.gone = s.gone[1:]
		delete(s.instances, id)
		s.counts[tierpb.InstanceState_INSTANCE_GONE]--
		s.changes.forget(id)
		s.heartbeats.forget(id)
	}
}

// collect appends the instances of a journal that changed after the cursor.
func (s *State) collect(from *journal, cursor uint64, to []*tierpb.Instance) []*tierpb.Instance {
	now := s.now()
	from.since(cursor, func(id string) {
		e := s.instances[id]
		to = append(to, aged(e.instance, now.Sub(e.at)))
	})
	return to
}

// tell wakes those that wait on a signal, now or when its gap is over.
func (s *State) tell(on *signal) {
	if on.pending {
		return
	}
	delay := on.delay(s.now())
	if delay == 0 {
		s.publish(on)
		return
	}
	on.pending = true
	s.after(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.publish(on)
	})
}

func (s *State) publish(on *signal) {
	if on == &s.beat {
		s.publishedHeartbeat = s.cursor
	} else {
		s.published = s.cursor
	}
	on.fire(s.now())
}
