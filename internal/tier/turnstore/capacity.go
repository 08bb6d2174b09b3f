package turnstore

import "pulleygw.example/pulleygw/internal/tier/retention"

// Fractions of the configured limits that records and budgets may use, measured by their approximate size in memory.
const (
	memoryFraction = 0.35 // of Options.MemoryMb
	diskFraction   = 0.3  // of Options.DiskMb; a compaction needs space for a second copy of the state
	defaultLimitMb = 256
	bytesPerMb     = 1 << 20
)

// isFull returns whether the store has reached its capacity after removing expired entries. The caller holds s.mu.
func (s *Store) isFull() bool {
	capacity := s.capacityBytes()
	if s.state.bytes < capacity {
		return false
	}
	s.state.removeExpired(s.options.Now())
	if s.state.bytes >= capacity {
		// Records in their grace period are removed before any write is rejected.
		s.state.removeExpired(s.options.Now().Add(retention.ExpiryGrace))
	}
	return s.state.bytes >= capacity
}

// capacityBytes returns the approximate size in memory that the state may have.
func (s *Store) capacityBytes() int {
	memoryMb, diskMb := s.options.MemoryMb, s.options.DiskMb
	if memoryMb <= 0 {
		memoryMb = defaultLimitMb
	}
	if diskMb <= 0 {
		diskMb = defaultLimitMb
	}
	return int(min(float64(memoryMb)*memoryFraction, float64(diskMb)*diskFraction) * bytesPerMb)
}
