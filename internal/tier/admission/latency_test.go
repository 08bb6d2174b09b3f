package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestStoreWithoutResponsesUsesTheTailOfAllStores(t *testing.T) {
	h := newHarness(t, stores(1, 8)...)
	for range 50 {
		h.serve(h.request(), 20*time.Millisecond)
	}
	h.SetStores("s", false, 0, stores(2, 8))
	svc := h.core.services["s"]
	now := h.sinceStart(h.clock.Now())
	class := svc.classes[0]
	assert.Equal(t, svc.byInstance["i-1"].unloadedTail(class, now), class.tail)
	assert.Assert(t, class.tail < 0.025, "%v", class.tail)
}
