package gather

import (
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/limits"
)

// Where an installation has limits by route, they are checked before a request is admitted. The core keeps the gates,
// whose decisions are package limits's, and the requests that wait; the Mixer hears only of those that were admitted.

// Limits are the routes and what goes with them. The zero value limits nothing.
type Limits struct {
	Table   *limits.Table
	Repeats limits.Repeats // of all routes together
	// Class is the number of a class as a route narrows it: the class itself where it does not.
	Class func(r *limits.Route, class int) int
}

// gating is the core's own state of limits.
type gating struct {
	limits  Limits
	gates   map[string]*limits.Gate // by route
	whole   limits.Gate             // of all routes together: its repeats only
	waiting map[uint64]*Request
	queue   []uint64 // those of waiting, as they came
}

// Limit puts limits in force for what arrives from then on. Requests in hand keep the class that they came under.
func (c *Core) Limit(l Limits) { c.tell(l) }

// WholeGate is the name under which Gates tells of all routes together.
const WholeGate = "*"

// Gates tells what the gates have done, by route.
func (c *Core) Gates() map[string]limits.Counts {
	to := make(chan map[string]limits.Counts, 1)
	c.tell(gateCounts{to})
	select {
	case m := <-to:
		return m
	case <-c.quit:
		return nil
	}
}

type gateCounts struct{ to chan map[string]limits.Counts }

func (c *Core) countGates() map[string]limits.Counts {
	m := map[string]limits.Counts{}
	for name, g := range c.gates {
		m[name] = g.Counts()
	}
	if c.whole.Limits.Repeats.Span > 0 {
		m[WholeGate] = c.whole.Counts()
	}
	return m
}

// limit applies new limits: a route that keeps its name keeps its gate, and what that has in hand and in its queue.
func (c *Core) limit(l Limits) {
	gates := map[string]*limits.Gate{}
	if l.Table != nil {
		for _, r := range l.Table.Routes() {
			g := c.gates[r.Name]
			if g == nil {
				g = &limits.Gate{}
			}
			g.Change(r.Limits)
			gates[r.Name] = g
		}
	}
	for name, g := range c.gates { // a route that is gone limits nothing more; requests that wait there go on
		if gates[name] == nil {
			g.Change(limits.Limits{})
		}
	}
	c.limits, c.gates = l, gates
	c.whole.Limits.Repeats = l.Repeats
	if c.waiting == nil {
		c.waiting = map[uint64]*Request{}
	}
}

// Why a request is refused or fails on arrival, beside package limits's reasons.
const (
	ReasonBody  = "the body is over the route's limit"
	ReasonDepth = "the page is deeper than the route's limit"
)

// arrive asks a request's route to admit it.
func (c *Core) arrive(r *Request) {
	r.arrived = c.now()
	c.lastID++
	r.ticket = c.lastID
	var route *limits.Route
	if c.limits.Table != nil && r.Origin != nil && c.endBy.IsZero() && r.Class < len(c.set.Classes) {
		route = c.limits.Table.Find(r.Origin, c.set.Classes[r.Class])
	}
	if route == nil {
		c.recordArrival(r, "", limits.Decision{})
		c.admit(r)
		return
	}
	l := route.Limits
	if c.limits.Class != nil {
		r.Class = c.limits.Class(route, r.Class)
	}
	if at := time.Now().Add(l.GiveUp); l.GiveUp > 0 && r.Deadline.After(at) {
		r.Deadline = at
	}
	r.WholeOnly = r.WholeOnly || l.Whole
	r.gate, r.answerMost = c.gates[route.Name], l.Answer
	wrong := ""
	switch {
	case l.Body > 0 && len(r.Text) > l.Body:
		wrong = ReasonBody
	case l.Depth > 0 && r.Search != nil && r.Search.From+r.Search.Size > l.Depth:
		wrong = ReasonDepth
	}
	if wrong != "" {
		c.recordArrival(r, route.Name, limits.Decision{Verdict: limits.Refuse, Why: wrong})
		c.recordFinal(r, "failed", wrong)
		r.gate = nil
		r.Done <- Result{Kind: Failed, Reason: wrong, Parts: partResults(r)}
		return
	}
	d := r.gate.Arrive(r.ticket, l.Priority, r.arrived, c.at(r.Deadline)) // by the time that the record has
	c.recordArrival(r, route.Name, d)
	switch d.Verdict {
	case limits.Admit:
		c.admit(r)
	case limits.Wait:
		c.waiting[r.ticket] = r
		c.queue = append(c.queue, r.ticket)
	default:
		c.turnAway(r, d)
	}
}

// turnAway refuses a request that was not admitted.
func (c *Core) turnAway(r *Request, d limits.Decision) {
	r.gate = nil // it was never admitted
	c.recordFinal(r, "refused", d.Why)
	r.Done <- Result{Kind: Refused, RetryAfter: d.RetryAfter, Reason: d.Why, Parts: partResults(r)}
}

// admitWaiting admits waiting requests that there is room for, and refuses those whose wait is over.
func (c *Core) admitWaiting(now time.Duration) {
	if len(c.waiting) == 0 {
		return
	}
	asked := map[*limits.Gate]bool{}
	for _, id := range c.queue { // gates in the order in which their requests came, so that a day repeats
		r := c.waiting[id]
		if r == nil || asked[r.gate] {
			continue
		}
		asked[r.gate] = true
		for _, x := range r.gate.Next(now) {
			r := c.waiting[x.ID]
			delete(c.waiting, x.ID)
			c.recordWaited(r, x.Decision)
			if x.Verdict == limits.Admit {
				c.admit(r)
			} else {
				c.turnAway(r, x.Decision)
			}
		}
	}
	kept := c.queue[:0]
	for _, id := range c.queue {
		if c.waiting[id] != nil {
			kept = append(kept, id)
		}
	}
	c.queue = kept
}

// waitingDue is when the next wait is over, or due if that is sooner.
func (c *Core) waitingDue(due time.Duration) time.Duration {
	for _, r := range c.waiting {
		if d := r.gate.Due(); d > 0 {
			due = min(due, d)
		}
	}
	return due
}

// leaveQueue removes a request whose client is gone from its route's queue; false where it does not wait.
func (c *Core) leaveQueue(r *Request) bool {
	if c.waiting[r.ticket] != r {
		return false
	}
	delete(c.waiting, r.ticket)
	return r.gate.Leave(r.ticket)
}

// refuseWaiting refuses every waiting request, as the process stops.
func (c *Core) refuseWaiting() {
	for _, id := range c.queue {
		if r := c.waiting[id]; r != nil {
			r.gate.Leave(id)
			c.turnAway(r, limits.Decision{Why: ReasonStopping, RetryAfter: c.set.Policy.MaxRetryAfter})
		}
	}
	clear(c.waiting)
	c.queue = nil
}

// pass counts an attempt at its route, and says whether it may leave: a first one may, a further one within the budgets.
func (c *Core) pass(q *query, number int) bool {
	now := c.steppedAt
	if number == 0 {
		c.whole.First(now)
		if q.gate != nil {
			q.gate.First(now)
		}
		return true
	}
	if q.gate != nil && !q.gate.Repeat(now) {
		return false
	}
	return c.whole.Repeat(now)
}

// out tells a request's route that it has ended.
func (r *Request) out(now time.Duration, answered bool) {
	if r.gate != nil {
		r.gate.Done(now-r.arrived, answered)
		r.gate = nil
	}
}

// overAnswer says whether lot stores' answers to a request are more than its route allows.
func (q *query) overAnswer(more int) bool { return q.answerMost > 0 && q.bytes+more > q.answerMost }
