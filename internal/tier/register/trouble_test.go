package register

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/simulation"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// inBubble runs a test on a calm cluster.
func inBubble(t *testing.T, seeds, count int, test func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(t, newCluster(t, 1, seeds, count, calm)) })
}

func TestFrozenProposerWakesWithAnOldBallot(t *testing.T) {
	inBubble(t, 3, 4, func(t *testing.T, c *cluster) {
		sleeper := c.members[3]
		sleeper.stopWhen(func(point failpoint.Point) bool {
			if point == failpoint.PrepareDone {
				sleeper.machine.Freeze()
			}
			return false
		})
		ended := make(chan error, 1)
		go func() {
			_, err := sleeper.put(time.Minute, 0, 1)
			ended <- err
		}()
		<-time.After(100 * time.Millisecond)
		sleeper.stopWhen(nil)
		c.members[0].mustPut(0, 2)
		sleeper.machine.Thaw()
		assert.ErrorIs(t, <-ended, errConflict)
		assert.Equal(t, c.members[1].mustRead().Configuration.Generation, uint64(2))
	})
}

func TestOrderWithLostAnswerIsAcknowledgedWhenItIsSentAgain(t *testing.T) {
	inBubble(t, 3, 4, func(t *testing.T, c *cluster) {
		proposer := c.members[3]
		proposer.stopWhen(func(point failpoint.Point) bool {
			if point == failpoint.AcceptSending { // accepts arrive, their answers do not
				for _, m := range c.members[:3] {
					c.network.Partition(m.machine.Address(), proposer.machine.Address(), true)
				}
			}
			return false
		})
		_, err := proposer.put(3*time.Second, 0, 1)
		assert.ErrorIs(t, err, ErrUncertain)
		c.members[0].mustPut(0, 1)
		_, err = c.members[1].put(time.Second, 0, 2)
		assert.ErrorIs(t, err, errConflict)
		c.members[1].mustPut(1, 2)
		_, err = c.members[2].put(5*time.Second, 0, 1)
		assert.NilError(t, err, "taken, also behind a later version")
	})
}

func TestOneWayCutsOfOneVoter(t *testing.T) {
	for _, hears := range []bool{true, false} {
		inBubble(t, 3, 3, func(t *testing.T, c *cluster) {
			lonely := c.members[2].machine.Address()
			for _, m := range c.members[:2] {
				c.network.Partition(m.machine.Address(), lonely, !hears)
				c.network.Partition(lonely, m.machine.Address(), hears)
			}
			c.members[0].mustPut(0, 1)
			_, err := c.members[2].put(2*time.Second, 0, 9)
			assert.Assert(t, err != nil && !errors.Is(err, errConflict), "one that reaches no quorum knows no answer: %v", err)
			c.network.Heal()
			<-time.After(5 * time.Second)
			generation := c.members[2].mustRead().Configuration.Generation
			assert.Equal(t, generation, uint64(1))
			c.members[2].mustPut(1, 2)
		})
	}
}

func TestSlowOrDeadVoterDoesNotSlowAChange(t *testing.T) {
	troubles := map[string]func(*member){
		"frozen":    func(m *member) { m.machine.Freeze() },
		"dark":      func(m *member) { m.machine.PowerLoss() },
		"slow disk": func(m *member) { m.machine.Disk.SetFault(simulation.DiskFault{SyncDelay: 3 * time.Second}) },
	}
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 3, 3, func(t *testing.T, c *cluster) {
				trouble(c.members[2])
				began := time.Now() // of the bubble's clock, which only delays of the simulation move
				c.members[0].mustPut(0, 1)
				elapsed := time.Since(began)
				assert.Assert(t, elapsed < 4*2*calm.MaxDelay, "two rounds took %s", elapsed)
			})
		})
	}
}

func TestConflictRestsOnAChosenValue(t *testing.T) {
	inBubble(t, 3, 4, func(t *testing.T, c *cluster) {
		writer := c.members[3]
		writer.stopWhen(func(point failpoint.Point) bool {
			if point == failpoint.AcceptSending { // one acceptor only gets the value
				for _, m := range c.members[1:3] {
					c.network.Partition(writer.machine.Address(), m.machine.Address(), true)
				}
			}
			return false
		})
		_, err := writer.put(2*time.Second, 0, 1)
		assert.ErrorIs(t, err, ErrUncertain)
		writer.stopWhen(nil)
		<-time.After(2 * time.Second)
		holder := c.members[0]
		assert.Equal(t, holder.current().AcceptedValue().Configuration.GetGeneration(), uint64(1))
		c.members[2].machine.Kill()
		_, err = holder.put(5*time.Second, 0, 2)
		assert.ErrorIs(t, err, errConflict)
		holder.machine.Wipe()
		c.members[2].start(false)
		assert.Equal(t, c.members[1].mustRead().Configuration.GetGeneration(), uint64(1), "the 412 rested on a value that is gone")
	})
}

