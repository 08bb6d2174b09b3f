// Package clock waits in a way that a context ends.
package clock

import (
	"context"
	"time"
)

// Sleep waits, and says whether the time passed before ctx ended.
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
