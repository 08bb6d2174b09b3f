package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Bounds of what many proxies do that each see a small part of the requests.
const (
	warmUp             = 3 * time.Second
	spreadSpan         = 6 * time.Second
	maxSpread          = 2.6 // greatest load of an engine over the mean, averaged over time
	maxSpreadPlain     = 3.5 // the same by round-robin alone
	maxIdlePlain       = 0.1
	maxIdle            = 0.05 // share of engines and moments without a request
	maxHerd            = 4.0  // times the mean load, at one that comes back or is new; the peak of any engine is some 2.5
	maxSuspectShare    = 0.2  // share of healthy engines that one proxy suspects at once
	detectionSpan      = 4 * time.Second
	ejectedShare       = 0.5  // of an even share of the requests: of an ejected store, after detectionSpan
	oneZoneShare       = 0.8  // the same where the fault affects a third of the callers
	failingShare       = 1.4  // of one that fails at once: each proxy sends it too little to tell, and it draws nothing either
	maxFailedAttempts  = 0.03 // of the requests: what seven faulty stores of sixty cost, each attempt retried elsewhere
	recoverySpan       = 15 * time.Second
	minRecoveredShare  = 0.4 // of an even share, after recoverySpan
	knownFaultSpan     = 6 * time.Second
	afterRecoverySpan  = 5 * time.Second
	faultBeforeHealing = 5 * time.Second
)

func measureSpread(seed uint64, affinity bool) (*fleetSimulation, *loadSpread) {
	s, sum := newFleetSimulation(seed, affinity), &loadSpread{}
	s.run(warmUp)
	s.onSample = func() { s.measure(sum) }
	s.run(warmUp + spreadSpan)
	return s, sum
}

func TestManyProxiesSpreadOverStores(t *testing.T) {
	for seed := range uint64(2) {
		s, affine := measureSpread(seed, true)
		_, plain := measureSpread(seed, false)
		t.Logf("seed %d: max/mean %.2f idle %.4f with affinity, %.2f and %.4f by round-robin only; %d succeeded, %d rejected, %d failed",
			seed, affine.maxOverMean(), affine.idleShare(), plain.maxOverMean(), plain.idleShare(),
			s.succeeded, s.rejected, s.failedAttempts)
		assert.Assert(t, affine.maxOverMean() <= maxSpread)
		assert.Assert(t, affine.idleShare() <= maxIdle)
		assert.Assert(t, plain.maxOverMean() <= maxSpreadPlain)
		assert.Assert(t, plain.idleShare() <= maxIdlePlain)
		assert.Equal(t, s.failedAttempts, 0)
	}
}

func TestNoHerdFollowsAStoreThatIsNewOrComesBack(t *testing.T) {
	for seed := range uint64(1) {
		s := newFleetSimulation(seed, true)
		s.run(warmUp)
		away := s.engines[7]
		s.engines = append(s.engines[:7:7], s.engines[8:]...)
		s.publishStores()
		s.run(s.now + 2*time.Second)
		s.engines = append(s.engines, away)
		s.publishStores()
		back := s.peakLoad(away, 2*time.Second)
		added := &simEngine{instance: "e-new"}
		s.engines = append(s.engines, added)
		s.publishStores()
		fresh := s.peakLoad(added, 2*time.Second)
		healed := s.engines[3]
		healed.fault = storeFault{errorShare: 1}
		s.run(s.now + faultBeforeHealing)
		healed.fault = storeFault{}
		recovered := s.peakLoad(healed, 10*time.Second)
		t.Logf("seed %d: peak over mean %.2f come back, %.2f new, %.2f healed", seed, back, fresh, recovered)
		assert.Assert(t, back <= maxHerd)
		assert.Assert(t, fresh <= maxHerd)
		assert.Assert(t, recovered <= maxHerd)
	}
}

// Stores that hang or are slow are passed over within detectionSpan. Failures that come at once cost an attempt each.
func TestFaultyStoresAreEjectedInBoundedTimeAndReturn(t *testing.T) {
	kinds := []struct {
		name     string
		fault    storeFault
		maxShare float64 // of an even share of the requests, after detectionSpan
	}{
		{"hangs", storeFault{hangs: true}, ejectedShare},
		{"slow 8x", storeFault{slowdown: 8}, ejectedShare},
		{"hangs for its zone", storeFault{zone: zoneOf(2), hangs: true}, oneZoneShare},
		{"fails 40%", storeFault{errorShare: 0.4}, failingShare},
		{"fails 40% for its zone", storeFault{zone: zoneOf(4), errorShare: 0.4}, failingShare},
		{"ready, fails all", storeFault{errorShare: 1}, failingShare},
		{"flaps", storeFault{refuseConnections: func(now time.Duration) bool { return now/time.Second%2 == 0 }}, failingShare},
	}
	s := newFleetSimulation(5, true)
	s.run(warmUp)
	for i, kind := range kinds {
		s.engines[i].fault = kind.fault
	}
	greatest := 0.0
	s.onSample = func() { greatest = max(greatest, s.suspectShare()) }
	first := s.requestShares(detectionSpan)
	known := s.requestShares(knownFaultSpan)
	for i := range kinds {
		s.engines[i].fault = storeFault{}
	}
	s.run(s.now + recoverySpan)
	after := s.requestShares(afterRecoverySpan)
	for i, kind := range kinds {
		t.Logf("%s: %.2f of an even share at first, %.2f known, %.2f after recovery", kind.name, first[i], known[i], after[i])
	}
	t.Logf("greatest share of healthy engines suspected by one proxy: %.2f; %d succeeded, %d failed attempts, %d rejected",
		greatest, s.succeeded, s.failedAttempts, s.rejected)
	for i, kind := range kinds {
		assert.Assert(t, known[i] <= kind.maxShare, kind.name)
		assert.Assert(t, after[i] >= minRecoveredShare, kind.name)
	}
	assert.Equal(t, s.rejected, 0)
	assert.Assert(t, float64(s.failedAttempts) <= maxFailedAttempts*float64(s.succeeded))
	assert.Assert(t, greatest <= maxSuspectShare)
}
