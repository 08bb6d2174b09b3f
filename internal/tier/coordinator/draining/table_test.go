package draining

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/simulation"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

const (
	draining     = tierpb.InstanceState_INSTANCE_DRAINING
	deregistered = tierpb.InstanceState_INSTANCE_DEREGISTERED
)

// Each terminal state is on disk when its Save returns, even if many are saved concurrently; pruned instances are not saved again.
func TestSavedTableIsReadBack(t *testing.T) {
	disk := simulation.NewNetwork(rand.New(rand.NewPCG(1, 1)), simulation.LinkConditions{}).
		NewMachine("10.0.0.1:1", rand.New(rand.NewPCG(1, 2))).Start().Mount()
	kept, err := OpenTable(disk, Folder)
	assert.NilError(t, err)
	var group sync.WaitGroup
	for number := range 50 {
		group.Go(func() {
			assert.Check(t, kept.Save(&tierpb.Instance{Id: fmt.Sprint(number), State: draining}) == nil)
			assert.Check(t, kept.Save(&tierpb.Instance{Id: fmt.Sprint(number), State: deregistered}) == nil)
			assert.Check(t, kept.Save(&tierpb.Instance{Id: fmt.Sprint(number), State: draining}) == nil)
		})
	}
	group.Wait()
	read, err := OpenTable(disk, Folder)
	assert.NilError(t, err)
	assert.Equal(t, len(read.Instances()), 50)
	for _, instance := range read.Instances() {
		assert.Equal(t, instance.State, deregistered)
	}
	read.Prune(func(id string) bool { return id == "7" })
	assert.NilError(t, read.Save(&tierpb.Instance{Id: "more", State: deregistered}))
	read, err = OpenTable(disk, Folder)
	assert.NilError(t, err)
	assert.Equal(t, len(read.Instances()), 2)
}
