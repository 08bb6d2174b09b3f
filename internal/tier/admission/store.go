package admission

import (
	"hash/fnv"
	"time"
)

// State is the registered state of a store. The values equal those of the registry's instance states.
type State uint8

// States of a store.
const (
	// Ready stores take requests.
	Ready State = iota
	// Suspect stores are late with their heartbeats. They take requests with a reduced weight.
	Suspect
	// Draining stores finish their requests and take no new ones.
	Draining
	// Deregistered stores have left the service.
	Deregistered
)

// Store is one incarnation of a store of a service.
type Store struct {
	Instance string
	Address  string
	Zone     string
	// Slots is the number of requests that the store runs concurrently; 0 means unknown.
	Slots int
	State State
	// SlowStartUntil is the end of the store's slow start, during which it has less than its full capacity. Zero means that
	// the store is not in slow start.
	SlowStartUntil time.Time
}

// store is the state that is kept for one store.
type store struct {
	Store
	service *service
	hash    uint64 // of the instance, for rendezvous hashing
	listed  bool   // the last update contained it, in a state other than Deregistered

	slowStartFrom time.Duration
	slowStartTo   time.Duration

	inFlight          int      // attempts of this proxy at the store
	awaitingFirstByte []*Grant // the attempts whose response has not started, oldest first
	queue             requestQueue
	lastSelected      uint64 // value of service.selections when it was last selected

	latencies []storeLatencies // by class

	// Outlier detection; see health.go. Each value decays from the time of its last update (the field ending in At).
	latencyRatio   float64 // smoothed response time, as a multiple of the class's baseline; 0 before the first response
	latencyRatioAt time.Duration
	failureRate    float64 // smoothed share of failed attempts
	failureRateAt  time.Duration
	lossRate       float64 // smoothed share of lost responses
	lossRateAt     time.Duration
	backoffUntil   time.Duration  // end of the backoff after a rejection or a failed connection
	backoffReason  EjectionReason // notEjected if the backoff is for lack of capacity
	ejectedFor     EjectionReason // as last recorded by observeHealth

	// Concurrency limit.
	limit            float64
	limitDecreasedAt time.Duration

	// Requests of other callers, according to the store's last load report.
	reportedRunning float64
	reportedWaiting float64
	reportedAt      time.Duration
	hasReport       bool
}

// newStore returns the state of an instance that is listed for the first time.
func newStore(svc *service, listed Store) *store {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(listed.Instance)) // never fails
	s := &store{service: svc, hash: hash.Sum64(), lastSelected: svc.selections, slowStartTo: -1, Store: listed}
	s.limit = max(float64(s.capacity()), minInitialLimit)
	return s
}

// update applies the entry of a new list of stores. If the entry has no Slots, those that the store reported are kept.
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

// eligible reports whether the store's state lets it take requests.
func (s *store) eligible() bool { return s.State == Ready || s.State == Suspect }

// removeAwaiting removes a grant from awaitingFirstByte.
func (s *store) removeAwaiting(g *Grant) {
	for i, awaiting := range s.awaitingFirstByte {
		if awaiting == g {
			s.awaitingFirstByte = append(s.awaitingFirstByte[:i], s.awaitingFirstByte[i+1:]...)
			return
		}
	}
}
