package watch

import "time"

// Minimum intervals between two wake-ups, so that a burst of changes costs each watcher one poll per interval instead of
// one per change. The interval for heartbeats is longer because heartbeat time-outs are much longer still.
const (
	minChangeInterval    = 25 * time.Millisecond
	minHeartbeatInterval = 250 * time.Millisecond
)

// signal wakes all goroutines that wait on its channel, at most once per interval. It is guarded by the State's mutex.
type signal struct {
	interval time.Duration
	channel  chan struct{} // closed at the next wake-up
	firedAt  time.Time     // last wake-up
	pending  bool          // a timer for the next wake-up is running
}

func newSignal(interval time.Duration) signal {
	return signal{interval: interval, channel: make(chan struct{})}
}

// delay returns the time until the next wake-up is allowed.
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

// notify publishes a change: at once if the signal's interval since its last wake-up has passed, else when it has.
func (s *State) notify(sig *signal) {
	if sig.pending {
		return
	}
	delay := sig.delay(s.now())
	if delay == 0 {
		s.publish(sig)
		return
	}
	sig.pending = true
	s.after(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.publish(sig)
	})
}

// publish makes all changes so far visible to the held polls that wait for a signal, and wakes them.
func (s *State) publish(sig *signal) {
	if sig == &s.heartbeatSignal {
		s.publishedHeartbeatRevision = s.revision
	} else {
		s.publishedRevision = s.revision
	}
	sig.fire(s.now())
}
