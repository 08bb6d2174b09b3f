package register

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A proposer whose counter is behind meets a higher ballot at one voter, while another says nothing: it goes on with a
// higher ballot rather than wait for the silent one.
func TestHigherBallotBesideASilentVoterDoesNotSlowAChange(t *testing.T) {
	inBubble(t, 3, 3, func(t *testing.T, c *cluster) {
		behind, witness, ahead := c.members[0], c.members[1], c.members[2]
		c.network.Partition(ahead.machine.Address(), behind.machine.Address(), true)
		for generation := range uint64(3) {
			ahead.mustPut(generation, generation+1)
		}
		c.network.Partition(ahead.machine.Address(), witness.machine.Address(), true)
		assert.Assert(t, behind.current().HighestPrepared().GetCounter() < witness.current().HighestPrepared().GetCounter())
		began := time.Now()
		behind.mustPut(3, 4)
		assert.Assert(t, time.Since(began) < defaultTimeout/4, "took %s", time.Since(began))
	})
}
