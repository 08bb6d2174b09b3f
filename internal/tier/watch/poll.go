package watch

import (
	"context"
	"time"

	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// place is how far a source's feed has been taken in.
type place struct {
	feed     uint64
	cursor   uint64
	begins   bool   // not all that the source knows has been told yet
	whole    bool   // the last reply could not be taken in: it is to come whole
	middle   uint64 // cursor at middleAt
	older    uint64 // cursor at least rewindTime before middleAt
	middleAt time.Time
	rewound  uint64 // cursor before it was rewound, until the source has answered; 0 where it was not

	compareAt time.Time // when the lists are to be compared next
}

// advance notes a reply that was taken in.
func (p *place) advance(reply *tierpb.WatchReply, now time.Time) {
	if p.feed != reply.Incarnation {
		*p = place{feed: reply.Incarnation, compareAt: now.Add(jittered(compareUnanswered))}
	}
	p.cursor, p.begins, p.whole, p.rewound = reply.Cursor, reply.More, false, 0
	if now.Sub(p.middleAt) >= rewindTime {
		p.older, p.middle, p.middleAt = p.middle, p.cursor, now
	}
}

// poll asks a source once. The first poll of a source is not to be held, so that one which cannot answer is known soon.
func (f *Watcher) poll(ctx context.Context, address string, first bool) error {
	wait := f.options.PollWait
	if first {
		wait = 0
	}
	request := f.request(address, wait, first)
	request.AcceptNotReady = f.mayBeStale()
	if request.Compare {
		request.WaitMs = 0
	}
	reply := &tierpb.WatchReply{}
	asked := f.options.Now()
	if err := f.call(ctx, address, wait+replySlack, request, reply); err != nil {
		return err
	}
	f.options.State.mergeFrom(reply, address)
	if f.options.OnReply != nil {
		f.options.OnReply(address, reply, asked)
	}
	if reply.GetResponder().GetNotReady() {
		return ErrNotReady
	}
	f.heardReady()
	taken := f.options.State.Control().GetVersion() >= reply.Control.GetVersion()
	if request.DigestsOnly {
		taken = f.catchUp(ctx, reply)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sources[address]
	switch {
	case s == nil:
	case taken:
		s.place.advance(reply, time.Now())
		if request.Compare {
			s.place.compared(reply, time.Now())
		}
	default:
		s.place.whole = true
	}
	return nil
}

func (f *Watcher) call(ctx context.Context, address string, within time.Duration, request, reply rpc.Message) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	return f.options.Caller.Call(ctx, address, rpc.MethodWatch, request, reply)
}

// request asks for what is new since the place in the source's feed. The first one of a source also sums up what is known, as
// others have told of most of what happened since it was last asked.
func (f *Watcher) request(address string, wait time.Duration, first bool) *tierpb.WatchRequest {
	request := &tierpb.WatchRequest{
		ControlVersion: f.options.State.Control().GetVersion(), WaitMs: uint32(wait / time.Millisecond),
		Follower: f.options.Self, Heartbeats: f.options.Heartbeats,
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	at := place{}
	if s := f.sources[address]; s != nil {
		at = s.place
	}
	request.Incarnation, request.Cursor = at.feed, at.cursor
	if first || at.cursor == 0 || at.begins {
		request.Summary = f.options.State.digests()
	}
	if f.options.Heartbeats {
		request.OtherSources = f.answering()
	}
	request.DigestsOnly = !f.isPrimary(address) && !at.whole
	if f.options.Reconcile && !request.DigestsOnly && at.compares(time.Now()) {
		request.Compare, request.Summary = true, f.options.State.digests()
	}
	request.FullBody = at.whole
	return request
}

// isPrimary says whether a source is to tell all. The first one asked is, until it fails; a Watcher of all sources has
// no other.
func (f *Watcher) isPrimary(address string) bool {
	if f.options.MaxSources == 0 {
		return true
	}
	if f.primary == "" {
		f.primary = address
	}
	return f.primary == address
}

// dismiss lets another source become the primary.
func (f *Watcher) dismiss(address string) {
	if f.primary == address {
		f.primary = ""
	}
}

func (f *Watcher) hasPrimary() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.primary != ""
}

// catchUp says whether all that a brief reply tells of is known; where it is not, the primary is given a moment.
func (f *Watcher) catchUp(ctx context.Context, reply *tierpb.WatchReply) bool {
	var timeout <-chan time.Time
	for {
		changed := f.options.State.Changed()
		if !f.options.State.lacks(reply) {
			return true
		}
		if !f.hasPrimary() {
			return false
		}
		if timeout == nil {
			timer := time.NewTimer(catchUpWait)
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

// heardReady notes that a source which is ready has answered.
func (f *Watcher) heardReady() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readyAt = time.Now()
}

// mayBeStale says that nothing is known and no source that is ready has answered for long: what others have is better
// than nothing.
func (f *Watcher) mayBeStale() bool {
	if f.options.State.Control() != nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.readyAt) > staleAfter
}

// rewind has the sources that answer tell again what came lately: they left out what the source that failed seemed to
// tell. That one goes on where it was: after a long cut, what it told before may have been forgotten by all others.
func (f *Watcher) rewind() {
	for _, s := range f.sources {
		if s.answers && s.place.older < s.place.cursor {
			s.place.rewound = max(s.place.rewound, s.place.cursor)
			s.place.cursor = s.place.older
		}
	}
}

// unwind takes a rewind back that the source has not answered.
func (p *place) unwind() { p.cursor, p.rewound = max(p.cursor, p.rewound), 0 }
