package process_test

import (
	"math"
	"runtime/debug"
	"testing"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/process"
	"pulleygw.example/pulleygw/internal/tier/settings"
)

func TestFitSetsTheMemoryLimitOfTheSettings(t *testing.T) {
	limitBefore, percentBefore := debug.SetMemoryLimit(-1), debug.SetGCPercent(100)
	t.Cleanup(func() {
		debug.SetMemoryLimit(limitBefore)
		debug.SetGCPercent(percentBefore)
	})
	debug.SetMemoryLimit(math.MaxInt64)
	process.Fit(settings.Limits{})
	assert.Equal(t, debug.SetMemoryLimit(-1), int64(math.MaxInt64))

	limits := settings.Limits{MemoryMb: 100}
	process.Fit(limits)
	assert.Equal(t, debug.SetMemoryLimit(-1), process.SoftLimit(limits))
	assert.Assert(t, process.SoftLimit(limits) < 100<<20)
}
