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

// edge is an edge machine with an agent that follows two coordinators.
type edge struct {
	state *watch.State
	stop  func()
}

// startEdge starts an agent that prefers coordinators in the given order.
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

// awaitGeneration waits until an edge has a generation. It returns how long that took and which generations the edge had before.
func (c *cluster) awaitGeneration(e *edge, generation uint64, limit time.Duration) (took time.Duration, earlier map[uint64]bool) {
	c.t.Helper()
	started := time.Now()
	earlier = make(map[uint64]bool)
	for e.generation() < generation {
		earlier[e.generation()] = true
		assert.Assert(c.t, time.Since(started) <= limit, "generation %d of %d after %v", e.generation(), generation, limit)
		c.advance(5 * time.Millisecond)
	}
	return time.Since(started), earlier
}

// isolateMinority blocks or unblocks all messages between two of five coordinators and the other three. Agents reach all.
func (c *cluster) isolateMinority(blocked bool) {
	c.partitionMinority(partitionDirection{outbound: blocked, inbound: blocked})
}

// partitionMinority does the same, but may block only one direction.
func (c *cluster) partitionMinority(lost partitionDirection) {
	for _, minority := range fiveCoordinators[:2] {
		for _, majority := range fiveCoordinators[2:] {
			c.setBlocked(minority, majority, lost.outbound)
			c.setBlocked(majority, minority, lost.inbound)
		}
	}
}

// withFiveVoters runs a test with five coordinators that are all voters.
func withFiveVoters(t *testing.T, test func(*cluster)) {
	t.Helper()
	withCluster(t, 5, 2, func(c *cluster) {
		c.advance(2 * time.Second)
		assert.DeepEqual(t, c.voterNames("core-1"), fiveCoordinators)
		test(c)
	})
}

var fiveCoordinators = []string{"core-1", "core-2", "core-3", "core-4", "core-5"}

const interZoneDelay = 20 * time.Millisecond // delay of calls between zones

// propagationTimeout is the longest time until an agent that can reach the majority receives what was acknowledged there: the
// polls in flight deliver it or fail, and then the agent switches to another coordinator. It is well below configMs, 2 s.
const propagationTimeout = watch.MaxPollDuration + 200*time.Millisecond

// Both coordinators that an agent follows are isolated, at various moments of its polls. The agent switches to others in time,
// whether or not the isolated coordinators still have updates to send.
func TestFollowersLeaveIsolatedCoordinators(t *testing.T) {
	for _, lost := range partitionDirections {
		for _, interval := range []time.Duration{0, interZoneDelay / 2} {
			t.Run(fmt.Sprintf("%s, updates every %v", lost.name, interval), func(t *testing.T) {
				withFiveVoters(t, func(c *cluster) {
					c.delay.Store(int64(interZoneDelay))
					longest := time.Duration(0)
					for generation := 1; generation < 24; generation += 3 {
						assert.Equal(t, c.process("core-1").putConfiguration(generation-1, configurationOf(generation, "a")), http.StatusOK)
						edge := c.startEdge("edge-1", fiveCoordinators...)
						c.advance(2*time.Second + time.Duration(generation)*50*time.Millisecond)
						c.partitionMinority(lost)
						stop := c.registerInstances(interval, "core-1", "core-2")
						for _, next := range []int{generation + 1, generation + 2} { // polls in flight may still deliver the first
							assert.Equal(t, c.process("core-3").putConfiguration(next-1, configurationOf(next, "a")), http.StatusOK)
							took, _ := c.awaitGeneration(edge, uint64(next), propagationTimeout)
							longest = max(longest, took)
						}
						stop()
						edge.stop()
						c.isolateMinority(false)
						c.advance(3 * time.Second)
					}
					t.Logf("configurations arrived at most %v after their acknowledgement", longest)
				})
			})
		}
	}
}

// registerInstances registers a new instance at each of the named coordinators in every interval, until it is stopped. It does
// nothing if the interval is 0.
func (c *cluster) registerInstances(interval time.Duration, names ...string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	running := &sync.WaitGroup{}
	for _, name := range names {
		if interval == 0 {
			break
		}
		running.Go(func() {
			for number := 0; clock.Sleep(ctx, interval); {
				number++
				instance := &tierpb.Instance{Id: fmt.Sprintf("i-%d-%s", number, name), Backend: "s", Address: "10.9.0.9:80", Sequence: 1}
				c.process(name).state.Upsert(instance)
			}
		})
	}
	return func() { cancel(); running.Wait() }
}

// Agents start during a partition, and the coordinators that they prefer are both isolated. They must not apply an outdated
// configuration.
func TestNewAgentIgnoresOutdatedStateOfIsolatedCoordinator(t *testing.T) {
	withFiveVoters(t, func(c *cluster) {
		assert.Equal(t, c.process("core-1").putConfiguration(0, configurationOf(1, "a")), http.StatusOK)
		c.advance(100 * time.Millisecond)
		c.isolateMinority(true)
		assert.Equal(t, c.process("core-3").putConfiguration(1, configurationOf(2, "a")), http.StatusOK)
		c.advance(propagationTimeout)
		for number := range 20 {
			edge := c.startEdge(fmt.Sprintf("edge-%d", number), fiveCoordinators...)
			_, earlier := c.awaitGeneration(edge, 2, time.Second)
			edge.stop()
			assert.Assert(t, !earlier[1], "the outdated configuration was applied for a moment")
		}
	})
}

// An agent that reaches only isolated coordinators uses their state, so that edge machines on the isolated side stay in service.
func TestAgentUsesIsolatedCoordinatorIfItReachesNoOther(t *testing.T) {
	withFiveVoters(t, func(c *cluster) {
		assert.Equal(t, c.process("core-1").putConfiguration(0, configurationOf(1, "a")), http.StatusOK)
		assert.Equal(t, c.process("core-1").putHeartbeat("ready", 1), http.StatusOK)
		c.advance(100 * time.Millisecond)
		c.isolateMinority(true)
		c.advance(propagationTimeout)
		for _, majority := range fiveCoordinators[2:] {
			c.setBlocked("edge-1", majority, true)
		}
		edge := c.startEdge("edge-1", fiveCoordinators...)
		defer edge.stop()
		c.awaitGeneration(edge, 1, 4*time.Second)
		assert.Equal(t, edge.state.Instance("i-1").GetState(), stateReady)
	})
}
