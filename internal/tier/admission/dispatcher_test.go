package admission

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestCancelledRequestLeavesTheQueue(t *testing.T) {
	h := newHarness(t, stores(1, 1)...)
	grants := h.saturate()
	queued := h.acquireQueued(h.request())
	queued.cancel()
	<-queued.done
	assert.Equal(t, queued.rejection.Reason, ContextEnded)
	assert.Equal(t, h.queuedRequests(), 0)
	grants[0].Finish(Success)
	assert.Assert(t, h.acquireNow(h.request()) != nil)
}

func TestSecondFinishHasNoEffect(t *testing.T) {
	h := newHarness(t, stores(1, 4)...)
	g := h.acquireNow(h.request())
	g.Finish(Success)
	g.Finish(Success)
	assert.Equal(t, h.core.services["s"].inFlight, 0)
}

// GONE: a request that is cancelled and granted at the same time does not leak its slot.
func TestCancellationDuringGrantReleasesTheSlot(t *testing.T) {
	h := newHarness(t, stores(1, 1)...)
	for range 50 {
		granted := h.acquireNow(h.request())
		waiting := h.acquireQueued(h.request())
		go waiting.cancel()
		granted.Finish(Success)
		<-waiting.done
		if waiting.grant != nil {
			waiting.grant.Finish(Cancelled)
		}
		assert.Equal(t, h.core.services["s"].inFlight, 0)
		assert.Equal(t, h.queuedRequests(), 0)
	}
}
