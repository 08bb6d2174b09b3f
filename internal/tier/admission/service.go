package admission

import (
	"time"

	"pulleygw.example/pulleygw/internal/shared/curve"
)

// service is the state of one service and its stores.
type service struct {
	name         string
	engine       bool // its stores generate tokens
	defaultSlots int  // slots of a store that does not report them; 0 means unknown
	stores       []*store
	byInstance   map[string]*store // includes stores that are no longer listed but still have attempts in flight
	classes      []*latencyClass
	selections   uint64 // number of selections so far
	queued       int    // requests in all queues
	inFlight     int    // attempts of this proxy at all stores

	failedStores    map[uint64]failedStore // by affinity
	startedPrograms recentSet              // by affinity

	// Baseline of the stores' load reports; see load.go.
	baselineRunning float64
	baselineWaiting float64
	baselineAt      time.Duration
	responded       bool // a store has responded
	reportsLoad     bool // a store has reported its load; set before responded, as ReportLoad precedes ReportFirstByte

	latencyRatio float64 // smoothed response time of all stores, as a multiple of their classes' baselines
	serviceTime  float64 // smoothed time that an attempt occupies a slot, in seconds; 0 before the first response

	// Load shedding; see shedding.go.
	deadlines       curve.SlidingSum // requests that met or missed their deadline
	missedDeadlines curve.SlidingSum // requests that missed their deadline
	shedShare       float64          // share of new requests to shed
	shedShareAt     time.Duration
	levelShares     [levelCount]float64 // smoothed share of the arriving requests by shedding level; see levelCount
}

func newService(name string) *service {
	return &service{name: name, byInstance: map[string]*store{}, failedStores: map[uint64]failedStore{}}
}

// class returns the latency class for a latency target and for streaming or other responses. It creates the class if there is
// none.
func (svc *service) class(target time.Duration, streaming bool) *latencyClass {
	for _, c := range svc.classes {
		if c.target == target && c.streaming == streaming {
			return c
		}
	}
	c := newLatencyClass(target, streaming)
	svc.classes = append(svc.classes, c)
	return c
}

// update replaces the list of stores and keeps the state of those that remain. It returns the requests that were queued for
// removed or draining stores; the caller reassigns them.
func (svc *service) update(now time.Duration, sinceStart func(time.Time) time.Duration, listed []Store) []*pendingRequest {
	for _, s := range svc.stores {
		s.listed = false
	}
	svc.stores = svc.stores[:0]
	for _, l := range listed {
		s := svc.byInstance[l.Instance]
		if s == nil {
			s = newStore(svc, l)
			svc.byInstance[l.Instance] = s
		}
		s.update(now, sinceStart, l)
		if s.listed {
			svc.stores = append(svc.stores, s)
		}
	}
	return svc.takeUnassigned()
}

// takeUnassigned empties the queues of removed and draining stores and returns their requests. It also drops the state of
// removed stores that have no attempts in flight.
func (svc *service) takeUnassigned() []*pendingRequest {
	var unassigned []*pendingRequest
	for instance, s := range svc.byInstance {
		if !s.listed || s.State == Draining {
			unassigned = append(unassigned, s.queue...)
			for _, p := range s.queue {
				p.index = -1
			}
			svc.queued -= len(s.queue)
			s.queue = nil
		}
		if !s.listed && s.inFlight == 0 {
			delete(svc.byInstance, instance)
		}
	}
	return unassigned
}

// recordServiceTime records for how many seconds a successful attempt occupied a slot.
func (svc *service) recordServiceTime(seconds float64) {
	if svc.serviceTime == 0 {
		svc.serviceTime = seconds
	}
	svc.serviceTime += latencySmoothing * (seconds - svc.serviceTime)
}

// expectedWait estimates how long a request with this many requests ahead of it will be queued, from the rate at which this
// proxy's attempts finish.
func (svc *service) expectedWait(ahead int) time.Duration {
	return curve.Duration(float64(ahead) * svc.serviceTime / float64(max(svc.inFlight, 1)))
}

// slotUsage returns the slots in use and all slots, summed over the stores that take requests.
func (svc *service) slotUsage(now time.Duration) (used, all float64) {
	for _, s := range svc.stores {
		if s.eligible() {
			all += float64(s.capacity()) * s.slowStartShare(now)
			used += min(s.load(now), float64(s.capacity()))
		}
	}
	return used, all
}
