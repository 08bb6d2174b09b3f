package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

func TestTimeToFullRedundancyCountsFromTheFirstOfChainedChanges(t *testing.T) {
	start := time.Unix(1000, 0)
	var r redundancy
	note := func(after time.Duration, epoch uint64, previous ...int) (time.Duration, bool) {
		stores := &tierpb.StoreMembership{Epoch: epoch, Current: storeNodes(1, 2, 3), Previous: storeNodes(previous...)}
		return r.note(stores, start.Add(after))
	}
	_, restored := note(0, 1)
	assert.Assert(t, !restored)
	_, restored = note(time.Second, 2, 1, 2, 4)
	assert.Assert(t, !restored)
	_, restored = note(2*time.Second, 3, 1, 2, 4) // another change while records move
	assert.Assert(t, !restored)
	took, restored := note(4*time.Second, 3)
	assert.Assert(t, restored)
	assert.Equal(t, took, 3*time.Second)
	_, restored = note(5*time.Second, 3)
	assert.Assert(t, !restored)
}
