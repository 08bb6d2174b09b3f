package runtimelimits_test

import (
	"math"
	"runtime/debug"
	"testing"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/runtimelimits"
	"pulleygw.example/pulleygw/internal/tier/settings"
)

func TestApplySetsTheMemoryLimit(t *testing.T) {
	limitBefore, percentBefore := debug.SetMemoryLimit(-1), debug.SetGCPercent(100)
	t.Cleanup(func() {
		debug.SetMemoryLimit(limitBefore)
		debug.SetGCPercent(percentBefore)
	})
	debug.SetMemoryLimit(math.MaxInt64)
	runtimelimits.Apply(settings.Limits{})
	assert.Equal(t, debug.SetMemoryLimit(-1), int64(math.MaxInt64))

	limits := settings.Limits{MemoryMb: 100}
	runtimelimits.Apply(limits)
	assert.Equal(t, debug.SetMemoryLimit(-1), runtimelimits.MemoryLimit(limits))
	assert.Assert(t, runtimelimits.MemoryLimit(limits) < 100<<20)
}
