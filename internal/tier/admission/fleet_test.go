package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Durations and bounds of the tests of a fleet, in which each proxy sees only a small part of the requests.
const (
	warmUp         = 3 * time.Second
	spreadDuration = 6 * time.Second
	// maxSpread bounds the ratio of maximum to mean load of the engines, averaged over time; maxSpreadRoundRobin is the bound
	// without affinity.
	maxSpread           = 2.6
	maxSpreadRoundRobin = 3.5
	// maxIdleShare bounds the share of engine samples without a request; maxIdleShareRoundRobin is the bound without affinity.
	maxIdleShareRoundRobin = 0.1
	maxIdleShare           = 0.05
	// maxPeakLoad bounds the peak load of a new, returning or recovered store, as a multiple of the mean load. An ordinary
	// engine peaks at about 2.5.
	maxPeakLoad = 4.0
	// maxFalsePositiveShare bounds the share of faultless engines that a proxy takes for unhealthy or stalled.
	maxFalsePositiveShare = 0.2
	// detectionTime is how long proxies may take to eject a faulty store.
	detectionTime = 4 * time.Second
	// maxEjectedShare, maxOneZoneShare and maxFailingShare bound the share of attempts that a faulty store gets after
	// detectionTime, as a multiple of an even share: of a store that hangs or is slow, of one that hangs for a third of the
	// proxies, and of one whose attempts fail at once. A single proxy sends a failing store too little to detect it soon, but
	// the store does not attract more requests either.
	maxEjectedShare = 0.5
	maxOneZoneShare = 0.8
	maxFailingShare = 1.4
	// maxFailedAttempts bounds the failed attempts per successful request with seven faulty stores among sixty.
	maxFailedAttempts = 0.03
	// recoveryTime is how long a store that has become healthy may take to get minRecoveredShare of an even share.
	recoveryTime      = 15 * time.Second
	minRecoveredShare = 0.4
	// ejectedDuration and recoveredDuration are how long the shares are measured after detectionTime and recoveryTime.
	ejectedDuration   = 6 * time.Second
	recoveredDuration = 5 * time.Second
	faultDuration     = 5 * time.Second
)

func measureSpread(seed uint64, affinity bool) (*fleetSimulation, *loadSpread) {
	s, sum := newFleetSimulation(seed, affinity), &loadSpread{}
	s.run(warmUp)
	s.onSample = func() { s.addSample(sum) }
	s.run(warmUp + spreadDuration)
	return s, sum
}

func TestManyProxiesSpreadLoadEvenly(t *testing.T) {
	for seed := range uint64(2) {
		s, withAffinity := measureSpread(seed, true)
		_, roundRobin := measureSpread(seed, false)
		t.Logf("seed %d: with affinity max/mean %.2f, idle share %.4f; round-robin only %.2f, %.4f; %d succeeded, %d rejected, %d failed",
			seed, withAffinity.maxOverMean(), withAffinity.idleShare(), roundRobin.maxOverMean(), roundRobin.idleShare(),
			s.succeeded, s.rejected, s.failedAttempts)
		assert.Assert(t, withAffinity.maxOverMean() <= maxSpread)
		assert.Assert(t, withAffinity.idleShare() <= maxIdleShare)
		assert.Assert(t, roundRobin.maxOverMean() <= maxSpreadRoundRobin)
		assert.Assert(t, roundRobin.idleShare() <= maxIdleShareRoundRobin)
		assert.Equal(t, s.failedAttempts, 0)
	}
}

// Proxies must not all send their requests to a store at once when it is added, returns or recovers.
func TestNewOrReturningStoreIsNotOverloaded(t *testing.T) {
	for seed := range uint64(1) {
		s := newFleetSimulation(seed, true)
		s.run(warmUp)
		removed := s.engines[7]
		s.engines = append(s.engines[:7:7], s.engines[8:]...)
		s.publishStores()
		s.run(s.now + 2*time.Second)
		s.engines = append(s.engines, removed)
		s.publishStores()
		returned := s.peakLoad(removed, 2*time.Second)
		added := &simEngine{instance: "e-new"}
		s.engines = append(s.engines, added)
		s.publishStores()
		fresh := s.peakLoad(added, 2*time.Second)
		faulty := s.engines[3]
		faulty.fault = storeFault{errorShare: 1}
		s.run(s.now + faultDuration)
		faulty.fault = storeFault{}
		recovered := s.peakLoad(faulty, 10*time.Second)
		t.Logf("seed %d: ratio of peak to mean load %.2f returned, %.2f new, %.2f recovered", seed, returned, fresh, recovered)
		assert.Assert(t, returned <= maxPeakLoad)
		assert.Assert(t, fresh <= maxPeakLoad)
		assert.Assert(t, recovered <= maxPeakLoad)
	}
}

// Stores that hang or are slow are avoided within detectionTime. Attempts that fail at once are retried elsewhere.
func TestFaultyStoresAreEjectedInBoundedTimeAndReturn(t *testing.T) {
	kinds := []struct {
		name     string
		fault    storeFault
		maxShare float64 // of the attempts after detectionTime, as a multiple of an even share
	}{
		{"hangs", storeFault{hangs: true}, maxEjectedShare},
		{"slow 8x", storeFault{slowdown: 8}, maxEjectedShare},
		{"hangs for its zone", storeFault{zone: zoneOf(2), hangs: true}, maxOneZoneShare},
		{"fails 40%", storeFault{errorShare: 0.4}, maxFailingShare},
		{"fails 40% for its zone", storeFault{zone: zoneOf(4), errorShare: 0.4}, maxFailingShare},
		{"ready, fails all", storeFault{errorShare: 1}, maxFailingShare},
		{"flaps", storeFault{refuseConnections: func(now time.Duration) bool { return now/time.Second%2 == 0 }}, maxFailingShare},
	}
	s := newFleetSimulation(5, true)
	s.run(warmUp)
	for i, kind := range kinds {
		s.engines[i].fault = kind.fault
	}
	greatest := 0.0
	s.onSample = func() { greatest = max(greatest, s.falsePositiveShare()) }
	detecting := s.requestShares(detectionTime)
	ejected := s.requestShares(ejectedDuration)
	for i := range kinds {
		s.engines[i].fault = storeFault{}
	}
	s.run(s.now + recoveryTime)
	recovered := s.requestShares(recoveredDuration)
	for i, kind := range kinds {
		t.Logf("%s: %.2f of an even share during detection, %.2f after it, %.2f after recovery",
			kind.name, detecting[i], ejected[i], recovered[i])
	}
	t.Logf("greatest share of false positives at a proxy: %.2f; %d succeeded, %d failed attempts, %d rejected",
		greatest, s.succeeded, s.failedAttempts, s.rejected)
	for i, kind := range kinds {
		assert.Assert(t, ejected[i] <= kind.maxShare, kind.name)
		assert.Assert(t, recovered[i] >= minRecoveredShare, kind.name)
	}
	assert.Equal(t, s.rejected, 0)
	assert.Assert(t, float64(s.failedAttempts) <= maxFailedAttempts*float64(s.succeeded))
	assert.Assert(t, greatest <= maxFalsePositiveShare)
}
