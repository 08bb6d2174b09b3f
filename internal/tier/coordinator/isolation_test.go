package coordinator

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/coordinator/membership"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// getRetirement asks for the state of the retirement of store-2.
func (p *process) getRetirement() (int, string) {
	return p.send(http.MethodGet, "/v1/retire/store-2", "", "")
}

// A coordinator that is isolated knows a change of before: for a machine of that name that came again it says nothing.
func TestIsolatedCoordinatorDoesNotRepeatAnOlderRetirement(t *testing.T) {
	inCluster(t, 3, 1, func(c *cluster) {
		stores := []*tierpb.Node{storeNode(1), storeNode(2), storeNode(3), storeNode(4)}
		c.storesRun(3*time.Second, "core-1", stores...)
		status, _ := c.at("core-1").send(http.MethodPost, "/v1/retire/store-2", "", `{"deadlineS":10}`)
		assert.Equal(t, status, http.StatusOK)
		c.storesRun(time.Second, "core-1", stores...)
		_, answer := c.at("core-1").getRetirement()
		assert.Equal(t, answer, `{"state":"completed"}`)
		c.isolate("core-1", true)
		status, answer = c.at("core-1").getRetirement()
		assert.Equal(t, status, http.StatusServiceUnavailable, answer)

		again := storeNode(2)
		again.Identity = 2002
		stores = []*tierpb.Node{storeNode(1), again, storeNode(3), storeNode(4)}
		c.storesRun(6*time.Second, "core-3", stores...)
		status, answer = c.at("core-3").getRetirement()
		assert.Equal(t, status, http.StatusNotFound, "nobody asked to empty the machine that came: %s", answer)
		status, answer = c.at("core-2").send(http.MethodPost, "/v1/retire/store-2", "", `{"deadlineS":10}`)
		assert.Equal(t, status, http.StatusOK, answer)
		assert.Equal(t, answer, `{"state":"running"}`)
		status, answer = c.at("core-1").getRetirement()
		assert.Equal(t, status, http.StatusServiceUnavailable, answer)
		c.isolate("core-1", false)
		c.pass(2 * time.Second)
		_, answer = c.at("core-1").getRetirement()
		assert.Equal(t, answer, `{"state":"running"}`, "its records have not moved")
		c.storesRun(3*time.Second, "core-3", stores...)
		_, answer = c.at("core-1").getRetirement()
		assert.Equal(t, answer, `{"state":"completed"}`)
	})
}

// A coordinator that is isolated does not say running for ever of what was completed long ago.
func TestIsolatedCoordinatorDoesNotKeepARetirementRunning(t *testing.T) {
	inCluster(t, 3, 1, func(c *cluster) {
		stores := []*tierpb.Node{storeNode(1), storeNode(2), storeNode(3), storeNode(4)}
		c.storesRun(3*time.Second, "core-1", stores...)
		status, _ := c.at("core-1").send(http.MethodPost, "/v1/retire/store-2", "", `{"deadlineS":10}`)
		assert.Equal(t, status, http.StatusOK)
		c.isolate("core-1", true)
		c.storesRun(4*time.Second, "core-3", stores...)
		_, answer := c.at("core-2").getRetirement()
		assert.Equal(t, answer, `{"state":"completed"}`)
		status, answer = c.at("core-1").getRetirement()
		assert.Equal(t, status, http.StatusServiceUnavailable, answer)
	})
}

// A drain that a majority had is acknowledged again only while there is contact: those that had it may have started anew.
func TestDrainIsNotAcknowledgedAgainWithoutContact(t *testing.T) {
	inCluster(t, 3, 1, func(c *cluster) {
		assert.Equal(t, c.at("core-1").putHeartbeat("ready", 1), http.StatusOK)
		assert.Equal(t, c.at("core-1").putHeartbeat("draining", 2), http.StatusOK)
		c.isolate("core-1", true)
		for _, name := range []string{"core-2", "core-3"} {
			c.kill(name)
			c.start(name, false)
		}
		c.pass(2 * time.Second)
		assert.DeepEqual(t, c.states("core-2"), []tierpb.InstanceState{stateDraining}) // from its disk, not from core-1
		assert.Equal(t, c.at("core-1").putHeartbeat("draining", 3), http.StatusServiceUnavailable)
		assert.Equal(t, c.at("core-2").putHeartbeat("draining", 3), http.StatusOK, "the store goes on to the next")
		c.isolate("core-1", false)
		c.pass(2 * time.Second)
		assert.Equal(t, c.at("core-1").putHeartbeat("draining", 4), http.StatusOK)
	})
}

// A turn store that is no member yet is known by its calls alone; a coordinator that has just started has had none.
func TestCoordinatorThatHasJustStartedRejectsNoRetirement(t *testing.T) {
	inCluster(t, 3, 1, func(c *cluster) {
		post := func(name string) int {
			status, _ := c.at(name).send(http.MethodPost, "/v1/retire/store-1", "", `{"deadlineS":10}`)
			return status
		}
		c.storesRun(time.Second, "core-2", storeNode(1))
		assert.Equal(t, post("core-1"), http.StatusConflict, "records will need it")
		c.kill("core-1")
		c.start("core-1", false)
		c.pass(100 * time.Millisecond)
		assert.Equal(t, post("core-1"), http.StatusServiceUnavailable)
		c.storesRun(membership.StartupGrace, "core-2", storeNode(1))
		assert.Equal(t, post("core-1"), http.StatusConflict)
	})
}

// An instance that has been deregistered for longer than it is remembered does not come back from coordinators that were isolated meanwhile.
func TestLongPartitionBringsNoInstanceBack(t *testing.T) {
	for _, size := range []struct{ coordinators, isolated int }{{3, 1}, {5, 2}} {
		inCluster(t, size.coordinators, size.isolated, func(c *cluster) {
			c.pass(2 * time.Second)
			isolated, others := five[:size.isolated], five[size.isolated:size.coordinators]
			assert.Equal(t, c.at("core-1").putConfiguration(0, configurationOf(1, "a")), http.StatusOK)
			assert.Equal(t, c.at("core-1").putHeartbeat("ready", 1), http.StatusOK)
			c.pass(100 * time.Millisecond)
			setBlocked := func(blocked bool) {
				for _, from := range isolated {
					for _, to := range others {
						c.setBlocked(from, to, blocked)
						c.setBlocked(to, from, blocked)
					}
				}
			}
			setBlocked(true)
			there := c.at(others[0])
			assert.Equal(t, there.putHeartbeat("draining", 2), http.StatusOK)
			status, _ := there.send(http.MethodDelete, "/v1/instances/i-1", "", "")
			assert.Equal(t, status, http.StatusOK)
			c.pass(2 * time.Minute)
			other := `{"backend":"s","address":"10.9.0.2:80","zone":"z","slots":4,"state":"ready","sequence":1}`
			status, _ = there.send(http.MethodPut, "/v1/instances/i-2", "", other) // old marks are dropped with it
			assert.Equal(t, status, http.StatusOK)
			setBlocked(false)
			for range 400 {
				c.pass(50 * time.Millisecond)
				for _, name := range others {
					assert.Assert(t, c.at(name).state.Instance("i-1") == nil, name)
				}
			}
			for _, name := range isolated {
				assert.Equal(t, c.at(name).state.Instance("i-1").State, stateSuspect, name)
			}
		})
	}
}
