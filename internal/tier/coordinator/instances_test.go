package coordinator

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

const (
	stateReady        = tierpb.InstanceState_INSTANCE_READY
	stateSuspect      = tierpb.InstanceState_INSTANCE_SUSPECT
	stateDraining     = tierpb.InstanceState_INSTANCE_DRAINING
	stateDeregistered = tierpb.InstanceState_INSTANCE_DEREGISTERED
)

func heartbeat(state string, sequence int) string {
	return fmt.Sprintf(`{"backend":"s","address":"10.9.0.1:80","zone":"z","slots":4,"state":%q,"sequence":%d}`, state, sequence)
}

func (p *process) putHeartbeat(state string, sequence int) int {
	status, _ := p.send(http.MethodPut, "/v1/instances/i-1", "", heartbeat(state, sequence))
	return status
}

func (c *cluster) instanceStates(names ...string) []tierpb.InstanceState {
	var states []tierpb.InstanceState
	for _, name := range names {
		states = append(states, c.process(name).state.Instance("i-1").GetState())
	}
	return states
}

func TestInstanceIsReplicatedToAllCoordinators(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		assert.Equal(t, c.process("core-1").putHeartbeat("ready", 1), http.StatusOK)
		c.advance(100 * time.Millisecond)
		for _, name := range []string{"core-2", "core-3"} {
			assert.Assert(t, c.process(name).state.Instance("i-1") != nil, name)
		}
	})
}

func TestDrainingIsAcknowledgedOnceAMajorityHasIt(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		assert.Equal(t, c.process("core-1").putHeartbeat("ready", 1), http.StatusOK)
		c.kill("core-2")
		assert.Equal(t, c.process("core-1").putHeartbeat("draining", 2), http.StatusOK)
		c.kill("core-1")
		assert.DeepEqual(t, c.instanceStates("core-3"), []tierpb.InstanceState{stateDraining})
		c.start("core-2", false)
		c.advance(2 * time.Second)
		assert.DeepEqual(t, c.instanceStates("core-2"), []tierpb.InstanceState{stateDraining})
	})
}

func TestDrainingWithoutAMajorityIsNotAcknowledged(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		c.isolate("core-1", true)
		started := time.Now()
		assert.Equal(t, c.process("core-1").putHeartbeat("draining", 2), http.StatusServiceUnavailable)
		status, _ := c.process("core-1").send(http.MethodDelete, "/v1/instances/i-1", "", "")
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Assert(t, time.Since(started) < 2*time.Second)
		c.isolate("core-1", false)
		assert.Equal(t, c.process("core-1").putHeartbeat("draining", 3), http.StatusOK)
	})
}

// replicationTimeout is the simulated time within which a change of an instance reaches all coordinators. Its acknowledgement
// waits only for a majority.
const replicationTimeout = 50 * time.Millisecond

func countState(wanted tierpb.InstanceState, states []tierpb.InstanceState) int {
	count := 0
	for _, state := range states {
		if state == wanted {
			count++
		}
	}
	return count
}

func TestDrainingAndDeregisteredAreTerminal(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		all := []string{"core-1", "core-2", "core-3"}
		assert.Equal(t, c.process("core-1").putHeartbeat("ready", 3), http.StatusOK)
		assert.Equal(t, c.process("core-2").putHeartbeat("draining", 2), http.StatusOK)
		assert.Assert(t, countState(stateDraining, c.instanceStates(all...)) >= 2, "acknowledged before a majority had it")
		c.advance(replicationTimeout)
		assert.DeepEqual(t, c.instanceStates(all...), []tierpb.InstanceState{stateDraining, stateDraining, stateDraining})
		status, _ := c.process("core-3").send(http.MethodDelete, "/v1/instances/i-1", "", "")
		assert.Equal(t, status, http.StatusOK)
		assert.Assert(t, countState(stateDeregistered, c.instanceStates(all...)) >= 2, "acknowledged before a majority had it")
		c.advance(replicationTimeout)
		assert.DeepEqual(t, c.instanceStates(all...), []tierpb.InstanceState{stateDeregistered, stateDeregistered, stateDeregistered})
		assert.Equal(t, c.process("core-1").putHeartbeat("ready", 9), http.StatusOK)
		c.advance(time.Second)
		assert.DeepEqual(t, c.instanceStates(all...), []tierpb.InstanceState{stateDeregistered, stateDeregistered, stateDeregistered})
	})
}

