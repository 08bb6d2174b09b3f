package admission

import (
	"time"

	"pulleygw.example/pulleygw/internal/shared/tailguard"
	"pulleygw.example/pulleygw/internal/tier/metrics"
)

// This file reports ejections to operators. It has no influence on selection, which follows from health.go and the tiers.

var (
	storeEjections = metrics.NewCounterVec("proxy_store_ejections_total",
		"Times that this proxy ejected a store, by instance and reason.", "instance", "reason")
	storeReturns = metrics.NewCounterVec("proxy_store_returns_total",
		"Times that an ejected store returned, by instance and the reason of its ejection.", "instance", "reason")
)

// EjectionReason is why a proxy avoids a store while others are available.
type EjectionReason string

// Reasons of an ejection. A store that only rejects requests for lack of capacity is in backoff for less than a second and
// does not count as ejected, nor does a store that is draining or deregistered.
const (
	notEjected EjectionReason = ""
	// EjectedUnreachable stores could not be connected to, or received no byte of a request.
	EjectedUnreachable EjectionReason = "unreachable"
	// EjectedNotExecuting stores rejected a request for a reason other than load, such as another instance at the address.
	EjectedNotExecuting EjectionReason = "not_executing"
	// EjectedStalled stores have not sent the first byte of their oldest request within hangTimeoutMultiple times the stall
	// timeout. One request in a hundred exceeds the stall timeout itself: its store is avoided meanwhile, but not ejected.
	EjectedStalled EjectionReason = "stalled"
	// EjectedFailing stores fail too many attempts.
	EjectedFailing EjectionReason = "failing"
	// EjectedSlow stores respond much later than the other stores of the service.
	EjectedSlow EjectionReason = "slow"
	// EjectedSuspect stores are late with their heartbeats; their failures and response times alone would not eject them.
	EjectedSuspect EjectionReason = "suspect"
)

// HealthChange is the ejection of a store or the return of an ejected store.
type HealthChange struct {
	Service  string
	Instance string
	// Reason is the reason of the ejection, also when the store returns.
	Reason EjectionReason
	// Ejected is false when the store returns.
	Ejected bool
}

// observeHealth records whether the store was ejected or has returned since the last call. Returns that only time brings
// about are noticed at the next selection.
func (c *core) observeHealth(s *store, now time.Duration) {
	if !s.listed || !s.eligible() {
		s.ejectedFor = notEjected // excluded because of its registered state, which is not an ejection
		return
	}
	reason := s.ejectionReason(now)
	ejected, wasEjected := reason != notEjected, s.ejectedFor != notEjected
	if ejected == wasEjected {
		return
	}
	change := HealthChange{Service: s.service.name, Instance: s.Instance, Reason: reason, Ejected: ejected}
	if ejected {
		storeEjections.Inc(s.Instance, string(reason))
	} else {
		change.Reason = s.ejectedFor
		storeReturns.Inc(s.Instance, string(change.Reason))
	}
	s.ejectedFor = reason
	c.healthChanges = append(c.healthChanges, change)
}

// ejectionReason returns why the store is ejected, or notEjected.
func (s *store) ejectionReason(now time.Duration) EjectionReason {
	switch {
	case s.backoffReason != notEjected && s.inBackoff(now):
		return s.backoffReason
	case s.stalledBeyond(now, hangTimeoutMultiple):
		return EjectedStalled
	case s.healthy(now):
		return notEjected
	case tailguard.Weight(s.currentFailureRate(now), 1, 1) < healthyWeight:
		return EjectedFailing
	case s.State == Suspect && s.weight(now) >= healthyWeight*healthyWeight*s.slowStartShare(now):
		return EjectedSuspect
	}
	return EjectedSlow
}

// takeHealthChanges returns the changes that observeHealth has recorded since the last call.
func (c *core) takeHealthChanges() []HealthChange {
	changes := c.healthChanges
	c.healthChanges = nil
	return changes
}
