package fleet

import (
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Bounds, in simulated time and bytes.
const (
	drainBound               = 150 * time.Millisecond  // without faults
	configurationBound       = 300 * time.Millisecond  // without faults
	maxUnheard               = 1600 * time.Millisecond // without any source, when two machines lose power at the same time
	drainBoundUnderPartition = 2500 * time.Millisecond // while a minority is partitioned
	spreadSpan               = 10 * time.Millisecond
	maxSpreadShare           = 0.5                     // share of the dead coordinator's followers whose first polls reach one peer within the span
	maxFollowerImbalance     = 1.75                    // maximum over mean of the coordinators' polls
	spreadTime               = 8 * time.Second         // after which agents that started with the seeds follow their preferred sources
	maxIdleBytes             = 1000                    // per second and agent, without updates
	maxCatchUpBytes          = 15_000 + 120*storeCount // of a rejoin, with the configuration and the digests of the second source
	maxRefillBytes           = 15_000 + 120*storeCount // per agent, while the registries of restarted coordinators fill
	rejoinTime               = 2 * time.Second
	maxFlapBytes             = 5000 // per second and agent, with flapping stores
)

// extraSeeds is the number of additional seeds for each test.
var extraSeeds = flag.Uint64("fleet.seeds", 0, "number of additional seeds for each test")

func (f *fleet) resetCounts() {
	for _, a := range f.agents {
		a.resetCounts()
	}
	for _, c := range f.coordinators {
		c.reset()
	}
}

// bytes returns the mean and the maximum of the bytes of agents' polls.
func (f *fleet) bytes() (mean, most int) {
	for _, a := range f.agents {
		mean += a.bytesCarried()
		most = max(most, a.bytesCarried())
	}
	return mean / len(f.agents), most
}

func (f *fleet) longestWithoutSource() time.Duration {
	longest := time.Duration(0)
	for _, a := range f.agents {
		longest = max(longest, a.longestWithoutSource())
	}
	return longest
}

// followerImbalance returns the maximum over the mean of the polls that coordinators got.
func (f *fleet) followerImbalance() float64 {
	sum, most := 0, 0
	for _, c := range f.coordinators {
		c.mu.Lock()
		sum += c.polls
		most = max(most, c.polls)
		c.mu.Unlock()
	}
	return float64(most) * coordinatorCount / float64(sum)
}

func forEachSeed(t *testing.T, first uint64, test func(*testing.T, *fleet)) {
	t.Helper()
	t.Parallel()
	for more := range *extraSeeds + 1 {
		inFleet(t, first+100*more, func(f *fleet) { test(f.t, f) })
	}
}

func TestDrainAndConfigurationReachAllAgents(t *testing.T) {
	forEachSeed(t, 1, func(t *testing.T, f *fleet) {
		t.Helper()
		f.advance(spreadTime)
		f.resetCounts()
		f.advance(4 * time.Second)
		mean, most := f.bytes()
		even := f.followerImbalance()
		t.Logf("idle: %d bytes per second and agent, %d at most; polls of a coordinator maximum over mean %.2f", mean/4, most/4, even)
		assert.Assert(t, most/4 <= maxIdleBytes)
		assert.Assert(t, even <= maxFollowerImbalance)
		f.resetCounts()
		drained := f.stores[10]
		f.endStore(drained, tierpb.InstanceState_INSTANCE_DRAINING)
		took := f.advanceUntil(drainBound, func(a *agent) bool { return a.ended(drained) })
		t.Logf("drain known to all agents after %v", took)
		f.configure(2)
		took = f.advanceUntil(configurationBound, func(a *agent) bool { return a.state.Control().GetVersion() == 2 })
		mean, _ = f.bytes()
		t.Logf("configuration of %d bytes known to all agents after %v; %d bytes an agent for both", len(body(2)), took, mean)
		assert.Assert(t, mean < len(body(2))/2, "the full body was sent instead of a delta")
	})
}

func (a *agent) ended(s *store) bool {
	return a.state.Instance(s.instance.Id).GetState() >= s.instance.State
}

func TestCoordinatorCrashCausesNoThunderingHerd(t *testing.T) {
	forEachSeed(t, 2, func(t *testing.T, f *fleet) {
		t.Helper()
		f.resetCounts()
		f.coordinators[1].kill()
		f.advance(2 * time.Second)
		maxFirstPolls := 0
		for _, c := range f.coordinators {
			maxFirstPolls = max(maxFirstPolls, c.maxFirstPolls(spreadSpan))
		}
		mean, most := f.bytes()
		t.Logf("one killed: %d first polls within %v at one coordinator, %v without a source at most; %d bytes an agent in 2 s, %d at most",
			maxFirstPolls, spreadSpan, f.longestWithoutSource(), mean, most)
		affected := agentCount * sourcesPerAgent / coordinatorCount
		assert.Assert(t, float64(maxFirstPolls) <= maxSpreadShare*float64(affected))
	})
}

func TestAgentsRecoverFromLossOfBothSources(t *testing.T) {
	forEachSeed(t, 6, func(t *testing.T, f *fleet) {
		t.Helper()
		f.resetCounts()
		f.advance(time.Second)
		lost := f.coordinators[:2]
		both := 0
		for _, a := range f.agents {
			if a.followsOnly(lost) {
				both++
			}
		}
		f.resetCounts()
		for _, c := range lost {
			c.powerLoss()
		}
		f.advance(3 * time.Second)
		t.Logf("two without power, %d agents that followed both: %v without a source at most", both, f.longestWithoutSource())
		assert.Assert(t, both > 0)
		assert.Assert(t, f.longestWithoutSource() <= maxUnheard)
		f.requireAllKnown()
	})
}

func TestRollingRestartOfAgentsIsBounded(t *testing.T) {
	forEachSeed(t, 3, func(t *testing.T, f *fleet) {
		t.Helper()
		most, longest := 0, time.Duration(0)
		for first := 0; first < agentCount; first += agentCount / 5 {
			batch := f.agents[first : first+agentCount/5]
			for _, a := range batch {
				a.start()
			}
			took := f.advanceUntil(rejoinTime, (*agent).knowsAll)
			longest = max(longest, took)
			f.advance(time.Second)
			for _, a := range batch {
				most = max(most, a.bytesCarried())
			}
		}
		t.Logf("rejoin: %v until all know all, %d bytes an agent at most with a second after it", longest, most)
		assert.Assert(t, most <= maxCatchUpBytes)
	})
}

func TestRestartedCoordinatorsEmptyNoEndpointList(t *testing.T) {
	forEachSeed(t, 4, func(t *testing.T, f *fleet) {
		t.Helper()
		deregistered := f.stores[3]
		f.endStore(deregistered, tierpb.InstanceState_INSTANCE_DEREGISTERED)
		f.stores = append(f.stores[:3:3], f.stores[4:]...)
		f.advance(time.Second)
		f.resetCounts()
		for _, c := range f.coordinators {
			c.kill()
		}
		f.advance(time.Second)
		for _, c := range f.coordinators {
			c.start()
		}
		late := deregistered.instance.CloneVT()
		late.State, late.Sequence = tierpb.InstanceState_INSTANCE_READY, late.Sequence-1
		f.coordinators[2].state.Upsert(late)
		f.advance(4 * time.Second)
		f.requireAllKnown()
		mean, most := f.bytes()
		assert.Assert(t, most <= maxRefillBytes)
		t.Logf("all coordinators restarted: %d bytes an agent in 5 s, %d at most", mean, most)
		for _, a := range f.agents {
			assert.Assert(t, a.ended(deregistered), "%s", a.self.Name)
		}
	})
}

func TestPartitionedMinorityDelaysNothing(t *testing.T) {
	forEachSeed(t, 5, func(t *testing.T, f *fleet) {
		t.Helper()
		f.partitionMinority(true)
		f.advance(200 * time.Millisecond)
		early := f.stores[20]
		f.drainAt(f.coordinators[4], early)
		took := f.advanceUntil(drainBoundUnderPartition, func(a *agent) bool { return a.ended(early) })
		f.advance(3 * time.Second)
		late := f.stores[21]
		f.drainAt(f.coordinators[4], late)
		later := f.advanceUntil(drainBoundUnderPartition, func(a *agent) bool { return a.ended(late) })
		t.Logf("drain under a partition known to all agents after %v at its beginning, %v later", took, later)
		assert.Assert(t, later <= drainBound)
		f.partitionMinority(false)
		f.advance(6 * time.Second)
		f.requireAllKnown()
	})
}

// partitionMinority partitions two coordinators from the other three, or heals that; agents reach all five.
func (f *fleet) partitionMinority(partitioned bool) {
	for _, minority := range []int{0, 2} {
		for _, majority := range []int{1, 3, 4} {
			from, to := f.coordinators[minority].self.Address, f.coordinators[majority].self.Address
			f.network.Partition(from, to, partitioned)
			f.network.Partition(to, from, partitioned)
		}
	}
}

// drainAt delivers a drain to one coordinator only.
func (f *fleet) drainAt(c *coordinator, s *store) {
	s.expected = false
	s.instance = s.instance.CloneVT()
	s.instance.Sequence++
	s.instance.State = tierpb.InstanceState_INSTANCE_DRAINING
	c.state.Upsert(s.instance)
}

func TestFlappingStoresStayDeregistered(t *testing.T) {
	forEachSeed(t, 7, func(t *testing.T, f *fleet) {
		t.Helper()
		f.resetCounts()
		f.growing = true
		const flapping, rounds = 10, 3
		for range rounds {
			for i := range flapping {
				old := f.stores[i]
				f.endStore(old, tierpb.InstanceState_INSTANCE_DEREGISTERED)
				f.stores[i] = f.newStore(i)
				stale := old.instance.CloneVT() // a heartbeat from before the deregistration that arrives after it
				stale.Sequence, stale.State = stale.Sequence+1, tierpb.InstanceState_INSTANCE_READY
				f.anyCoordinator().state.Upsert(stale)
			}
			f.advance(time.Second)
		}
		mean, most := f.bytes()
		t.Logf("%d stores flap each second: %d bytes a second and agent, %d at most", flapping, mean/rounds, most/rounds)
		assert.Assert(t, most/rounds <= maxFlapBytes)
		f.advanceUntil(drainBound, (*agent).knowsAll)
		for _, a := range f.agents {
			assert.Equal(t, a.state.Count(tierpb.InstanceState_INSTANCE_READY), storeCount)
		}
	})
}
