package register

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// delivery is one message of a proposal, a prepare or an accept, that reaches an acceptor.
type delivery struct {
	counter uint64
	accept  bool
}

// TestDuplicateAndLateMessages: prepares and accepts of several proposals reach an acceptor repeatedly, late and in any
// order, with restarts in between. The prepared number never decreases, an accepted value is never reverted to an older
// one, and a duplicate request gets the same reply as the first one or is rejected.
func TestDuplicateAndLateMessages(t *testing.T) {
	const proposals, seeds = 4, 200
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 3))
			var deliveries []delivery
			for counter := uint64(1); counter <= proposals; counter++ {
				for range 1 + random.IntN(3) {
					deliveries = append(deliveries, delivery{counter, false}, delivery{counter, true})
				}
			}
			random.Shuffle(len(deliveries), func(i, j int) { deliveries[i], deliveries[j] = deliveries[j], deliveries[i] })
			machine := standaloneMachine(seed)
			acceptor := openOn(t, machine, true)
			prepared, accepted := uint64(0), uint64(0)
			for _, next := range deliveries {
				if next.accept {
					acknowledged := acceptor.acceptFor(next.counter, 100+next.counter).Accepted
					assert.Equal(t, acknowledged, next.counter >= prepared, "seed %d: accept %d after prepare %d", seed, next.counter, prepared)
					if acknowledged {
						prepared, accepted = next.counter, next.counter
					}
				} else {
					reply := acceptor.prepareFor(next.counter)
					assert.Equal(t, reply.Prepared, next.counter >= prepared, "seed %d: prepare %d after prepare %d", seed, next.counter, prepared)
					prepared = max(prepared, next.counter)
					if reply.Prepared {
						assert.Equal(t, reply.Accepted.GetCounter(), accepted)
					}
				}
				if random.IntN(4) == 0 {
					machine.Kill()
					acceptor = openOn(t, machine, false)
				}
				assert.Equal(t, acceptor.HighestPrepared().GetCounter(), prepared, "seed %d", seed)
				if accepted > 0 {
					assert.Equal(t, acceptor.AcceptedValue().GetConfiguration().GetGeneration(), 100+accepted)
				}
			}
		})
	}
}

// TestDuplicateAcceptIsAcknowledgedAgain: a duplicate accept gets the same reply. One for another identity is rejected.
func TestDuplicateAcceptIsAcknowledgedAgain(t *testing.T) {
	acceptor := openOn(t, standaloneMachine(1), true)
	assert.Assert(t, acceptor.prepareFor(5).Prepared)
	for range 3 {
		assert.Assert(t, acceptor.acceptFor(5, 9).Accepted)
	}
	late := acceptor.Accept(&tierpb.AcceptRequest{Identity: acceptor.Identity() + 1, Proposal: proposalNumber(6), Value: valueOf(10)})
	assert.Assert(t, late.WrongIdentity && !late.Accepted)
	assert.Equal(t, acceptor.AcceptedValue().GetConfiguration().GetGeneration(), uint64(9))
}
