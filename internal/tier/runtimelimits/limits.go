// Package runtimelimits configures the memory limit and the garbage collector of the Go runtime from the settings of a
// process.
package runtimelimits

import (
	"runtime/debug"

	"pulleygw.example/pulleygw/internal/tier/settings"
)

const bytesPerMiB = 1 << 20

const (
	// memoryLimitRatio is the fraction of limits.memoryMb that becomes the memory limit of the runtime. The rest is for
	// memory that the runtime does not count: code and kernel buffers.
	memoryLimitRatio = 0.6
	// gcPercent is the heap growth between two garbage collections (GOGC; the default is 100). The lower value costs
	// processor time and reduces the memory peak; memory is the more expensive of the two.
	gcPercent = 50
)

// Apply sets the memory limit and the garbage collection target of the runtime. It may be called again when the limits
// change. If limits.MemoryMb is 0 or negative, it changes nothing.
func Apply(limits settings.Limits) {
	if limits.MemoryMb <= 0 {
		return
	}
	debug.SetMemoryLimit(MemoryLimit(limits))
	debug.SetGCPercent(gcPercent)
}

// MemoryLimit returns the runtime's soft memory limit in bytes, above which the garbage collector runs more often.
func MemoryLimit(limits settings.Limits) int64 {
	return int64(float64(limits.MemoryMb) * bytesPerMiB * memoryLimitRatio)
}
