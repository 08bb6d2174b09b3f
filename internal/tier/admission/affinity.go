package admission

import (
	"maps"
	"time"

	"pulleygw.example/pulleygw/internal/tier/ablation"
)

// Requests of one program or session are sent to one store, which may have their prefix cached. The store is the one with the
// highest rendezvous hash, as long as its load is bounded (compare Mirrokni, Thorup, Zadimoghaddam: "Consistent Hashing with
// Bounded Loads").

// affinityBounds says which of a service's stores keep the requests that have an affinity to them.
type affinityBounds struct {
	// load is the weighted load up to which an engine keeps them.
	load float64

	// localZone says that they keep to a store of the proxy's own zone. That gives a proxy fewer stores, so that it hears of
	// each often: it is worth that where its own responses are all that it hears. Where stores report their load, one store
	// selected among those of all zones keeps what it has cached for sessions that come in through several zones.
	localZone bool
}

// affinityBounds returns the bounds that follow from the load of all stores.
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

// keepsAffinity reports whether the store's load is low enough that requests with an affinity to it keep to it. How much work
// a prompt still to be read means is known of engines only; other stores are held to their slots.
func (s *store) keepsAffinity(now time.Duration, bound float64) bool {
	switch {
	case ablation.Disabled(ablation.BoundedLoad):
		return true
	case s.service.engine:
		return s.weightedLoad(now) < bound
	}
	return s.hasSpareCapacity(now)
}

// splitMix64 spreads the bits of a hash (the finalizer of SplitMix64: Steele, Lea, Flood, "Fast Splittable Pseudorandom
// Number Generators"). It never returns 0, which stands for no affinity.
func splitMix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31 | 1
}

// failedStore is a store that failed a request of a program.
type failedStore struct {
	store *store
	until time.Duration
}

// recordFailedStore records that a store failed a request: the next one of its program would likely meet the same fault.
func (svc *service) recordFailedStore(affinity uint64, s *store, now time.Duration) {
	if affinity == 0 {
		return
	}
	if len(svc.failedStores) >= maxFailedStores {
		maps.DeleteFunc(svc.failedStores, func(_ uint64, failed failedStore) bool { return failed.until <= now })
	}
	if len(svc.failedStores) < maxFailedStores {
		svc.failedStores[affinity] = failedStore{store: s, until: now + failedStoreSpan}
	}
}

// failedStoreOf returns the store that recently failed a request of the same program, or nil.
func (svc *service) failedStoreOf(affinity uint64, now time.Duration) *store {
	failed, ok := svc.failedStores[affinity]
	if ok && affinity != 0 && now < failed.until && !ablation.Disabled(ablation.AvoidFailed) {
		return failed.store
	}
	return nil
}

// recentSet remembers keys for some time after they were last added, in two generations: for startedProgramsSpan at the
// least, for twice that at the most, unless there are more than maxStartedPrograms.
type recentSet struct {
	current, previous map[uint64]struct{}
	since             time.Duration // when current began
}

func (r *recentSet) add(key uint64, now time.Duration) {
	if r.current == nil || now-r.since >= startedProgramsSpan || len(r.current) >= maxStartedPrograms {
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
