package coordinator

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/simulation"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// The acknowledgement of a leave binds when all coordinators are killed right behind it: the store says nothing more, and
// edges that had not heard of it would send it requests for as long as it lives.
func TestLeaveThatWasAcknowledgedOutlivesAKillOfAll(t *testing.T) {
	for _, size := range []struct{ coordinators, tolerated int }{{3, 1}, {5, 2}} {
		inCluster(t, size.coordinators, size.tolerated, func(c *cluster) {
			names := coreNames(size.coordinators)
			assert.Equal(t, c.at("core-1").beat("ready", 1), http.StatusOK)
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
				assert.DeepEqual(t, c.states(name), []tierpb.InstanceState{gone})
			}
			fresh := c.startEdge("edge", names...)
			defer fresh.stop()
			c.pass(time.Second)
			assert.Equal(t, fresh.state.Instance("i-1").GetState(), gone)
		})
	}
}

// The same where as many disks are lost with it as are tolerated.
func TestLeaveThatWasAcknowledgedOutlivesAKillOfAllAndALostDisk(t *testing.T) {
	for lost := range 3 {
		inCluster(t, 3, 1, func(c *cluster) {
			names := coreNames(3)
			assert.Equal(t, c.at("core-2").beat("ready", 1), http.StatusOK)
			assert.Equal(t, c.at("core-2").beat("draining", 2), http.StatusOK)
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
			assert.DeepEqual(t, c.states(names...), []tierpb.InstanceState{gone, gone, gone})
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

// A leave that the disk did not take is no vote for its acknowledgement; the others' disks may do.
func TestLeaveIsAcknowledgedByDisksThatTookIt(t *testing.T) {
	inCluster(t, 3, 1, func(c *cluster) {
		assert.Equal(t, c.at("core-1").beat("ready", 1), http.StatusOK)
		c.pass(time.Second)
		c.machines["core-1"].hardware.Disk.SetFault(simulation.DiskFault{Full: true})
		assert.Equal(t, c.at("core-1").beat("draining", 2), http.StatusOK, "two others have it")
		c.machines["core-2"].hardware.Disk.SetFault(simulation.DiskFault{SyncFails: true})
		status, _ := c.at("core-1").send(http.MethodDelete, "/v1/instances/i-1", "", "")
		assert.Equal(t, status, http.StatusServiceUnavailable)
		c.machines["core-2"].hardware.Disk.SetFault(simulation.DiskFault{})
		c.pass(time.Second)
		status, _ = c.at("core-1").send(http.MethodDelete, "/v1/instances/i-1", "", "")
		assert.Equal(t, status, http.StatusOK)
	})
}

// Of stores that leave together each is on disk when it is acknowledged, and one that the list has forgotten is dropped.
func TestDeparturesAreReadBack(t *testing.T) {
	disk := simulation.NewNetwork(rand.New(rand.NewPCG(1, 1)), simulation.LinkConditions{}).
		NewMachine("10.0.0.1:1", rand.New(rand.NewPCG(1, 2))).Start().Mount()
	kept, err := openDepartures(disk, departuresFolder)
	assert.NilError(t, err)
	var group sync.WaitGroup
	for number := range 50 {
		group.Go(func() {
			assert.Check(t, kept.hold(&tierpb.Instance{Id: fmt.Sprint(number), State: tierpb.InstanceState_INSTANCE_DRAINING}) == nil)
			assert.Check(t, kept.hold(&tierpb.Instance{Id: fmt.Sprint(number), State: gone}) == nil)
			assert.Check(t, kept.hold(&tierpb.Instance{Id: fmt.Sprint(number), State: tierpb.InstanceState_INSTANCE_DRAINING}) == nil)
		})
	}
	group.Wait()
	read, err := openDepartures(disk, departuresFolder)
	assert.NilError(t, err)
	assert.Equal(t, len(read.all()), 50)
	for _, instance := range read.all() {
		assert.Equal(t, instance.State, gone)
	}
	read.forget(func(id string) bool { return id == "7" })
	assert.NilError(t, read.hold(&tierpb.Instance{Id: "more", State: gone}))
	read, err = openDepartures(disk, departuresFolder)
	assert.NilError(t, err)
	assert.Equal(t, len(read.all()), 2)
}
