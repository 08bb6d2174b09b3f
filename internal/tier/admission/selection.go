package admission

import (
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/tier/ablation"
)

// tier ranks how suitable a store is for a request. A store is selected only if there is none of a lower tier.
type tier int

const (
	tierAvailable tier = iota
	tierSaturated      // healthy but without capacity: the request would be queued
	tierUnhealthy      // unhealthy, stalled, or recently failed a request of the same program
	tierBackoff        // recently rejected a request or could not be reached
	tierAttempted      // already got an earlier attempt of the request
	tierExcluded       // draining or deregistered: never selected
)

// tierFor returns the store's tier for a request.
func (s *store) tierFor(p *pendingRequest, now time.Duration) tier {
	switch {
	case !s.listed || !s.eligible():
		return tierExcluded
	case slices.Contains(p.AttemptedInstances, s.Instance):
		return tierAttempted
	case s.inBackoff(now):
		return tierBackoff
	case s == p.failedStore || s.stalled(now) || s.avoidedFor(p, now):
		return tierUnhealthy
	case !s.hasCapacity(now):
		return tierSaturated
	}
	return tierAvailable
}

// acceptsNow reports whether a request for which the store was selected, in the given tier, is sent at once and not queued.
func (s *store) acceptsNow(t tier, now time.Duration) bool {
	return t == tierAvailable || t != tierBackoff && s.hasCapacity(now)
}

// selectable reports whether requests may be sent to the store now.
func (s *store) selectable(now time.Duration) bool {
	return s.listed && s.eligible() && !s.inBackoff(now)
}

// selectStore selects the highest-ranked store of the best tier and records the selection for the round-robin. It returns
// nil if all stores are excluded.
func (c *core) selectStore(svc *service, p *pendingRequest, now time.Duration) (*store, tier) {
	var best *store
	bestTier, bestRank := tierExcluded, selectionRank{}
	bounds := svc.affinityBounds(now)
	for _, s := range svc.stores {
		t := s.tierFor(p, now)
		if t == tierUnhealthy || s.ejectedFor != notEjected {
			c.observeHealth(s, now)
		}
		if t > bestTier || t == tierExcluded {
			continue
		}
		rank := c.rankStore(s, p, now, bounds)
		if best == nil || t < bestTier || rank.betterThan(bestRank) {
			best, bestTier, bestRank = s, t, rank
		}
	}
	if best != nil {
		svc.selections++
		best.lastSelected = svc.selections
	}
	return best, bestTier
}

// selectionRank orders the stores within a tier; its fields are compared in order.
type selectionRank struct {
	local      bool    // in the proxy's zone, with spare capacity
	affinity   uint64  // rendezvous hash of the request's affinity and the store; 0 if affinity does not apply
	roundRobin float64 // weighted round-robin: number of selections since the store's last one, times its weight
}

func (r selectionRank) betterThan(other selectionRank) bool {
	switch {
	case r.local != other.local:
		return r.local
	case r.affinity != other.affinity:
		return r.affinity > other.affinity
	}
	return r.roundRobin > other.roundRobin
}

// rankStore ranks a store for a request.
func (c *core) rankStore(s *store, p *pendingRequest, now time.Duration, bounds affinityBounds) selectionRank {
	selectionsSince := float64(s.service.selections-s.lastSelected) + 1
	rank := selectionRank{roundRobin: selectionsSince * max(s.weight(now), minWeight)}
	rank.local = s.Zone == c.zone && s.hasSpareCapacity(now) && !ablation.Disabled(ablation.LocalZone)
	if p.Affinity != 0 && s.healthy(now) && s.keepsAffinity(now, bounds.load) && !ablation.Disabled(ablation.Affinity) {
		rank.affinity = splitMix64(p.Affinity ^ s.hash)
		rank.local = rank.local || !bounds.localZone
	}
	return rank
}

// hasSpareCapacity reports whether the store's load is low enough for preferring it by zone or affinity.
func (s *store) hasSpareCapacity(now time.Duration) bool {
	return s.load(now) < spareShare*float64(s.capacity())
}