func TestWipedVoterIsAnotherNodeAndJoinsByAChangeOfVoters(t *testing.T) {
	inBubble(t, 3, 3, func(t *testing.T, c *cluster) {
		c.members[0].mustPut(0, 1)
		old := c.members[2].current().Identity()
		c.members[2].machine.Wipe()
		assert.Assert(t, c.members[2].start(false))
		acceptor := c.members[2].current()
		assert.Assert(t, acceptor.Identity() != old && acceptor.Fresh() && acceptor.AcceptedValue() == nil)
		ballot := &tierpb.ProposalNumber{Counter: 99, Proposer: 1}
		assert.Assert(t, acceptor.Prepare(&tierpb.PrepareRequest{Identity: old, Proposal: ballot}).WrongIdentity)
		assert.Assert(t, acceptor.Accept(&tierpb.AcceptRequest{Identity: old, Proposal: ballot, Value: InitialState(c.seeds)}).WrongIdentity)
		_, err := c.members[2].read(time.Second)
		assert.ErrorIs(t, err, ErrUnavailable, "it knows nothing yet")
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		state, err := ChangeVoters(ctx, c.members[0].changer(), func(current *tierpb.ControlState) []*tierpb.Node {
			return []*tierpb.Node{current.Voters[0].Nodes[0], current.Voters[0].Nodes[1], c.members[2].node()}
		})
		assert.NilError(t, err)
		assert.Assert(t, IsVoter(state, acceptor.Identity()) && !IsVoter(state, old))
		c.members[1].machine.PowerLoss()
		assert.Equal(t, c.members[2].mustRead().Configuration.Generation, uint64(1))
	})
}

