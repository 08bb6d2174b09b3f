package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Bounds of what many proxies do that each see a sliver.
const (
	warmUp              = 3 * time.Second
	spreadSpan          = 6 * time.Second
	spreadMost          = 2.6 // greatest load of an engine over the mean, averaged over time
	turnsMost           = 3.5 // the same by turns alone
	turnsIdleMost       = 0.1
	idleMost            = 0.05 // share of engines and moments without a request
	herdMost            = 4.0  // times the mean load, at one that comes back or is new; the peak of any engine is some 2.5
	passedOverMost      = 0.2  // share of well engines that one proxy holds for suspects at once
	illnessKnown        = 4 * time.Second
	passedOverShare     = 0.5  // of an even share of the requests: of a store that is passed over, once that is known
	oneZoneShare        = 0.8  // the same where a third of the callers meet the illness
	failingShare        = 1.4  // of one that fails at once: each proxy sends it too little to tell, and it draws nothing either
	failedTriesMost     = 0.03 // of the requests: what seven ill stores of sixty cost, each try made again elsewhere
	probationSpan       = 15 * time.Second
	probationShareLeast = 0.4 // of an even share, after it
)

func spreadOf(seed uint64, affinity bool) (*sliver, *spread) {
	s, sum := newSliver(seed, affinity), &spread{}
	s.run(warmUp)
	s.onSample = func() { s.measure(sum) }
	s.run(warmUp + spreadSpan)
	return s, sum
}

func TestManyProxiesSpreadOverStores(t *testing.T) {
	for seed := range uint64(2) {
		s, kept := spreadOf(seed, true)
		_, turns := spreadOf(seed, false)
		t.Logf("seed %d: max/mean %.2f idle %.4f with affinity, %.2f and %.4f by turns only; %d done, %d refused, %d failed", seed,
			kept.maxOverMean(), kept.idleShare(), turns.maxOverMean(), turns.idleShare(), s.done, s.refused, s.failed)
		assert.Assert(t, kept.maxOverMean() <= spreadMost)
		assert.Assert(t, kept.idleShare() <= idleMost)
		assert.Assert(t, turns.maxOverMean() <= turnsMost)
		assert.Assert(t, turns.idleShare() <= turnsIdleMost)
		assert.Equal(t, s.failed, 0)
	}
}

// peakAt is the greatest load of an engine over the mean in the time that follows.
func (s *sliver) peakAt(e *engine, span time.Duration) float64 {
	peak, total, samples := 0, 0, 0
	s.onSample = func() {
		peak = max(peak, e.load())
		for _, other := range s.engines {
			total += other.load()
			samples++
		}
	}
	s.run(s.now + span)
	return float64(peak) / (float64(total) / float64(samples))
}

func TestNoHerdFollowsAStoreThatIsNewOrComesBack(t *testing.T) {
	for seed := range uint64(1) {
		s := newSliver(seed, true)
		s.run(warmUp)
		away := s.engines[7]
		s.engines = append(s.engines[:7:7], s.engines[8:]...)
		s.list()
		s.run(s.now + 2*time.Second)
		s.engines = append(s.engines, away)
		s.list()
		back := s.peakAt(away, 2*time.Second)
		added := &engine{instance: "e-new"}
		s.engines = append(s.engines, added)
		s.list()
		fresh := s.peakAt(added, 2*time.Second)
		healed := s.engines[3]
		healed.ill = illness{errors: 1}
		s.run(s.now + 5*time.Second)
		healed.ill = illness{}
		well := s.peakAt(healed, 10*time.Second)
		t.Logf("seed %d: peak over mean %.2f come back, %.2f new, %.2f healed", seed, back, fresh, well)
		assert.Assert(t, back <= herdMost)
		assert.Assert(t, fresh <= herdMost)
		assert.Assert(t, well <= herdMost)
	}
}

// Stores that hang or are slow are passed over within illnessKnown. Failures that come at once cost a try each.
func TestIllStoresArePassedOverInBoundedTimeAndReturn(t *testing.T) {
	kinds := []struct {
		name string
		ill  illness
		most float64 // of an even share of the requests, once the illness is known
	}{
		{"hangs", illness{hangs: true}, passedOverShare},
		{"slow 8x", illness{slower: 8}, passedOverShare},
		{"hangs for its zone", illness{zone: zoneOf(2), hangs: true}, oneZoneShare},
		{"fails 40%", illness{errors: 0.4}, failingShare},
		{"fails 40% for its zone", illness{zone: zoneOf(4), errors: 0.4}, failingShare},
		{"lies: ready, fails all", illness{errors: 1}, failingShare},
		{"flaps", illness{refuses: func(now time.Duration) bool { return now/time.Second%2 == 0 }}, failingShare},
	}
	s := newSliver(5, true)
	s.run(warmUp)
	for i, kind := range kinds {
		s.engines[i].ill = kind.ill
	}
	greatest := 0.0
	s.onSample = func() { greatest = max(greatest, s.passedOver()) }
	shares := func(span time.Duration) []float64 {
		before := make([]int, len(s.engines))
		for i, e := range s.engines {
			before[i] = e.arrived
		}
		s.run(s.now + span)
		all, each := 0, make([]float64, len(s.engines))
		for i, e := range s.engines {
			all += e.arrived - before[i]
		}
		for i, e := range s.engines {
			each[i] = float64((e.arrived-before[i])*len(s.engines)) / float64(all)
		}
		return each
	}
	first := shares(illnessKnown)
	ill := shares(6 * time.Second)
	for i := range kinds {
		s.engines[i].ill = illness{}
	}
	s.run(s.now + probationSpan)
	after := shares(5 * time.Second)
	for i, kind := range kinds {
		t.Logf("%s: %.2f of an even share at first, %.2f known, %.2f after probation", kind.name, first[i], ill[i], after[i])
	}
	t.Logf("greatest share of well engines passed over by one proxy: %.2f; %d done, %d failed tries, %d refused", greatest, s.done, s.failed, s.refused)
	for i, kind := range kinds {
		assert.Assert(t, ill[i] <= kind.most, kind.name)
		assert.Assert(t, after[i] >= probationShareLeast, kind.name)
	}
	assert.Equal(t, s.refused, 0)
	assert.Assert(t, float64(s.failed) <= failedTriesMost*float64(s.done))
	assert.Assert(t, greatest <= passedOverMost)
}
