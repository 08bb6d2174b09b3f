package clock

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestSleepEndsAfterDurationOrWhenContextIsDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		assert.Assert(t, Sleep(t.Context(), time.Minute))
		assert.Equal(t, time.Since(start), time.Minute)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.Assert(t, !Sleep(ctx, time.Hour))
		assert.Equal(t, time.Since(start), time.Minute+time.Second)
	})
}
