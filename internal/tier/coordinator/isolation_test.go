package coordinator

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/coordinator/membership"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// getRetirement requests the state of the retirement of store-2.
func (p *process) getRetirement() (int, string) {
	return p.send(http.MethodGet, "/v1/retire/store-2", "", "")
}

// An isolated coordinator knows only a completed retirement of an earlier machine with the same name. It must not report the new
// machine as retired.
func TestIsolatedCoordinatorDoesNotReportOlderRetirement(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		stores := []*tierpb.Node{turnStoreNode(1), turnStoreNode(2), turnStoreNode(3), turnStoreNode(4)}
		c.runTurnStores(3*time.Second, "core-1", stores...)
		status, _ := c.process("core-1").send(http.MethodPost, "/v1/retire/store-2", "", `{"deadlineS":10}`)
		assert.Equal(t, status, http.StatusOK)
		c.runTurnStores(time.Second, "core-1", stores...)
		_, answer := c.process("core-1").getRetirement()
		assert.Equal(t, answer, `{"state":"completed"}`)
		c.isolate("core-1", true)
		status, answer = c.process("core-1").getRetirement()
		assert.Equal(t, status, http.StatusServiceUnavailable, answer)

		rejoined := turnStoreNode(2)
		rejoined.Identity = 2002
		stores = []*tierpb.Node{turnStoreNode(1), rejoined, turnStoreNode(3), turnStoreNode(4)}
		c.runTurnStores(6*time.Second, "core-3", stores...)
		status, answer = c.process("core-3").getRetirement()
		assert.Equal(t, status, http.StatusNotFound, "the new machine is not being retired: %s", answer)
		status, answer = c.process("core-2").send(http.MethodPost, "/v1/retire/store-2", "", `{"deadlineS":10}`)
		assert.Equal(t, status, http.StatusOK, answer)
		assert.Equal(t, answer, `{"state":"running"}`)
		status, answer = c.process("core-1").getRetirement()
		assert.Equal(t, status, http.StatusServiceUnavailable, answer)
		c.isolate("core-1", false)
		c.advance(2 * time.Second)
		_, answer = c.process("core-1").getRetirement()
		assert.Equal(t, answer, `{"state":"running"}`, "the records have not moved yet")
		c.runTurnStores(3*time.Second, "core-3", stores...)
		_, answer = c.process("core-1").getRetirement()
		assert.Equal(t, answer, `{"state":"completed"}`)
	})
}

// An isolated coordinator does not keep reporting a retirement as running that was completed in the meantime.
func TestIsolatedCoordinatorDoesNotReportRetirementAsRunning(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		stores := []*tierpb.Node{turnStoreNode(1), turnStoreNode(2), turnStoreNode(3), turnStoreNode(4)}
		c.runTurnStores(3*time.Second, "core-1", stores...)
		status, _ := c.process("core-1").send(http.MethodPost, "/v1/retire/store-2", "", `{"deadlineS":10}`)
		assert.Equal(t, status, http.StatusOK)
		c.isolate("core-1", true)
		c.runTurnStores(4*time.Second, "core-3", stores...)
		_, answer := c.process("core-2").getRetirement()
		assert.Equal(t, answer, `{"state":"completed"}`)
		status, answer = c.process("core-1").getRetirement()
		assert.Equal(t, status, http.StatusServiceUnavailable, answer)
	})
}

// A drain that was confirmed by a quorum is acknowledged again without calls only while there is quorum contact, because the
// coordinators that confirmed it may have restarted.
func TestDrainIsNotAcknowledgedAgainWithoutQuorumContact(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		assert.Equal(t, c.process("core-1").putHeartbeat("ready", 1), http.StatusOK)
		assert.Equal(t, c.process("core-1").putHeartbeat("draining", 2), http.StatusOK)
		c.isolate("core-1", true)
		for _, name := range []string{"core-2", "core-3"} {
			c.kill(name)
			c.start(name, false)
		}
		c.advance(2 * time.Second)
		assert.DeepEqual(t, c.instanceStates("core-2"), []tierpb.InstanceState{stateDraining}) // from its disk, not from core-1
		assert.Equal(t, c.process("core-1").putHeartbeat("draining", 3), http.StatusServiceUnavailable)
		assert.Equal(t, c.process("core-2").putHeartbeat("draining", 3), http.StatusOK, "the instance switches to another coordinator")
		c.isolate("core-1", false)
		c.advance(2 * time.Second)
		assert.Equal(t, c.process("core-1").putHeartbeat("draining", 4), http.StatusOK)
	})
}

// A turn store that is no member yet is known only by its join requests. A coordinator that has just started may not have received
// them yet, so it does not reject a retirement.
func TestRestartedCoordinatorRejectsNoRetirement(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		post := func(name string) int {
			status, _ := c.process(name).send(http.MethodPost, "/v1/retire/store-1", "", `{"deadlineS":10}`)
			return status
		}
		c.runTurnStores(time.Second, "core-2", turnStoreNode(1))
		assert.Equal(t, post("core-1"), http.StatusConflict, "the turn store is needed as a member")
		c.kill("core-1")
		c.start("core-1", false)
		c.advance(100 * time.Millisecond)
		assert.Equal(t, post("core-1"), http.StatusServiceUnavailable)
		c.runTurnStores(membership.StartupGrace, "core-2", turnStoreNode(1))
		assert.Equal(t, post("core-1"), http.StatusConflict)
	})
}

// An instance is deregistered, and its tombstone expires, while some coordinators are isolated. These still know the instance, but
// must not bring it back at the others after the partition.
func TestDeregisteredInstanceDoesNotReturnAfterLongPartition(t *testing.T) {
	for _, size := range []struct{ coordinators, isolated int }{{3, 1}, {5, 2}} {
		withCluster(t, size.coordinators, size.isolated, func(c *cluster) {
			c.advance(2 * time.Second)
			isolated, others := fiveCoordinators[:size.isolated], fiveCoordinators[size.isolated:size.coordinators]
			assert.Equal(t, c.process("core-1").putConfiguration(0, configurationOf(1, "a")), http.StatusOK)
			assert.Equal(t, c.process("core-1").putHeartbeat("ready", 1), http.StatusOK)
			c.advance(100 * time.Millisecond)
			setBlocked := func(blocked bool) {
				for _, from := range isolated {
					for _, to := range others {
						c.setBlocked(from, to, blocked)
						c.setBlocked(to, from, blocked)
					}
				}
			}
			setBlocked(true)
			majority := c.process(others[0])
			assert.Equal(t, majority.putHeartbeat("draining", 2), http.StatusOK)
			status, _ := majority.send(http.MethodDelete, "/v1/instances/i-1", "", "")
			assert.Equal(t, status, http.StatusOK)
			c.advance(2 * time.Minute)
			other := `{"backend":"s","address":"10.9.0.2:80","zone":"z","slots":4,"state":"ready","sequence":1}`
			status, _ = majority.send(http.MethodPut, "/v1/instances/i-2", "", other) // an update removes expired tombstones
			assert.Equal(t, status, http.StatusOK)
			setBlocked(false)
			for range 400 {
				c.advance(50 * time.Millisecond)
				for _, name := range others {
					assert.Assert(t, c.process(name).state.Instance("i-1") == nil, name)
				}
			}
			for _, name := range isolated {
				assert.Equal(t, c.process(name).state.Instance("i-1").State, stateSuspect, name)
			}
		})
	}
}
