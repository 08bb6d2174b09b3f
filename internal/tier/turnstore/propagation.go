package turnstore

import (
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// propagationLead is how long before the acknowledged end of its retention the turn before a record is told the new one.
const propagationLead = 30 * time.Second

// propagation is the state of telling the replicas of the turn before a record until when to keep it. It exists while not all
// of them have acknowledged the chain end of the record.
type propagation struct {
	untilUnixMs int64    // that the replicas are told
	waitingFor  []uint64 // identities of the replicas that have not acknowledged it
}

// startPropagation begins the propagation of a record whose chain end has changed.
func (s *state) startPropagation(changed *record) {
	if changed.turn.Previous == "" || changed.ackedUnixMs >= changed.chainEndUnixMs {
		return
	}
	if s.propagations[changed.turn.Id] == nil {
		s.propagations[changed.turn.Id] = &propagation{}
	}
}

// restartPropagations begins the propagation of all records again, because replica sets may have changed.
func (s *state) restartPropagations() {
	clear(s.propagations)
	for _, existing := range s.records {
		existing.ackedUnixMs = 0
		s.startPropagation(existing)
	}
}

// isDue returns whether the chain end of a record must be propagated now. Until then the replicas keep the turn before it
// anyway, so one propagation serves many turns of a conversation that goes on.
func (r *record) isDue(now time.Time) bool {
	return r.ackedUnixMs < now.Add(propagationLead).UnixMilli()
}

// duePropagations returns the ids of the records whose chain end must be propagated now.
func (s *state) duePropagations(now time.Time) []string {
	var due []string
	for id := range s.propagations {
		if s.records[id].isDue(now) {
			due = append(due, id)
		}
	}
	return due
}

// pendingExtension is an extension of the turn before a record that a member has not acknowledged.
type pendingExtension struct {
	record    string // id of the record whose chain end is propagated
	extension *tierpb.RetentionExtension
}

// pendingExtensions returns the extensions that the propagations of some records must send, by the identity of the member. The
// function returns the members that hold a key, except this store, which has extended its own replica already.
func (s *state) pendingExtensions(
	ids []string, otherMembers func(key string) []*tierpb.Node,
) map[uint64][]pendingExtension {
	byMember := make(map[uint64][]pendingExtension)
	for _, id := range ids {
		existing, started := s.records[id], s.propagations[id]
		if existing == nil || started == nil {
			continue
		}
		previous := existing.turn.Previous
		if started.untilUnixMs != existing.chainEndUnixMs {
			started.untilUnixMs, started.waitingFor = existing.chainEndUnixMs, identitiesOf(otherMembers(previous))
		}
		extension := &tierpb.RetentionExtension{Id: previous, UntilUnixMs: started.untilUnixMs}
		for _, identity := range started.waitingFor {
			byMember[identity] = append(byMember[identity], pendingExtension{record: id, extension: extension})
		}
		s.endIfAcked(existing, started)
	}
	return byMember
}

// applyAcks records that a member has synced extensions.
func (s *state) applyAcks(member uint64, acked []pendingExtension) {
	for _, pending := range acked {
		existing, started := s.records[pending.record], s.propagations[pending.record]
		if existing == nil || started == nil || started.untilUnixMs != pending.extension.UntilUnixMs {
			continue // it was told something else meanwhile
		}
		started.waitingFor = slices.DeleteFunc(started.waitingFor, func(identity uint64) bool { return identity == member })
		s.endIfAcked(existing, started)
	}
}

// endIfAcked ends a propagation that all replicas have acknowledged. If the chain end has changed meanwhile, the next begins.
func (s *state) endIfAcked(existing *record, started *propagation) {
	if len(started.waitingFor) > 0 {
		return
	}
	existing.ackedUnixMs = started.untilUnixMs
	delete(s.propagations, existing.turn.Id)
	s.startPropagation(existing)
}

// hasNewPropagation returns whether any of the extended records has a chain end that is not being propagated yet and must be now.
func (s *state) hasNewPropagation(extensions []*tierpb.RetentionExtension, now time.Time) bool {
	return slices.ContainsFunc(extensions, func(extension *tierpb.RetentionExtension) bool {
		started, existing := s.propagations[extension.Id], s.records[extension.Id]
		return started != nil && started.untilUnixMs != existing.chainEndUnixMs && existing.isDue(now)
	})
}

// restartPropagations begins the propagation of all records again.
func (s *Store) restartPropagations() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.restartPropagations()
}

// hasPropagations returns whether any propagation has not ended.
func (s *Store) hasPropagations() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.state.propagations) > 0
}

// duePropagations returns the ids of the records whose chain end must be propagated now.
func (s *Store) duePropagations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.duePropagations(s.options.Now())
}

// pendingExtensions returns what state.pendingExtensions returns.
func (s *Store) pendingExtensions(
	ids []string, otherMembers func(key string) []*tierpb.Node,
) map[uint64][]pendingExtension {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.pendingExtensions(ids, otherMembers)
}

// applyAcks records that a member has synced extensions.
func (s *Store) applyAcks(member uint64, acked []pendingExtension) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.applyAcks(member, acked)
}

// continuePropagation makes the propagator continue soon if a propagation of another store has reached records of which the
// turns before must be told now.
func (s *Store) continuePropagation(extensions []*tierpb.RetentionExtension) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.hasNewPropagation(extensions, s.options.Now()) {
		signal(s.propagationUrgent)
	}
}

// signal sends a value to a channel with a buffer of one, unless one is there already.
func signal(to chan<- struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}

func identitiesOf(members []*tierpb.Node) []uint64 {
	identities := make([]uint64, len(members))
	for i, member := range members {
		identities[i] = member.Identity
	}
	return identities
}
