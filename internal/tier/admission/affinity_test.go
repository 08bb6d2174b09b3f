package admission

import (
	"testing"

	"gotest.tools/v3/assert"
)

// zonedBench is a proxy in zone z0 that knows two stores in each of three zones.
func zonedBench(t *testing.T, engine bool) *bench {
	b := newBench(t)
	b.core.zone = zoneOf(0)
	list := stores(6, 8)
	for i := range list {
		list[i].Zone = zoneOf(i)
	}
	b.SetStores("s", engine, 8, list)
	return b
}

// home is the store that a request with this affinity is sent to, where nothing else is under way.
func (b *bench) home(affinity uint64) Store {
	r := b.request()
	r.Affinity = affinity
	g := b.now(r)
	defer g.Finish(Success)
	return g.Store()
}

// Requests about one object find a plain service's store that has seen it, whatever is sent in between.
func TestAffinityKeepsToOneStoreOfAPlainService(t *testing.T) {
	b := zonedBench(t, false)
	for affinity := range uint64(20) {
		home := b.home(affinity + 1).Instance
		for range 3 {
			b.now(b.request()).Finish(Success)
			assert.Equal(t, b.home(affinity+1).Instance, home)
		}
	}
}

// A store without places to spare passes them on.
func TestAffinityLeavesAPlainStoreThatHasNoPlacesToSpare(t *testing.T) {
	b := zonedBench(t, false)
	r := b.request()
	r.Affinity = 7
	home := b.now(r).Store().Instance
	elsewhere := 0
	for range 8 {
		if b.now(r).Store().Instance != home {
			elsewhere++
		}
	}
	assert.Assert(t, elsewhere >= 4, "%d of 8", elsewhere)
}

// What has an affinity stays in the zone of the proxy while a store there may take it: its next requests come in there, too.
func TestAffinityStaysInTheZone(t *testing.T) {
	for _, engine := range []bool{false, true} {
		b := zonedBench(t, engine)
		b.now(b.request()).Finish(Success)
		for affinity := range uint64(30) {
			assert.Equal(t, b.home(affinity+1).Zone, zoneOf(0))
		}
	}
}

// A proxy that has just started does not know whether stores tell their load: programs that are under way go on at the home among
// all of them, and lose nothing where they had it there.
func TestAffinityOfAProxyThatHasHeardNothingIsTheSameInAllZones(t *testing.T) {
	for affinity := range uint64(30) {
		var homes [3]string
		for zone := range homes {
			b := zonedBench(t, true)
			b.core.zone = zoneOf(zone)
			homes[zone] = b.home(affinity + 1).Instance
		}
		assert.Equal(t, homes[0], homes[1])
		assert.Equal(t, homes[0], homes[2])
	}
}

// Where stores tell their load, the home of what has an affinity is the same for the proxies of all zones.
func TestAffinityIsTheSameInAllZonesWhereLoadIsTold(t *testing.T) {
	homes := map[uint64]string{}
	for zone := range 3 {
		b := zonedBench(t, true)
		b.core.zone = zoneOf(zone)
		g := b.now(b.request())
		g.ReportLoad(0, 0, 8)
		g.Finish(Success)
		for affinity := range uint64(30) {
			home := b.home(affinity + 1).Instance
			if zone > 0 {
				assert.Equal(t, home, homes[affinity])
			}
			homes[affinity] = home
		}
	}
}

// Where the own zone's stores are over their share, another zone's store becomes the home, the same for all.
func TestAffinityLeavesTheZoneUnderLoad(t *testing.T) {
	b := zonedBench(t, true)
	r := b.request()
	r.Affinity = 7
	away := 0
	for range 40 {
		if b.now(r).Store().Zone != zoneOf(0) {
			away++
		}
	}
	assert.Assert(t, away >= 20, "%d of 40", away)
}
