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
	drainInForce     = 150 * time.Millisecond  // with all well
	configInForce    = 300 * time.Millisecond  // the same
	unheardMost      = 1600 * time.Millisecond // without any source, when two machines lose power at once
	drainUnderCut    = 2500 * time.Millisecond // while a minority is cut off
	spreadSpan       = 10 * time.Millisecond
	spreadShareMost  = 0.5                     // of the followers of the dead: those that come to one coordinator within the span
	evenFollowers    = 1.75                    // greatest over mean of the coordinators' polls
	spreadTime       = 8 * time.Second         // after which agents that began with the seeds follow their first choices
	idleBytes        = 1000                    // a second and agent, with nothing to tell
	catchUpBytesMost = 15_000 + 120*storeCount // of a rejoin, with the configuration and the second source's marks
	refillBytesMost  = 15_000 + 120*storeCount // an agent, while lists of fresh coordinators fill up again
	rejoinTime       = 2 * time.Second
	flapBytesMost    = 5000 // a second and agent, with stores that flap
)

// extraSeeds is how many more seeds than its own each test is played with.
var extraSeeds = flag.Uint64("fleet.seeds", 0, "more seeds than its own that each test is played with")

func (f *fleet) forget() {
	for _, a := range f.agents {
		a.forget()
	}
	for _, c := range f.coordinators {
		c.reset()
	}
}

// bytes is the mean and the greatest of what agents' polls carried.
func (f *fleet) bytes() (mean, most int) {
	for _, a := range f.agents {
		mean += a.carried()
		most = max(most, a.carried())
	}
	return mean / len(f.agents), most
}

func (f *fleet) longestUnheard() time.Duration {
	longest := time.Duration(0)
	for _, a := range f.agents {
		longest = max(longest, a.longestUnheard())
	}
	return longest
}

// followers is the greatest over the mean of the polls that coordinators got.
func (f *fleet) followers() float64 {
	sum, most := 0, 0
	for _, c := range f.coordinators {
		c.mu.Lock()
		sum += c.calls
		most = max(most, c.calls)
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
		f.pass(spreadTime)
		f.forget()
		f.pass(4 * time.Second)
		mean, most := f.bytes()
		even := f.followers()
		t.Logf("idle: %d bytes a second and agent, %d at most; polls of a coordinator greatest over mean %.2f", mean/4, most/4, even)
		assert.Assert(t, most/4 <= idleBytes)
		assert.Assert(t, even <= evenFollowers)
		f.forget()
		drained := f.stores[10]
		f.end(drained, tierpb.InstanceState_INSTANCE_DRAINING)
		took := f.until(drainInForce, func(a *agent) bool { return a.ended(drained) })
		t.Logf("drain known to all agents after %v", took)
		f.configure(2)
		took = f.until(configInForce, func(a *agent) bool { return a.state.Control().GetVersion() == 2 })
		mean, _ = f.bytes()
		t.Logf("configuration of %d bytes known to all agents after %v; %d bytes an agent for both", len(body(2)), took, mean)
		assert.Assert(t, mean < len(body(2))/2, "the body went out whole")
	})
}

func (a *agent) ended(s *store) bool {
	return a.state.Instance(s.instance.Id).GetState() >= s.instance.State
}

func TestDeathOfCoordinatorsIsNoStampede(t *testing.T) {
	forEachSeed(t, 2, func(t *testing.T, f *fleet) {
		f.forget()
		f.coordinators[1].kill()
		f.pass(2 * time.Second)
		densest := 0
		for _, c := range f.coordinators {
			densest = max(densest, c.densest(spreadSpan))
		}
		mean, most := f.bytes()
		t.Logf("one killed: %d first polls within %v at one coordinator, %v without a source at most; %d bytes an agent in 2 s, %d at most",
			densest, spreadSpan, f.longestUnheard(), mean, most)
		affected := agentCount * followed / coordinatorCount
		assert.Assert(t, float64(densest) <= spreadShareMost*float64(affected))
	})
}

func TestLossOfBothSourcesIsBridged(t *testing.T) {
	forEachSeed(t, 6, func(t *testing.T, f *fleet) {
		f.forget()
		f.pass(time.Second)
		lost := f.coordinators[:2]
		both := 0
		for _, a := range f.agents {
			if a.followsOnly(lost) {
				both++
			}
		}
		f.forget()
		for _, c := range lost {
			c.losePower()
		}
		f.pass(3 * time.Second)
		t.Logf("two without power, %d agents that followed both: %v without a source at most", both, f.longestUnheard())
		assert.Assert(t, both > 0)
		assert.Assert(t, f.longestUnheard() <= unheardMost)
		f.requireAllKnown()
	})
}

