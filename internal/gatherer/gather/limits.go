package gather

import (
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/limits"
)

// The limits of a request's route are checked before the request is admitted to the in-flight table. The core has one
// limits.Limiter per route, which decides, and holds the queued requests. The scheduler sees only admitted requests.

// Limits are the routes with their limits, and the limit on retries of all routes together. The zero value limits nothing.
type Limits struct {
	Table   *limits.Table
	Retries limits.RetryBudget // of all routes together
	// Class returns the number of the class for requests that match a route, given the class that they arrived with. A route
	// may have a class of its own, derived from that one. Nil leaves classes unchanged.
	Class func(r *limits.Route, class int) int
}

// admission is the core's state of route limits.
type admission struct {
	limits       Limits
	limiters     map[string]*limits.Limiter // by name of the route
	allRoutes    limits.Limiter             // limits the retries of all routes together, and nothing else
	queued       map[uint64]*Request        // queued requests by arrivalID
	arrivalOrder []uint64                   // arrivalIDs of queued requests in order; may have some that have left the queue
	closed       bool                       // the process shuts down: requests are no longer limited or queued
}

// SetLimits applies limits to the requests that arrive from then on. Requests in flight keep their class.
func (c *Core) SetLimits(l Limits) { c.post(l) }

// AllRoutes is the name under which LimiterCounts reports the counts of all routes together.
const AllRoutes = "*"

// LimiterCounts returns the counts of the limiters, by name of the route.
func (c *Core) LimiterCounts() map[string]limits.Counts {
	to := make(chan map[string]limits.Counts, 1)
	c.post(countsRequest{to})
	select {
	case m := <-to:
		return m
	case <-c.quit:
		return nil
	}
}

// countsRequest is the message of LimiterCounts.
type countsRequest struct{ to chan map[string]limits.Counts } // buffered for the reply

func (c *Core) collectCounts() map[string]limits.Counts {
	m := map[string]limits.Counts{}
	for name, limiter := range c.admission.limiters {
		m[name] = limiter.Counts()
	}
	if c.admission.allRoutes.Limits.Retries.Span > 0 {
		m[AllRoutes] = c.admission.allRoutes.Counts()
	}
	return m
}

// applyLimits applies new limits. A route that keeps its name keeps its limiter, with its requests in flight and its queue.
func (c *Core) applyLimits(l Limits) {
	limiters := map[string]*limits.Limiter{}
	if l.Table != nil {
		for _, r := range l.Table.Routes() {
			limiter := c.admission.limiters[r.Name]
			if limiter == nil {
				limiter = &limits.Limiter{}
			}
			limiter.Change(r.Limits)
			limiters[r.Name] = limiter
		}
	}
	for name, limiter := range c.admission.limiters { // a removed route has no limits any more, so that its queued requests are admitted
		if limiters[name] == nil {
			limiter.Change(limits.Limits{})
		}
	}
	c.admission.limits, c.admission.limiters = l, limiters
	c.admission.allRoutes.Limits.Retries = l.Retries
	if c.admission.queued == nil {
		c.admission.queued = map[uint64]*Request{}
	}
}

// The reasons why a request fails on arrival, in addition to those of package limits.
const (
	ReasonBodyTooLarge = "the body is over the route's limit"
	ReasonPageTooDeep  = "the page is deeper than the route's limit"
)

