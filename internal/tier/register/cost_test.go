package register

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/simulation"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// largeConfiguration is about as long as a configuration of 350 routes.
func largeConfiguration(generation uint64) *tierpb.Configuration {
	route := []byte(`{"name":"r-%d","hostname":"host%d.example","pathPrefix":"/prefix%d/","kind":"streaming","timeoutMs":5000,` +
		`"targetLatencyMs":250,"priority":0,"backend":"service-a","maxAttempts":2,"retained":true,"retentionS":60.0,` +
		`"sessionAffinity":true,"resumable":false,"gap_aim_ms":400},`)
	return &tierpb.Configuration{Generation: generation, Body: bytes.Repeat(route, 350)}
}

// TestCostOfAChange logs what a change and a read of a large value cost, and bounds the number of syncs: a prepare and
// an accept are two syncs each, of the file and of the folder.
func TestCostOfAChange(t *testing.T) {
	inBubble(t, 3, 3, func(t *testing.T, c *cluster) {
		change := func(generation uint64) {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := c.members[0].changer().Change(ctx, func(state *tierpb.ControlState) (*tierpb.ControlState, error) {
				state.Configuration = largeConfiguration(generation)
				return state, nil
			})
			assert.NilError(t, err)
			<-time.After(time.Second)
		}
		change(1)
		size := c.members[0].current().AcceptedValue().SizeVT()
		cost := c.measure(func() { change(2) })
		t.Logf("change of a value of %d bytes: %s", size, cost)
		assert.Equal(t, cost.disk.FileSyncs, 2*3)
		assert.Equal(t, cost.disk.FolderSyncs, 2*3)
		assert.Assert(t, cost.disk.BytesWritten < 3*(size+500), "a promise does not rewrite the value")
		assert.Assert(t, cost.network < 2*(size+1000), "the value goes out to each other voter, and does not come back")
		cost = c.measure(func() { c.members[0].mustRead() })
		t.Logf("read: %s", cost)
		assert.Equal(t, cost.disk, simulation.DiskStats{})
		assert.Assert(t, cost.network < 1000)
	})
}

// cost is what was written, synced and sent.
type cost struct {
	disk    simulation.DiskStats
	network int
}

func (c cost) String() string {
	return fmt.Sprintf("%d bytes written, %d file syncs, %d folder syncs on all disks; %d bytes sent between machines",
		c.disk.BytesWritten, c.disk.FileSyncs, c.disk.FolderSyncs, c.network)
}

func (c *cluster) measure(work func()) cost {
	before := c.total()
	work()
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