func TestInstanceWithoutHeartbeatsIsMarkedSuspect(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		for sequence := 1; sequence <= 8; sequence++ {
			assert.Equal(t, c.process("core-1").putHeartbeat("ready", sequence), http.StatusOK)
			c.advance(testHeartbeatMs * time.Millisecond)
		}
		assert.DeepEqual(t, c.instanceStates("core-1", "core-2", "core-3"), []tierpb.InstanceState{stateReady, stateReady, stateReady})
		c.advance(4 * testHeartbeatMs * time.Millisecond)
		assert.DeepEqual(t, c.instanceStates("core-1", "core-2", "core-3"), []tierpb.InstanceState{stateSuspect, stateSuspect, stateSuspect})
		assert.Equal(t, c.process("core-2").putHeartbeat("ready", 9), http.StatusOK)
		c.advance(500 * time.Millisecond)
		assert.DeepEqual(t, c.instanceStates("core-1", "core-2", "core-3"), []tierpb.InstanceState{stateReady, stateReady, stateReady})
	})
}

func TestHeartbeatsToOneCoordinatorAreReplicatedToOthers(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		for sequence := 1; sequence <= 20; sequence++ {
			assert.Equal(t, c.process("core-3").putHeartbeat("ready", sequence), http.StatusOK)
			c.advance(testHeartbeatMs * time.Millisecond)
		}
		assert.DeepEqual(t, c.instanceStates("core-1", "core-2", "core-3"), []tierpb.InstanceState{stateReady, stateReady, stateReady})
	})
}

// An isolated coordinator rejects heartbeats and gives an agent at most one state, marked as not ready.
func TestIsolatedCoordinatorDoesNotServeInstancesAndAgents(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		assert.Equal(t, c.process("core-1").putConfiguration(0, configurationOf(1, "a")), http.StatusOK)
		assert.Equal(t, c.process("core-1").putHeartbeat("ready", 1), http.StatusOK)
		c.isolate("core-1", true)
		c.advance(2 * time.Second)
		assert.Equal(t, c.process("core-1").putHeartbeat("ready", 2), http.StatusServiceUnavailable)
		agent := &tierpb.Node{Name: "edge", Role: tierpb.Role_ROLE_AGENT}
		_, err := c.process("core-1").poll(&tierpb.WatchRequest{Watcher: agent, WaitMs: 700})
		assert.ErrorIs(t, err, watch.ErrNotReady, "an agent that has no state must not get its first one here")
		version := c.process("core-1").state.Control().Version
		reply, err := c.process("core-1").poll(&tierpb.WatchRequest{Watcher: agent, WaitMs: 700, ControlVersion: version})
		assert.NilError(t, err)
		assert.Equal(t, len(reply.Instances), 1)
		assert.Assert(t, reply.Responder.NotReady)
		_, err = c.process("core-1").poll(&tierpb.WatchRequest{
			Watcher: agent, WaitMs: 700, ControlVersion: version, Incarnation: reply.Incarnation, Cursor: reply.Cursor,
		})
		assert.ErrorIs(t, err, watch.ErrNotReady)
		c.isolate("core-1", false)
		c.advance(2 * time.Second)
		assert.Equal(t, c.process("core-1").putHeartbeat("ready", 3), http.StatusOK)
	})
}

func TestInstancesAreKnownAgainAfterRestart(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		assert.Equal(t, c.process("core-1").putHeartbeat("draining", 1), http.StatusOK)
		c.kill("core-1")
		c.start("core-1", false)
		c.advance(2 * time.Second)
		assert.DeepEqual(t, c.instanceStates("core-1"), []tierpb.InstanceState{stateDraining})
	})
}

func TestInvalidHeartbeatIsRejected(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		status, answer := c.process("core-1").send(http.MethodPut, "/v1/instances/i-1", "", `{"backend":"s"}`)
		assert.Equal(t, status, http.StatusBadRequest, answer)
		assert.Assert(t, c.process("core-1").state.Instance("i-1") == nil)
		status, _ = c.process("core-1").send(http.MethodPut, "/v1/instances/i-1", "", string(make([]byte, 100<<10)))
		assert.Equal(t, status, http.StatusRequestEntityTooLarge)
	})
}
