package register

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestPreemptedProposerDoesNotWaitForAnUnreachableVoter: one voter rejects a proposer whose counter lags, because it has
// prepared a higher proposal number, while another voter does not reply. The proposer must retry with a higher number
// instead of waiting for that reply.
func TestPreemptedProposerDoesNotWaitForAnUnreachableVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newReliableCluster(t, 3, 3)
		lagging, common, leading := c.members[0], c.members[1], c.members[2]
		c.network.Partition(leading.machine.Address(), lagging.machine.Address(), true)
		for generation := range uint64(3) {
			leading.mustPut(generation, generation+1)
		}
		c.network.Partition(leading.machine.Address(), common.machine.Address(), true)
		assert.Assert(t, lagging.currentAcceptor().HighestPrepared().GetCounter() < common.currentAcceptor().HighestPrepared().GetCounter())
		began := time.Now()
		lagging.mustPut(3, 4)
		assert.Assert(t, time.Since(began) < defaultCallTimeout/4, "took %s", time.Since(began))
	})
}
