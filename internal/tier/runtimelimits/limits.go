// Package runtimelimits fits the Go runtime to the limits that a process of the tier is given.
package runtimelimits

import (
	"runtime/debug"

	"pulleygw.example/pulleygw/internal/tier/settings"
)

// Shares of limits.memoryMb, and the collector's growth target.
const (
	memoryLimitShare = 0.6 // the collector works harder above this; the rest is stacks, buffers of the kernel and code
	bytesPerMb       = 1 << 20
	growthPercent    = 50 // heap growth between collections; memory at its peak is priced above processor time
)

// Apply sets the runtime's memory limit and the collector's target from the limits. It may be called again when
// they change; without a limit in the settings the runtime's own defaults stay.
func Apply(limits settings.Limits) {
	if limits.MemoryMb <= 0 {
		return
	}
	debug.SetMemoryLimit(MemoryLimit(limits))
	debug.SetGCPercent(growthPercent)
}

// MemoryLimit is the memory in bytes above which the collector works harder.
func MemoryLimit(limits settings.Limits) int64 {
	return int64(float64(limits.MemoryMb) * bytesPerMb * memoryLimitShare)
}
