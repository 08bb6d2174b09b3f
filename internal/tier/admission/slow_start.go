package admission

import (
	"time"

	"pulleygw.example/pulleygw/internal/shared/tailguard"
	"pulleygw.example/pulleygw/internal/tier/ablation"
)

// beginSlowStart begins a slow start that ends at the given time, unless that is past or a slow start is under way. The start
// is taken to be assumedSlowStart before the end, but no later than now.
func (s *store) beginSlowStart(now, end time.Duration) {
	if end > now && s.slowStartTo <= now {
		s.slowStartFrom, s.slowStartTo = min(now, end-assumedSlowStart), end
	}
}

// slowStartShare returns the share of its capacity that the store has now. It grows linearly from initialCapacity to 1.
func (s *store) slowStartShare(now time.Duration) float64 {
	if s.slowStartTo <= now || ablation.Disabled(ablation.SlowStart) {
		return 1
	}
	return tailguard.SlowStartShare(initialCapacity, now-s.slowStartFrom, s.slowStartTo-s.slowStartFrom)
}
