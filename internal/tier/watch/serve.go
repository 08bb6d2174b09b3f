package watch

import (
	"context"
	"time"

	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// maxPollWait is the longest that a source holds a poll, whatever the watcher asks for.
const maxPollWait = 5 * time.Second

// Source answers long polls. State and ReadinessGate implement it.
type Source interface {
	// Watch returns what is newer than the request's position. It may hold the poll until there is something, no
	// longer than WaitMs. It may modify the request.
	Watch(ctx context.Context, request *tierpb.WatchRequest) (*tierpb.WatchReply, error)
}

// Serve registers a source as the server's handler of polls.
func Serve(server *rpc.Server, source Source) { rpc.Handle(server, rpc.MethodWatch, source.Watch) }

// Watch implements Source. It replies at once if there are updates for the watcher, else when there are or when WaitMs
// is over. An empty State has no updates, so a watcher that knows more than it waits. The only error is that of ctx.
func (s *State) Watch(ctx context.Context, request *tierpb.WatchRequest) (*tierpb.WatchReply, error) {
	var timeout <-chan time.Time
	for {
		reply, changed, heartbeat := s.tryReply(request)
		if reply != nil {
			return reply, nil
		}
		if request.WaitMs == 0 {
			return s.replyNow(request), nil
		}
		if timeout == nil {
			timer := time.NewTimer(min(time.Duration(request.WaitMs)*time.Millisecond, maxPollWait))
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-changed:
		case <-heartbeat:
		case <-timeout:
			return s.replyNow(request), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// tryReply returns the updates for a watcher, or nil and the channels that are closed when there may be some; the second
// is nil for a watcher without heartbeats.
func (s *State) tryReply(request *tierpb.WatchRequest) (*tierpb.WatchReply, <-chan struct{}, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasUpdates(request) {
		return s.buildReply(request), nil, nil
	}
	if request.Heartbeats {
		return nil, s.changeSignal.channel, s.heartbeatSignal.channel
	}
	return nil, s.changeSignal.channel, nil
}

// hasUpdates reports whether a poll is to be answered now. Changes that are not published yet do not count.
func (s *State) hasUpdates(request *tierpb.WatchRequest) bool {
	if request.Compare {
		return true
	}
	if s.control != nil && s.control.Version > request.ControlVersion && s.controlRevision <= s.publishedRevision {
		return true
	}
	cursor := request.Cursor
	if request.Incarnation != s.incarnation {
		return len(s.instances) > 0 || len(s.advertisedCoordinators) > 0
	}
	if !wantsInstances(request.Watcher) {
		return s.advertisedRevision > cursor && s.publishedRevision > cursor
	}
	if s.listRevision() > cursor && s.publishedRevision > cursor {
		return true
	}
	return request.Heartbeats && s.publishedHeartbeatRevision > cursor && s.hasHeartbeatFor(request, cursor)
}

// listRevision is the revision of the newest change of the instances or the coordinators. A watcher's position in the
// control state is its version instead.
func (s *State) listRevision() uint64 { return max(s.changes.last(), s.advertisedRevision) }

// replyNow answers a poll whether there are updates or not; without, the reply holds only the position.
func (s *State) replyNow(request *tierpb.WatchRequest) *tierpb.WatchReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buildReply(request)
}
