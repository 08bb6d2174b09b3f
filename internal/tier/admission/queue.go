package admission

import (
	"container/heap"
	"math"
	"time"

	"pulleygw.example/pulleygw/internal/shared/curve"
	"pulleygw.example/pulleygw/internal/shared/tailguard"
)

// pendingRequest is a request that is queued or about to be granted or rejected.
type pendingRequest struct {
	Request
	class           *latencyClass
	startsProgram   bool               // it is the first request of its program
	store           *store             // the store whose queue it is in
	failedStore     *store             // a store that recently failed a request of the same program; nil if there is none
	key             tailguard.QueueKey // position in the order of release, with the queueing deadline
	index           int                // in the queue; -1 if it is in none
	targetAt        time.Duration      // end of its latency target
	timeoutAt       time.Duration      // Request.Deadline, as opposed to the queueing deadline in key
	deadlineCounted bool               // it was counted as having met or missed its queueing deadline
	grant           *Grant
	rejection       *RejectedError
	done            chan struct{} // closed once a queued request has a grant or a rejection; nil until it is queued
}

// requestQueue is the queue of a store: a heap (container/heap) in the order of release.
type requestQueue []*pendingRequest

func (q requestQueue) Len() int           { return len(q) }
func (q requestQueue) Less(i, j int) bool { return q[i].key.Before(q[j].key) }
func (q requestQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *requestQueue) Push(x any) {
	p := x.(*pendingRequest)
	p.index = len(*q)
	*q = append(*q, p)
}

// Pop implements heap.Interface.
func (q *requestQueue) Pop() any {
	last := len(*q) - 1
	p := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	p.index = -1
	return p
}

// enqueue adds a request to the store's queue.
func (s *store) enqueue(p *pendingRequest) {
	p.store = s
	if p.done == nil {
		p.done = make(chan struct{})
	}
	s.service.queued++
	heap.Push(&s.queue, p)
}

// dequeue removes the request from its queue, if it is in one.
func (p *pendingRequest) dequeue() {
	if p.index >= 0 {
		p.store.service.queued--
		heap.Remove(&p.store.queue, p.index)
	}
}

// countDeadline counts a request in the miss rate, once, when it is dispatched or its queueing deadline passes. Requests that
// had no budget on arrival are not counted, as they say nothing about the load.
func (c *core) countDeadline(p *pendingRequest, now time.Duration) {
	if p.deadlineCounted || p.key.NoBudget {
		return
	}
	p.deadlineCounted = true
	svc := c.services[p.Service]
	svc.deadlines.Add(now, 1)
	if now > p.key.Deadline {
		svc.missedDeadlines.Add(now, 1)
	}
}

// countLateResponse counts a request as a miss if it was dispatched in time to a loaded store and its response begins after
// the latency target: it waited at the store, and that load does not show in the queues of this proxy. A late response of an
// unloaded store only shows that the store is slow, which is no reason to shed load.
func (c *core) countLateResponse(g *Grant, now time.Duration) {
	if !g.ignoreLateResponse && !g.unloaded && now > g.targetAt {
		g.store.service.missedDeadlines.Add(now, 1)
	}
}

// releaseQueued dispatches queued requests, earliest deadline first, in three passes: available stores take requests from
// their own queues; available stores with an empty queue take requests queued for other stores; and stores of a worse tier
// that have capacity take requests that were queued there because no better store existed.
func (c *core) releaseQueued(svc *service, now time.Duration) {
	if svc.queued == 0 {
		return
	}
	for _, s := range svc.stores {
		for len(s.queue) > 0 && s.tierFor(s.queue[0], now) == tierAvailable {
			c.dispatchFirst(s, now)
		}
	}
	for _, s := range svc.stores {
		for svc.queued > 0 && len(s.queue) == 0 {
			p := c.earliestQueuedFor(svc, s, now)
			if p == nil {
				break
			}
			p.dequeue()
			c.dispatch(s, p, now)
			close(p.done)
		}
	}
	for _, s := range svc.stores {
		for len(s.queue) > 0 && s.selectable(now) && s.hasCapacity(now) {
			c.dispatchFirst(s, now)
		}
	}
}

// dispatchFirst dispatches the request at the head of a store's queue.
func (c *core) dispatchFirst(s *store, now time.Duration) {
	p := heap.Pop(&s.queue).(*pendingRequest)
	s.service.queued--
	c.dispatch(s, p, now)
	close(p.done)
}

// earliestQueuedFor returns, of the requests at the heads of the other stores' queues, the first in the order of release for
// which the store is available, or nil.
func (c *core) earliestQueuedFor(svc *service, s *store, now time.Duration) *pendingRequest {
	var earliest *pendingRequest
	for _, other := range svc.stores {
		if other == s || len(other.queue) == 0 {
			continue
		}
		p := other.queue[0]
		if s.tierFor(p, now) == tierAvailable && (earliest == nil || p.key.Before(earliest.key)) {
			earliest = p
		}
	}
	return earliest
}

// sweep handles time-dependent changes of queued requests: it counts missed deadlines, rejects requests whose response could
// no longer arrive in time, and releases requests to stores whose backoff has ended.
func (c *core) sweep(svc *service, now time.Duration) {
	for _, s := range svc.stores {
		for i := 0; i < len(s.queue); i++ {
			p := s.queue[i]
			if now > p.key.Deadline {
				c.countDeadline(p, now)
			}
			if p.latestStart(now) <= now {
				p.dequeue()
				c.reject(svc, p, DeadlineUnreachable)
				close(p.done)
				i = -1 // restart, as removing an element reorders the heap
			}
		}
	}
	c.releaseQueued(svc, now)
}

// latestStart returns the time from which on even a median response would arrive too late for Request.Deadline.
func (p *pendingRequest) latestStart(now time.Duration) time.Duration {
	p.class.refresh(now)
	return p.timeoutAt - curve.Duration(p.class.median)
}

// nextWakeup returns when sweep next has work to do for the queued requests of a service, or math.MaxInt64 if none is queued.
func (c *core) nextWakeup(svc *service, now time.Duration) time.Duration {
	if svc.queued == 0 {
		return math.MaxInt64
	}
	next := time.Duration(math.MaxInt64)
	for _, s := range svc.stores {
		for _, p := range s.queue {
			next = min(next, p.latestStart(now))
			if !p.deadlineCounted && !p.key.NoBudget {
				next = min(next, p.key.Deadline+1)
			}
		}
		if s.backoffUntil > now {
			next = min(next, s.backoffUntil)
		}
	}
	if svc.inFlight == 0 || svc.inFlight < svc.queued { // too few attempts that release queues as they finish
		next = min(next, now+pollInterval)
	}
	return max(next, now+time.Millisecond)
}
