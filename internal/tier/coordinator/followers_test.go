package coordinator

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/clock"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

// edge is a machine with an agent that follows two coordinators.
type edge struct {
	state *watch.State
	stop  func()
}

// startEdge starts an agent that prefers the coordinators in the change of their names.
func (c *cluster) startEdge(name string, coordinators ...string) *edge {
	var targets []watch.Endpoint
	for _, coordinator := range coordinators {
		targets = append(targets, watch.Endpoint{Address: c.machines[coordinator].address})
	}
	state := watch.NewState()
	ctx, cancel := context.WithCancel(context.Background())
	done := &sync.WaitGroup{}
	done.Go(func() {
		watch.Run(ctx, watch.Options{
			Caller: &caller{from: &machine{cluster: c, name: name}}, State: state, MaxSources: 2,
			Endpoints: func() []watch.Endpoint { return targets }, Self: &tierpb.Node{Name: name, Role: tierpb.Role_ROLE_AGENT},
			Reconcile: true,
		})
	})
	return &edge{state: state, stop: func() { cancel(); done.Wait() }}
}

func (e *edge) generation() uint64 { return e.state.Control().GetConfiguration().GetGeneration() }

// until returns the time until an edge has a generation, and the generations that it had before.
func (c *cluster) until(e *edge, generation uint64, bound time.Duration) (took time.Duration, before map[uint64]bool) {
	c.t.Helper()
	began := time.Now()
	before = make(map[uint64]bool)
	for e.generation() < generation {
		before[e.generation()] = true
		assert.Assert(c.t, time.Since(began) <= bound, "generation %d of %d after %v", e.generation(), generation, bound)
		c.pass(5 * time.Millisecond)
	}
	return time.Since(began), before
}

// isolateMinority partitions two of five coordinators from the other three, or heals that; agents reach all.
func (c *cluster) isolateMinority(blocked bool) {
	c.partitionMinority(direction{out: blocked, inward: blocked})
}

// partitionMinority is the same for a partition of one direction.
func (c *cluster) partitionMinority(to direction) {
	for _, minority := range five[:2] {
		for _, majority := range five[2:] {
			c.setBlocked(minority, majority, to.out)
			c.setBlocked(majority, minority, to.inward)
		}
	}
}

// inFive runs a test with five coordinators that all vote.
func inFive(t *testing.T, test func(*cluster)) {
	t.Helper()
	inCluster(t, 5, 2, func(c *cluster) {
		c.pass(2 * time.Second)
		assert.DeepEqual(t, c.voterNames("core-1"), five)
		test(c)
	})
}

var five = []string{"core-1", "core-2", "core-3", "core-4", "core-5"}

const interZoneDelay = 20 * time.Millisecond // between zones

// propagationTimeout is the longest after which an agent that can reach the majority has what was acknowledged there: a
// coordinator's polls that were under way bring it or fail, and then the agent goes on to another. It is well below
// configMs, 2 s.
const propagationTimeout = watch.MaxPollDuration + 200*time.Millisecond

// TestFollowersLeaveIsolatedCoordinators has both sources of an agent isolated, at several moments of their polls, with
// updates at any moment and without any, nor heartbeats.
func TestFollowersLeaveIsolatedCoordinators(t *testing.T) {
	for _, way := range directions {
		for _, gap := range []time.Duration{0, interZoneDelay / 2} {
			t.Run(fmt.Sprintf("%s, updates every %v", way.name, gap), func(t *testing.T) {
				inFive(t, func(c *cluster) {
					c.delay.Store(int64(interZoneDelay))
					longest := time.Duration(0)
					for generation := 1; generation < 24; generation += 3 {
						assert.Equal(t, c.at("core-1").putConfiguration(generation-1, configurationOf(generation, "a")), http.StatusOK)
						edge := c.startEdge("edge-1", five...)
						c.pass(2*time.Second + time.Duration(generation)*50*time.Millisecond)
						c.partitionMinority(way)
						stop := c.registerStores(gap, "core-1", "core-2")
						for _, next := range []int{generation + 1, generation + 2} { // polls under way may still bring the first
							assert.Equal(t, c.at("core-3").putConfiguration(next-1, configurationOf(next, "a")), http.StatusOK)
							took, _ := c.until(edge, uint64(next), propagationTimeout)
							longest = max(longest, took)
						}
						stop()
						edge.stop()
						c.isolateMinority(false)
						c.pass(3 * time.Second)
					}
					t.Logf("a configuration came %v after its acknowledgement at most", longest)
				})
			})
		}
	}
}

// registerStores has new stores register at coordinators, one in each gap, until it is stopped.
func (c *cluster) registerStores(gap time.Duration, names ...string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	running := &sync.WaitGroup{}
	for _, name := range names {
		if gap == 0 {
			break
		}
		running.Go(func() {
			for number := 0; clock.Sleep(ctx, gap); {
				number++
				told := &tierpb.Instance{Id: fmt.Sprintf("i-%d-%s", number, name), Backend: "s", Address: "10.9.0.9:80", Sequence: 1}
				c.at(name).state.Upsert(told)
			}
		})
	}
	return func() { cancel(); running.Wait() }
}

// TestFreshAgentTakesNothingOldFromAnIsolatedCoordinator starts agents that know nothing during a partition, whose first choices
// are both isolated.
func TestFreshAgentTakesNothingOldFromAnIsolatedCoordinator(t *testing.T) {
	inFive(t, func(c *cluster) {
		assert.Equal(t, c.at("core-1").putConfiguration(0, configurationOf(1, "a")), http.StatusOK)
		c.pass(100 * time.Millisecond)
		c.isolateMinority(true)
		assert.Equal(t, c.at("core-3").putConfiguration(1, configurationOf(2, "a")), http.StatusOK)
		c.pass(propagationTimeout)
		for number := range 20 {
			edge := c.startEdge(fmt.Sprintf("edge-%d", number), five...)
			_, before := c.until(edge, 2, time.Second)
			edge.stop()
			assert.Assert(t, !before[1], "an old configuration was in force for a moment")
		}
	})
}

// TestAgentThatReachesNobodyElseTakesWhatAnIsolatedCoordinatorHas keeps an edge machine on the isolated side in service.
func TestAgentThatReachesNobodyElseTakesWhatAnIsolatedCoordinatorHas(t *testing.T) {
	inFive(t, func(c *cluster) {
		assert.Equal(t, c.at("core-1").putConfiguration(0, configurationOf(1, "a")), http.StatusOK)
		assert.Equal(t, c.at("core-1").putHeartbeat("ready", 1), http.StatusOK)
		c.pass(100 * time.Millisecond)
		c.isolateMinority(true)
		c.pass(propagationTimeout)
		for _, majority := range five[2:] {
			c.setBlocked("edge-1", majority, true)
		}
		edge := c.startEdge("edge-1", five...)
		defer edge.stop()
		c.until(edge, 1, 4*time.Second)
		assert.Equal(t, edge.state.Instance("i-1").GetState(), stateReady)
	})
}
