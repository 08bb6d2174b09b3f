package register

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// delivery is one message of a round on its way to an acceptor.
type delivery struct {
	counter uint64
	accept  bool
}

// TestRepeatedAndLateCallsOfRounds: prepares and accepts of some rounds reach an acceptor twice, late and in any order, with
// restarts between. A promise is kept, what was accepted does not go back, a ballot has one value, and a call that comes again
// gets the answer that it would have got, or a refusal.
func TestRepeatedAndLateCallsOfRounds(t *testing.T) {
	const rounds, seeds = 4, 200
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 3))
			var deliveries []delivery
			for counter := uint64(1); counter <= rounds; counter++ {
				for range 1 + random.IntN(3) {
					deliveries = append(deliveries, delivery{counter, false}, delivery{counter, true})
				}
			}
			random.Shuffle(len(deliveries), func(i, j int) { deliveries[i], deliveries[j] = deliveries[j], deliveries[i] })
			machine := machineAlone(seed)
			acceptor := openOn(t, machine, true)
			promised, accepted := uint64(0), uint64(0)
			for _, next := range deliveries {
				if next.accept {
					taken := acceptor.acceptFor(next.counter, 100+next.counter).Accepted
					assert.Equal(t, taken, next.counter >= promised, "seed %d: accept %d after promise %d", seed, next.counter, promised)
					if taken {
						promised, accepted = next.counter, next.counter
					}
				} else {
					reply := acceptor.prepareFor(next.counter)
					assert.Equal(t, reply.Prepared, next.counter >= promised, "seed %d: prepare %d after promise %d", seed, next.counter, promised)
					promised = max(promised, next.counter)
					if reply.Prepared {
						assert.Equal(t, reply.Accepted.GetCounter(), accepted)
					}
				}
				if random.IntN(4) == 0 {
					machine.Kill()
					acceptor = openOn(t, machine, false)
				}
				assert.Equal(t, acceptor.HighestPrepared().GetCounter(), promised, "seed %d", seed)
				if accepted > 0 {
					assert.Equal(t, acceptor.AcceptedValue().GetConfiguration().GetGeneration(), 100+accepted)
				}
			}
		})
	}
}

// TestRepeatedAcceptIsAnsweredAlike: an accept that comes again is answered as before, and one for another node is refused.
func TestRepeatedAcceptIsAnsweredAlike(t *testing.T) {
	acceptor := openOn(t, machineAlone(1), true)
	assert.Assert(t, acceptor.prepareFor(5).Prepared)
	for range 3 {
		assert.Assert(t, acceptor.acceptFor(5, 9).Accepted)
	}
	late := acceptor.Accept(&tierpb.AcceptRequest{Identity: acceptor.Identity() + 1, Proposal: ballotOf(6), Value: valueOf(10)})
	assert.Assert(t, late.WrongIdentity && !late.Accepted)
	assert.Equal(t, acceptor.AcceptedValue().GetConfiguration().GetGeneration(), uint64(9))
}
