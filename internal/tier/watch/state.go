// Package watch brings the control state and the list of stores from where they are kept to all that need them: a
// State merges what any source tells, a long poll serves it on, and a Follower keeps a State up to date.
package watch

import (
	"crypto/rand"
	"encoding/binary"
	"sync"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"

	"pulleygw.example/pulleygw/internal/tier/invariant"
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
	bodies       bodies
	instances    map[string]entry
	changes      journal
	heartbeats   journal
	gone         []goneMark // oldest first
	counts       map[tierpb.InstanceState]int
	summary      summary
	coordinators []*tierpb.Node
	listedAt     uint64 // cursor at which coordinators changed
	heard        []*tierpb.Node
	listenedAt   time.Time // when this State was last said to hold every store that sends heartbeats

	published          uint64 // changes up to here have been told
	publishedHeartbeat uint64
	changed            signal
	beat               signal
}

type entry struct {
	instance    *tierpb.Instance
	at          time.Time // when it was told
	source      string    // address of the source that told it, empty where the store did itself
	describedAt uint64    // cursor at which anything but its state and sequence changed
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
	changed := s.takeControl(s.wholeControl(reply))
	for _, instance := range reply.Instances {
		if s.take(instance, source) == Material {
			changed = true
		}
	}
	for _, mark := range reply.Statuses {
		if s.takeMark(mark, source) == Material {
			changed = true
		}
	}
	if len(reply.Coordinators) > 0 {
		s.heard = reply.Coordinators
	}
	if reply.Compared && s.markOrphans(reply) {
		changed = true
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

// AdvertiseCoordinators sets the coordinators that this State tells its followers of.
func (s *State) AdvertiseCoordinators(nodes []*tierpb.Node) {
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

// ChangedSince returns the instances that changed materially after the version, and the version that this brings the caller
// to. Version 0 returns all.
func (s *State) ChangedSince(version uint64) ([]*tierpb.Instance, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var changed []*tierpb.Instance
	s.changes.since(version, func(id string, _ uint64) bool {
		e := s.instances[id]
		changed = append(changed, aged(e.instance, now.Sub(e.at)))
		return true
	})
	return changed, s.cursor
}

// Revision rises with each change.
func (s *State) Revision() uint64 {
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
	if control == nil || !s.isNews(control) {
		return false
	}
	s.control = control
	s.bodies.add(control.Version, control.Configuration.GetBody())
	s.cursor++
	s.controlAt = s.cursor
	s.tell(&s.changed)
	return true
}

// isNews says whether a control state is newer than the one known. Both are chosen values: where that is so, what one
// version holds is always the same, and a later one has no older configuration.
func (s *State) isNews(control *tierpb.ControlState) bool {
	known := s.control
	if known == nil {
		return true
	}
	generation, told := known.Configuration.GetGeneration(), control.Configuration.GetGeneration()
	if control.Version == known.Version {
		invariant.Check(told == generation, invariant.OneValuePerVersion, told, generation)
	}
	if control.Version <= known.Version {
		return false
	}
	return invariant.Check(told >= generation && control.Epoch >= known.Epoch, invariant.GenerationMonotonic, told, generation)
}

// wholeControl is the control state of a reply, with the configuration's body made from a delta where there is one; nil
// where that does not fit.
func (s *State) wholeControl(reply *tierpb.WatchReply) *tierpb.ControlState {
	if reply.Body == nil || reply.Control == nil {
		return reply.Control
	}
	if s.control.GetVersion() != reply.Body.Base {
		return nil
	}
	body, err := apply(reply.Body, s.control.GetConfiguration().GetBody())
	if err != nil {
		return nil
	}
	whole := withoutBody(reply.Control)
	whole.Configuration.Body = body
	return whole
}

// withoutBody is a copy of a control state that shares all but the configuration's body, fields of later releases too.
func withoutBody(control *tierpb.ControlState) *tierpb.ControlState {
	told := &tierpb.ControlState{}
	from, to := control.ProtoReflect(), told.ProtoReflect()
	from.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		to.Set(field, value)
		return true
	})
	to.SetUnknown(from.GetUnknown())
	told.Configuration = &tierpb.Configuration{Generation: control.Configuration.GetGeneration()}
	return told
}

func (s *State) take(told *tierpb.Instance, source string) Change {
	s.dropGone()
	known := s.instances[told.Id]
	merged, change := join(known.instance, told)
	if change == Unchanged {
		return change
	}
	s.cursor++
	s.keep(known, entry{instance: merged, at: s.now(), source: source, describedAt: known.describedAt})
	if change == Material {
		s.changes.append(s.cursor, told.Id)
		s.tell(&s.changed)
		return change
	}
	s.heartbeats.append(s.cursor, told.Id)
	if source == "" { // others hear of the rest from where this State did
		s.tell(&s.beat)
	}
	return change
}

// keep puts an entry in the place of the one known.
func (s *State) keep(known, next entry) {
	if known.instance == nil || !sameDescription(known.instance, next.instance) {
		next.describedAt = s.cursor
	}
	s.summary.remove(known.instance)
	s.summary.add(next.instance)
	if known.instance != nil {
		s.counts[known.instance.State]--
	}
	s.counts[next.instance.State]++
	wasGone := known.instance.GetState() == tierpb.InstanceState_INSTANCE_DEREGISTERED
	if next.instance.State == tierpb.InstanceState_INSTANCE_DEREGISTERED && !wasGone {
		s.gone = append(s.gone, goneMark{id: next.instance.Id, at: next.at})
	}
	s.instances[next.instance.Id] = next
}

// takeMark merges what a mark tells of an instance. Of one that is not known only its end is noted.
func (s *State) takeMark(mark *tierpb.InstanceStatus, source string) Change {
	known := s.instances[mark.Id]
	if known.instance == nil {
		if mark.State != tierpb.InstanceState_INSTANCE_DEREGISTERED {
			return Unchanged
		}
		return s.take(&tierpb.Instance{Id: mark.Id, Sequence: mark.Sequence, State: mark.State}, source)
	}
	if mark.Sequence <= known.instance.Sequence && mark.State <= known.instance.State {
		return Unchanged
	}
	told := aged(known.instance, s.now().Sub(known.at)).CloneVT()
	switch {
	case mark.Description == 0 || mark.Description == descriptionDigest(told):
		told.Sequence, told.State = mark.Sequence, mark.State
	case IsTerminal(mark.State): // but the sequence stays, so that the description that goes with it is taken when it comes
		told.State = mark.State
	default:
		return Unchanged
	}
	return s.take(told, source)
}

// lacks says that a brief reply tells of something that is not known here.
func (s *State) lacks(reply *tierpb.WatchReply) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reply.ControlVersion > s.control.GetVersion() {
		return true
	}
	for _, mark := range reply.Statuses {
		known := s.instances[mark.Id].instance
		if known == nil || mark.Description != 0 && mark.Description != descriptionDigest(known) {
			return true
		}
	}
	return false
}

// digests returns a summary of the instances for a request, nil where there are none.
func (s *State) digests() []uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.instances) == 0 {
		return nil
	}
	return append([]uint32(nil), s.summary[:]...)
}

// dropGone forgets instances that have been gone for long; until then the mark keeps older news from bringing one back.
func (s *State) dropGone() {
	for len(s.gone) > 0 && s.now().Sub(s.gone[0].at) >= goneKept {
		id := s.gone[0].id
		s.gone = s.gone[1:]
		delete(s.instances, id)
		s.counts[tierpb.InstanceState_INSTANCE_DEREGISTERED]--
		s.changes.forget(id)
		s.heartbeats.forget(id)
	}
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
