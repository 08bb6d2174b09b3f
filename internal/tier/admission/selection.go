package admission

import (
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/tier/ablation"
)

// tier says how well a store suits a request. A store is passed over while there is one of a lower tier.
type tier int

const (
	tierAvailable tier = iota
	tierSaturated      // healthy, without capacity: the request would be queued
	tierUnhealthy      // unhealthy, stalled, or it recently failed the request's program
	tierBackoff        // it rejected a request, or could not be reached, a moment ago
	tierAttempted      // an earlier attempt of the request was sent there
	tierExcluded       // draining or deregistered; never selected
)

// tierFor returns the store's tier for a request.
func (s *store) tierFor(p *pendingRequest, now time.Duration) tier {
	switch {
	case !s.listed || !s.inService():
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

// acceptsNow reports whether a request for which the store was selected in a tier is sent at once, and not queued.
func (s *store) acceptsNow(t tier, now time.Duration) bool {
	return t == tierAvailable || t != tierBackoff && s.hasCapacity(now)
}

// selectable reports whether the store may be sent anything now.
func (s *store) selectable(now time.Duration) bool {
	return s.listed && s.inService() && !s.inBackoff(now)
}

// selectStore selects the store of the best tier that ranks first, and counts its turn. It returns nil where all stores are
// excluded.
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
		svc.rotation++
		best.lastSelected = svc.rotation
	}
	return best, bestTier
}

// selectionRank orders the stores of one tier.
type selectionRank struct {
	local    bool    // in the proxy's zone, with spare capacity
	affinity uint64  // rendezvous hash of the request's affinity and the store; 0 for none
	turns    float64 // selections since its last one, times its weight: weighted round-robin
}

func (r selectionRank) betterThan(other selectionRank) bool {
	switch {
	case r.local != other.local:
		return r.local
	case r.affinity != other.affinity:
		return r.affinity > other.affinity
	}
	return r.turns > other.turns
}

// rankStore ranks a store for a request.
func (c *core) rankStore(s *store, p *pendingRequest, now time.Duration, bounds affinityBounds) selectionRank {
	turns := float64(s.service.rotation-s.lastSelected) + 1
	rank := selectionRank{turns: turns * max(s.weight(now), minWeight)}
	rank.local = s.Zone == c.zone && s.hasSpareCapacity(now) && !ablation.Disabled(ablation.LocalZone)
	if p.Affinity != 0 && s.healthy(now) && s.keepsAffinity(now, bounds.load) && !ablation.Disabled(ablation.Affinity) {
		rank.affinity = splitMix64(p.Affinity ^ s.hash)
		rank.local = rank.local || !bounds.localZone
	}
	return rank
}

// hasSpareCapacity reports whether few enough of the store's slots are in use that it is preferred for its zone or affinity.
func (s *store) hasSpareCapacity(now time.Duration) bool {
	return s.load(now) < spareShare*float64(s.capacity())
}
