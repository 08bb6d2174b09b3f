// Package runtimelimits sets the limits of the Go runtime from those that the settings give a process of the tier.
package runtimelimits

import (
	"runtime/debug"

	"pulleygw.example/pulleygw/internal/tier/settings"
)

const bytesPerMb = 1 << 20

const (
	// memoryLimitRatio is the part of limits.memoryMb that the runtime's memory limit is set to. The rest is for what
	// the runtime does not count: code and kernel buffers.
	memoryLimitRatio = 0.6
	// gcPercent is the heap growth between two collections (GOGC; the runtime's default is 100). A lower value trades
	// processor time for a lower peak of memory, which costs more.
	gcPercent = 50
)

// Apply sets the memory limit and the garbage collector's target of the runtime. It may be called again when the limits
// change. If limits.MemoryMb is 0 or less, the runtime's settings stay as they are.
func Apply(limits settings.Limits) {
	if limits.MemoryMb <= 0 {
		return
	}
	debug.SetMemoryLimit(MemoryLimit(limits))
	debug.SetGCPercent(gcPercent)
}

// MemoryLimit returns the runtime's soft memory limit in bytes, above which the garbage collector runs more often.
func MemoryLimit(limits settings.Limits) int64 {
	return int64(float64(limits.MemoryMb) * bytesPerMb * memoryLimitRatio)
}
