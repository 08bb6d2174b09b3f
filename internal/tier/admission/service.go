package admission

import (
	"time"

	"pulleygw.example/pulleygw/internal/shared/curve"
)

// service is the stores of one service and what is decided for all of them together.
type service struct {
	name         string
	engine       bool // its stores generate tokens
	defaultSlots int  // of a store that does not report them; 0 means unknown
	stores       []*store
	byInstance   map[string]*store // also those that are not listed any more while attempts are in flight there
	classes      []*latencyClass
	rotation     uint64 // number of selections so far
	queued       int    // requests in all queues
	inFlight     int    // attempts of this proxy at its stores

	failedStores    map[uint64]failedStore // by affinity
	startedPrograms recentSet              // by affinity

	// Baseline of the stores' load reports; see load.go.
	baselineRunning float64
	baselineWaiting float64
	baselineAt      time.Duration
	responded       bool // a store has responded
	reportsLoad     bool // a store has reported its load, which comes before the response counts

	latencyRatio float64 // smoothed response time of all stores, as a multiple of their classes' baselines
	serviceTime  float64 // smoothed time in seconds that an attempt takes up a slot; 0 before the first

	// Load shedding; see shedding.go.
	decided     curve.SlidingSum // requests that met or missed their deadline
	missed      curve.SlidingSum // those of them that missed it
	shedShare   float64          // share of new requests that is to be shed
	shedShareAt time.Duration
	levelShares [levelCount]float64 // smoothed share of each level in what arrives
}

func newService(name string) *service {
	return &service{name: name, byInstance: map[string]*store{}, failedStores: map[uint64]failedStore{}}
}

// class returns the class of requests with a latency target and kind of response.
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

// update replaces the list of stores, and keeps what is known of those that stay. It returns the requests that were queued
// for stores that are gone or draining, to be reassigned.
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

// takeUnassigned empties the queues of stores that are gone or draining, and forgets those that are gone and have nothing in
// flight.
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

// recordServiceTime records how many seconds a successful attempt took up a slot.
func (svc *service) recordServiceTime(seconds float64) {
	if svc.serviceTime == 0 {
		svc.serviceTime = seconds
	}
	svc.serviceTime += latencySmoothing * (seconds - svc.serviceTime)
}

// expectedWait returns how long a request with so many ahead of it will be queued, by how fast this proxy's attempts end.
func (svc *service) expectedWait(ahead int) time.Duration {
	return curve.Duration(float64(ahead) * svc.serviceTime / float64(max(svc.inFlight, 1)))
}

// slotUsage sums the slots in use and all slots of the stores that take requests.
func (svc *service) slotUsage(now time.Duration) (used, all float64) {
	for _, s := range svc.stores {
		if s.inService() {
			all += float64(s.capacity()) * s.slowStartShare(now)
			used += min(s.load(now), float64(s.capacity()))
		}
	}
	return used, all
}
