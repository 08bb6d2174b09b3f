package admission

import (
	"testing"

	"gotest.tools/v3/assert"
)

// newZonedHarness returns a harness for a proxy in the first of three zones, with two stores in each zone.
func newZonedHarness(t *testing.T, engine bool) *harness {
	t.Helper()
	h := newHarness(t)
	h.core.zone = zoneOf(0)
	list := stores(6, 8)
	for i := range list {
		list[i].Zone = zoneOf(i)
	}
	h.SetStores("s", engine, 8, list)
	return h
}

// affinityStore sends a request with this affinity and returns the store that was selected. The request succeeds at once.
func (h *harness) affinityStore(affinity uint64) Store {
	r := h.request()
	r.Affinity = affinity
	g := h.acquireNow(r)
	defer g.Finish(Success)
	return g.Store()
}

// Requests with the same affinity go to the same store of a service without engines, regardless of other requests.
func TestAffinityKeepsToOneStoreOfANonEngineService(t *testing.T) {
	h := newZonedHarness(t, false)
	for affinity := range uint64(20) {
		preferred := h.affinityStore(affinity + 1).Instance
		for range 3 {
			h.acquireNow(h.request()).Finish(Success)
			assert.Equal(t, h.affinityStore(affinity+1).Instance, preferred)
		}
	}
}

// A store of a service without engines does not keep requests by affinity once it has no spare slots.
func TestAffinityLeavesANonEngineStoreWithoutSpareSlots(t *testing.T) {
	h := newZonedHarness(t, false)
	r := h.request()
	r.Affinity = 7
	preferred := h.acquireNow(r).Store().Instance
	elsewhere := 0
	for range 8 {
		if h.acquireNow(r).Store().Instance != preferred {
			elsewhere++
		}
	}
	assert.Assert(t, elsewhere >= 4, "%d of 8", elsewhere)
}

// Requests with an affinity stay in the proxy's zone while a store there has spare capacity.
func TestAffinityStaysInTheZone(t *testing.T) {
	for _, engine := range []bool{false, true} {
		h := newZonedHarness(t, engine)
		h.acquireNow(h.request()).Finish(Success)
		for affinity := range uint64(30) {
			assert.Equal(t, h.affinityStore(affinity+1).Zone, zoneOf(0))
		}
	}
}

// Until the first response a proxy does not know whether stores report their load. It then selects among the stores of all
// zones, so that programs under way when the proxy starts stay at the store that has their prefix cached.
func TestAffinityBeforeAnyResponseIsTheSameInAllZones(t *testing.T) {
	for affinity := range uint64(30) {
		var selected [3]string
		for zone := range selected {
			h := newZonedHarness(t, true)
			h.core.zone = zoneOf(zone)
			selected[zone] = h.affinityStore(affinity + 1).Instance
		}
		assert.Equal(t, selected[0], selected[1])
		assert.Equal(t, selected[0], selected[2])
	}
}

// If stores report their load, proxies of all zones select the same store for an affinity.
func TestAffinityIsTheSameInAllZonesWhereLoadIsReported(t *testing.T) {
	selected := map[uint64]string{}
	for zone := range 3 {
		h := newZonedHarness(t, true)
		h.core.zone = zoneOf(zone)
		g := h.acquireNow(h.request())
		g.ReportLoad(0, 0, 8)
		g.Finish(Success)
		for affinity := range uint64(30) {
			instance := h.affinityStore(affinity + 1).Instance
			if zone > 0 {
				assert.Equal(t, instance, selected[affinity])
			}
			selected[affinity] = instance
		}
	}
}

// Requests with an affinity go to another zone once the local stores are above their load bound.
func TestAffinityLeavesTheZoneUnderLoad(t *testing.T) {
	h := newZonedHarness(t, true)
	r := h.request()
	r.Affinity = 7
	otherZone := 0
	for range 40 {
		if h.acquireNow(r).Store().Zone != zoneOf(0) {
			otherZone++
		}
	}
	assert.Assert(t, otherZone >= 20, "%d of 40", otherZone)
}

func TestAffinityKeepsToOneStoreUpToItsLoadBound(t *testing.T) {
	h := newHarness(t, stores(4, 32)...)
	h.SetStores("s", true, 32, stores(4, 32))
	r := h.request()
	r.Affinity = 77
	preferred := h.acquireNow(r).Store().Instance
	assert.Equal(t, h.acquireNow(r).Store().Instance, preferred)
	elsewhere := 0
	for range 20 {
		if h.acquireNow(r).Store().Instance != preferred {
			elsewhere++
		}
	}
	assert.Assert(t, elsewhere > 8, "%d", elsewhere)
}

func TestProgramAvoidsTheStoreThatFailedIt(t *testing.T) {
	h := newHarness(t, stores(4, 32)...)
	h.SetStores("s", true, 32, stores(4, 32))
	r := h.request()
	r.Affinity = 77
	preferred := h.acquireNow(r)
	preferred.Finish(Success)
	lost := h.acquireNow(r)
	assert.Equal(t, lost.Store().Instance, preferred.Store().Instance)
	lost.Finish(ResponseLost)
	next := h.acquireNow(r)
	assert.Assert(t, next.Store().Instance != preferred.Store().Instance)
	next.Finish(Success)
	h.clock.advance(2 * failedStoreTTL)
	later := h.request()
	later.Affinity = 77
	assert.Equal(t, h.acquireNow(later).Store().Instance, preferred.Store().Instance)
}

func TestRecentSetExpiresKeys(t *testing.T) {
	var r recentSet
	r.add(1, 0)
	r.add(2, startedProgramsTTL)
	assert.Assert(t, r.has(1))
	r.add(3, 2*startedProgramsTTL)
	assert.Assert(t, !r.has(1) && r.has(2) && r.has(3))
}
