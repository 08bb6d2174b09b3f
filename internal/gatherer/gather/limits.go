package gather

import (
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/limits"
)

// Limits by route, where they are configured, are checked before a request is admitted. The core keeps the gates, which
// decide as package limits says, and the queued requests. The scheduler sees only those that were admitted.

// Limits are the routes and the retry budget of all of them together. The zero value limits nothing.
type Limits struct {
	Table   *limits.Table
	Retries limits.RetryBudget // of all routes together
	// Class returns the number of the class that a route derives from a class: the class itself where it derives none.
	Class func(r *limits.Route, class int) int
}

// admission is the core's state of limits.
type admission struct {
	limits  Limits
	gates   map[string]*limits.Gate // by route
	total   limits.Gate             // of all routes together: its retry budget only
	waiting map[uint64]*Request
	queue   []uint64 // keys of waiting, in the order of arrival
}

// SetLimits puts limits in force for what arrives from then on. Requests in flight keep the class that they arrived under.
func (c *Core) SetLimits(l Limits) { c.post(l) }

// AllRoutes is the name under which Gates reports all routes together.
const AllRoutes = "*"

// Gates returns the counts of the gates, by route.
func (c *Core) Gates() map[string]limits.Counts {
	to := make(chan map[string]limits.Counts, 1)
	c.post(gateCounts{to})
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
	for name, g := range c.admission.gates {
		m[name] = g.Counts()
	}
	if c.admission.total.Limits.Retries.Span > 0 {
		m[AllRoutes] = c.admission.total.Counts()
	}
	return m
}

// applyLimits applies new limits. A route that keeps its name keeps its gate, with its requests in flight and its queue.
func (c *Core) applyLimits(l Limits) {
	gates := map[string]*limits.Gate{}
	if l.Table != nil {
		for _, r := range l.Table.Routes() {
			g := c.admission.gates[r.Name]
			if g == nil {
				g = &limits.Gate{}
			}
			g.Change(r.Limits)
			gates[r.Name] = g
		}
	}
	for name, g := range c.admission.gates { // a removed route limits nothing more; its queued requests proceed
		if gates[name] == nil {
			g.Change(limits.Limits{})
		}
	}
	c.admission.limits, c.admission.gates = l, gates
	c.admission.total.Limits.Retries = l.Retries
	if c.admission.waiting == nil {
		c.admission.waiting = map[uint64]*Request{}
	}
}

// Why a request fails on arrival, beside the reasons of package limits.
const (
	ReasonBody  = "the body is over the route's limit"
	ReasonDepth = "the page is deeper than the route's limit"
)

// arrive asks the request's route to admit it.
func (c *Core) arrive(r *Request) {
	r.arrived = c.now()
	c.lastID++
	r.ticket = c.lastID
	var route *limits.Route
	if c.admission.limits.Table != nil && r.Origin != nil && c.endBy.IsZero() && r.Class < len(c.set.Classes) {
		route = c.admission.limits.Table.Find(r.Origin, c.set.Classes[r.Class])
	}
	if route == nil {
		c.recordArrival(r, "", limits.Decision{})
		c.admit(r)
		return
	}
	l := route.Limits
	if c.admission.limits.Class != nil {
		r.Class = c.admission.limits.Class(route, r.Class)
	}
	if at := time.Now().Add(l.Timeout); l.Timeout > 0 && r.Deadline.After(at) {
		r.Deadline = at
	}
	r.CompleteOnly = r.CompleteOnly || l.CompleteOnly
	r.gate, r.maxAnswerBytes = c.admission.gates[route.Name], l.MaxAnswer
	if wrong := beyondRoute(r, l); wrong != "" {
		c.recordArrival(r, route.Name, limits.Decision{Action: limits.Reject, Reason: wrong})
		c.recordFinal(r, "failed", wrong)
		r.gate = nil
		r.Done <- Result{Kind: Failed, Reason: wrong, Shards: shardResults(r)}
		return
	}
	d := r.gate.Arrive(r.ticket, l.Priority, r.arrived, c.at(r.Deadline)) // at the time that is recorded
	c.recordArrival(r, route.Name, d)
	switch d.Action {
	case limits.Admit:
		c.admit(r)
	case limits.Wait:
		c.admission.waiting[r.ticket] = r
		c.admission.queue = append(c.admission.queue, r.ticket)
	default:
		c.reject(r, d)
	}
}

