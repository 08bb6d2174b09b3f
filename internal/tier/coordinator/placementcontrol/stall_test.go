package placementcontrol

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestStallIsDetected(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newStallDetector(func() time.Time { return now })
	start := now
	for range 10 {
		now = now.Add(maxStall)
		assert.Equal(t, d.runningSince(), start)
	}
	now = now.Add(maxStall + time.Millisecond)
	assert.Equal(t, d.runningSince(), now, "a longer pause is a stall")
}
