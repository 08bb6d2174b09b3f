package placementcontrol

import (
	"context"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/clock"
)

// maxStall is how long this process may go without running and still count as having received what others sent.
const maxStall = time.Second

// stallDetector notices that this process did not run for a while, for it was frozen: what it did not receive then is
// nobody's failure. It is safe for concurrent use.
type stallDetector struct {
	now func() time.Time

	mu    sync.Mutex
	start time.Time // since when there was no stall
	last  time.Time // when it last looked
}

func newStallDetector(now func() time.Time) *stallDetector {
	return &stallDetector{now: now, start: now(), last: now()}
}

// run looks again and again until ctx ends.
func (d *stallDetector) run(ctx context.Context) {
	for clock.Sleep(ctx, checkInterval) {
		d.runningSince()
	}
}

// runningSince is the time since when this process has run without a stall.
func (d *stallDetector) runningSince() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if now.Sub(d.last) > maxStall {
		d.start = now
	}
	d.last = now
	return d.start
}
