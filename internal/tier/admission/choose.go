package admission

import (
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/tier/ablation"
)

// A store's tier for a request: 0 takes its turn, the rest are passed over while a better one is there.
const (
	inTurn  = iota
	noRoom  // there is a queue
	suspect // the design's skip, and what fails or is slow
	shut    // turned one away or could not be reached a moment ago
	tried   // this try was there before
	barred  // drains or is gone
)

func (s *store) tier(w *waiter, now time.Duration) int {
	switch {
	case !s.listed || s.State == Draining || s.State == Deregistered:
		return barred
	case slices.Contains(w.AttemptedInstances, s.Instance):
		return tried
	case s.leftAlone(now):
		return shut
	case s == w.shunned || s.late(now) || s.doubtful(w, now):
		return suspect
	case !s.room(now):
		return noRoom
	}
	return inTurn
}

// doubtful says whether the store is too doubtful for a request. One that fails is tried by safe requests, one at a time;
// a call that could not be made again keeps away from what lost an answer of late.
func (s *store) doubtful(w *waiter, now time.Duration) bool {
	if !w.Idempotent && !w.Streaming && s.losingNow(now) > careful && !ablation.Disabled(ablation.LossAvoidance) {
		return true
	}
	trial := w.Idempotent && w.ExecutedAttempts == 0 && s.out == 0 && !ablation.Disabled(ablation.HalfOpenTrials)
	return !trial && !s.sound(now)
}

// choose takes the store whose turn it is: of the best tier, the one that the request has an affinity to, else the one
// that has waited the longest, in the proxy's own zone while its stores have places to spare.
func (c *core) choose(v *service, w *waiter, now time.Duration) (best *store, bestTier int) {
	bestTier = barred
	bestRank := rank{}
	common := v.commonLoad(now)
	for _, s := range v.stores {
		tier := s.tier(w, now)
		if tier > bestTier || tier == barred {
			continue
		}
		r := c.rank(s, w, now, common)
		if best == nil || tier < bestTier || r.above(bestRank) {
			best, bestTier, bestRank = s, tier, r
		}
	}
	if best != nil {
		v.turn++
		best.turn = v.turn
	}
	return best, bestTier
}

// rank orders the stores of one tier.
type rank struct {
	near     bool // in the zone, with places to spare
	affinity uint64
	wait     float64 // turns waited, by trust
}

func (r rank) above(o rank) bool {
	switch {
	case r.near != o.near:
		return r.near
	case r.affinity != o.affinity:
		return r.affinity > o.affinity
	}
	return r.wait > o.wait
}

func (c *core) rank(s *store, w *waiter, now time.Duration, common commonLoad) rank {
	load := s.load(now)
	waited := float64(s.service.turn-s.turn) + 1
	r := rank{wait: waited * max(s.trust(now), leastTurns)}
	free := load < nearShare*float64(s.slots())
	r.near = s.Zone == c.zone && free && !ablation.Disabled(ablation.LocalZone)
	if w.Affinity != 0 && s.sound(now) && s.mayKeep(now, common.evenShare) && !ablation.Disabled(ablation.Affinity) {
		r.affinity = mix(w.Affinity ^ s.hash)
		r.near = r.near || !common.homesInZone
	}
	return r
}

// mayKeep says whether the store has so little to do that requests with an affinity to it keep to it. How much work a prompt
// still to be read means is known of engines only; other stores are held to their places.
func (s *store) mayKeep(now time.Duration, even float64) bool {
	switch {
	case ablation.Disabled(ablation.BoundedLoad):
		return true
	case s.service.engine:
		return s.pressure(now) < even
	}
	return s.load(now) < nearShare*float64(s.slots())
}

// commonLoad is what is known of a service's stores together.
type commonLoad struct {
	evenShare float64 // the load up to which an engine keeps the requests that have an affinity to it

	// homesInZone says that what has an affinity keeps to a store of the own zone. That gives a proxy few stores to know, so
	// that it hears of each often: it is worth that where its own answers are all that it hears. Where stores tell their load,
	// a home among all of them keeps what is remembered for lines of turns that come in through several zones.
	homesInZone bool
}

func (v *service) commonLoad(now time.Duration) commonLoad {
	if !v.engine || len(v.stores) == 0 {
		return commonLoad{homesInZone: true}
	}
	sum := 0.0
	for _, s := range v.stores {
		sum += s.pressure(now)
	}
	mean := sum / float64(len(v.stores))
	return commonLoad{evenShare: affinitySlack*mean + affinityFree, homesInZone: v.hasAnswered && !v.tellsLoad}
}

// mix spreads the bits of a hash (the finaliser of SplitMix64); it never returns 0.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31 | 1
}
