package placementcontrol

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// If members change again while records move, the time counts from the first change.
func TestRedundancyTimeSpansConsecutiveChanges(t *testing.T) {
	start := time.Unix(1000, 0)
	var timer redundancyTimer
	observe := func(after time.Duration, epoch uint64, previous ...int) (time.Duration, bool) {
		stores := &tierpb.StoreMembership{Epoch: epoch, Current: storeNodes(1, 2, 3), Previous: storeNodes(previous...)}
		return timer.observe(stores, start.Add(after))
	}
	_, restored := observe(0, 1)
	assert.Assert(t, !restored)
	_, restored = observe(time.Second, 2, 1, 2, 4)
	assert.Assert(t, !restored)
	_, restored = observe(2*time.Second, 3, 1, 2, 4) // another change while records move
	assert.Assert(t, !restored)
	took, restored := observe(4*time.Second, 3)
	assert.Assert(t, restored)
	assert.Equal(t, took, 3*time.Second)
	_, restored = observe(5*time.Second, 3)
	assert.Assert(t, !restored)
}

func storeNodes(numbers ...int) []*tierpb.Node {
	var nodes []*tierpb.Node
	for _, number := range numbers {
		nodes = append(nodes, &tierpb.Node{Name: fmt.Sprintf("store-%d", number), Identity: uint64(1000 + number)})
	}
	return nodes
}
