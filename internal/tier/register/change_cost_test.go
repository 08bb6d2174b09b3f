package register

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/simulation"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// TestChangeCost logs what a change and a read of a large value cost, and bounds the number of syncs. On each voter a
// prepare and an accept sync the file and the folder once each.
func TestChangeCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newReliableCluster(t, 3, 3)
		change := func(generation uint64) {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := c.members[0].currentProposer().Change(ctx, func(state *tierpb.ControlState) (*tierpb.ControlState, error) {
				state.Configuration = largeConfiguration(generation)
				return state, nil
			})
			assert.NilError(t, err)
			<-time.After(time.Second)
		}
		change(1)
		size := c.members[0].currentAcceptor().AcceptedValue().SizeVT()
		cost := c.measure(func() { change(2) })
		t.Logf("change of a value of %d bytes: %s", size, cost)
		assert.Equal(t, cost.disk.FileSyncs, 2*3)
		assert.Equal(t, cost.disk.FolderSyncs, 2*3)
		assert.Assert(t, cost.disk.BytesWritten < 3*(size+500), "a prepare must not rewrite the value")
		assert.Assert(t, cost.network < 2*(size+1000), "the value must be sent to each other voter only once, and not returned")
		cost = c.measure(func() { c.members[0].mustRead() })
		t.Logf("read: %s", cost)
		assert.Equal(t, cost.disk, simulation.DiskStats{})
		assert.Assert(t, cost.network < 1000)
	})
}

// cost counts the bytes written, syncs and bytes sent of an operation.
type cost struct {
	disk    simulation.DiskStats
	network int
}

func (c cost) String() string {
	return fmt.Sprintf("%d bytes written, %d file syncs, %d folder syncs on all disks; %d bytes sent between machines",
		c.disk.BytesWritten, c.disk.FileSyncs, c.disk.FolderSyncs, c.network)
}

func (c *cluster) measure(operation func()) cost {
	before := c.totalCost()
	operation()
	after := c.totalCost()
	return cost{
		disk: simulation.DiskStats{
			BytesWritten: after.disk.BytesWritten - before.disk.BytesWritten,
			FileSyncs:    after.disk.FileSyncs - before.disk.FileSyncs,
			FolderSyncs:  after.disk.FolderSyncs - before.disk.FolderSyncs,
		},
		network: after.network - before.network,
	}
}

func (c *cluster) totalCost() (sum cost) {
	for _, m := range c.members {
		used := m.machine.Disk.Stats()
		sum.disk.BytesWritten += used.BytesWritten
		sum.disk.FileSyncs += used.FileSyncs
		sum.disk.FolderSyncs += used.FolderSyncs
	}
	sum.network = c.network.BytesSent()
	return sum
}