// arrive applies the limits of a request's route to it, and admits, queues or rejects it.
func (c *Core) arrive(r *Request) {
	r.arrived = c.now()
	c.lastID++
	r.arrivalID = c.lastID
	var route *limits.Route
	if c.admission.limits.Table != nil && r.Origin != nil && !c.admission.closed && r.Class < len(c.set.Classes) {
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
	r.limiter, r.maxAnswerBytes = c.admission.limiters[route.Name], l.MaxAnswer
	if reason := exceededLimit(r, l); reason != "" {
		c.recordArrival(r, route.Name, limits.Decision{Action: limits.Reject, Reason: reason})
		c.recordFinal(r, "failed", reason)
		r.limiter = nil
		r.Done <- Result{Kind: Failed, Reason: reason, Shards: emptyShardResults(r)}
		return
	}
	// The limiter decides by r.arrived, which is also the recorded time of arrival, so that the record agrees with its decision.
	d := r.limiter.Arrive(r.arrivalID, l.Priority, r.arrived, c.clockTime(r.Deadline))
	c.recordArrival(r, route.Name, d)
	switch d.Action {
	case limits.Admit:
		c.admit(r)
	case limits.Wait:
		c.admission.queued[r.arrivalID] = r
		c.admission.arrivalOrder = append(c.admission.arrivalOrder, r.arrivalID)
	default:
		c.reject(r, d)
	}
}

// exceededLimit returns the reason why a request is larger than its route allows, empty if it is not.
func exceededLimit(r *Request, l limits.Limits) string {
	switch {
	case l.MaxBody > 0 && len(r.Text) > l.MaxBody:
		return ReasonBodyTooLarge
	case l.MaxDepth > 0 && r.Search != nil && r.Search.From+r.Search.Size > l.MaxDepth:
		return ReasonPageTooDeep
	}
	return ""
}

// reject rejects a request that its route has not admitted.
func (c *Core) reject(r *Request, d limits.Decision) {
	r.limiter = nil // the limiter has not admitted it, so releaseLimiter must not report its end
	c.recordFinal(r, "refused", d.Reason)
	r.Done <- Result{Kind: Rejected, RetryAfter: d.RetryAfter, Reason: d.Reason, Shards: emptyShardResults(r)}
}

// admitQueued admits the queued requests for which their routes have capacity, and rejects those that have waited too long or
// for which a reload has made the queue too short.
func (c *Core) admitQueued(now time.Duration) {
	if len(c.admission.queued) == 0 {
		return
	}
	done := map[*limits.Limiter]bool{}
	for _, id := range c.admission.arrivalOrder { // routes in the order of their oldest request, so that replays are deterministic
		r := c.admission.queued[id]
		if r == nil || done[r.limiter] {
			continue
		}
		done[r.limiter] = true
		for _, x := range r.limiter.Next(now) {
			r := c.admission.queued[x.ID]
			delete(c.admission.queued, x.ID)
			c.recordDequeued(r, x.Decision)
			if x.Action == limits.Admit {
				c.admit(r)
			} else {
				c.reject(r, x.Decision)
			}
		}
	}
	kept := c.admission.arrivalOrder[:0]
	for _, id := range c.admission.arrivalOrder {
		if c.admission.queued[id] != nil {
			kept = append(kept, id)
		}
	}
	c.admission.arrivalOrder = kept
}

// queueDue returns when the next wait in a queue is over, or due if that is sooner.
func (c *Core) queueDue(due time.Duration) time.Duration {
	for _, r := range c.admission.queued {
		if d := r.limiter.Due(); d > 0 {
			due = min(due, d)
		}
	}
	return due
}

// dequeue removes a request whose client has disconnected from its route's queue. It returns false if it is not queued.
func (c *Core) dequeue(r *Request) bool {
	if c.admission.queued[r.arrivalID] != r {
		return false
	}
	delete(c.admission.queued, r.arrivalID)
	return r.limiter.Remove(r.arrivalID)
}

// closeQueue rejects all queued requests, and ends the limits of requests that arrive later, for shutdown.
func (c *Core) closeQueue() {
	c.admission.closed = true
	for _, id := range c.admission.arrivalOrder {
		if r := c.admission.queued[id]; r != nil {
			r.limiter.Remove(id)
			c.reject(r, limits.Decision{Reason: ReasonStopping, RetryAfter: c.set.Policy.MaxRetryAfter})
		}
	}
	clear(c.admission.queued)
	c.admission.arrivalOrder = nil
}

// withinBudget counts an attempt of a subquery and reports whether it may be sent: the first attempt always, a retry only
// within the retry budgets of its route and of all routes together.
func (c *Core) withinBudget(q *query, number int) bool {
	now := c.steppedAt
	if number == 0 {
		c.admission.allRoutes.FirstAttempt(now)
		if q.limiter != nil {
			q.limiter.FirstAttempt(now)
		}
		return true
	}
	if q.limiter != nil && !q.limiter.Retry(now) {
		return false
	}
	return c.admission.allRoutes.Retry(now)
}

// releaseLimiter reports the end of a request to the limiter of its route. Further calls have no effect.
func (r *Request) releaseLimiter(now time.Duration, answered bool) {
	if r.limiter != nil {
		r.limiter.Done(now-r.arrived, answered)
		r.limiter = nil
	}
}

// answerTooLarge reports whether so many more bytes of lot stores' answers would exceed the limit of the route.
func (q *query) answerTooLarge(more int) bool {
	return q.maxAnswerBytes > 0 && q.bytes+more > q.maxAnswerBytes
}
