package admission

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestQueueReleasesEarliestDeadlineFirst(t *testing.T) {
	h := newHarness(t, stores(1, 1)...)
	grants := h.saturate()
	late := h.request()
	late.LatencyTarget = 2 * testLatencyTarget
	last := h.acquireQueued(late)
	next := h.acquireQueued(h.request())
	grants[0].Finish(Success)
	<-next.done
	assert.Assert(t, next.grant != nil)
	next.grant.Finish(Success)
	<-last.done
	assert.Assert(t, last.grant != nil)
}

func TestRequestsWithoutBudgetGoFirstAndAreNotCountedAsMisses(t *testing.T) {
	h := newHarness(t, stores(1, 1)...)
	grants := h.saturate()
	behind := h.acquireQueued(h.request())
	old := h.request()
	old.Arrival = old.Arrival.Add(-testLatencyTarget)
	ahead := h.acquireQueued(old)
	grants[0].Finish(Success)
	<-ahead.done
	ahead.grant.Finish(Success)
	<-behind.done
	svc := h.core.services["s"]
	assert.Equal(t, svc.missedDeadlines.Sum, 0.0)
}

func TestQueuedRequestIsRejectedOnceItsDeadlineIsUnreachable(t *testing.T) {
	h := newHarness(t, stores(1, 1)...)
	h.saturate()
	r := h.request()
	queued := h.acquireQueued(r)
	h.clock.advance(10 * testLatencyTarget)
	<-queued.done
	assert.Equal(t, queued.rejection.Reason, DeadlineUnreachable)
	assert.Assert(t, queued.rejection.RetryAfter > 0)
}
