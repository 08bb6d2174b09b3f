package placementcontrol

import (
	"context"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/clock"
)

// stallThreshold is the longest time between two checks that does not count as a stall.
const stallThreshold = time.Second

// stallDetector detects that this process was frozen and did not run for a while. Messages that it did not receive during
// a stall are no evidence that other nodes failed. It is safe for concurrent use.
type stallDetector struct {
	now func() time.Time

	mu           sync.Mutex
	lastStallEnd time.Time // end of the last stall, or the start of the process
	lastCheck    time.Time // time of the last check
}

func newStallDetector(now func() time.Time) *stallDetector {
	return &stallDetector{now: now, lastStallEnd: now(), lastCheck: now()}
}

// run checks for stalls at every checkInterval until ctx ends.
func (d *stallDetector) run(ctx context.Context) {
	for clock.Sleep(ctx, checkInterval) {
		d.runningSince()
	}
}

// runningSince checks for a stall and returns the time since which this process has run without one.
func (d *stallDetector) runningSince() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if now.Sub(d.lastCheck) > stallThreshold {
		d.lastStallEnd = now
	}
	d.lastCheck = now
	return d.lastStallEnd
}
