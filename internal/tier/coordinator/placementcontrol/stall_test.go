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
		now = now.Add(stallThreshold)
		assert.Equal(t, d.runningSince(), start)
	}
	now = now.Add(stallThreshold + time.Millisecond)
	assert.Equal(t, d.runningSince(), now, "a longer pause is a stall")
}
