package admission

import (
	"container/heap"
	"math"
	"time"

	"pulleygw.example/pulleygw/internal/shared/curve"
	"pulleygw.example/pulleygw/internal/shared/tailguard"
)

// pendingRequest is a request that is queued or being decided on.
type pendingRequest struct {
	Request
	class         *latencyClass
	startsProgram bool               // it is the first request of its program
	store         *store             // whose queue it is in
	failedStore   *store             // it recently failed a request of the same program; nil for none
	key           tailguard.QueueKey // order of release, with the request's deadline
	index         int                // in the queue, -1 while it is in none
	targetAt      time.Duration      // end of its latency target
	deadlineAt    time.Duration      // end of its time-out
	decided       bool               // it was counted as one that met or missed its deadline
	grant         *Grant
	rejection     *RejectedError
	done          chan struct{} // closed when a queued request has a grant or a rejection; nil until it is queued
}

// requestQueue is a store's queue, a heap in the order of release.
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

// dequeue removes the request from the queue that it is in, if any.
func (p *pendingRequest) dequeue() {
	if p.index >= 0 {
		p.store.service.queued--
		heap.Remove(&p.store.queue, p.index)
	}
}

// countDecided counts a request that leaves its queue, or whose deadline has passed, for the miss rate. Requests that had no
// budget when they arrived say nothing about the load and are not counted.
func (c *core) countDecided(p *pendingRequest, now time.Duration) {
	if p.decided || p.key.NoBudget {
		return
	}
	p.decided = true
	svc := c.services[p.Service]
	svc.decided.Add(now, 1)
	if now > p.key.Deadline {
		svc.missed.Add(now, 1)
	}
}

// countLateResponse counts a request as one that missed its deadline if its response begins after the latency target, though it
// left its queue in time. A store that was loaded when the request was sent makes it wait there: that is load that no queue of
// this proxy shows. A late response of an unloaded store says that the store is slow, which is no reason to shed load.
func (c *core) countLateResponse(g *Grant, now time.Duration) {
	if !g.counted && !g.unloaded && now > g.targetAt {
		g.store.service.missed.Add(now, 1)
	}
}

// releaseQueued dispatches queued requests, earliest deadline first. Available stores go first, with their own queues and
// then with requests queued at stores that cannot take them. Last come requests that were queued at stores of a worse
// tier for want of a better one.
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

// dispatchFirst dispatches the first request of a store's queue.
func (c *core) dispatchFirst(s *store, now time.Duration) {
	p := heap.Pop(&s.queue).(*pendingRequest)
	s.service.queued--
	c.dispatch(s, p, now)
	close(p.done)
}

// earliestQueuedFor returns the earliest of the requests at the heads of other stores' queues that the store is available
// for, or nil.
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

// sweep handles what the passage of time alone brings to queued requests: missed deadlines, requests that no response could
// reach in time any more, and stores whose backoff has ended.
func (c *core) sweep(svc *service, now time.Duration) {
	for _, s := range svc.stores {
		for i := 0; i < len(s.queue); i++ {
			p := s.queue[i]
			if now > p.key.Deadline {
				c.countDecided(p, now)
			}
			if p.latestStart(now) <= now {
				p.dequeue()
				c.reject(svc, p, DeadlineUnreachable)
				close(p.done)
				i = -1 // the heap has changed: start again
			}
		}
	}
	c.releaseQueued(svc, now)
}

// latestStart returns the time from which on a median response to the request would arrive after its end.
func (p *pendingRequest) latestStart(now time.Duration) time.Duration {
	p.class.refresh(now)
	return p.deadlineAt - curve.Duration(p.class.median)
}

// nextWakeup returns when sweep will have something to do for the queued requests of a service, and math.MaxInt64 while none
// is queued.
func (c *core) nextWakeup(svc *service, now time.Duration) time.Duration {
	if svc.queued == 0 {
		return math.MaxInt64
	}
	next := time.Duration(math.MaxInt64)
	for _, s := range svc.stores {
		for _, p := range s.queue {
			next = min(next, p.latestStart(now))
			if !p.decided && !p.key.NoBudget {
				next = min(next, p.key.Deadline+1)
			}
		}
		if s.backoffUntil > now {
			next = min(next, s.backoffUntil)
		}
	}
	if svc.inFlight == 0 || svc.inFlight < svc.queued { // few ends of attempts will release queues
		next = min(next, now+pollInterval)
	}
	return max(next, now+time.Millisecond)
}
