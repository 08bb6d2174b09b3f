package admission

import (
	"time"

	"pulleygw.example/pulleygw/internal/shared/tailguard"
	"pulleygw.example/pulleygw/internal/tier/metrics"
)

// This file tells operators of ejections. It decides nothing: health.go does, and a store's tier says what follows from it.

var (
	storeEjections = metrics.NewCounterVec("proxy_store_ejections_total",
		"Times that this proxy ejected a store, by instance and reason.", "instance", "reason")
	storeReturns = metrics.NewCounterVec("proxy_store_returns_total",
		"Times that an ejected store returned, by instance and the reason of its ejection.", "instance", "reason")
)

// EjectionReason says why a proxy passes a store over while there are others.
type EjectionReason string

// The reasons. A store that only rejects requests for want of capacity is in backoff for less than a second and is not
// ejected; nor is one that drains or was deregistered.
const (
	notEjected EjectionReason = ""
	// EjectedUnreachable stores could not be connected to, or took no byte of a request.
	EjectedUnreachable EjectionReason = "unreachable"
	// EjectedNotExecuting stores declined a request for another reason than load: another instance runs at the address.
	EjectedNotExecuting EjectionReason = "not_executing"
	// EjectedStalled stores have not sent the first byte of their oldest request within hungTailMultiple times the stall time-out.
	// One request in a hundred takes longer than the time-out itself: its store is passed over for that moment only.
	EjectedStalled EjectionReason = "stalled"
	// EjectedFailing stores fail too many attempts.
	EjectedFailing EjectionReason = "failing"
	// EjectedSlow stores respond much later than the other stores of the service.
	EjectedSlow EjectionReason = "slow"
	// EjectedSuspect stores miss heartbeats, and would not be ejected for their failures and response times alone.
	EjectedSuspect EjectionReason = "suspect"
)

// HealthChange says that a store was ejected, or that an ejected one takes its share again.
type HealthChange struct {
	Service  string
	Instance string
	// Reason is that of the ejection, also when the store returns.
	Reason EjectionReason
	// Ejected is false when the store returns.
	Ejected bool
}

// observeHealth notes whether the store was ejected, or has returned, since it was last looked at. Ejections that end with
// time alone are noticed at the next selection.
func (c *core) observeHealth(s *store, now time.Duration) {
	if !s.listed || !s.inService() {
		s.ejectedFor = notEjected // it leaves by its registration, not by its health
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

// ejectionReason returns why the store is passed over by requests that any healthy store may take.
func (s *store) ejectionReason(now time.Duration) EjectionReason {
	switch {
	case s.backoffReason != notEjected && s.inBackoff(now):
		return s.backoffReason
	case s.stalledFor(now, hungTailMultiple):
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

// takeHealthChanges returns what observeHealth has noted since the last call.
func (c *core) takeHealthChanges() []HealthChange {
	changes := c.healthChanges
	c.healthChanges = nil
	return changes
}
