package clock

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestSleepEndsWithItsTimeOrItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		assert.Assert(t, Sleep(t.Context(), time.Minute))
		assert.Equal(t, time.Since(started), time.Minute)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.Assert(t, !Sleep(ctx, time.Hour))
		assert.Equal(t, time.Since(started), time.Minute+time.Second)
	})
}
