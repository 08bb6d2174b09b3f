package lease

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/simulation"
)

// TestDuplicateAndLateRequestsNeverLeadToTwoHolders: a third of the requests is duplicated, and a third is delayed by up to
// two TTLs and thus reordered, during restarts, freezes and releases.
func TestDuplicateAndLateRequestsNeverLeadToTwoHolders(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 11))
			e := newElection(t, seed, 3)
			reliable := simulation.LinkConditions{MinDelay: time.Millisecond, MaxDelay: 5 * time.Millisecond}
			conditions := reliable
			conditions.DuplicateRate, conditions.LateRate, conditions.MaxLateDelay = 0.33, 0.33, 2*MaxTTL
			e.network.SetConditions(conditions)
			for range 30 {
				i := random.IntN(len(e.machines))
				switch random.IntN(4) {
				case 0: // its requests are still in flight when it starts again
					e.stop(i)
					e.start(i, MaxTTL)
				case 1:
					e.machines[i].Freeze()
				case 2:
					e.machines[i].Thaw()
				case 3: // releases the lease
					e.cancels[i]()
					e.checkHolders(t, 10*time.Millisecond)
					e.machines[i].Thaw()
					e.stop(i)
					e.start(i, MaxTTL)
				}
				e.checkHolders(t, time.Duration(random.IntN(1500))*time.Millisecond)
			}
			e.network.SetConditions(reliable)
			for _, machine := range e.machines {
				machine.Thaw()
			}
			assert.Equal(t, len(e.checkHolders(t, 5*MaxTTL)), 1)
		})
	}
}
