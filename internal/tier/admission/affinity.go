package admission

import (
	"maps"
	"time"

	"pulleygw.example/pulleygw/internal/tier/ablation"
)

// Requests of one program or session are sent to the same store, which may have their prefix cached. It is the store with the
// highest rendezvous hash whose load is below a bound (compare Mirrokni, Thorup, Zadimoghaddam: "Consistent Hashing with
// Bounded Loads").

// affinityBounds limits which stores of a service keep requests by affinity.
type affinityBounds struct {
	// load is the weighted load up to which an engine keeps requests by affinity.
	load float64

	// localZone prefers stores of the proxy's own zone over those with a higher hash. A proxy then uses fewer stores and gets
	// responses from each more often, which it needs if these responses are its only source of information about their load.
	// If stores report their load, the same store is selected in all zones, so that the prefixes it has cached also serve
	// sessions whose requests arrive in several zones.
	localZone bool
}

// affinityBounds computes the bounds from the load of all stores.
func (svc *service) affinityBounds(now time.Duration) affinityBounds {
	if !svc.engine || len(svc.stores) == 0 {
		return affinityBounds{localZone: true}
	}
	sum := 0.0
	for _, s := range svc.stores {
		sum += s.weightedLoad(now)
	}
	mean := sum / float64(len(svc.stores))
	return affinityBounds{
		load:      affinityBoundFactor*mean + affinityBoundSlack,
		localZone: svc.responded && !svc.reportsLoad,
	}
}

// keepsAffinity reports whether the store's load is low enough to keep requests by affinity. The weighted load only applies to
// engines, for which the cost of an unprocessed prompt is known; other stores need spare slots.
func (s *store) keepsAffinity(now time.Duration, bound float64) bool {
	switch {
	case ablation.Disabled(ablation.BoundedLoad):
		return true
	case s.service.engine:
		return s.weightedLoad(now) < bound
	}
	return s.hasSpareCapacity(now)
}

// splitMix64 mixes the bits of a hash with the finalizer of SplitMix64 (Steele, Lea, Flood: "Fast Splittable Pseudorandom
// Number Generators"). It never returns 0, which means no affinity.
func splitMix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31 | 1
}

// failedStore is a store that failed a request of a program, and until when the program avoids it.
type failedStore struct {
	store *store
	until time.Duration
}

// recordFailedStore records that a store failed a request. Other requests of the same program would likely fail there too.
func (svc *service) recordFailedStore(affinity uint64, s *store, now time.Duration) {
	if affinity == 0 {
		return
	}
	if len(svc.failedStores) >= maxFailedStores {
		maps.DeleteFunc(svc.failedStores, func(_ uint64, failed failedStore) bool { return failed.until <= now })
	}
	if len(svc.failedStores) < maxFailedStores {
		svc.failedStores[affinity] = failedStore{store: s, until: now + failedStoreTTL}
	}
}

// failedStoreOf returns the store that recently failed a request with this affinity, or nil.
func (svc *service) failedStoreOf(affinity uint64, now time.Duration) *store {
	failed, ok := svc.failedStores[affinity]
	if ok && affinity != 0 && now < failed.until && !ablation.Disabled(ablation.AvoidFailed) {
		return failed.store
	}
	return nil
}

// recentSet is a set of keys that expire. It consists of two generations: a key is kept for at least startedProgramsTTL and
// at most twice as long after it was last added, or for less if a generation reaches maxStartedPrograms.
type recentSet struct {
	current, previous map[uint64]struct{}
	since             time.Duration // start of the current generation
}

func (r *recentSet) add(key uint64, now time.Duration) {
	if r.current == nil || now-r.since >= startedProgramsTTL || len(r.current) >= maxStartedPrograms {
		r.previous, r.current, r.since = r.current, map[uint64]struct{}{}, now
	}
	r.current[key] = struct{}{}
}

func (r *recentSet) has(key uint64) bool {
	if _, ok := r.current[key]; ok {
		return true
	}
	_, ok := r.previous[key]
	return ok
}