// TestAllVotersReplacedOneByOne ends with a set of voters of which no seed is one, and the old ones gone for good.
func TestAllVotersReplacedOneByOne(t *testing.T) {
	inBubble(t, 3, 6, func(t *testing.T, c *cluster) {
		c.members[0].mustPut(0, 1)
		for i := range 3 {
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			_, err := ChangeVoters(ctx, c.members[5].changer(), func(current *tierpb.ControlState) []*tierpb.Node {
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

func TestUnsafeStepsOfVotersAreRefused(t *testing.T) {
	inBubble(t, 3, 6, func(t *testing.T, c *cluster) {
		foreign := &tierpb.VoterSet{Nodes: []*tierpb.Node{c.members[3].node(), c.members[4].node(), c.members[0].node()}}
		steps := map[string]func(*tierpb.ControlState){
			"at once":        func(state *tierpb.ControlState) { state.Voters = []*tierpb.VoterSet{foreign} },
			"without most":   func(state *tierpb.ControlState) { state.Voters = append(state.Voters, foreign) },
			"three sets":     func(state *tierpb.ControlState) { state.Voters = append(state.Voters, foreign, foreign) },
			"without voters": func(state *tierpb.ControlState) { state.Voters = nil },
		}
		for name, step := range steps {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			_, err := c.members[0].changer().Change(ctx, func(state *tierpb.ControlState) (*tierpb.ControlState, error) {
				step(state)
				return state, nil
			})
			cancel()
			assert.ErrorIs(t, err, ErrTransition, name)
		}
		assert.Equal(t, c.members[1].mustRead().Epoch, uint64(1))
	})
}

func TestProposersInParallelAllComeToAnEnd(t *testing.T) {
	inBubble(t, 3, 5, func(t *testing.T, c *cluster) {
		ended := make(chan error, len(c.members))
		for i, m := range c.members {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				defer cancel()
				_, err := m.changer().Change(ctx, func(state *tierpb.ControlState) (*tierpb.ControlState, error) {
					for _, taken := range state.CommittedChanges {
						if taken.Generation == uint64(i) {
							return state, nil
						}
					}
					state.CommittedChanges = append(state.CommittedChanges, &tierpb.CommittedChange{Generation: uint64(i)})
					return state, nil
				})
				ended <- err
			}()
		}
		for range c.members {
			assert.NilError(t, <-ended)
		}
		state := c.members[0].mustRead()
		assert.Equal(t, len(state.CommittedChanges), len(c.members))
		assert.Equal(t, state.Version, uint64(len(c.members)))
	})
}

func TestFullOrFailingDiskOfOneVoterIsBorne(t *testing.T) {
	for _, trouble := range []simulation.DiskFault{{Full: true}, {SyncFails: true}} {
		inBubble(t, 3, 3, func(t *testing.T, c *cluster) {
			sick := c.members[2]
			sick.machine.Disk.SetFault(trouble)
			c.members[0].mustPut(0, 1)
			sick.mustPut(1, 2) // as proposer, with the other two as voters
			ballot := &tierpb.ProposalNumber{Counter: 1000, Proposer: 1}
			request := &tierpb.PrepareRequest{Identity: sick.current().Identity(), Proposal: ballot}
			assert.Assert(t, !sick.current().Prepare(request).Prepared, "a promise that is not on disk")
			sick.machine.Disk.SetFault(simulation.DiskFault{})
			assert.Assert(t, sick.current().Prepare(request).Prepared)
			c.members[1].machine.PowerLoss()
			sick.mustPut(2, 3)
		})
	}
}

func TestAllKilledAtOnceOnACutCore(t *testing.T) {
	inBubble(t, 3, 3, func(t *testing.T, c *cluster) {
		c.members[0].mustPut(0, 1)
		for round := range 5 {
			for _, m := range c.members {
				if round%2 == 0 {
					m.machine.Kill()
				} else {
					m.machine.PowerLoss()
				}
			}
			c.revive()
			c.members[round%3].mustPut(uint64(round+1), uint64(round+2))
		}
	})
}

// TestOldVotersGoOnlyOnceTheJointOnesAreChosen leads a joint value to one acceptor only. Were the old voters dropped on
// the ground of it, two of the new ones and two of the old ones could each take a change of their own.
func TestOldVotersGoOnlyOnceTheJointOnesAreChosen(t *testing.T) {
	inBubble(t, 3, 6, func(t *testing.T, c *cluster) {
		first, second, third, joiner := c.members[0], c.members[1], c.members[2], c.members[3]
		acceptsReachOnlyFirst := func(proposer *member) {
			proposer.stopWhen(func(point failpoint.Point) bool {
				for _, m := range []*member{second, joiner} {
					c.network.Partition(proposer.machine.Address(), m.machine.Address(), point == failpoint.AcceptSending)
				}
				c.network.Partition(proposer.machine.Address(), third.machine.Address(), true)
				return false
			})
		}
		acceptsReachOnlyFirst(c.members[4])
		assert.Assert(t, c.changeVoters(c.members[4]) != nil)
		assert.Equal(t, len(first.current().AcceptedValue().Voters), 2)
		c.members[4].machine.Kill()
		acceptsReachOnlyFirst(c.members[5])
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, err := LeaveJoint(ctx, c.members[5].changer())
		assert.Assert(t, err != nil)
		c.members[5].machine.Kill()
		<-time.After(2 * time.Second)
		separate(c, []*member{first, joiner}, []*member{second, third})
		joiner.learn(first.current().AcceptedValue())
		_, one := joiner.put(3*time.Second, 0, 1)
		_, other := second.put(3*time.Second, 0, 2)
		assert.Assert(t, one != nil || other != nil, "both sides took a change")
	})
}

// separate cuts two groups from each other.
func separate(c *cluster, one, other []*member) {
	for _, m := range one {
		for _, n := range other {
			c.network.Partition(m.machine.Address(), n.machine.Address(), true)
			c.network.Partition(n.machine.Address(), m.machine.Address(), true)
		}
	}
}

// TestSlowDisksOfAllVotersAreWaitedFor: each phase takes longer than a call waits, and a new ballot each time would
// only add to the work of the disks.
func TestSlowDisksOfAllVotersAreWaitedFor(t *testing.T) {
	inBubble(t, 3, 3, func(t *testing.T, c *cluster) {
		for _, m := range c.members {
			m.machine.Disk.SetFault(simulation.DiskFault{SyncDelay: 450 * time.Millisecond})
		}
		_, err := c.members[0].put(4*time.Second, 0, 1)
		assert.NilError(t, err)
	})
}

func TestLostMessageIsSentAgain(t *testing.T) {
	inBubble(t, 3, 4, func(t *testing.T, c *cluster) {
		traits := calm
		traits.LossRate = 0.4
		c.network.SetConditions(traits)
		for generation := range uint64(20) {
			c.members[3].mustPut(generation, generation+1)
		}
	})
}

func TestFewSeedsGrowInOneChange(t *testing.T) {
	for seeds := 1; seeds <= 3; seeds++ {
		inBubble(t, seeds, 5, func(t *testing.T, c *cluster) {
			c.members[4].mustPut(0, 1)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			state, err := ChangeVoters(ctx, c.members[seeds-1].changer(), func(current *tierpb.ControlState) []*tierpb.Node {
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

func TestOneVoterAloneKeepsItsValue(t *testing.T) {
	inBubble(t, 1, 1, func(t *testing.T, c *cluster) {
		c.members[0].mustPut(0, 1)
		c.members[0].machine.PowerLoss()
		c.revive()
		assert.Equal(t, c.members[0].mustRead().Configuration.Generation, uint64(1))
		c.members[0].mustPut(1, 2)
	})
}
