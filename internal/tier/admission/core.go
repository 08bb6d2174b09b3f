package admission

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"pulleygw.example/pulleygw/internal/shared/curve"
	"pulleygw.example/pulleygw/internal/shared/tailguard"
	"pulleygw.example/pulleygw/internal/tier/invariant"
)

// core is the state machine of all decisions. Times are spans since its start; it does no I/O and keeps no clock.
type core struct {
	zone     string
	random   *rand.Rand
	services map[string]*service
	seq      uint64
}

// arrive decides on a new request: it has a grant or a refusal afterwards, or else is held.
func (c *core) arrive(now time.Duration, w *waiter) {
	v := c.services[w.Service]
	if v == nil || len(v.stores) == 0 {
		w.refusal = &RejectedError{Reason: NoStore, RetryAfter: noStoreRetry}
		return
	}
	c.seq++
	w.place.Seq, w.index, w.since = c.seq, -1, now
	w.class = v.class(w.LatencyTarget, w.Streaming)
	w.shunned = v.shunnedBy(w.Affinity, now)
	w.begins = v.begins(&w.Request)
	v.count(w.level())
	s, tier := c.choose(v, w, now)
	if s == nil {
		w.refusal = &RejectedError{Reason: NoStore, RetryAfter: noStoreRetry}
		return
	}
	w.place.Deadline, w.place.NoBudget = tailguard.Stamp(now, w.aimAt, s.tailOf(w.class, now), tailShare)
	if c.refuses(v, w, now, tier) {
		return
	}
	if tier == inTurn || tier != shut && s.room(now) {
		c.grant(s, w, now)
		return
	}
	s.hold(w)
}

// grant lets a request go to a store.
func (c *core) grant(s *store, w *waiter, now time.Duration) {
	v := s.service
	c.settle(w, now)
	g := &Grant{store: s, class: w.class, affinity: w.Affinity, told: s.Store, sentAt: now, quiet: s.load(now) < quietShare*float64(s.slots())}
	if w.Affinity != 0 {
		v.begun.add(w.Affinity, now)
	}
	s.out++
	v.out++
	s.unheard = append(s.unheard, g)
	w.grant = g
}

// settle counts a request that leaves for a store, or whose deadline has passed, as decided.
func (c *core) settle(w *waiter, now time.Duration) {
	if w.counted || w.place.NoBudget {
		return
	}
	w.counted = true
	v := c.services[w.Service]
	v.decided.Add(now, 1)
	if now > w.place.Deadline {
		v.missed.Add(now, 1)
	}
}

// release lets held requests leave, earliest deadline first. Stores that are in turn go first, with their own queues and
// then with what waits where it can't leave; then those that were held for a lack of better ones.
func (c *core) release(v *service, now time.Duration) {
	if v.held == 0 {
		return
	}
	for _, s := range v.stores {
		for len(s.held) > 0 && s.tier(s.held[0], now) == inTurn {
			c.let(s, now)
		}
	}
	for _, s := range v.stores {
		for v.held > 0 && len(s.held) == 0 {
			w := c.first(v, s, now)
			if w == nil {
				break
			}
			w.unhold()
			c.grant(s, w, now)
			close(w.done)
		}
	}
	for _, s := range v.stores {
		for len(s.held) > 0 && s.open(now) && s.room(now) {
			c.let(s, now)
		}
	}
}

// let lets the first request of a store's queue leave.
func (c *core) let(s *store, now time.Duration) {
	w := heap.Pop(&s.held).(*waiter)
	s.service.held--
	c.grant(s, w, now)
	close(w.done)
}

// first is the earliest of the requests at the head of other stores' queues that the store could take.
func (c *core) first(v *service, s *store, now time.Duration) (first *waiter) {
	for _, o := range v.stores {
		if o == s || len(o.held) == 0 {
			continue
		}
		w := o.held[0]
		if s.tier(w, now) == inTurn && (first == nil || w.place.Before(first.place)) {
			first = w
		}
	}
	return first
}

