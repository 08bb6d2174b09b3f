package watch

import (
	"context"
	"time"

	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// maxPollWait limits how long a source holds a poll, that is, waits for updates before it replies, even if the watcher requests
// more.
const maxPollWait = 5 * time.Second

// Source answers long polls. State and ReadinessGate implement it.
type Source interface {
	// Watch returns the updates after the request's position. It may wait for updates for up to WaitMs, and it may modify
	// the request.
	Watch(ctx context.Context, request *tierpb.WatchRequest) (*tierpb.WatchReply, error)
}

// Serve registers a source as the handler of a server's polls.
func Serve(server *rpc.Server, source Source) { rpc.Handle(server, rpc.MethodWatch, source.Watch) }

// Watch implements Source. It replies as soon as there are updates for the watcher, at the latest after WaitMs. An empty
// State has no updates, so it holds the polls of watchers that know more than it does. The only error is that of ctx.
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

// tryReply returns the updates for a watcher. If there are none, it returns nil and the channels that are closed at the
// next change and at the next heartbeat. The second one is nil if the watcher does not request heartbeats.
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

// hasUpdates reports whether a poll must be answered now. It ignores changes that are not published yet.
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

// listRevision returns the revision of the newest Material change of an instance or change of the advertised coordinators.
// Control states are not included, as watchers request them by version.
func (s *State) listRevision() uint64 { return max(s.changes.last(), s.advertisedRevision) }

// replyNow answers a poll without waiting. If there are no updates, the reply contains only the position.
func (s *State) replyNow(request *tierpb.WatchRequest) *tierpb.WatchReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buildReply(request)
}
