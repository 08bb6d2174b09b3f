package watch

import (
	"slices"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// maxInstancesPerReply is the maximum number of full descriptions in a reply. A longer list is split into several replies,
// so that each arrives within the watcher's time-out on a slow link.
const maxInstancesPerReply = 512

// buildReply returns the updates since a watcher's position. There may be none.
func (s *State) buildReply(request *tierpb.WatchRequest) *tierpb.WatchReply {
	reply := &tierpb.WatchReply{Incarnation: s.incarnation, Cursor: s.revision}
	s.addControl(request, reply)
	cursor, hasSummary := request.Cursor, len(request.Summary) > 0
	if request.Incarnation != s.incarnation {
		cursor = 0
	}
	if s.advertisedRevision > cursor {
		reply.Coordinators = s.advertisedCoordinators
	}
	switch {
	case !wantsInstances(request.Watcher):
	case request.Incarnation != s.incarnation && request.Cursor > 0 && !hasSummary:
		reply.Cursor, reply.More = 0, true // its position is in another incarnation: make it send a summary
	default:
		s.addInstances(request, cursor, reply)
	}
	return reply
}

func (s *State) addControl(request *tierpb.WatchRequest, reply *tierpb.WatchReply) {
	switch {
	case s.control == nil || s.control.Version <= request.ControlVersion:
	case request.DigestsOnly:
		reply.ControlVersion = s.control.Version
	default:
		reply.Control = controlFor(request.Watcher, s.control)
		s.replaceBodyByDelta(request, reply)
	}
}

// replaceBodyByDelta replaces the configuration's body by a delta against that of the watcher's version, if there is
// one.
func (s *State) replaceBodyByDelta(request *tierpb.WatchRequest, reply *tierpb.WatchReply) {
	if request.FullBody || len(reply.Control.Configuration.GetBody()) == 0 {
		return
	}
	if delta := s.bodies.deltaFrom(request.ControlVersion); delta != nil {
		reply.Control, reply.Body = withoutBody(reply.Control), delta
	}
}

// addInstances adds the instances that changed after the cursor: in full if the description is new to the watcher, else as
// a status.
func (s *State) addInstances(request *tierpb.WatchRequest, cursor uint64, reply *tierpb.WatchReply) {
	now := s.now()
	s.changes.since(cursor, func(id string, changedAt uint64) bool {
		e := s.instances[id]
		switch {
		case isDeregistered(e.instance):
			reply.Statuses = append(reply.Statuses, statusOf(e.instance))
		case s.summary.matches(request.Summary, id):
		case request.DigestsOnly:
			reply.Statuses = append(reply.Statuses, statusWithDigest(e, cursor))
		case e.descriptionRevision <= cursor:
			reply.Statuses = append(reply.Statuses, statusOf(e.instance))
		case len(reply.Instances) == maxInstancesPerReply:
			reply.More = true
			return false
		default:
			reply.Instances = append(reply.Instances, e.instanceAt(now))
		}
		reply.Cursor = changedAt
		return true
	})
	if reply.More {
		return
	}
	reply.Cursor = s.revision
	if request.Compare && s.isSynchronized() {
		s.addDifferences(request, reply)
	}
	if request.Heartbeats {
		reply.Statuses = s.appendHeartbeats(request, cursor, reply.Statuses)
	}
}

// appendHeartbeats appends the heartbeats after the cursor, except those of instances that the reply contains already and
// those that this State received from the watcher itself or from another of its sources.
func (s *State) appendHeartbeats(
	request *tierpb.WatchRequest, cursor uint64, statuses []*tierpb.InstanceStatus,
) []*tierpb.InstanceStatus {
	s.heartbeats.since(cursor, func(id string, _ uint64) bool {
		e := s.instances[id]
		inReply := s.changes.newestRevision[id] > cursor && !s.summary.matches(request.Summary, id)
		if !inReply && !receivesFrom(request, e.source) {
			statuses = append(statuses, statusOf(e.instance))
		}
		return true
	})
	return statuses
}

// hasHeartbeatFor reports whether there is a heartbeat after the cursor that the watcher does not receive from another
// source.
func (s *State) hasHeartbeatFor(request *tierpb.WatchRequest, cursor uint64) bool {
	found := false
	s.heartbeats.since(cursor, func(id string, _ uint64) bool {
		found = !receivesFrom(request, s.instances[id].source)
		return !found
	})
	return found
}

// receivesFrom reports whether a watcher receives the updates of the source at an address directly, because it is that
// source or watches it. It is false for an empty address, which stands for updates without a source.
func receivesFrom(request *tierpb.WatchRequest, source string) bool {
	return source != "" && (request.GetWatcher().GetAddress() == source || slices.Contains(request.OtherSources, source))
}

func statusOf(instance *tierpb.Instance) *tierpb.InstanceStatus {
	return &tierpb.InstanceStatus{Id: instance.Id, Sequence: instance.Sequence, State: instance.State}
}

// statusWithDigest returns a status with the digest of the description if that is newer than the cursor. By the digest the
// watcher detects whether its primary has already sent the description.
func statusWithDigest(e instanceEntry, cursor uint64) *tierpb.InstanceStatus {
	status := statusOf(e.instance)
	if e.descriptionRevision > cursor {
		status.Description = descriptionDigest(e.instance)
	}
	return status
}

// wantsInstances reports whether a watcher uses the list of instances; turn stores do not.
func wantsInstances(watcher *tierpb.Node) bool {
	return watcher.GetRole() != tierpb.Role_ROLE_TURN_STORE
}
