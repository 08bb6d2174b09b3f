package watch

import (
	"time"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// rewindWindow is at least how far back a rewind goes.
const rewindWindow = 2 * time.Second

// position is up to where a watcher has merged a source.
type position struct {
	incarnation   uint64 // of the source; 0 before its first reply
	cursor        uint64 // revision of the source
	incomplete    bool   // the first snapshot has not been merged in full yet
	needsFullBody bool   // the last reply could not be merged: the next one is to hold the full body

	recentCursor       uint64 // cursor at recentAt
	rewindCursor       uint64 // cursor at least rewindWindow before recentAt
	recentAt           time.Time
	cursorBeforeRewind uint64 // until the source has answered; 0 if it was not rewound

	reconcileAt time.Time // of the next comparison of the lists
}

// advance moves past a reply that was merged.
func (p *position) advance(reply *tierpb.WatchReply, now time.Time) {
	if p.incarnation != reply.Incarnation {
		*p = position{incarnation: reply.Incarnation, reconcileAt: now.Add(jittered(reconcileUnansweredInterval))}
	}
	p.cursor, p.incomplete, p.needsFullBody, p.cursorBeforeRewind = reply.Cursor, reply.More, false, 0
	if now.Sub(p.recentAt) >= rewindWindow {
		p.rewindCursor, p.recentCursor, p.recentAt = p.recentCursor, p.cursor, now
	}
}

// rewind goes back by at least rewindWindow, so that the source sends the updates of that time again.
func (p *position) rewind() {
	if p.rewindCursor < p.cursor {
		p.cursorBeforeRewind = max(p.cursorBeforeRewind, p.cursor)
		p.cursor = p.rewindCursor
	}
}

// undoRewind takes back a rewind that the source has not answered.
func (p *position) undoRewind() {
	p.cursor, p.cursorBeforeRewind = max(p.cursor, p.cursorBeforeRewind), 0
}
