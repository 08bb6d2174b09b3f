// Package clock has waits that end with a context.
package clock

import (
	"context"
	"time"
)

// Sleep waits for a duration or until ctx ends, and reports whether the duration has passed. Unlike time.Sleep it does not
// hold up a shutdown.
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
