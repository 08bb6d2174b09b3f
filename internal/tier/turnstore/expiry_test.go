package turnstore

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/budget"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Guards against a store that removes what it missed to be told to keep, because it was down or partitioned for longer than
// the grace period: the other replica of a record is then the only one, and the loss of its disk loses a kept turn.
func TestStoreThatWasAwayForLongRemovesNothingThatIsKept(t *testing.T) {
	const lastTurn = 4
	for name, partitioned := range map[string]bool{"down": false, "partitioned": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPropagationTier(t, "a", "b", "c")
				defer p.end()
				away, lost := p.machines["10.0.0.1:1"], p.machines["10.0.0.2:1"]
				first := p.newRecord(turnID(0, 0), "")
				assert.Equal(t, put(p.cluster, away, first), tierpb.StoreStatus_STORE_OK)
				assert.Equal(t, put(p.cluster, lost, first), tierpb.StoreStatus_STORE_OK)
				if partitioned {
					p.setPartitioned(away, true)
				} else {
					p.halt(away)
				}
				for turn := 1; turn <= lastTurn; turn++ {
					p.advance(50 * time.Second)
					p.saveTurns(t, 1, turn)
				}
				if partitioned {
					p.setPartitioned(away, false)
				} else {
					p.restart(away)
				}
				p.advance(10 * time.Second)
				p.loseDisk(t, lost)
				p.assertChains(t, 1, lastTurn)
			})
		})
	}
}

func TestExpiredRecordsAndProgramsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPropagationTier(t, "a", "b", "c")
		defer p.end()
		p.saveTurns(t, 1, 0)
		p.claim(t, "turn")
		p.advance(2*time.Minute + 20*time.Second)
		for _, m := range p.machines {
			assert.Equal(t, m.store.Records(), 0)
		}
		p.advance(time.Hour)
		for _, m := range p.machines {
			assert.Equal(t, m.store.state.bytes, 0)
		}
	})
}

// claim reserves and settles a claim of 10 tokens on the budget of the program "p", which is 1000.
func (p *propagationTier) claim(t *testing.T, request string) {
	t.Helper()
	options := p.replicaOptions()
	options.After = time.After
	client := budget.NewClient(options)
	assert.NilError(t, client.Reserve(context.Background(), "p", 1000, request, 10))
	client.Settle("p", request, 10)
	client.Wait()
}

// Guards against a program that gets a part of its budget back: a claim was written to a replica that saw no later ones, and was
// removed there after an hour although the program was still used.
func TestClaimIsKeptWhileTheProgramIsUsedAtAnotherReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPropagationTier(t, "a", "b", "c")
		defer p.end()
		ranked := p.rankedMachines("p")
		p.setPartitioned(ranked[0], true)
		p.claim(t, "during the partition")
		p.setPartitioned(ranked[0], false)
		for range 8 {
			p.advance(9 * time.Minute)
			p.claim(t, time.Now().String())
		}
		p.loseDisk(t, ranked[1])
		client := budget.NewClient(p.replicaOptions())
		err := client.Reserve(context.Background(), "p", 1000, "last", 1000-9*10)
		assert.NilError(t, err)
		err = client.Reserve(context.Background(), "p", 1000, "over the budget", 1)
		assert.ErrorIs(t, err, budget.ErrExhausted)
		client.Wait()
	})
}
