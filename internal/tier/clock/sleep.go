// Package clock provides waits that end early when a context is done.
package clock

import (
	"context"
	"time"
)

// Sleep waits for a duration or until ctx is done, and reports whether the whole duration has passed. Unlike time.Sleep, it
// does not delay a shutdown.
func Sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
