package gather

import (
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

// Route: the sends of one step to one server share a call, up to the batch size of the settings.

// call is the attempts that are sent to one server together.
type call struct {
	server   decision.ServerID
	attempts []*Attempt
}

// addSend makes an attempt of a send and adds it to its server's call.
func (c *Core) addSend(s decision.Send) {
	p, ok := c.inFlight.Subquery(uint64(s.Subquery))
	if !ok {
		return // its query has ended in this step
	}
	now := c.steppedAt
	a := &Attempt{Query: p.q.Name, Class: p.q.Class, Key: p.q.Key, Shard: p.res.Shard, Number: len(p.attempts),
		Text: p.q.Text, Server: s.Server, Search: p.search, Load: p.load, Until: c.start.Add(now - epoch + s.Limit), subquery: p, sent: now}
	k := c.set.Policy.Classes[p.q.Class]
	if k.Effect == decision.Deduplicated && p.mayRun > 0 {
		// Two ticks short of the window: the way to the lot store takes time as well.
		a.NotAfter = c.start.Add(p.mayRun - epoch + k.DeduplicationWindow - 2*c.set.Policy.Tick)
	}
	if p.mayRun == 0 {
		p.mayRun = now
	}
	p.attempts = append(p.attempts, a)
	c.attempts[a] = struct{}{}
	if !c.withinBudget(p.q, a.Number) { // the retry budget of the route is used up
		c.endAttempt(a, decision.NotSent)
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

// cancelGrace is how long after a server was told of a cancellation the subquery may be sent elsewhere. Two connections
// may be read in another order than they were written, and two attempts of a subquery must never be in flight.
const cancelGrace = 5 * time.Millisecond

// cancel cancels an attempt. Its outcome follows when the cancellation is confirmed.
func (c *Core) cancel(x decision.Cancel) {
	for a := range c.attempts {
		if a.subquery.id == uint64(x.Subquery) && a.Number == x.Attempt {
			if a.called {
				c.transport.Cancel(a)
			} else {
				c.endAttempt(a, decision.Cancelled)
			}
			return
		}
	}
}

// dueAt is when an attempt ends if no outcome is reported.
func (c *Core) dueAt(a *Attempt) time.Duration {
	if a.cancelledAt > 0 {
		return a.cancelledAt
	}
	return c.at(a.Until)
}

// expire ends the attempts that have timed out, and those whose cancellation is confirmed.
func (c *Core) expire(now time.Duration) {
	for a := range c.attempts {
		switch {
		case c.dueAt(a) > now:
		case a.cancelledAt > 0:
			c.endAttempt(a, decision.Cancelled)
		default:
			c.transport.Cancel(a)
			c.endAttempt(a, decision.TimedOut)
		}
	}
}
