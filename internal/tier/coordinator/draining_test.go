package coordinator

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/simulation"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// The acknowledgement of a deregistration binds when all coordinators are killed right behind it: the instance says nothing more, and
// edges that had not heard of it would send it requests for as long as it lives.
func TestAcknowledgedDeregistrationSurvivesAKillOfAll(t *testing.T) {
	for _, size := range []struct{ coordinators, tolerated int }{{3, 1}, {5, 2}} {
		inCluster(t, size.coordinators, size.tolerated, func(c *cluster) {
			names := coreNames(size.coordinators)
			assert.Equal(t, c.at("core-1").putHeartbeat("ready", 1), http.StatusOK)
			c.pass(time.Second)
			status, _ := c.at("core-1").send(http.MethodDelete, "/v1/instances/i-1", "", "")
			assert.Equal(t, status, http.StatusOK)
			for _, name := range names {
				c.kill(name)
			}
			for _, name := range names {
				c.start(name, false)
			}
			c.pass(time.Second)
			for _, name := range names {
				assert.DeepEqual(t, c.states(name), []tierpb.InstanceState{stateDeregistered})
			}
			fresh := c.startEdge("edge", names...)
			defer fresh.stop()
			c.pass(time.Second)
			assert.Equal(t, fresh.state.Instance("i-1").GetState(), stateDeregistered)
		})
	}
}

// The same where as many disks are lost with it as are tolerated.
func TestAcknowledgedDeregistrationSurvivesAKillOfAllAndALostDisk(t *testing.T) {
	for lost := range 3 {
		inCluster(t, 3, 1, func(c *cluster) {
			names := coreNames(3)
			assert.Equal(t, c.at("core-2").putHeartbeat("ready", 1), http.StatusOK)
			assert.Equal(t, c.at("core-2").putHeartbeat("draining", 2), http.StatusOK)
			status, _ := c.at("core-2").send(http.MethodDelete, "/v1/instances/i-1", "", "")
			assert.Equal(t, status, http.StatusOK)
			for _, name := range names {
				c.kill(name)
			}
			c.wipe(names[lost])
			for _, name := range names {
				c.start(name, false)
			}
			c.pass(5 * time.Second)
			assert.DeepEqual(t, c.states(names...), []tierpb.InstanceState{stateDeregistered, stateDeregistered, stateDeregistered})
		})
	}
}

// coreNames are the names of the first machines of a cluster.
func coreNames(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("core-%d", i+1)
	}
	return names
}

// A final state that the disk did not take is no vote for its acknowledgement; the others' disks may do.
func TestFinalStateIsAcknowledgedByDisksThatSavedIt(t *testing.T) {
	inCluster(t, 3, 1, func(c *cluster) {
		assert.Equal(t, c.at("core-1").putHeartbeat("ready", 1), http.StatusOK)
		c.pass(time.Second)
		c.machines["core-1"].hardware.Disk.SetFault(simulation.DiskFault{Full: true})
		assert.Equal(t, c.at("core-1").putHeartbeat("draining", 2), http.StatusOK, "two others have it")
		c.machines["core-2"].hardware.Disk.SetFault(simulation.DiskFault{SyncFails: true})
		status, _ := c.at("core-1").send(http.MethodDelete, "/v1/instances/i-1", "", "")
		assert.Equal(t, status, http.StatusServiceUnavailable)
		c.machines["core-2"].hardware.Disk.SetFault(simulation.DiskFault{})
		c.pass(time.Second)
		status, _ = c.at("core-1").send(http.MethodDelete, "/v1/instances/i-1", "", "")
		assert.Equal(t, status, http.StatusOK)
	})
}
