package admission

import (
	"testing"

	"gotest.tools/v3/assert"
)

// newZonedHarness returns the harness of a proxy in zone z0 that knows two stores in each of three zones.
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

// affinityStore returns the store that a request with this affinity is sent to, while nothing else is in flight.
func (h *harness) affinityStore(affinity uint64) Store {
	r := h.request()
	r.Affinity = affinity
	g := h.acquireNow(r)
	defer g.Finish(Success)
	return g.Store()
}

// Requests with one affinity go to one store of a service without engines, whatever is sent in between.
func TestAffinityKeepsToOneStoreOfAPlainService(t *testing.T) {
	h := newZonedHarness(t, false)
	for affinity := range uint64(20) {
		home := h.affinityStore(affinity + 1).Instance
		for range 3 {
			h.acquireNow(h.request()).Finish(Success)
			assert.Equal(t, h.affinityStore(affinity+1).Instance, home)
		}
	}
}

// A store of a service without engines that has no spare slots passes on requests with an affinity to it.
func TestAffinityLeavesAPlainStoreWithoutSpareSlots(t *testing.T) {
	h := newZonedHarness(t, false)
	r := h.request()
	r.Affinity = 7
	home := h.acquireNow(r).Store().Instance
	elsewhere := 0
	for range 8 {
		if h.acquireNow(r).Store().Instance != home {
			elsewhere++
		}
	}
	assert.Assert(t, elsewhere >= 4, "%d of 8", elsewhere)
}

// Requests with an affinity stay in the proxy's zone while a store there may take them: later ones arrive there, too.
func TestAffinityStaysInTheZone(t *testing.T) {
	for _, engine := range []bool{false, true} {
		h := newZonedHarness(t, engine)
		h.acquireNow(h.request()).Finish(Success)
		for affinity := range uint64(30) {
			assert.Equal(t, h.affinityStore(affinity+1).Zone, zoneOf(0))
		}
	}
}

// A proxy that has just started does not know whether stores report their load. Programs under way go on at the store
// selected among those of all zones, and lose no cached prefix where they had it there.
func TestAffinityBeforeAnyResponseIsTheSameInAllZones(t *testing.T) {
	for affinity := range uint64(30) {
		var homes [3]string
		for zone := range homes {
			h := newZonedHarness(t, true)
			h.core.zone = zoneOf(zone)
			homes[zone] = h.affinityStore(affinity + 1).Instance
		}
		assert.Equal(t, homes[0], homes[1])
		assert.Equal(t, homes[0], homes[2])
	}
}

// Where stores report their load, proxies of all zones select the same store for an affinity.
func TestAffinityIsTheSameInAllZonesWhereLoadIsReported(t *testing.T) {
	homes := map[uint64]string{}
	for zone := range 3 {
		h := newZonedHarness(t, true)
		h.core.zone = zoneOf(zone)
		g := h.acquireNow(h.request())
		g.ReportLoad(0, 0, 8)
		g.Finish(Success)
		for affinity := range uint64(30) {
			home := h.affinityStore(affinity + 1).Instance
			if zone > 0 {
				assert.Equal(t, home, homes[affinity])
			}
			homes[affinity] = home
		}
	}
}

// Where the local zone's stores are above their load bound, another zone's store is selected.
func TestAffinityLeavesTheZoneUnderLoad(t *testing.T) {
	h := newZonedHarness(t, true)
	r := h.request()
	r.Affinity = 7
	away := 0
	for range 40 {
		if h.acquireNow(r).Store().Zone != zoneOf(0) {
			away++
		}
	}
	assert.Assert(t, away >= 20, "%d of 40", away)
}

func TestAffinityKeepsToOneStoreUpToItsLoadBound(t *testing.T) {
	h := newHarness(t, stores(4, 32)...)
	h.SetStores("s", true, 32, stores(4, 32))
	r := h.request()
	r.Affinity = 77
	home := h.acquireNow(r).Store().Instance
	assert.Equal(t, h.acquireNow(r).Store().Instance, home)
	elsewhere := 0
	for range 20 {
		if h.acquireNow(r).Store().Instance != home {
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
	home := h.acquireNow(r)
	home.Finish(Success)
	lost := h.acquireNow(r)
	assert.Equal(t, lost.Store().Instance, home.Store().Instance)
	lost.Finish(ResponseLost)
	next := h.acquireNow(r)
	assert.Assert(t, next.Store().Instance != home.Store().Instance)
	next.Finish(Success)
	h.clock.advance(2 * failedStoreSpan)
	later := h.request()
	later.Affinity = 77
	assert.Equal(t, h.acquireNow(later).Store().Instance, home.Store().Instance)
}

func TestRecentSetForgets(t *testing.T) {
	var r recentSet
	r.add(1, 0)
	r.add(2, startedProgramsSpan)
	assert.Assert(t, r.has(1))
	r.add(3, 2*startedProgramsSpan)
	assert.Assert(t, !r.has(1) && r.has(2) && r.has(3))
}
