package coordinator

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/coordinator/membership"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

// readinessStatus returns the HTTP status of the readiness endpoint.
func (p *process) readinessStatus() int {
	status, _ := p.send(http.MethodGet, "/v1/readyz", "", "")
	return status
}

// A wiped machine at a voter's address has another identity and no vote. With a second voter down there is no quorum.
func TestWipedMachineAtVoterAddressHasNoVote(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		assert.Equal(t, c.process("core-1").putConfiguration(0, configurationOf(1, "a")), http.StatusOK)
		c.advance(100 * time.Millisecond)
		c.kill("core-3")
		c.kill("core-2")
		c.wipe("core-2")
		c.start("core-2", false)
		c.advance(2 * time.Second)
		core1 := c.process("core-1")
		assert.Equal(t, core1.putConfiguration(1, configurationOf(2, "a")), http.StatusServiceUnavailable, "the register has no quorum")
		assert.Equal(t, core1.readinessStatus(), http.StatusServiceUnavailable)
		assert.Equal(t, core1.putHeartbeat("ready", 1), http.StatusServiceUnavailable)
		assert.Equal(t, core1.putHeartbeat("draining", 2), http.StatusServiceUnavailable)
		c.start("core-3", false)
		c.advance(3 * time.Second)
		assert.Equal(t, core1.readinessStatus(), http.StatusOK)
		assert.Equal(t, core1.putHeartbeat("draining", 3), http.StatusOK)
	})
}

// A coordinator that lost its disk has no vote, so it must not count itself for quorum contact.
func TestWipedCoordinatorDoesNotCountItself(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		assert.Equal(t, c.process("core-1").putConfiguration(0, configurationOf(1, "a")), http.StatusOK)
		c.advance(100 * time.Millisecond)
		c.kill("core-3")
		c.kill("core-1")
		c.wipe("core-1")
		c.start("core-1", false)
		c.advance(3 * time.Second)
		core1 := c.process("core-1")
		assert.DeepEqual(t, c.generations("core-1"), []uint64{1})
		assert.Equal(t, core1.readinessStatus(), http.StatusServiceUnavailable)
		assert.Equal(t, core1.putHeartbeat("draining", 1), http.StatusServiceUnavailable)
		assert.Equal(t, c.process("core-2").readinessStatus(), http.StatusServiceUnavailable)
		c.start("core-3", false)
		c.advance(4 * time.Second)
		for _, name := range []string{"core-1", "core-2", "core-3"} {
			assert.Equal(t, c.process(name).readinessStatus(), http.StatusOK, name)
		}
	})
}

// maxAckDelay is the longest time, by the simulated clock, until a drain is acknowledged if one coordinator has already accepted
// later voters. Its acknowledgement counts once those voters are replicated, which takes a wake-up of followers and a few calls.
const maxAckDelay = 50 * time.Millisecond

// While a voter is wiped and replaced, the other coordinators acknowledge drains, and only a few of them with a delay.
func TestDrainsAreAcknowledgedWhileVotersChange(t *testing.T) {
	withCluster(t, 4, 1, func(c *cluster) {
		assert.Equal(t, c.process("core-1").putConfiguration(0, configurationOf(1, "a")), http.StatusOK)
		c.advance(100 * time.Millisecond)
		c.kill("core-2")
		c.wipe("core-2")
		c.start("core-2", false)
		changed, delayed := false, 0
		for sequence := 1; sequence <= 400; sequence++ {
			started := time.Now()
			assert.Equal(t, c.process("core-1").putHeartbeat("draining", sequence), http.StatusOK, "at %d", sequence)
			assert.Assert(t, time.Since(started) <= maxAckDelay, "simulated time: %v", time.Since(started))
			if time.Since(started) > 5*callDelay {
				delayed++
			}
			c.process("core-1").announcer.Prune(func(string) bool { return false }) // so that each heartbeat is announced
			assert.Equal(t, c.process("core-3").readinessStatus(), http.StatusOK)
			changed = changed || c.process("core-1").state.Control().Epoch > 1
			c.advance(10 * time.Millisecond)
		}
		assert.Assert(t, changed, "the voters did not change")
		assert.Assert(t, delayed <= 2, "%d of 400 were delayed, more than one per step of the change of voters", delayed)
		assert.Equal(t, len(c.process("core-1").state.Control().Voters), 1)
	})
}

