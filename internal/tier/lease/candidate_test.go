package lease

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestOneHolderAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newElection(t, 1, 3)
		assert.Equal(t, len(e.checkHolders(t, 5*time.Second)), 1)
		assert.Equal(t, len(e.checkHolders(t, 20*time.Second)), 1, "the lease must be renewed")
	})
}

// TestPartitionedHolderStopsBeforeAnotherAcquires: a holder that is partitioned from the other voters loses the lease before
// another candidate acquires it, which takes at most 5 s if no message is lost.
func TestPartitionedHolderStopsBeforeAnotherAcquires(t *testing.T) {
	for _, c := range []struct {
		frozen bool
		lost   float64
		limit  time.Duration
	}{{true, 0, 5 * time.Second}, {false, 0, 5 * time.Second}, {true, lossRate, 5 * MaxTTL}, {false, lossRate, 5 * MaxTTL}} {
		synctest.Test(t, func(t *testing.T) {
			e := newLossyElection(t, 2, 3, c.lost)
			first := e.waitForHolder(t, 5*time.Second)[0]
			for i := range 3 {
				e.network.Partition(e.machines[first].Address(), e.machines[i].Address(), i != first)
				e.network.Partition(e.machines[i].Address(), e.machines[first].Address(), i != first)
			}
			if c.frozen {
				e.machines[first].Freeze()
			}
			e.checkHolders(t, MaxTTL)
			second := e.waitForHolder(t, c.limit-MaxTTL)
			assert.Assert(t, len(second) == 1 && second[0] != first)
			e.network.Heal()
			e.machines[first].Thaw()
			assert.Equal(t, e.checkHolders(t, 5*time.Second)[0], second[0])
		})
	}
}

func TestLeaseIsReleasedAtShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newElection(t, 3, 3)
		first := e.checkHolders(t, 5*time.Second)[0]
		e.cancels[first]()
		second := e.checkHolders(t, MaxTTL)
		assert.Assert(t, len(second) == 1 && second[0] != first)
	})
}

// TestRestartedLessorsGrantNothingInGracePeriod: all lessors except the holder's own restart, and no longer know what they
// granted. Another candidate acquires the lease only after the holder's has expired: within three TTLs if no message is
// lost, and within four otherwise.
func TestRestartedLessorsGrantNothingInGracePeriod(t *testing.T) {
	for _, c := range []struct {
		lost  float64
		limit time.Duration
	}{{0, 3 * MaxTTL}, {lossRate, 4 * MaxTTL}} {
		for seed := range uint64(20) {
			synctest.Test(t, func(t *testing.T) {
				e := newLossyElection(t, seed, 3, c.lost)
				first := e.waitForHolder(t, 5*time.Second)[0]
				for i := range 3 {
					e.network.Partition(e.machines[first].Address(), e.machines[i].Address(), i != first)
					if i != first {
						e.stop(i)
						e.start(i, MaxTTL)
					}
				}
				e.checkHolders(t, MaxTTL) // until the first holder's lease has expired
				second := e.waitForHolder(t, c.limit-MaxTTL)
				assert.Assert(t, len(second) == 1 && second[0] != first, "%v after %d, seed %d", second, first, seed)
			})
		}
	}
}

// TestRandomFaultsNeverLeadToTwoHolders injects random partitions, freezes and restarts.
func TestRandomFaultsNeverLeadToTwoHolders(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 9))
			e := newElection(t, seed, 3+2*random.IntN(2))
			for range 40 {
				i, j := random.IntN(len(e.machines)), random.IntN(len(e.machines))
				switch random.IntN(7) {
				case 0:
					e.stop(i)
					e.start(i, MaxTTL)
				case 1:
					e.machines[i].Freeze()
				case 2:
					e.machines[i].Thaw()
				case 3, 4:
					e.network.Partition(e.machines[i].Address(), e.machines[j].Address(), true)
				case 5:
					e.network.Heal()
				}
				e.checkHolders(t, time.Duration(random.IntN(700))*time.Millisecond)
			}
			e.network.Heal()
			for _, machine := range e.machines {
				machine.Thaw()
			}
			assert.Equal(t, len(e.checkHolders(t, 4*MaxTTL)), 1)
		})
	}
}

