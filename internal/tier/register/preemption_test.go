package register

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestPreemptedProposerDoesNotWaitForAnUnreachableVoter: a proposer whose counter lags is rejected by one voter for a higher
// proposal number, while another does not reply. It retries with a higher number instead of waiting for the reply.
func TestPreemptedProposerDoesNotWaitForAnUnreachableVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCalmCluster(t, 3, 3)
		behind, witness, ahead := c.members[0], c.members[1], c.members[2]
		c.network.Partition(ahead.machine.Address(), behind.machine.Address(), true)
		for generation := range uint64(3) {
			ahead.mustPut(generation, generation+1)
		}
		c.network.Partition(ahead.machine.Address(), witness.machine.Address(), true)
		assert.Assert(t, behind.currentAcceptor().HighestPrepared().GetCounter() < witness.currentAcceptor().HighestPrepared().GetCounter())
		began := time.Now()
		behind.mustPut(3, 4)
		assert.Assert(t, time.Since(began) < defaultCallTimeout/4, "took %s", time.Since(began))
	})
}
