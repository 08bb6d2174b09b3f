// Package pause waits in a way that a context ends.
package pause

import (
	"context"
	"time"
)

// For waits, and says whether the time passed before ctx ended.
func For(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
