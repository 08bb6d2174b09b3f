// Package process fits the Go runtime to the limits that a process of the tier is given.
package process

import (
	"runtime/debug"

	"pulleygw.example/pulleygw/internal/tier/settings"
)

// Shares of limits.memoryMb, and the collector's growth target.
const (
	softShare     = 0.6 // the collector works harder above this; the rest is stacks, buffers of the kernel and code
	bytesPerMb    = 1 << 20
	growthPercent = 50 // heap growth between collections; memory at its peak is priced above processor time
)

// Fit sets the runtime's memory limit and the collector's target from the limits. It may be called again when
// they change; without a limit in the settings the runtime's own defaults stay.
func Fit(limits settings.Limits) {
	if limits.MemoryMb <= 0 {
		return
	}
	debug.SetMemoryLimit(SoftLimit(limits))
	debug.SetGCPercent(growthPercent)
}

// SoftLimit is the memory in bytes above which the collector works harder.
func SoftLimit(limits settings.Limits) int64 {
	return int64(float64(limits.MemoryMb) * bytesPerMb * softShare)
}