// replace finds another store for a request whose own has left.
func (c *core) replace(v *service, w *waiter, now time.Duration) {
	s, tier := c.choose(v, w, now)
	switch {
	case s == nil:
		w.refusal = &RejectedError{Reason: NoStore, RetryAfter: noStoreRetry}
	case tier == inTurn || tier != shut && s.room(now):
		c.grant(s, w, now)
	default:
		s.hold(w)
		return
	}
	close(w.done)
}

// sweep looks at what time alone brings to held requests: misses, and those that no answer could reach in time.
func (c *core) sweep(v *service, now time.Duration) {
	for _, s := range v.stores {
		for i := 0; i < len(s.held); i++ {
			w := s.held[i]
			if now > w.place.Deadline {
				c.settle(w, now)
			}
			if w.hopelessAt(now) <= now {
				w.unhold()
				c.refuse(v, w, DeadlineUnreachable)
				close(w.done)
				i = -1 // the heap has changed
			}
		}
	}
	c.release(v, now)
}

// hopelessAt is when a request that is still held can't be answered any more before its end.
func (w *waiter) hopelessAt(now time.Duration) time.Duration {
	w.class.refresh(now)
	return w.endAt - curve.Duration(w.class.typical)
}

// next is when sweep has something to do for the requests that a service holds; never, where it holds none.
func (c *core) next(v *service, now time.Duration) time.Duration {
	if v.held == 0 {
		return math.MaxInt64
	}
	next := time.Duration(math.MaxInt64)
	for _, s := range v.stores {
		for _, w := range s.held {
			next = min(next, w.hopelessAt(now))
			if !w.counted && !w.place.NoBudget {
				next = min(next, w.place.Deadline+1)
			}
		}
		if s.leftTo > now {
			next = min(next, s.leftTo)
		}
	}
	if v.out == 0 || v.out < v.held { // little will be heard: look again by time
		next = min(next, now+lookAgain)
	}
	return max(next, now+time.Millisecond)
}

// leave takes a request whose client has gone out of its queue.
func (c *core) leave(w *waiter) {
	if w.grant == nil && w.refusal == nil {
		w.unhold()
		w.refusal = &RejectedError{Reason: ClientGone}
	}
}

// answered takes in that the first of an answer has come, which is all of it where it is no stream.
func (c *core) answered(g *Grant, now time.Duration) {
	if g.heard {
		return
	}
	g.heard = true
	g.store.service.hasAnswered = true
	g.store.forget(g)
	g.store.heard(g.class, now, (now - g.sentAt).Seconds(), g.quiet)
}

// finish takes in how a sending ended, and lets others go in its place.
func (c *core) finish(g *Grant, now time.Duration, outcome Outcome) {
	if g.ended {
		return
	}
	s := g.store
	v := s.service
	age := (now - g.sentAt).Seconds()
	g.ended = true
	switch outcome {
	case Success:
		c.answered(g, now)
		s.note(now, true, 1)
		s.lost(now, false)
		if v.occupancy == 0 {
			v.occupancy = age
		}
		v.occupancy += latencyWeight * (age - v.occupancy)
	case Saturated:
		s.leftTo = now + min(max(curve.Duration(g.class.typical), fullLeast), fullMost)
		s.running, s.loadAt, s.loadTold = max(s.running, float64(s.slots()-s.out+1)), now, true
	case ConnectFailed, NotExecuted:
		s.leftTo = now + refusedDial
		s.note(now, false, 1)
	case StoreError:
		s.note(now, false, 1)
		v.shun(g.affinity, s, now)
	case ResponseLost:
		s.note(now, false, 1)
		s.lost(now, true)
		v.shun(g.affinity, s, now)
	case Cancelled:
		if patience := s.patience(g.class, now); !g.heard && age > patience {
			s.note(now, false, min(cancelWeight*age/patience, 1))
			s.lost(now, age > hungTimes*patience)
			v.shun(g.affinity, s, now)
		}
	}
	s.forget(g)
	s.out--
	v.out--
	invariant.Check(s.out >= 0 && v.out >= 0, invariant.InFlightNotNegative, s.out, 0)
	c.release(v, now)
}
