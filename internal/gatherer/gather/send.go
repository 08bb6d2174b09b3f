package gather

// Send: the calls of a step leave together, when all of its actions are known, so that an attempt that
// the same step cancelled is not sent at all.

func (c *Core) sendCalls() {
	for _, k := range c.calls {
		attempts := k.attempts[:0]
		for _, a := range k.attempts {
			if !a.outcome {
				a.called, a.handed = true, c.steppedAt
				attempts = append(attempts, a)
			}
		}
		if len(attempts) > 0 {
			c.transport.Call(k.server, attempts)
		}
	}
	c.calls = c.calls[:0]
}
