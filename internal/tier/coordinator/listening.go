package coordinator

import (
	"context"
	"pulleygw.example/pulleygw/internal/tier/clock"
	"sync"
	"time"
)

// longestGap is how long this process may go without running and still count as having listened.
const longestGap = time.Second

// listening notices that this process did not run for a while, for it was frozen: what it did not hear then is
// nobody's silence. It is safe for concurrent use.
type listening struct {
	now func() time.Time

	mu    sync.Mutex
	begun time.Time // since when there was no gap
	last  time.Time // when it was last looked
}

func newListening(now func() time.Time) *listening {
	return &listening{now: now, begun: now(), last: now()}
}

// keep looks again and again until ctx ends.
func (l *listening) keep(ctx context.Context) {
	for clock.Sleep(ctx, maintenanceInterval) {
		l.since()
	}
}

// since is the time since when this process has listened without a gap.
func (l *listening) since() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if now.Sub(l.last) > longestGap {
		l.begun = now
	}
	l.last = now
	return l.begun
}
