package coordinator

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/coordinator/draining"
	"pulleygw.example/pulleygw/internal/tier/simulation"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// An acknowledged deregistration must survive a kill of all coordinators right after the acknowledgement. The instance does not
// repeat it, so if it were lost, edges that had not received it would keep sending requests to the instance.
func TestAcknowledgedDeregistrationSurvivesKillOfAll(t *testing.T) {
	for _, size := range []struct{ coordinators, tolerated int }{{3, 1}, {5, 2}} {
		withCluster(t, size.coordinators, size.tolerated, func(c *cluster) {
			names := coordinatorNames(size.coordinators)
			assert.Equal(t, c.process("core-1").putHeartbeat("ready", 1), http.StatusOK)
			c.advance(time.Second)
			status, _ := c.process("core-1").send(http.MethodDelete, "/v1/instances/i-1", "", "")
			assert.Equal(t, status, http.StatusOK)
			for _, name := range names {
				c.kill(name)
			}
			for _, name := range names {
				c.start(name, false)
			}
			c.advance(time.Second)
			for _, name := range names {
				assert.DeepEqual(t, c.instanceStates(name), []tierpb.InstanceState{stateDeregistered})
			}
			fresh := c.startEdge("edge", names...)
			defer fresh.stop()
			c.advance(time.Second)
			assert.Equal(t, fresh.state.Instance("i-1").GetState(), stateDeregistered)
		})
	}
}

// An acknowledged deregistration must also survive if, in addition, one coordinator loses its disk. A cluster of three tolerates
// the loss of one.
func TestAcknowledgedDeregistrationSurvivesKillOfAllAndLostDisk(t *testing.T) {
	for lost := range 3 {
		withCluster(t, 3, 1, func(c *cluster) {
			names := coordinatorNames(3)
			assert.Equal(t, c.process("core-2").putHeartbeat("ready", 1), http.StatusOK)
			assert.Equal(t, c.process("core-2").putHeartbeat("draining", 2), http.StatusOK)
			status, _ := c.process("core-2").send(http.MethodDelete, "/v1/instances/i-1", "", "")
			assert.Equal(t, status, http.StatusOK)
			for _, name := range names {
				c.kill(name)
			}
			c.wipe(names[lost])
			for _, name := range names {
				c.start(name, false)
			}
			c.advance(5 * time.Second)
			assert.DeepEqual(t, c.instanceStates(names...), []tierpb.InstanceState{stateDeregistered, stateDeregistered, stateDeregistered})
		})
	}
}

// Guards against a drain that is forgotten: a coordinator that was down when it was announced, and one that had lost its disk since,
// knew it only in memory, so one disk held it when all coordinators were killed.
func TestTerminalStateThatACoordinatorMissedIsSavedThereToo(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		names := coordinatorNames(3)
		assert.Equal(t, c.process("core-1").putHeartbeat("ready", 1), http.StatusOK)
		c.advance(time.Second)
		c.kill("core-3")
		assert.Equal(t, c.process("core-1").putHeartbeat("draining", 2), http.StatusOK)
		c.advance(draining.AnnounceTimeout + time.Second)
		c.start("core-3", false)
		c.advance(5 * time.Second)
		c.kill("core-1")
		c.wipe("core-1")
		c.start("core-1", false)
		c.advance(5 * time.Second)
		assert.DeepEqual(t, c.instanceStates(names...), []tierpb.InstanceState{stateDraining, stateDraining, stateDraining})
		for _, name := range names {
			c.kill(name)
		}
		c.wipe("core-2")
		for _, name := range names {
			c.start(name, false)
		}
		c.advance(5 * time.Second)
		assert.DeepEqual(t, c.instanceStates(names...), []tierpb.InstanceState{stateDraining, stateDraining, stateDraining})
	})
}

// coordinatorNames returns the names of a cluster's first count coordinators.
func coordinatorNames(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("core-%d", i+1)
	}
	return names
}

// A terminal state is acknowledged only if a quorum of coordinators saved it. A coordinator whose disk failed to save it does not
// count towards the quorum, even if it is the one that received the request.
func TestTerminalStateIsAcknowledgedOnlyIfAQuorumSavedIt(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		assert.Equal(t, c.process("core-1").putHeartbeat("ready", 1), http.StatusOK)
		c.advance(time.Second)
		c.machines["core-1"].hardware.Disk.SetFault(simulation.DiskFault{Full: true})
		assert.Equal(t, c.process("core-1").putHeartbeat("draining", 2), http.StatusOK, "two others saved it")
		c.machines["core-2"].hardware.Disk.SetFault(simulation.DiskFault{SyncFails: true})
		status, _ := c.process("core-1").send(http.MethodDelete, "/v1/instances/i-1", "", "")
		assert.Equal(t, status, http.StatusServiceUnavailable)
		c.machines["core-2"].hardware.Disk.SetFault(simulation.DiskFault{})
		c.advance(time.Second)
		status, _ = c.process("core-1").send(http.MethodDelete, "/v1/instances/i-1", "", "")
		assert.Equal(t, status, http.StatusOK)
	})
}
