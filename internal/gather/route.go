package gather

import (
	"time"

	"pulleygw.example/pulleygw/policy"
)

// Route: the sends of one step to one server travel as one call, up to the batch that the settings give.

// call is what one server is sent at once.
type call struct {
	server   policy.ServerID
	attempts []*Attempt
}

// route makes an attempt of a send and puts it into its server's call.
func (c *Core) route(s policy.Send) {
	p, ok := c.flight.Part(uint64(s.Part))
	if !ok {
		return // its query has ended in this step
	}
	now := c.steppedAt
	a := &Attempt{Query: p.q.Name, Class: p.q.Class, Key: p.q.Key, Shard: p.res.Shard, Number: len(p.attempts),
		Text: p.q.Text, Server: s.Server, Until: c.start.Add(now - epoch + s.Limit), part: p, sent: now}
	k := c.set.Policy.Classes[p.q.Class]
	if k.Effect == policy.Keyed && p.mayRun > 0 {
		// Two ticks short of the window: the way to the lot store takes time as well.
		a.NotAfter = c.start.Add(p.mayRun - epoch + k.Window - 2*c.set.Policy.Tick)
	}
	if p.mayRun == 0 {
		p.mayRun = now
	}
	p.attempts = append(p.attempts, a)
	p.res.Attempts++
	c.out[a] = struct{}{}
	for i := range c.calls {
		if b := &c.calls[i]; b.server == s.Server && len(b.attempts) < min(c.set.Policy.Batch, c.set.StreamsPerConn) {
			b.attempts = append(b.attempts, a)
			return
		}
	}
	c.calls = append(c.calls, call{s.Server, []*Attempt{a}})
}

// cancel gives up the attempt that the Mixer names. Its outcome follows with the next step.
func (c *Core) cancel(x policy.Cancel) {
	for a := range c.out {
		if a.part.id == uint64(x.Part) && a.Number == x.Attempt {
			c.transport.Cancel(a)
			c.report(a, policy.Cancelled)
			return
		}
	}
}

// expire ends the attempts whose time is up.
func (c *Core) expire(now time.Duration) {
	for a := range c.out {
		if c.at(a.Until) <= now {
			c.transport.Cancel(a)
			c.report(a, policy.TimedOut)
		}
	}
}
