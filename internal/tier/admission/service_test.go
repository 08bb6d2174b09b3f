package admission

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestDrainingStoreGetsNoRequestsAndItsQueueIsReassigned(t *testing.T) {
	h := newHarness(t, stores(1, 1)...)
	h.saturate()
	queued := h.acquireQueued(h.request())
	list := stores(2, 1)
	list[0].State = Draining
	h.SetStores("s", false, 0, list)
	<-queued.done
	assert.Equal(t, queued.grant.Store().Instance, "i-1")
}

// DRAIN, LOST: requests in flight at a deregistered store finish normally. The store gets no new requests, and those queued
// for it are reassigned to other stores.
func TestDeregisteredStoreFinishesRequestsInFlight(t *testing.T) {
	h := newHarness(t, stores(1, 1)...)
	granted := h.acquireNow(h.request())
	waiting := h.acquireQueued(h.request())
	h.SetStores("s", false, 0, []Store{{Instance: "i-0", State: Deregistered}, {Instance: "other", Slots: 1}})
	<-waiting.done
	assert.Equal(t, waiting.grant.Store().Instance, "other")
	waiting.grant.Finish(Success)
	for range 5 {
		g := h.acquireNow(h.request())
		assert.Equal(t, g.Store().Instance, "other")
		g.Finish(Success)
	}
	granted.ReportFirstByte()
	granted.Finish(Success)
	h.SetStores("s", false, 0, stores(0, 1))
	assert.Equal(t, len(h.core.services["s"].byInstance), 0)
}

// LOST: when a configuration removes a service, its requests in flight finish normally and its queued requests are rejected
// with a RetryAfter.
func TestRemovedServiceFinishesRequestsInFlight(t *testing.T) {
	h := newHarness(t, stores(1, 1)...)
	granted := h.acquireNow(h.request())
	waiting := h.acquireQueued(h.request())
	h.SetStores("s", false, 0, nil)
	<-waiting.done
	assert.Equal(t, waiting.rejection.Reason, NoStore)
	assert.Assert(t, waiting.rejection.RetryAfter > 0)
	granted.Finish(Success)
	assert.Equal(t, h.core.services["s"].inFlight, 0)
}
