package coordinator

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

func turnStoreNode(number int) *tierpb.Node {
	return &tierpb.Node{
		Name: fmt.Sprintf("store-%d", number), Address: fmt.Sprintf("10.5.0.%d:7001", number),
		Role: tierpb.Role_ROLE_TURN_STORE, Identity: uint64(1000 + number),
	}
}

// runTurnStores lets simulated time pass while turn stores send a join request twice a second. They report that their records have
// moved as the newest membership requires.
func (c *cluster) runTurnStores(duration time.Duration, coordinator string, nodes ...*tierpb.Node) {
	for passed := time.Duration(0); passed < duration; passed += 500 * time.Millisecond {
		epoch := c.process(coordinator).state.Control().GetStores().GetEpoch()
		for _, node := range nodes {
			c.joinTurnStore(&tierpb.JoinRequest{Node: node, StoreEpoch: epoch, RebalancedEpoch: epoch})
		}
		c.advance(500 * time.Millisecond)
	}
}

// turnStoreMembers returns the names of the current and previous turn store members that a coordinator knows.
func (c *cluster) turnStoreMembers(coordinator string) (current, previous []string) {
	stores := c.process(coordinator).state.Control().GetStores()
	for _, node := range stores.GetCurrent() {
		current = append(current, node.Name)
	}
	for _, node := range stores.GetPrevious() {
		previous = append(previous, node.Name)
	}
	return current, previous
}

func TestTurnStoresBecomeMembersInOneChange(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		c.runTurnStores(3*time.Second, "core-1", turnStoreNode(1), turnStoreNode(2), turnStoreNode(3), turnStoreNode(4))
		current, previous := c.turnStoreMembers("core-2")
		assert.DeepEqual(t, current, []string{"store-1", "store-2", "store-3", "store-4"})
		assert.Equal(t, len(previous), 0)
		assert.Equal(t, c.process("core-2").state.Control().Stores.Epoch, uint64(1))
	})
}

func TestRetirement(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		stores := []*tierpb.Node{turnStoreNode(1), turnStoreNode(2), turnStoreNode(3), turnStoreNode(4)}
		c.runTurnStores(3*time.Second, "core-1", stores...)
		post := func(coordinator, node string) (int, string) {
			return c.process(coordinator).send(http.MethodPost, "/v1/retire/"+node, "", `{"deadlineS":10}`)
		}
		status, _ := post("core-1", "nobody")
		assert.Equal(t, status, http.StatusNotFound)
		status, _ = c.process("core-1").send(http.MethodGet, "/v1/retire/store-2", "", "")
		assert.Equal(t, status, http.StatusNotFound)
		status, answer := post("core-1", "store-2")
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, answer, `{"state":"running"}`)
		status, _ = post("core-3", "store-2")
		assert.Equal(t, status, http.StatusOK, "a repeated request")
		status, _ = post("core-2", "store-3")
		assert.Equal(t, status, http.StatusConflict, "too few members would remain")
		_, answer = c.process("core-2").send(http.MethodGet, "/v1/retire/store-2", "", "")
		assert.Equal(t, answer, `{"state":"running"}`)
		c.runTurnStores(3*time.Second, "core-1", stores...)
		_, answer = c.process("core-2").send(http.MethodGet, "/v1/retire/store-2", "", "")
		assert.Equal(t, answer, `{"state":"completed"}`)
		status, answer = post("core-3", "store-2")
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, answer, `{"state":"completed"}`)
		current, previous := c.turnStoreMembers("core-3")
		assert.DeepEqual(t, current, []string{"store-1", "store-3", "store-4"})
		assert.Equal(t, len(previous), 0)
	})
}

// A turn store that asks to join before there are enough turn stores will be needed as a member.
func TestRetirementBeforeFirstMembershipIsRejected(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		for _, joined := range [][]*tierpb.Node{{turnStoreNode(1)}, {turnStoreNode(1), turnStoreNode(2)}} {
			c.runTurnStores(500*time.Millisecond, "core-1", joined...)
			current, _ := c.turnStoreMembers("core-1")
			assert.Equal(t, len(current), 0)
			status, answer := c.process("core-1").send(http.MethodPost, "/v1/retire/store-1", "", `{"deadlineS":10}`)
			assert.Equal(t, status, http.StatusConflict, answer)
		}
	})
}

