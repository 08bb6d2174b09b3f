package gather

import (
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

// Route: the sends of one step to one server travel as one call, up to the batch that the settings give.

// call is what one server is sent at once.
type call struct {
	server   decision.ServerID
	attempts []*Attempt
}

// route makes an attempt of a send and puts it into its server's call.
func (c *Core) route(s decision.Send) {
	p, ok := c.flight.Part(uint64(s.Subquery))
	if !ok {
		return // its query has ended in this step
	}
	now := c.steppedAt
	a := &Attempt{Query: p.q.Name, Class: p.q.Class, Key: p.q.Key, Shard: p.res.Shard, Number: len(p.attempts),
		Text: p.q.Text, Server: s.Server, Ask: p.ask, Load: p.load, Until: c.start.Add(now - epoch + s.Limit), part: p, sent: now}
	k := c.set.Policy.Classes[p.q.Class]
	if k.Effect == decision.Deduplicated && p.mayRun > 0 {
		// Two ticks short of the window: the way to the lot store takes time as well.
		a.NotAfter = c.start.Add(p.mayRun - epoch + k.Window - 2*c.set.Policy.Tick)
	}
	if p.mayRun == 0 {
		p.mayRun = now
	}
	p.attempts = append(p.attempts, a)
	c.out[a] = struct{}{}
	if !c.pass(p.q, a.Number) { // the route's budget of repeats is used up
		c.report(a, decision.NotSent)
		return
	}
	p.res.Attempts++
	for i := range c.calls {
		if b := &c.calls[i]; b.server == s.Server && len(b.attempts) < min(c.set.Policy.Batch, c.set.StreamsPerConn) {
			b.attempts = append(b.attempts, a)
			return
		}
	}
	c.calls = append(c.calls, call{s.Server, []*Attempt{a}})
}

// settleFor is how long after a server was told of a cancel its part may be sent elsewhere: two connections
// may be read in another order than they were written, and never are two attempts of a part to be out.
const settleFor = 5 * time.Millisecond

// cancel gives up the attempt that the Mixer names. Its outcome follows when that is through.
func (c *Core) cancel(x decision.Cancel) {
	for a := range c.out {
		if a.part.id == uint64(x.Subquery) && a.Number == x.Attempt {
			if a.called {
				c.transport.Cancel(a)
			} else {
				c.report(a, decision.Cancelled)
			}
			return
		}
	}
}

// dueAt is when an attempt ends if nothing comes for it.
func (c *Core) dueAt(a *Attempt) time.Duration {
	if a.settled > 0 {
		return a.settled
	}
	return c.at(a.Until)
}

// expire ends the attempts whose time is up, and those whose cancel has settled.
func (c *Core) expire(now time.Duration) {
	for a := range c.out {
		switch {
		case c.dueAt(a) > now:
		case a.settled > 0:
			c.report(a, decision.Cancelled)
		default:
			c.transport.Cancel(a)
			c.report(a, decision.TimedOut)
		}
	}
}
