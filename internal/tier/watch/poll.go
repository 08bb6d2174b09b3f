package watch

import (
	"context"
	"time"

	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Timing of polls.
const (
	// DefaultPollWait is how long a source without updates may wait for one before it replies to a poll. It bounds how late a
	// watcher notices that a source is dead.
	DefaultPollWait = 700 * time.Millisecond
	// pollGrace is how long the reply to a poll may take in addition to the time for which the source may wait.
	pollGrace = 400 * time.Millisecond
	// MaxPollDuration is the time-out of a poll with a wait of DefaultPollWait.
	MaxPollDuration = DefaultPollWait + pollGrace

	// catchUpTimeout is how long the primary may lag behind another source before the watcher requests full updates
	// from that source.
	catchUpTimeout = 100 * time.Millisecond
	// acceptNotReadyAfter is how long a watcher without a control state waits for a source that is ready, before it
	// accepts a state that may be outdated.
	acceptNotReadyAfter = 1500 * time.Millisecond
)

// poll sends one poll, a long-polling request, to a source and merges the reply. The first poll of a source has a wait of 0, so
// that the source replies at once and one that does not respond is detected early.
func (w *Watcher) poll(ctx context.Context, address string, first bool) error {
	wait := w.options.PollWait
	if first {
		wait = 0
	}
	request := w.newRequest(address, wait, first)
	request.AcceptNotReady = w.acceptsNotReady()
	if request.Compare {
		request.WaitMs = 0
	}
	reply := &tierpb.WatchReply{}
	sentAt := w.options.Now()
	if err := w.call(ctx, address, wait+pollGrace, request, reply); err != nil {
		return err
	}
	w.options.State.mergeFrom(reply, address)
	if w.options.OnReply != nil {
		w.options.OnReply(address, reply, sentAt)
	}
	if reply.GetResponder().GetNotReady() {
		return ErrNotReady
	}
	w.markReadySource()
	// The control state of the reply was not merged if its body is a delta that does not apply to the known body. A
	// digests-only reply counts as merged once the State has the updates that it names, which the primary sends.
	merged := w.options.State.Control().GetVersion() >= reply.Control.GetVersion()
	if request.DigestsOnly {
		merged = w.awaitPrimary(ctx, reply)
	}
	w.updatePosition(address, request, reply, merged)
	return nil
}

// updatePosition advances the position in a source after a merged reply. If the reply could not be merged completely, the
// cursor stays, and the next request asks for full updates, with the whole body of the configuration instead of a delta.
func (w *Watcher) updatePosition(address string, request *tierpb.WatchRequest, reply *tierpb.WatchReply, merged bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.sources[address]
	switch {
	case s == nil:
	case merged:
		s.position.advance(reply, time.Now())
		if request.Compare {
			s.position.scheduleReconcile(reply, time.Now())
		}
	default:
		s.position.needsFullBody = true
	}
}

func (w *Watcher) call(ctx context.Context, address string, timeout time.Duration, request, reply rpc.Message) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return w.options.Caller.Call(ctx, address, rpc.MethodWatch, request, reply)
}

// newRequest returns a request for the updates after the position in a source. It has a summary (digests of the known
// instances) if it is the first since the watcher began to poll this source, if there is no cursor yet, or if the first
// snapshot is incomplete: the source then omits what other sources have already sent. A request that compares the lists of
// instances has a summary as well.
func (w *Watcher) newRequest(address string, wait time.Duration, first bool) *tierpb.WatchRequest {
	request := &tierpb.WatchRequest{
		ControlVersion: w.options.State.Control().GetVersion(), WaitMs: uint32(wait / time.Millisecond),
		Watcher: w.options.Self, Heartbeats: w.options.Heartbeats,
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	sourcePosition := position{}
	if s := w.sources[address]; s != nil {
		sourcePosition = s.position
	}
	request.Incarnation, request.Cursor = sourcePosition.incarnation, sourcePosition.cursor
	if first || sourcePosition.cursor == 0 || sourcePosition.incomplete {
		request.Summary = w.options.State.digests()
	}
	if w.options.Heartbeats {
		request.OtherSources = w.respondingSources()
	}
	request.DigestsOnly = !w.isPrimary(address) && !sourcePosition.needsFullBody
	if w.options.Reconcile && !request.DigestsOnly && sourcePosition.reconcileDue(time.Now()) {
		request.Compare, request.Summary = true, w.options.State.digests()
	}
	request.FullBody = sourcePosition.needsFullBody
	return request
}

// isPrimary reports whether a source must send full updates. If there is no primary, the source becomes the primary. A
// Watcher of all sources (MaxSources 0) requests full updates from each. The caller holds mu.
func (w *Watcher) isPrimary(address string) bool {
	if w.options.MaxSources == 0 {
		return true
	}
	if w.primary == "" {
		w.primary = address
	}
	return w.primary == address
}

// resignPrimary ends the role of a source as the primary, if it has it. The caller holds mu.
func (w *Watcher) resignPrimary(address string) {
	if w.primary == address {
		w.primary = ""
	}
}

func (w *Watcher) hasPrimary() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.primary != ""
}

// awaitPrimary reports whether the State has everything that a digests-only reply names. If not, it first waits up to
// catchUpTimeout for the primary to send the rest.
func (w *Watcher) awaitPrimary(ctx context.Context, reply *tierpb.WatchReply) bool {
	var timeout <-chan time.Time
	for {
		changed := w.options.State.Changed()
		if !w.options.State.isBehind(reply) {
			return true
		}
		if !w.hasPrimary() {
			return false
		}
		if timeout == nil {
			timer := time.NewTimer(catchUpTimeout)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-changed:
		case <-timeout:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// markReadySource records that a source that is ready has replied.
func (w *Watcher) markReadySource() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.readyReplyAt = time.Now()
	recordReadyReply()
}

// acceptsNotReady reports whether the State has no control state and no source that is ready has replied for
// acceptNotReadyAfter. Then a state that may be outdated is better than none.
func (w *Watcher) acceptsNotReady() bool {
	if w.options.State.Control() != nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.readyReplyAt) > acceptNotReadyAfter
}

// rewindOthers makes the responding sources send the latest heartbeats again after a source has failed, because they omitted
// those that they assumed the failed source to send. The position in the failed source is kept, because after a long
// partition the other sources may have dropped what only this one can still send. The caller holds mu.
func (w *Watcher) rewindOthers() {
	for _, s := range w.sources {
		if s.responding {
			s.position.rewind()
		}
	}
}
