package gather

import "pulleygw.example/pulleygw/internal/gatherer/decision"

// sendCalls hands the calls of a step to the transport. It runs when all actions of the step have been executed, so that an
// attempt that was cancelled in the same step is not sent at all. It reads the clock for the time of sending: the time of the
// step is before the recorded end of attempts that ended in the step, so that a retry would seem to overlap the attempt that
// it follows.
func (c *Core) sendCalls() {
	now := c.now()
	for _, k := range c.calls {
		attempts := k.attempts[:0]
		for _, a := range k.attempts {
			switch {
			case a.ended:
			case a.withdrawn.Load(): // its query ended later in this step, outside of the scheduler
				c.endAttempt(a, decision.Cancelled)
			default:
				a.handedOver, a.handedOverAt = true, now
				attempts = append(attempts, a)
			}
		}
		if len(attempts) > 0 {
			c.transport.Call(k.server, attempts)
		}
	}
	c.calls = c.calls[:0]
}
