package watch

import "time"

// Shortest time between two wake-ups. A burst of changes costs each watcher one poll in the interval instead of one per
// change; heartbeats may wait longer, as heartbeat time-outs are longer by far.
const (
	minChangeInterval    = 25 * time.Millisecond
	minHeartbeatInterval = 250 * time.Millisecond
)

// signal wakes all that wait on its channel: at once after a quiet time, else when its interval since the last wake-up
// is over. It is guarded by the State's mutex.
type signal struct {
	interval time.Duration
	channel  chan struct{} // closed at the next wake-up
	firedAt  time.Time
	pending  bool // a timer for the next wake-up runs
}

func newSignal(interval time.Duration) signal {
	return signal{interval: interval, channel: make(chan struct{})}
}

// delay returns how long a change that happens now has to wait for its wake-up.
func (s *signal) delay(now time.Time) time.Duration {
	if s.firedAt.IsZero() {
		return 0
	}
	return max(0, s.interval-now.Sub(s.firedAt))
}

func (s *signal) fire(now time.Time) {
	s.pending = false
	s.firedAt = now
	close(s.channel)
	s.channel = make(chan struct{})
}

// notify wakes those that wait on a signal, now or when its interval is over.
func (s *State) notify(on *signal) {
	if on.pending {
		return
	}
	delay := on.delay(s.now())
	if delay == 0 {
		s.publish(on)
		return
	}
	on.pending = true
	s.after(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.publish(on)
	})
}

// publish makes all changes so far visible to held polls and wakes them.
func (s *State) publish(on *signal) {
	if on == &s.heartbeatSignal {
		s.publishedHeartbeatRevision = s.revision
	} else {
		s.publishedRevision = s.revision
	}
	on.fire(s.now())
}
