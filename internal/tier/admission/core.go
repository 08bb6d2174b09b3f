package admission

import (
	"math/rand/v2"
	"time"

	"pulleygw.example/pulleygw/internal/shared/tailguard"
	"pulleygw.example/pulleygw/internal/tier/invariant"
)

// core is the state machine that makes all decisions. It does no I/O and reads no clock; all times are durations since the
// Dispatcher was created. Its events are submit, abandon, recordFirstByte, finish, reassign (after service.update) and sweep.
type core struct {
	zone     string
	random   *rand.Rand
	services map[string]*service
	seq      uint64 // sequence number of the last request

	healthChanges []HealthChange // recorded by observeHealth, not reported yet
}

// submit grants, rejects or queues a new request.
func (c *core) submit(now time.Duration, p *pendingRequest) {
	svc := c.services[p.Service]
	if svc == nil || len(svc.stores) == 0 {
		p.rejection = &RejectedError{Reason: NoStore, RetryAfter: noStoreRetryAfter}
		return
	}
	c.seq++
	p.key.Seq, p.index = c.seq, -1
	p.class = svc.class(p.LatencyTarget, p.Streaming)
	p.failedStore = svc.failedStoreOf(p.Affinity, now)
	p.startsProgram = svc.startsProgram(&p.Request)
	svc.countLevel(p.level())
	s, tier := c.selectStore(svc, p, now)
	if s == nil {
		p.rejection = &RejectedError{Reason: NoStore, RetryAfter: noStoreRetryAfter}
		return
	}
	p.key.Deadline, p.key.NoBudget = tailguard.QueueingDeadline(now, p.targetAt, s.unloadedTail(p.class, now), maxTailShare)
	if c.rejectIfNeeded(svc, p, now, tier) {
		return
	}
	if s.acceptsNow(tier, now) {
		c.dispatch(s, p, now)
		return
	}
	s.enqueue(p)
}

// dispatch grants a request a slot of a store.
func (c *core) dispatch(s *store, p *pendingRequest, now time.Duration) {
	svc := s.service
	c.countDeadline(p, now)
	g := &Grant{
		store: s, class: p.class, affinity: p.Affinity, snapshot: s.Store, sentAt: now,
		unloaded: s.load(now) < unloadedShare*float64(s.capacity()),
		targetAt: p.targetAt, ignoreLateResponse: p.key.NoBudget || now > p.key.Deadline,
	}
	if p.Affinity != 0 {
		svc.startedPrograms.add(p.Affinity, now)
	}
	s.inFlight++
	svc.inFlight++
	s.awaitingFirstByte = append(s.awaitingFirstByte, g)
	p.grant = g
}

// reassign selects another store for a queued request whose store was removed or is draining.
func (c *core) reassign(svc *service, p *pendingRequest, now time.Duration) {
	s, tier := c.selectStore(svc, p, now)
	switch {
	case s == nil:
		p.rejection = &RejectedError{Reason: NoStore, RetryAfter: noStoreRetryAfter}
	case s.acceptsNow(tier, now):
		c.dispatch(s, p, now)
	default:
		s.enqueue(p)
		return
	}
	close(p.done)
}

// abandon removes a request from its queue after its context has ended.
func (c *core) abandon(p *pendingRequest) {
	if p.grant == nil && p.rejection == nil {
		p.dequeue()
		p.rejection = &RejectedError{Reason: ContextEnded}
	}
}

// recordFirstByte records that the first event of a stream, or the whole response if it is not a stream, has arrived.
func (c *core) recordFirstByte(g *Grant, now time.Duration) {
	if g.firstByte {
		return
	}
	g.firstByte = true
	g.store.service.responded = true
	g.store.removeAwaiting(g)
	g.store.recordLatency(g.class, now, (now - g.sentAt).Seconds(), g.unloaded)
	c.countLateResponse(g, now)
	c.observeHealth(g.store, now)
}

// finish records the outcome of an attempt, frees its slot and releases queued requests.
func (c *core) finish(g *Grant, now time.Duration, outcome Outcome) {
	if g.finished {
		return
	}
	g.finished = true
	if outcome == Success {
		c.recordFirstByte(g, now)
	}
	s := g.store
	svc := s.service
	s.recordOutcome(g, now, outcome)
	if outcome == Success {
		svc.recordServiceTime((now - g.sentAt).Seconds())
	}
	s.removeAwaiting(g)
	c.observeHealth(s, now)
	s.inFlight--
	svc.inFlight--
	invariant.Check(s.inFlight >= 0 && svc.inFlight >= 0, invariant.InFlightNotNegative, s.inFlight, 0)
	c.releaseQueued(svc, now)
}
