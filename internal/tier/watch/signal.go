package watch

import "time"

// signal wakes all that wait, at once after a quiet time and else no more often than once in every gap, so that a burst of changes
// costs its followers few wake-ups. It is guarded by the State's mutex.
type signal struct {
	gap     time.Duration
	channel chan struct{}
	firedAt time.Time
	pending bool
}

func newSignal(gap time.Duration) signal { return signal{gap: gap, channel: make(chan struct{})} }

// delay is how long a change that happens now has to wait before it is told; the caller arms a timer for it.
func (s *signal) delay(now time.Time) time.Duration {
	if s.firedAt.IsZero() {
		return 0
	}
	return max(0, s.gap-now.Sub(s.firedAt))
}

func (s *signal) fire(now time.Time) {
	s.pending = false
	s.firedAt = now
	close(s.channel)
	s.channel = make(chan struct{})
}
