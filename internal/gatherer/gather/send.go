package gather

import "pulleygw.example/pulleygw/internal/gatherer/decision"

// Send: the calls of a step are sent together, when all of its actions have been carried out, so that an attempt that the
// same step cancelled is not sent at all. They follow all that the step has ended, so the time of sending is read here:
// by the time of the step an attempt would seem to overlap the one that it follows.

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
				a.called, a.calledAt = true, now
				attempts = append(attempts, a)
			}
		}
		if len(attempts) > 0 {
			c.transport.Call(k.server, attempts)
		}
	}
	c.calls = c.calls[:0]
}
