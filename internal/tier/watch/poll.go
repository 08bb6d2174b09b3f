package watch

import (
	"context"
	"time"

	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Times of a poll.
const (
	// DefaultPollWait is how long a source may hold a poll. It bounds how late a watcher notices that a source is dead.
	DefaultPollWait = 700 * time.Millisecond
	// pollGrace is the time for a held poll to be answered after its wait is over.
	pollGrace = 400 * time.Millisecond
	// MaxPollDuration is the longest that a poll held for DefaultPollWait may take; after it the poll has failed.
	MaxPollDuration = DefaultPollWait + pollGrace

	catchUpTimeout = 100 * time.Millisecond // for which the primary may lag behind another source
	// acceptNotReadyAfter is how long a watcher that knows nothing waits for a source that is ready, before it accepts
	// a state that may be old.
	acceptNotReadyAfter = 1500 * time.Millisecond
)

// poll asks a source once and merges the reply. The first poll of a source is not held, so that a source that cannot
// answer is noticed soon.
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
	w.noteReadySource()
	merged := w.options.State.Control().GetVersion() >= reply.Control.GetVersion()
	if request.DigestsOnly {
		merged = w.awaitPrimary(ctx, reply)
	}
	w.movePosition(address, request, reply, merged)
	return nil
}

// movePosition advances the position in a source past a merged reply. One that could not be merged is asked for again,
// with the full body.
func (w *Watcher) movePosition(address string, request *tierpb.WatchRequest, reply *tierpb.WatchReply, merged bool) {
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

// newRequest asks for what is newer than the position in a source. The first request to a source also carries a
// summary, as other sources have sent most of what happened since it was last asked.
func (w *Watcher) newRequest(address string, wait time.Duration, first bool) *tierpb.WatchRequest {
	request := &tierpb.WatchRequest{
		ControlVersion: w.options.State.Control().GetVersion(), WaitMs: uint32(wait / time.Millisecond),
		Watcher: w.options.Self, Heartbeats: w.options.Heartbeats,
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	from := position{}
	if s := w.sources[address]; s != nil {
		from = s.position
	}
	request.Incarnation, request.Cursor = from.incarnation, from.cursor
	if first || from.cursor == 0 || from.incomplete {
		request.Summary = w.options.State.digests()
	}
	if w.options.Heartbeats {
		request.OtherSources = w.respondingSources()
	}
	request.DigestsOnly = !w.isPrimary(address) && !from.needsFullBody
	if w.options.Reconcile && !request.DigestsOnly && from.reconcileDue(time.Now()) {
		request.Compare, request.Summary = true, w.options.State.digests()
	}
	request.FullBody = from.needsFullBody
	return request
}

// isPrimary reports whether a source is to send everything. The first source that is asked is the primary until it
// fails; for a Watcher of all sources each is.
func (w *Watcher) isPrimary(address string) bool {
	if w.options.MaxSources == 0 {
		return true
	}
	if w.primary == "" {
		w.primary = address
	}
	return w.primary == address
}

// resignPrimary lets another source become the primary.
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

// awaitPrimary reports whether everything that a digests-only reply names is known. The primary is given a moment to
// send what is not.
func (w *Watcher) awaitPrimary(ctx context.Context, reply *tierpb.WatchReply) bool {
	var timeout <-chan time.Time
	for {
		changed := w.options.State.Changed()
		if !w.options.State.isMissing(reply) {
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

// noteReadySource notes that a source that is ready has answered.
func (w *Watcher) noteReadySource() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.readyReplyAt = time.Now()
	recordReadyReply()
}

// acceptsNotReady reports whether nothing is known and no source that is ready has answered for long: then a state that
// may be old is better than none.
func (w *Watcher) acceptsNotReady() bool {
	if w.options.State.Control() != nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.readyReplyAt) > acceptNotReadyAfter
}

// rewindOthers has the responding sources send the latest heartbeats again: they left out those that the failed source
// seemed to send. The position in the failed source stays: after a long partition, what it sent before may have been
// forgotten by all others.
func (w *Watcher) rewindOthers() {
	for _, s := range w.sources {
		if s.responding {
			s.position.rewind()
		}
	}
}