// After a freeze a process has only replies from before the freeze. They must not count as quorum contact.
func TestOldRepliesAreNoQuorumContactAfterFreeze(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		core1 := c.process("core-1")
		for sequence := 1; sequence <= 6; sequence++ {
			assert.Equal(t, core1.putHeartbeat("ready", sequence), http.StatusOK)
			c.advance(time.Second)
		}
		agent := &tierpb.Node{Role: tierpb.Role_ROLE_AGENT}
		reply, err := core1.poll(&tierpb.WatchRequest{Watcher: agent})
		assert.NilError(t, err)
		c.machines["core-1"].advanceClock(20 * time.Second)
		assert.Equal(t, core1.readinessStatus(), http.StatusServiceUnavailable)
		assert.Equal(t, core1.putHeartbeat("ready", 7), http.StatusServiceUnavailable)
		_, err = core1.poll(&tierpb.WatchRequest{Watcher: agent, Incarnation: reply.Incarnation, Cursor: reply.Cursor})
		assert.ErrorIs(t, err, watch.ErrNotReady)
		core1.instances.check()
		assert.Equal(t, core1.state.Instance("i-1").State, stateReady, "the instance was marked because of the freeze")
		c.advance(2 * time.Second)
		assert.Equal(t, core1.readinessStatus(), http.StatusOK)
		assert.Equal(t, core1.putHeartbeat("ready", 8), http.StatusOK)
	})
}

// Quorum contact does not lapse between polls even if each of them is answered at the last moment.
func TestQuorumContactLastsWithSlowReplies(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		c.delay.Store(int64(390 * time.Millisecond))
		c.advance(2 * watch.MaxPollDuration)
		for range 400 {
			assert.Equal(t, c.process("core-1").readinessStatus(), http.StatusOK)
			c.advance(50 * time.Millisecond)
		}
	})
}

// core-1 is isolated with core-2, which has accepted later voters. Together they are a majority of the old voters, but the later
// ones may have been chosen, so core-1 must not count core-2.
func TestCoordinatorThatKnowsLaterVotersDoesNotCount(t *testing.T) {
	withCluster(t, 4, 1, func(c *cluster) {
		assert.Equal(t, c.process("core-1").putConfiguration(0, configurationOf(1, "a")), http.StatusOK)
		c.advance(100 * time.Millisecond)
		for _, minority := range []string{"core-1", "core-2"} {
			for _, other := range []string{"core-3", "core-4"} {
				c.setBlocked(minority, other, true)
				c.setBlocked(other, minority, true)
			}
		}
		core2 := c.process("core-2")
		changed := core2.acceptor.AcceptedValue().CloneVT()
		changed.Version, changed.Epoch = changed.Version+2, changed.Epoch+2
		changed.Voters = []*tierpb.VoterSet{{Nodes: []*tierpb.Node{core2.self, c.process("core-3").self, c.process("core-4").self}}}
		accepted := core2.acceptor.Accept(&tierpb.AcceptRequest{
			Identity: core2.self.Identity, Proposal: &tierpb.ProposalNumber{Counter: 1000, Proposer: 3}, Value: changed,
		})
		assert.Assert(t, accepted.Accepted)
		started := time.Now()
		assert.Equal(t, c.process("core-1").putHeartbeat("draining", 1), http.StatusServiceUnavailable)
		c.advance(membership.ContactTimeout - time.Since(started))
		assert.Equal(t, c.process("core-1").readinessStatus(), http.StatusServiceUnavailable)
		assert.Equal(t, c.process("core-1").putHeartbeat("draining", 2), http.StatusServiceUnavailable)
		assert.Equal(t, core2.readinessStatus(), http.StatusServiceUnavailable)
	})
}
