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

// TestChangeCost logs the cost of a change and of a read of a large value, and bounds the number of syncs: a prepare and
// an accept take two syncs each, of the file and of the folder.
func TestChangeCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCalmCluster(t, 3, 3)
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
		assert.Assert(t, cost.disk.BytesWritten < 3*(size+500), "a prepare does not rewrite the value")
		assert.Assert(t, cost.network < 2*(size+1000), "the value is sent to each other voter once, and not returned")
		cost = c.measure(func() { c.members[0].mustRead() })
		t.Logf("read: %s", cost)
		assert.Equal(t, cost.disk, simulation.DiskStats{})
		assert.Assert(t, cost.network < 1000)
	})
}

// cost counts what was written, synced and sent.
type cost struct {
	disk    simulation.DiskStats
	network int
}

func (c cost) String() string {
	return fmt.Sprintf("%d bytes written, %d file syncs, %d folder syncs on all disks; %d bytes sent between machines",
		c.disk.BytesWritten, c.disk.FileSyncs, c.disk.FolderSyncs, c.network)
}

func (c *cluster) measure(operation func()) cost {
	before := c.total()
	operation()
	after := c.total()
	return cost{
		disk: simulation.DiskStats{
			BytesWritten: after.disk.BytesWritten - before.disk.BytesWritten,
			FileSyncs:    after.disk.FileSyncs - before.disk.FileSyncs,
			FolderSyncs:  after.disk.FolderSyncs - before.disk.FolderSyncs,
		},
		network: after.network - before.network,
	}
}

func (c *cluster) total() (sum cost) {
	for _, m := range c.members {
		used := m.machine.Disk.Stats()
		sum.disk.BytesWritten += used.BytesWritten
		sum.disk.FileSyncs += used.FileSyncs
		sum.disk.FolderSyncs += used.FolderSyncs
	}
	sum.network = c.network.BytesSent()
	return sum
}