// beyondRoute is the reason why a request is larger than its route allows, empty if it is not.
func beyondRoute(r *Request, l limits.Limits) string {
	switch {
	case l.MaxBody > 0 && len(r.Text) > l.MaxBody:
		return ReasonBody
	case l.MaxDepth > 0 && r.Search != nil && r.Search.From+r.Search.Size > l.MaxDepth:
		return ReasonDepth
	}
	return ""
}

// reject rejects a request that was not admitted.
func (c *Core) reject(r *Request, d limits.Decision) {
	r.gate = nil // it was never admitted
	c.recordFinal(r, "refused", d.Reason)
	r.Done <- Result{Kind: Rejected, RetryAfter: d.RetryAfter, Reason: d.Reason, Shards: shardResults(r)}
}

// admitWaiting admits queued requests that there is capacity for, and rejects those whose wait is over.
func (c *Core) admitWaiting(now time.Duration) {
	if len(c.admission.waiting) == 0 {
		return
	}
	done := map[*limits.Gate]bool{}
	for _, id := range c.admission.queue { // gates in the order of their requests, so that replays are deterministic
		r := c.admission.waiting[id]
		if r == nil || done[r.gate] {
			continue
		}
		done[r.gate] = true
		for _, x := range r.gate.Next(now) {
			r := c.admission.waiting[x.ID]
			delete(c.admission.waiting, x.ID)
			c.recordWaited(r, x.Decision)
			if x.Action == limits.Admit {
				c.admit(r)
			} else {
				c.reject(r, x.Decision)
			}
		}
	}
	kept := c.admission.queue[:0]
	for _, id := range c.admission.queue {
		if c.admission.waiting[id] != nil {
			kept = append(kept, id)
		}
	}
	c.admission.queue = kept
}

// waitingDue is when the next wait in a queue is over, or due if that is sooner.
func (c *Core) waitingDue(due time.Duration) time.Duration {
	for _, r := range c.admission.waiting {
		if d := r.gate.Due(); d > 0 {
			due = min(due, d)
		}
	}
	return due
}

// leaveQueue removes a request whose client has disconnected from its route's queue. It returns false if it is not queued.
func (c *Core) leaveQueue(r *Request) bool {
	if c.admission.waiting[r.ticket] != r {
		return false
	}
	delete(c.admission.waiting, r.ticket)
	return r.gate.Remove(r.ticket)
}

// rejectWaiting rejects every queued request, as the process stops.
func (c *Core) rejectWaiting() {
	for _, id := range c.admission.queue {
		if r := c.admission.waiting[id]; r != nil {
			r.gate.Remove(id)
			c.reject(r, limits.Decision{Reason: ReasonStopping, RetryAfter: c.set.Policy.MaxRetryAfter})
		}
	}
	clear(c.admission.waiting)
	c.admission.queue = nil
}

// withinBudget counts an attempt at its route and reports whether it may be sent: a first one may, a further one within
// the retry budgets.
func (c *Core) withinBudget(q *query, number int) bool {
	now := c.steppedAt
	if number == 0 {
		c.admission.total.FirstAttempt(now)
		if q.gate != nil {
			q.gate.FirstAttempt(now)
		}
		return true
	}
	if q.gate != nil && !q.gate.Retry(now) {
		return false
	}
	return c.admission.total.Retry(now)
}

// leaveRoute reports to the request's route that it has ended.
func (r *Request) leaveRoute(now time.Duration, answered bool) {
	if r.gate != nil {
		r.gate.Done(now-r.arrived, answered)
		r.gate = nil
	}
}

// answerTooLarge reports whether the lot stores' answers, with so many more bytes, exceed what the route allows.
func (q *query) answerTooLarge(more int) bool {
	return q.maxAnswerBytes > 0 && q.bytes+more > q.maxAnswerBytes
}
