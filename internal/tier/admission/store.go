package admission

import (
	"hash/fnv"
	"time"
)

// State is the state of a store as its registration tells it. The numbers are those of the registry's instance states.
type State uint8

// The states of a store.
const (
	// Ready stores take requests.
	Ready State = iota
	// Suspect stores miss heartbeats. They take requests with a reduced weight.
	Suspect
	// Draining stores finish what they have and take nothing new.
	Draining
	// Deregistered stores are gone.
	Deregistered
)

// Store is one incarnation of a store of a service.
type Store struct {
	Instance string
	Address  string
	Zone     string
	// Slots is the number of requests that it works on at a time; 0 means unknown.
	Slots int
	State State
	// SlowStartUntil is the time until which the store has less than its full capacity. Zero means that it has all of it.
	SlowStartUntil time.Time
}

// store is what is known of one store.
type store struct {
	Store
	service *service
	hash    uint64 // of the instance, for rendezvous hashing
	listed  bool   // the last update contained it, and not as Deregistered

	slowStartFrom time.Duration
	slowStartTo   time.Duration

	inFlight          int      // attempts of this proxy at the store
	awaitingFirstByte []*Grant // those of them whose response has not started, oldest first
	queue             requestQueue
	lastSelected      uint64 // number of the service's selection that took it last

	latencies []storeLatencies // by class

	// Outlier detection. Values decay from the time of their last update; see health.go.
	latencyRatio   float64 // smoothed response time as a multiple of the class's baseline; 0 before the first response
	latencyRatioAt time.Duration
	failureRate    float64 // smoothed share of failed attempts
	failureRateAt  time.Duration
	lossRate       float64 // smoothed share of lost responses, which decays more slowly
	lossRateAt     time.Duration
	backoffUntil   time.Duration  // it rejected a request, or could not be reached
	backoffReason  EjectionReason // why; notEjected for want of capacity
	ejectedFor     EjectionReason // as last observed; see ejection.go

	// Concurrency limit.
	limit            float64
	limitDecreasedAt time.Duration

	// Last report of the requests of other callers.
	reportedRunning float64
	reportedWaiting float64
	reportedAt      time.Duration
	hasReport       bool
}

// newStore returns the state of an instance that was not known before.
func newStore(svc *service, listed Store) *store {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(listed.Instance)) // never fails
	s := &store{service: svc, hash: hash.Sum64(), lastSelected: svc.rotation, slowStartTo: -1, Store: listed}
	s.limit = max(float64(s.capacity()), minInitialLimit)
	return s
}

// update takes over what a new list of stores says of the instance. Slots that the store itself has reported are kept where
// the list does not tell them.
func (s *store) update(now time.Duration, sinceStart func(time.Time) time.Duration, listed Store) {
	slots := s.Slots
	s.Store = listed
	if listed.Slots == 0 {
		s.Slots = slots
	}
	if !listed.SlowStartUntil.IsZero() {
		s.beginSlowStart(now, sinceStart(listed.SlowStartUntil))
	}
	s.listed = listed.State != Deregistered
}

// inService reports whether the store's state lets it take requests.
func (s *store) inService() bool { return s.State == Ready || s.State == Suspect }

// removeAwaiting removes a grant from those whose response has not started.
func (s *store) removeAwaiting(g *Grant) {
	for i, awaiting := range s.awaitingFirstByte {
		if awaiting == g {
			s.awaitingFirstByte = append(s.awaitingFirstByte[:i], s.awaitingFirstByte[i+1:]...)
			return
		}
	}
}
