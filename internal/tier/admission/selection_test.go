package admission

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

func TestRoundRobinAmongEqualStores(t *testing.T) {
	h := newHarness(t, stores(3, 8)...)
	seen := map[string]int{}
	for range 9 {
		g := h.acquireNow(h.request())
		seen[g.Store().Instance]++
	}
	assert.DeepEqual(t, seen, map[string]int{"i-0": 3, "i-1": 3, "i-2": 3})
}

func TestRejectsWithoutStores(t *testing.T) {
	h := newHarness(t)
	g, rejection := h.Acquire(context.Background(), h.request())
	assert.Assert(t, g == nil)
	assert.Equal(t, rejection.Reason, NoStore)
	assert.Assert(t, rejection.RetryAfter > 0)
}