func TestRollOfAllAgentsIsBounded(t *testing.T) {
	forEachSeed(t, 3, func(t *testing.T, f *fleet) {
		most, longest := 0, time.Duration(0)
		for first := 0; first < agentCount; first += agentCount / 5 {
			batch := f.agents[first : first+agentCount/5]
			for _, a := range batch {
				a.start()
			}
			took := f.until(rejoinTime, (*agent).knowsAll)
			longest = max(longest, took)
			f.pass(time.Second)
			for _, a := range batch {
				most = max(most, a.carried())
			}
		}
		t.Logf("rejoin: %v until all know all, %d bytes an agent at most with a second after it", longest, most)
		assert.Assert(t, most <= catchUpBytesMost)
	})
}

func TestFreshCoordinatorsEmptyNoList(t *testing.T) {
	forEachSeed(t, 4, func(t *testing.T, f *fleet) {
		gone := f.stores[3]
		f.end(gone, tierpb.InstanceState_INSTANCE_DEREGISTERED)
		f.stores = append(f.stores[:3:3], f.stores[4:]...)
		f.pass(time.Second)
		f.forget()
		for _, c := range f.coordinators {
			c.kill()
		}
		f.pass(time.Second)
		for _, c := range f.coordinators {
			c.start()
		}
		late := gone.instance.CloneVT()
		late.State, late.Sequence = tierpb.InstanceState_INSTANCE_READY, late.Sequence-1
		f.coordinators[2].state.Upsert(late)
		f.pass(4 * time.Second)
		f.requireAllKnown()
		mean, most := f.bytes()
		assert.Assert(t, most <= refillBytesMost)
		t.Logf("all coordinators anew: %d bytes an agent in 5 s, %d at most", mean, most)
		for _, a := range f.agents {
			assert.Assert(t, a.ended(gone), "%s", a.self.Name)
		}
	})
}

func TestCutOffMinorityHoldsNothingBack(t *testing.T) {
	forEachSeed(t, 5, func(t *testing.T, f *fleet) {
		f.cutMinority(true)
		f.pass(200 * time.Millisecond)
		early := f.stores[20]
		f.endAt(f.coordinators[4], early)
		took := f.until(drainUnderCut, func(a *agent) bool { return a.ended(early) })
		f.pass(3 * time.Second)
		late := f.stores[21]
		f.endAt(f.coordinators[4], late)
		later := f.until(drainUnderCut, func(a *agent) bool { return a.ended(late) })
		t.Logf("drain under a cut known to all agents after %v at its beginning, %v later", took, later)
		assert.Assert(t, later <= drainInForce)
		f.cutMinority(false)
		f.pass(6 * time.Second)
		f.requireAllKnown()
	})
}

// cutMinority cuts two coordinators off from the other three; agents reach all.
func (f *fleet) cutMinority(cut bool) {
	for _, minority := range []int{0, 2} {
		for _, majority := range []int{1, 3, 4} {
			from, to := f.coordinators[minority].self.Address, f.coordinators[majority].self.Address
			f.network.Partition(from, to, cut)
			f.network.Partition(to, from, cut)
		}
	}
}

// endAt brings a drain in at one coordinator alone.
func (f *fleet) endAt(c *coordinator, s *store) {
	s.steady = false
	s.instance = s.instance.CloneVT()
	s.instance.Sequence++
	s.instance.State = tierpb.InstanceState_INSTANCE_DRAINING
	c.state.Upsert(s.instance)
}

func TestFlappingStoresStayGone(t *testing.T) {
	forEachSeed(t, 7, func(t *testing.T, f *fleet) {
		f.forget()
		f.growing = true
		const flapping, rounds = 10, 3
		for range rounds {
			for i := range flapping {
				old := f.stores[i]
				f.end(old, tierpb.InstanceState_INSTANCE_DEREGISTERED)
				f.stores[i] = f.newStore(i)
				stale := old.instance.CloneVT() // a heartbeat sent before the end that arrives after it
				stale.Sequence, stale.State = stale.Sequence+1, tierpb.InstanceState_INSTANCE_READY
				f.anyCoordinator().state.Upsert(stale)
			}
			f.pass(time.Second)
		}
		mean, most := f.bytes()
		t.Logf("%d stores flap each second: %d bytes a second and agent, %d at most", flapping, mean/rounds, most/rounds)
		assert.Assert(t, most/rounds <= flapBytesMost)
		f.until(drainInForce, (*agent).knowsAll)
		for _, a := range f.agents {
			assert.Equal(t, a.state.Count(tierpb.InstanceState_INSTANCE_READY), storeCount)
		}
	})
}
