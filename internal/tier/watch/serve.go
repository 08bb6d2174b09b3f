package watch

import (
	"context"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// maxWait bounds how long a poll is held, whatever the follower asks for.
const maxWait = 5 * time.Second

// Source answers long polls.
type Source interface {
	Watch(ctx context.Context, request *tierpb.WatchRequest) (*tierpb.WatchReply, error)
}

// Serve lets a server answer polls out of a source.
func Serve(server *rpc.Server, source Source) { rpc.Handle(server, rpc.MethodWatch, source.Watch) }

// Watch answers a poll: at once when there is news for the follower, else when there is or when its time is up. An
// empty State has no news, so a follower that knows more waits.
func (s *State) Watch(ctx context.Context, request *tierpb.WatchRequest) (*tierpb.WatchReply, error) {
	var timeout <-chan time.Time
	for {
		reply, changed, beat := s.poll(request)
		if reply != nil {
			return reply, nil
		}
		if request.WaitMs == 0 {
			return s.idle(request), nil
		}
		if timeout == nil {
			timer := time.NewTimer(min(time.Duration(request.WaitMs)*time.Millisecond, maxWait))
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-changed:
		case <-beat:
		case <-timeout:
			return s.idle(request), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// poll returns the news for a follower, or nil and the channels that are closed when there may be some.
func (s *State) poll(request *tierpb.WatchRequest) (*tierpb.WatchReply, <-chan struct{}, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasNews(request) {
		return s.reply(request), nil, nil
	}
	if request.Heartbeats {
		return nil, s.changed.channel, s.beat.channel
	}
	return nil, s.changed.channel, nil
}

func (s *State) hasNews(request *tierpb.WatchRequest) bool {
	if s.control != nil && s.control.Version > request.ControlVersion && s.controlAt <= s.published {
		return true
	}
	cursor := request.Cursor
	if request.Feed != s.feed {
		return len(s.instances) > 0 || len(s.coordinators) > 0
	}
	if !wantsInstances(request.Follower) {
		return s.listedAt > cursor && s.published > cursor
	}
	if s.newestListed() > cursor && s.published > cursor {
		return true
	}
	return request.Heartbeats && s.publishedHeartbeat > cursor && len(s.heartbeatsFor(request, cursor)) > 0
}

// newestListed is the cursor of the newest change that is not the control state's, whose version the follower tells.
func (s *State) newestListed() uint64 { return max(s.changes.last(), s.listedAt) }

// idle is the answer to a poll for which there is no news; it is empty but for the place in the feed.
func (s *State) idle(request *tierpb.WatchRequest) *tierpb.WatchReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reply(request)
}

func (s *State) reply(request *tierpb.WatchRequest) *tierpb.WatchReply {
	reply := &tierpb.WatchReply{Feed: s.feed, Cursor: s.cursor}
	cursor := request.Cursor
	if request.Feed != s.feed {
		cursor = 0
	}
	if s.control != nil && s.control.Version > request.ControlVersion {
		reply.Control = controlFor(request.Follower, s.control)
	}
	if s.listedAt > cursor {
		reply.Coordinators = s.coordinators
	}
	if !wantsInstances(request.Follower) {
		return reply
	}
	reply.Instances = s.collect(&s.changes, cursor, nil)
	if request.Heartbeats {
		reply.Heartbeats = s.heartbeatsFor(request, cursor)
	}
	return reply
}

// heartbeatsFor lists the heartbeats that a follower is not told of otherwise: not those of instances that it gets
// whole, nor what it told itself, nor what comes from sources that it hears.
func (s *State) heartbeatsFor(request *tierpb.WatchRequest, cursor uint64) []*tierpb.Heartbeat {
	var told []*tierpb.Heartbeat
	s.heartbeats.since(cursor, func(id string) {
		e := s.instances[id]
		if s.changes.newest[id] > cursor || e.source != "" && hears(request, e.source) {
			return
		}
		told = append(told, &tierpb.Heartbeat{Id: id, Sequence: e.instance.Sequence, State: e.instance.State})
	})
	return told
}

// hears says that a follower is or hears the process at an address.
func hears(request *tierpb.WatchRequest, address string) bool {
	return request.GetFollower().GetAddress() == address || slices.Contains(request.Hears, address)
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