func TestRetirementWithoutQuorumIsNeitherAcceptedNorRejected(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		c.isolate("core-1", true)
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			status, _ := c.process("core-1").send(method, "/v1/retire/store-1", "", "")
			assert.Equal(t, status, http.StatusServiceUnavailable)
		}
	})
}

func TestWipedCoordinatorBecomesVoterAgain(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		assert.Equal(t, c.process("core-1").putConfiguration(0, configurationOf(3, "a")), http.StatusOK)
		c.kill("core-3")
		c.wipe("core-3")
		c.start("core-3", false)
		c.advance(4 * time.Second)
		c.kill("core-1")
		assert.Equal(t, c.process("core-2").putConfiguration(3, configurationOf(4, "a")), http.StatusOK)
		c.advance(50 * time.Millisecond)
		assert.DeepEqual(t, c.generations("core-3"), []uint64{4})
	})
}

func TestLostCoordinatorIsReplacedAtAnotherAddress(t *testing.T) {
	for _, lost := range []string{"core-1", "core-2", "core-3"} {
		withCluster(t, 3, 1, func(c *cluster) {
			assert.Equal(t, c.process("core-1").putConfiguration(0, configurationOf(3, "a")), http.StatusOK)
			c.advance(100 * time.Millisecond)
			c.kill(lost)
			c.advance(time.Second)
			c.start("core-4", false)
			c.advance(4 * time.Second)
			names := c.voterNames("core-4")
			assert.Equal(t, len(names), 3)
			for _, name := range names {
				assert.Assert(t, name != lost, "the voters %v still include %s", names, lost)
			}
			assert.DeepEqual(t, c.generations("core-4"), []uint64{3})
		})
	}
}

func TestVotersGrowBeyondSeedsForHigherFaultTolerance(t *testing.T) {
	withCluster(t, 5, 2, func(c *cluster) {
		c.advance(2 * time.Second)
		assert.DeepEqual(t, c.voterNames("core-5"), []string{"core-1", "core-2", "core-3", "core-4", "core-5"})
		c.kill("core-1")
		c.kill("core-2")
		assert.Equal(t, c.process("core-5").putConfiguration(0, configurationOf(3, "a")), http.StatusOK)
	})
}

func TestStandbyReplacesUnreachableVoter(t *testing.T) {
	withCluster(t, 4, 1, func(c *cluster) {
		assert.Equal(t, c.process("core-4").putConfiguration(0, configurationOf(2, "a")), http.StatusOK)
		assert.DeepEqual(t, c.voterNames("core-4"), []string{"core-1", "core-2", "core-3"})
		c.isolate("core-2", true)
		c.advance(4 * time.Second)
		assert.DeepEqual(t, c.voterNames("core-4"), []string{"core-1", "core-3", "core-4"})
		assert.Equal(t, c.process("core-2").putConfiguration(2, configurationOf(3, "a")), http.StatusServiceUnavailable)
		c.isolate("core-2", false)
		c.advance(3 * time.Second)
		assert.DeepEqual(t, c.voterNames("core-2"), []string{"core-1", "core-3", "core-4"})
	})
}

func TestNewCoordinatorIsPolledByAllOthers(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		c.start("core-4", false)
		c.advance(2 * time.Second)
		for _, name := range []string{"core-1", "core-2", "core-3"} {
			assert.Assert(t, c.process(name).membership.IsReachable(c.machines["core-4"].address), name)
		}
	})
}

func TestVoteIsTransferredAtShutdown(t *testing.T) {
	withCluster(t, 4, 1, func(c *cluster) {
		assert.Equal(t, c.process("core-4").putConfiguration(0, configurationOf(2, "a")), http.StatusOK)
		c.advance(50 * time.Millisecond)
		c.process("core-2").transfer.Run(context.Background())
		c.kill("core-2")
		c.advance(time.Second)
		assert.DeepEqual(t, c.voterNames("core-1"), []string{"core-1", "core-3", "core-4"})
	})
}

func TestVoteIsKeptAtShutdownWithoutStandby(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		assert.Equal(t, c.process("core-1").putConfiguration(0, configurationOf(2, "a")), http.StatusOK)
		c.advance(50 * time.Millisecond)
		c.process("core-2").transfer.Run(context.Background())
		assert.DeepEqual(t, c.voterNames("core-1"), []string{"core-1", "core-2", "core-3"})
	})
}
