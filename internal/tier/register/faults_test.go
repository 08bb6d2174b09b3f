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

func TestFrozenProposerResumesWithAnOutdatedProposal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newReliableCluster(t, 3, 4)
		frozen := c.members[3]
		frozen.stopWhen(func(point failpoint.Point) bool {
			if point == failpoint.PrepareDone {
				frozen.machine.Freeze()
			}
			return false
		})
		results := make(chan error, 1)
		go func() {
			_, err := frozen.put(time.Minute, 0, 1)
			results <- err
		}()
		<-time.After(100 * time.Millisecond)
		frozen.stopWhen(nil)
		c.members[0].mustPut(0, 2)
		frozen.machine.Thaw()
		assert.ErrorIs(t, <-results, errConflict)
		assert.Equal(t, c.members[1].mustRead().Configuration.Generation, uint64(2))
	})
}

func TestChangeWithLostReplyIsAcknowledgedOnRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newReliableCluster(t, 3, 4)
		proposer := c.members[3]
		proposer.stopWhen(func(point failpoint.Point) bool {
			if point == failpoint.AcceptSending { // accepts arrive, their replies do not
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
		assert.NilError(t, err, "the change was committed, before a later one")
	})
}

func TestOneWayPartitionOfOneVoter(t *testing.T) {
	for _, receives := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			c := newReliableCluster(t, 3, 3)
			isolated := c.members[2].machine.Address()
			for _, m := range c.members[:2] {
				c.network.Partition(m.machine.Address(), isolated, !receives)
				c.network.Partition(isolated, m.machine.Address(), receives)
			}
			c.members[0].mustPut(0, 1)
			_, err := c.members[2].put(2*time.Second, 0, 9)
			assert.Assert(t, err != nil && !errors.Is(err, errConflict), "without a quorum there can be no definite result: %v", err)
			c.network.Heal()
			<-time.After(5 * time.Second)
			generation := c.members[2].mustRead().Configuration.Generation
			assert.Equal(t, generation, uint64(1))
			c.members[2].mustPut(1, 2)
		})
	}
}

func TestSlowOrDeadVoterDoesNotDelayAChange(t *testing.T) {
	faults := map[string]func(*member){
		"frozen":    func(m *member) { m.machine.Freeze() },
		"no power":  func(m *member) { m.machine.PowerLoss() },
		"slow disk": func(m *member) { m.machine.Disk.SetFault(simulation.DiskFault{SyncDelay: 3 * time.Second}) },
	}
	for name, setFault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newReliableCluster(t, 3, 3)
				setFault(c.members[2])
				began := time.Now() // simulated time, in which only simulated delays count
				c.members[0].mustPut(0, 1)
				elapsed := time.Since(began)
				assert.Assert(t, elapsed < 4*2*reliableLinks.MaxDelay, "both phases took %s", elapsed)
			})
		})
	}
}

func TestConflictIsBasedOnAChosenValue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newReliableCluster(t, 3, 4)
		writer := c.members[3]
		writer.stopWhen(func(point failpoint.Point) bool {
			if point == failpoint.AcceptSending { // only one acceptor gets the value
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
		survivor := c.members[0]
		assert.Equal(t, survivor.currentAcceptor().AcceptedValue().Configuration.GetGeneration(), uint64(1))
		c.members[2].machine.Kill()
		_, err = survivor.put(5*time.Second, 0, 2)
		assert.ErrorIs(t, err, errConflict)
		survivor.machine.Wipe()
		c.members[2].start(false)
		assert.Equal(t, c.members[1].mustRead().Configuration.GetGeneration(), uint64(1), "the conflict was based on a value that was lost later")
	})
}

func TestConcurrentProposersAllComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newReliableCluster(t, 3, 5)
		results := make(chan error, len(c.members))
		for i, m := range c.members {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				defer cancel()
				_, err := m.currentProposer().Change(ctx, func(state *tierpb.ControlState) (*tierpb.ControlState, error) {
					for _, committed := range state.CommittedChanges {
						if committed.Generation == uint64(i) {
							return state, nil
						}
					}
					state.CommittedChanges = append(state.CommittedChanges, &tierpb.CommittedChange{Generation: uint64(i)})
					return state, nil
				})
				results <- err
			}()
		}
		for range c.members {
			assert.NilError(t, <-results)
		}
		state := c.members[0].mustRead()
		assert.Equal(t, len(state.CommittedChanges), len(c.members))
		assert.Equal(t, state.Version, uint64(len(c.members)))
	})
}

func TestFullOrFailingDiskOfOneVoterIsTolerated(t *testing.T) {
	for _, fault := range []simulation.DiskFault{{Full: true}, {SyncFails: true}} {
		synctest.Test(t, func(t *testing.T) {
			c := newReliableCluster(t, 3, 3)
			faulty := c.members[2]
			faulty.machine.Disk.SetFault(fault)
			c.members[0].mustPut(0, 1)
			faulty.mustPut(1, 2) // as proposer, with the other two as voters
			number := &tierpb.ProposalNumber{Counter: 1000, Proposer: 1}
			request := &tierpb.PrepareRequest{Identity: faulty.currentAcceptor().Identity(), Proposal: number}
			assert.Assert(t, !faulty.currentAcceptor().Prepare(request).Prepared, "a prepare was granted that is not on disk")
			faulty.machine.Disk.SetFault(simulation.DiskFault{})
			assert.Assert(t, faulty.currentAcceptor().Prepare(request).Prepared)
			c.members[1].machine.PowerLoss()
			faulty.mustPut(2, 3)
		})
	}
}

func TestAllProcessesKilledAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newReliableCluster(t, 3, 3)
		c.members[0].mustPut(0, 1)
		for round := range 5 {
			for _, m := range c.members {
				if round%2 == 0 {
					m.machine.Kill()
				} else {
					m.machine.PowerLoss()
				}
			}
			c.restartAll()
			c.members[round%3].mustPut(uint64(round+1), uint64(round+2))
		}
	})
}

// TestChangeSucceedsOnSlowDisksOfAllVoters: on slow disks each phase takes longer than the timeout of a call. Retries must keep
// the proposal number, because each new number would mean more disk writes.
func TestChangeSucceedsOnSlowDisksOfAllVoters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newReliableCluster(t, 3, 3)
		for _, m := range c.members {
			m.machine.Disk.SetFault(simulation.DiskFault{SyncDelay: 450 * time.Millisecond})
		}
		_, err := c.members[0].put(4*time.Second, 0, 1)
		assert.NilError(t, err)
	})
}

func TestLostMessageIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newReliableCluster(t, 3, 4)
		conditions := reliableLinks
		conditions.LossRate = 0.4
		c.network.SetConditions(conditions)
		for generation := range uint64(20) {
			c.members[3].mustPut(generation, generation+1)
		}
	})
}

func TestSingleVoterKeepsItsValue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newReliableCluster(t, 1, 1)
		c.members[0].mustPut(0, 1)
		c.members[0].machine.PowerLoss()
		c.restartAll()
		assert.Equal(t, c.members[0].mustRead().Configuration.Generation, uint64(1))
		c.members[0].mustPut(1, 2)
	})
}
