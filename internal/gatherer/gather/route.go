package gather

import (
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

// Attempts that one step sends to the same server share a call, up to the batch size of the settings.

// call is the attempts that are sent to one server together.
type call struct {
	server   decision.ServerID
	attempts []*Attempt
}

// addSend creates the attempt for a Send and adds it to a call to its server.
func (c *Core) addSend(s decision.Send) {
	p, ok := c.inFlight.Subquery(uint64(s.Subquery))
	if !ok {
		return // its query has ended earlier in this step
	}
	now := c.steppedAt
	a := &Attempt{Query: p.q.Name, Class: p.q.Class, Key: p.q.Key, Shard: p.res.Shard, Number: len(p.attempts),
		Text: p.q.Text, Server: s.Server, Search: p.search, FirstStep: p.firstStep, Deadline: c.start.Add(now - epoch + s.Limit), subquery: p, sent: now}
	k := c.set.Policy.Classes[p.q.Class]
	if k.Effect == decision.Deduplicated && p.mayHaveRunAt > 0 {
		// Two ticks before the end of the window, as the attempt takes time to reach the lot store.
		a.NotAfter = c.start.Add(p.mayHaveRunAt - epoch + k.DeduplicationWindow - 2*c.set.Policy.Tick)
	}
	if p.mayHaveRunAt == 0 {
		p.mayHaveRunAt = now
	}
	p.attempts = append(p.attempts, a)
	c.attempts[a] = struct{}{}
	if !c.withinBudget(p.q, a.Number) {
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

// cancelGrace is the delay between telling a server of a cancellation and ending the attempt, after which its subquery may
// be sent elsewhere. Two servers may read their connections in another order than these were written, and two attempts of a
// subquery must never be in flight.
const cancelGrace = 5 * time.Millisecond

// cancel cancels an attempt. One that the transport already has ends only when the transport has reported the cancellation.
func (c *Core) cancel(x decision.Cancel) {
	for a := range c.attempts {
		if a.subquery.id == uint64(x.Subquery) && a.Number == x.Attempt {
			if a.handedOver {
				c.transport.Cancel(a)
			} else {
				c.endAttempt(a, decision.Cancelled)
			}
			return
		}
	}
}

// dueAt returns when an attempt ends if no outcome is reported.
func (c *Core) dueAt(a *Attempt) time.Duration {
	if a.cancelDueAt > 0 {
		return a.cancelDueAt
	}
	return c.clockTime(a.Deadline)
}

// expire ends the attempts that have timed out, and the cancelled ones whose grace is over.
func (c *Core) expire(now time.Duration) {
	for a := range c.attempts {
		switch {
		case c.dueAt(a) > now:
		case a.cancelDueAt > 0:
			c.endAttempt(a, decision.Cancelled)
		default:
			c.transport.Cancel(a)
			c.endAttempt(a, decision.TimedOut)
		}
	}
}
