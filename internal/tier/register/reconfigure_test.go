package register

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

func TestWipedVoterRejoinsUnderANewIdentity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newReliableCluster(t, 3, 3)
		c.members[0].mustPut(0, 1)
		old := c.members[2].currentAcceptor().Identity()
		c.members[2].machine.Wipe()
		assert.Assert(t, c.members[2].start(false))
		acceptor := c.members[2].currentAcceptor()
		assert.Assert(t, acceptor.Identity() != old && acceptor.HasNewIdentity() && acceptor.AcceptedValue() == nil)
		number := &tierpb.ProposalNumber{Counter: 99, Proposer: 1}
		assert.Assert(t, acceptor.Prepare(&tierpb.PrepareRequest{Identity: old, Proposal: number}).WrongIdentity)
		assert.Assert(t, acceptor.Accept(&tierpb.AcceptRequest{Identity: old, Proposal: number, Value: InitialState(c.seeds)}).WrongIdentity)
		_, err := c.members[2].read(time.Second)
		assert.ErrorIs(t, err, ErrUnavailable, "it does not know any voters yet")
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		state, err := ChangeVoters(ctx, c.members[0].currentProposer(), func(current *tierpb.ControlState) []*tierpb.Node {
			return []*tierpb.Node{current.Voters[0].Nodes[0], current.Voters[0].Nodes[1], c.members[2].node()}
		})
		assert.NilError(t, err)
		assert.Assert(t, IsVoter(state, acceptor.Identity()) && !IsVoter(state, old))
		c.members[1].machine.PowerLoss()
		assert.Equal(t, c.members[2].mustRead().Configuration.Generation, uint64(1))
	})
}

// TestAllVotersReplacedOneByOne replaces every seed by another voter and wipes its disk. The register must stay available
// with none of the first voters left.
func TestAllVotersReplacedOneByOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newReliableCluster(t, 3, 6)
		c.members[0].mustPut(0, 1)
		for i := range 3 {
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			_, err := ChangeVoters(ctx, c.members[5].currentProposer(), func(current *tierpb.ControlState) []*tierpb.Node {
				nodes := current.Voters[0].Nodes
				nodes[i] = c.members[3+i].node()
				return nodes
			})
			cancel()
			assert.NilError(t, err)
			c.members[i].machine.Wipe()
		}
		c.members[4].mustPut(1, 2)
		assert.Equal(t, c.members[3].mustRead().Epoch, uint64(7))
	})
}

func TestUnsafeChangesOfVotersAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newReliableCluster(t, 3, 6)
		majorityReplaced := &tierpb.VoterSet{Nodes: []*tierpb.Node{c.members[3].node(), c.members[4].node(), c.members[0].node()}}
		steps := map[string]func(*tierpb.ControlState){
			"without joint configuration":                func(state *tierpb.ControlState) { state.Voters = []*tierpb.VoterSet{majorityReplaced} },
			"joint configuration with majority replaced": func(state *tierpb.ControlState) { state.Voters = append(state.Voters, majorityReplaced) },
			"three voter sets": func(state *tierpb.ControlState) {
				state.Voters = append(state.Voters, majorityReplaced, majorityReplaced)
			},
			"no voters": func(state *tierpb.ControlState) { state.Voters = nil },
		}
		for name, step := range steps {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			_, err := c.members[0].currentProposer().Change(ctx, func(state *tierpb.ControlState) (*tierpb.ControlState, error) {
				step(state)
				return state, nil
			})
			cancel()
			assert.ErrorIs(t, err, ErrUnsafeVoterChange, name)
		}
		assert.Equal(t, c.members[1].mustRead().Epoch, uint64(1))
	})
}

// TestOldVotersAreDroppedOnlyOnceTheJointValueIsChosen: the joint value, with the old and the new voters, is accepted by only
// one acceptor and so is not chosen. If LeaveJoint dropped the old voters on the basis of that value, a majority of the new
// voters (first and newVoter) and a majority of the old ones (second and third) could choose different changes.
func TestOldVotersAreDroppedOnlyOnceTheJointValueIsChosen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newReliableCluster(t, 3, 6)
		first, second, third, newVoter := c.members[0], c.members[1], c.members[2], c.members[3]
		// acceptsReachOnlyFirst lets the accept requests of a proposer reach only first. It uses the failpoint hook, without
		// stopping the proposer, to cut the links to second and newVoter while accepts are sent, and the link to third for
		// good.
		acceptsReachOnlyFirst := func(proposer *member) {
			proposer.stopWhen(func(point failpoint.Point) bool {
				for _, m := range []*member{second, newVoter} {
					c.network.Partition(proposer.machine.Address(), m.machine.Address(), point == failpoint.AcceptSending)
				}
				c.network.Partition(proposer.machine.Address(), third.machine.Address(), true)
				return false
			})
		}
		acceptsReachOnlyFirst(c.members[4])
		assert.Assert(t, c.changeVoters(c.members[4]) != nil)
		assert.Equal(t, len(first.currentAcceptor().AcceptedValue().Voters), 2)
		c.members[4].machine.Kill()
		acceptsReachOnlyFirst(c.members[5])
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, err := LeaveJoint(ctx, c.members[5].currentProposer())
		assert.Assert(t, err != nil)
		c.members[5].machine.Kill()
		<-time.After(2 * time.Second)
		partition(c, []*member{first, newVoter}, []*member{second, third})
		newVoter.learn(first.currentAcceptor().AcceptedValue())
		_, newVoterErr := newVoter.put(3*time.Second, 0, 1)
		_, secondErr := second.put(3*time.Second, 0, 2)
		assert.Assert(t, newVoterErr != nil || secondErr != nil, "both sides of the partition chose a change")
	})
}

func TestFewSeedsGrowToFiveVotersInOneChange(t *testing.T) {
	for seeds := 1; seeds <= 3; seeds++ {
		synctest.Test(t, func(t *testing.T) {
			c := newReliableCluster(t, seeds, 5)
			c.members[4].mustPut(0, 1)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			state, err := ChangeVoters(ctx, c.members[seeds-1].currentProposer(), func(current *tierpb.ControlState) []*tierpb.Node {
				nodes := current.Voters[0].Nodes
				for _, m := range c.members[seeds:] {
					nodes = append(nodes, m.node())
				}
				return nodes
			})
			assert.NilError(t, err)
			assert.Equal(t, len(VoterNodes(state)), 5)
			<-time.After(2 * time.Second)
			c.members[0].machine.Wipe()
			c.members[1].machine.PowerLoss()
			c.members[3].mustPut(1, 2)
		})
	}
}
