package gather

// Send: the calls of a step leave together, when all of its actions are known, so that an attempt that
// the same step cancelled is not sent at all. They leave behind all that the step has ended, so their time of leaving is
// read here: by the step's start an attempt would seem to overlap the one that it follows.

func (c *Core) sendCalls() {
	now := c.now()
	for _, k := range c.calls {
		attempts := k.attempts[:0]
		for _, a := range k.attempts {
			if !a.outcome {
				a.called, a.handed = true, now
				attempts = append(attempts, a)
			}
		}
		if len(attempts) > 0 {
			c.transport.Call(k.server, attempts)
		}
	}
	c.calls = c.calls[:0]
}
