package lease

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/simulation"
)

// TestRepeatedAndLateCallsNeverMakeTwoHolders: a third of the calls arrives twice, a third up to two terms late and so in
// another order, among stops, frozen machines and hand-overs.
func TestRepeatedAndLateCallsNeverMakeTwoHolders(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 11))
			h := newElection(t, seed, 3)
			calm := simulation.LinkConditions{MinDelay: time.Millisecond, MaxDelay: 5 * time.Millisecond}
			traits := calm
			traits.DuplicateRate, traits.LateRate, traits.MaxLateDelay = 0.33, 0.33, 2*MaxTTL
			h.network.SetConditions(traits)
			for range 30 {
				i := random.IntN(len(h.machines))
				switch random.IntN(4) {
				case 0: // its calls are under way still when it starts again
					h.stop(i)
					h.start(i, MaxTTL)
				case 1:
					h.machines[i].Freeze()
				case 2:
					h.machines[i].Thaw()
				case 3: // gives the lease back
					h.cancels[i]()
					h.watch(t, 10*time.Millisecond)
					h.machines[i].Thaw()
					h.stop(i)
					h.start(i, MaxTTL)
				}
				h.watch(t, time.Duration(random.IntN(1500))*time.Millisecond)
			}
			h.network.SetConditions(calm)
			for _, machine := range h.machines {
				machine.Thaw()
			}
			assert.Equal(t, len(h.watch(t, 5*MaxTTL)), 1)
		})
	}
}
