package watch

import (
	"time"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// tombstoneTTL is how long a deregistered instance is kept, so that an older update that arrives late does not add it
// again.
const tombstoneTTL = time.Minute

// tombstone refers to a deregistered instance.
type tombstone struct {
	id        string
	createdAt time.Time
}

// expireTombstones removes the instances that were deregistered at least tombstoneTTL ago.
func (s *State) expireTombstones() {
	for len(s.tombstones) > 0 && s.now().Sub(s.tombstones[0].createdAt) >= tombstoneTTL {
		id := s.tombstones[0].id
		s.tombstones = s.tombstones[1:]
		delete(s.instances, id)
		s.countByState[tierpb.InstanceState_INSTANCE_DEREGISTERED]--
		s.changes.forget(id)
		s.heartbeats.forget(id)
	}
}

func isDeregistered(instance *tierpb.Instance) bool {
	return instance.GetState() == tierpb.InstanceState_INSTANCE_DEREGISTERED
}
