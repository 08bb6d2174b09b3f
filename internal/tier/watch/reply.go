package watch

import (
	"slices"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// wholeMost is how many instances a reply describes whole; a longer list is told in several replies, so that none
// outlasts the follower's patience on a slow link.
const wholeMost = 512

// reply tells a follower what is new for it, be it anything or nothing.
func (s *State) reply(request *tierpb.WatchRequest) *tierpb.WatchReply {
	reply := &tierpb.WatchReply{Incarnation: s.feed, Cursor: s.cursor}
	s.tellControl(request, reply)
	cursor, summarized := request.Cursor, len(request.Summary) > 0
	if request.Incarnation != s.feed {
		cursor = 0
	}
	if s.listedAt > cursor {
		reply.Coordinators = s.coordinators
	}
	switch {
	case !wantsInstances(request.Follower):
	case request.Incarnation != s.feed && request.Cursor > 0 && !summarized:
		reply.Cursor, reply.More = 0, true // it followed another feed: its summary tells what it lacks
	default:
		s.tellInstances(request, cursor, reply)
	}
	return reply
}

func (s *State) tellControl(request *tierpb.WatchRequest, reply *tierpb.WatchReply) {
	switch {
	case s.control == nil || s.control.Version <= request.ControlVersion:
	case request.DigestsOnly:
		reply.ControlVersion = s.control.Version
	default:
		reply.Control = controlFor(request.Follower, s.control)
		s.tellDelta(request, reply)
	}
}

// tellDelta replaces the configuration's body by what leads to it from the one that the follower has.
func (s *State) tellDelta(request *tierpb.WatchRequest, reply *tierpb.WatchReply) {
	if request.FullBody || len(reply.Control.Configuration.GetBody()) == 0 {
		return
	}
	if delta := s.bodies.delta(request.ControlVersion); delta != nil {
		reply.Control, reply.Body = withoutBody(reply.Control), delta
	}
}

// tellInstances adds what changed after the cursor: whole where the description is new for the follower, else as marks.
func (s *State) tellInstances(request *tierpb.WatchRequest, cursor uint64, reply *tierpb.WatchReply) {
	now := s.now()
	s.changes.since(cursor, func(id string, at uint64) bool {
		e := s.instances[id]
		switch {
		case e.instance.State == tierpb.InstanceState_INSTANCE_DEREGISTERED:
			reply.Statuses = append(reply.Statuses, markOf(e.instance))
		case s.summary.agrees(request.Summary, id):
		case request.DigestsOnly:
			reply.Statuses = append(reply.Statuses, briefMark(e, cursor))
		case e.describedAt <= cursor:
			reply.Statuses = append(reply.Statuses, markOf(e.instance))
		case len(reply.Instances) == wholeMost:
			reply.More = true
			return false
		default:
			reply.Instances = append(reply.Instances, aged(e.instance, now.Sub(e.at)))
		}
		reply.Cursor = at
		return true
	})
	if reply.More {
		return
	}
	reply.Cursor = s.cursor
	if request.Compare && s.hasListened() {
		s.tellDiffering(request, reply)
	}
	if request.Heartbeats {
		reply.Statuses = s.tellHeartbeats(request, cursor, reply.Statuses)
	}
}

// tellHeartbeats appends the heartbeats that a follower is not told of otherwise: not those of instances that it gets
// anyway, nor what it told itself, nor what comes from sources that it hears.
func (s *State) tellHeartbeats(request *tierpb.WatchRequest, cursor uint64, to []*tierpb.InstanceStatus) []*tierpb.InstanceStatus {
	s.heartbeats.since(cursor, func(id string, _ uint64) bool {
		e := s.instances[id]
		told := s.changes.newest[id] > cursor && !s.summary.agrees(request.Summary, id)
		if !told && !hears(request, e.source) {
			to = append(to, markOf(e.instance))
		}
		return true
	})
	return to
}

// hasHeartbeatFor says whether tellHeartbeats would append any.
func (s *State) hasHeartbeatFor(request *tierpb.WatchRequest, cursor uint64) bool {
	found := false
	s.heartbeats.since(cursor, func(id string, _ uint64) bool {
		found = !hears(request, s.instances[id].source)
		return !found
	})
	return found
}

// hears says that a follower is or hears the source at an address; a store's own call has none.
func hears(request *tierpb.WatchRequest, source string) bool {
	return source != "" && (request.GetFollower().GetAddress() == source || slices.Contains(request.OtherSources, source))
}

func markOf(instance *tierpb.Instance) *tierpb.InstanceStatus {
	return &tierpb.InstanceStatus{Id: instance.Id, Sequence: instance.Sequence, State: instance.State}
}

// briefMark also says which description is new.
func briefMark(e entry, cursor uint64) *tierpb.InstanceStatus {
	mark := markOf(e.instance)
	if e.describedAt > cursor {
		mark.Description = descriptionDigest(e.instance)
	}
	return mark
}

// wantsInstances says whether a follower has a use for the list of instances: turn stores have none.
func wantsInstances(follower *tierpb.Node) bool {
	return follower.GetRole() != tierpb.Role_ROLE_TURN_STORE
}

// controlFor leaves out what only coordinators need: the orders taken are most of a control state with few routes.
// Turn stores need no configuration either.
func controlFor(follower *tierpb.Node, control *tierpb.ControlState) *tierpb.ControlState {
	if follower.GetRole() == tierpb.Role_ROLE_COORDINATOR {
		return control
	}
	told := &tierpb.ControlState{
		Version: control.Version, Epoch: control.Epoch, Voters: control.Voters, Stores: control.Stores,
		Configuration: control.Configuration, Retirements: control.Retirements,
	}
	if follower.GetRole() == tierpb.Role_ROLE_TURN_STORE {
		told.Configuration = nil
	}
	return told
}
