package watch

import (
	"context"
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
	if request.Compare {
		return true
	}
	if s.control != nil && s.control.Version > request.ControlVersion && s.controlAt <= s.published {
		return true
	}
	cursor := request.Cursor
	if request.Incarnation != s.feed {
		return len(s.instances) > 0 || len(s.coordinators) > 0
	}
	if !wantsInstances(request.Follower) {
		return s.listedAt > cursor && s.published > cursor
	}
	if s.newestListed() > cursor && s.published > cursor {
		return true
	}
	return request.Heartbeats && s.publishedHeartbeat > cursor && s.hasHeartbeatFor(request, cursor)
}

// newestListed is the cursor of the newest change that is not the control state's, whose version the follower tells.
func (s *State) newestListed() uint64 { return max(s.changes.last(), s.listedAt) }

// idle is the answer to a poll for which there is no news; it is empty but for the place in the feed.
func (s *State) idle(request *tierpb.WatchRequest) *tierpb.WatchReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reply(request)
}