// TestVotersChangeWhileTheLeaseIsHeld: the holder has the grants of two of three voters. Then one of these two is replaced,
// and another candidate can reach a majority of the new voters that has not granted the lease to the holder.
func TestVotersChangeWhileTheLeaseIsHeld(t *testing.T) {
	cases := 0
	for _, uninformed := range []bool{false, true} {
		for seed := range uint64(40) {
			synctest.Test(t, func(t *testing.T) {
				e := newElection(t, seed, 4)
				e.setVoters([]int{0, 1, 2})
				first := e.checkHolders(t, 6*time.Second)[0]
				if first == 3 {
					return // the holder is not a voter, which is not the case under test
				}
				kept := (first + 1) % 3 // one of the two that granted the lease
				if seed%2 == 1 {
					kept = first
				}
				for _, other := range []int{(first + 2) % 3, 3} {
					e.network.Partition(e.machines[first].Address(), e.machines[other].Address(), true)
				}
				if held := e.checkHolders(t, 3*time.Second); len(held) != 1 || held[0] != first {
					return // the lease was lost because messages were lost
				}
				cases++
				e.setVoters([]int{kept, (first + 2) % 3, 3}, includeIf(uninformed, first)...)
				e.checkHolders(t, 2*MaxTTL)
				e.network.Heal()
				e.setVoters([]int{kept, (first + 2) % 3, 3})
				assert.Equal(t, len(e.checkHolders(t, 4*MaxTTL)), 1)
			})
		}
	}
	assert.Assert(t, cases > 20, "only %d runs covered the case under test", cases)
}

// TestEveryLossLeadsToANewAcquisition: the acquisition number tells a holder that lost the lease and acquired it again from
// one that kept it.
func TestEveryLossLeadsToANewAcquisition(t *testing.T) {
	for _, frozen := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			e := newElection(t, 4, 3)
			first := e.checkHolders(t, 5*time.Second)[0]
			holder := e.candidates[first]
			acquisition := holder.Acquisition()
			e.checkHolders(t, 10*time.Second)
			assert.Equal(t, holder.Acquisition(), acquisition, "the lease was renewed without interruption")
			for i := range 3 {
				if i == first {
					continue
				}
				e.stop(i) // restarts the lessor without its candidate, so that no other candidate acquires the lease
				e.start(i, MaxTTL)
				e.cancels[i]()
			}
			if frozen {
				e.machines[first].Freeze()
			} else {
				e.machines[(first+1)%3].Freeze()
				e.machines[(first+2)%3].Freeze()
			}
			e.checkHolders(t, 2*MaxTTL)
			assert.Assert(t, !holder.OwnsLease())
			for _, machine := range e.machines {
				machine.Thaw()
			}
			assert.DeepEqual(t, e.checkHolders(t, 2*MaxTTL), []int{first})
			assert.Assert(t, holder.Acquisition() > acquisition)
		})
	}
}

func TestResignedLeaseIsAcquiredAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newLossyElection(t, 5, 3, 0)
		first := e.waitForHolder(t, 5*time.Second)[0]
		holder := e.candidates[first]
		acquisition := holder.Acquisition()
		holder.Resign()
		assert.Assert(t, !holder.OwnsLease())
		<-time.After(20 * time.Millisecond)
		assert.Assert(t, !holder.OwnsLease() || holder.Acquisition() > acquisition, "a grant in flight must be ignored")
		assert.DeepEqual(t, e.checkHolders(t, MaxTTL), []int{first})
		assert.Assert(t, holder.Acquisition() > acquisition)
	})
}
