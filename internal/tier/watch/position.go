package watch

import (
	"time"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// rewindWindow is the minimum time span that a rewind goes back.
const rewindWindow = 2 * time.Second

// position is how far a watcher has merged the updates of a source.
type position struct {
	incarnation   uint64 // of the source; 0 before its first reply
	cursor        uint64 // revision of the source
	incomplete    bool   // the first snapshot has not been merged in full yet
	needsFullBody bool   // the last reply was not merged: the next request asks for full updates and the whole configuration body

	recentCursor       uint64 // cursor at recentAt
	rewindCursor       uint64 // cursor at least rewindWindow before recentAt
	recentAt           time.Time
	cursorBeforeRewind uint64 // restored if the source does not answer after a rewind, else 0

	reconcileAt time.Time // time of the next comparison of the lists of instances
}

// advance moves the position past a merged reply.
func (p *position) advance(reply *tierpb.WatchReply, now time.Time) {
	if p.incarnation != reply.Incarnation {
		*p = position{incarnation: reply.Incarnation, reconcileAt: now.Add(jittered(reconcileUnansweredInterval))}
	}
	p.cursor, p.incomplete, p.needsFullBody, p.cursorBeforeRewind = reply.Cursor, reply.More, false, 0
	if now.Sub(p.recentAt) >= rewindWindow {
		p.rewindCursor, p.recentCursor, p.recentAt = p.recentCursor, p.cursor, now
	}
}

// rewind moves the cursor back by at least rewindWindow, so that the source sends the updates since then again.
func (p *position) rewind() {
	if p.rewindCursor < p.cursor {
		p.cursorBeforeRewind = max(p.cursorBeforeRewind, p.cursor)
		p.cursor = p.rewindCursor
	}
}

// undoRewind reverts a rewind if the source has not answered since.
func (p *position) undoRewind() {
	p.cursor, p.cursorBeforeRewind = max(p.cursor, p.cursorBeforeRewind), 0
}
