package admission

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestDeadlinesMissedInTheQueueCauseShedding(t *testing.T) {
	h := newHarness(t, stores(1, 1)...)
	grants := h.saturate()
	var waiting []*queuedAcquire
	for range 8 {
		waiting = append(waiting, h.acquireQueued(h.request()))
	}
	h.clock.advance(testLatencyTarget)
	shed := 0
	for range 20 {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if _, rejection := h.Acquire(ctx, h.request()); rejection.Reason == Shed {
			shed++
		}
	}
	assert.Assert(t, shed > 10, "%d shed", shed)
	grants[0].Finish(Success)
	for _, queued := range waiting {
		<-queued.done
		assert.Assert(t, queued.grant != nil)
		queued.grant.Finish(Success)
	}
}

// Waiting at loaded stores counts as load, although it does not show in the queues of this proxy.
func TestLateResponsesOfLoadedStoresCountAsMisses(t *testing.T) {
	h := newHarness(t, stores(1, 8)...)
	svc := h.core.services["s"]
	grants := h.saturate()
	loaded := 0
	for _, grant := range grants {
		if !grant.unloaded {
			loaded++
		}
	}
	assert.Assert(t, loaded > 0 && loaded < len(grants))
	h.clock.advance(testLatencyTarget + time.Millisecond)
	for _, grant := range grants {
		grant.Finish(Success)
	}
	assert.Equal(t, svc.missedDeadlines.Sum, float64(loaded), "late responses of an unloaded store must not count")

	h.acquireNow(h.request()).Finish(Success)
	assert.Equal(t, svc.missedDeadlines.Sum, float64(loaded), "a response in time must not count as a miss")
}

// A request that missed its deadline in the queue is not counted again when its response is late.
func TestRequestIsCountedAsMissedOnce(t *testing.T) {
	h := newHarness(t, stores(1, 1)...)
	svc := h.core.services["s"]
	grants := h.saturate()
	late := h.acquireQueued(h.request())
	h.clock.advance(testLatencyTarget + time.Millisecond)
	for _, grant := range grants {
		grant.Finish(Cancelled)
	}
	<-late.done
	missed := svc.missedDeadlines.Sum
	assert.Assert(t, missed > 0)
	h.clock.advance(testLatencyTarget)
	late.grant.Finish(Success)
	assert.Equal(t, svc.missedDeadlines.Sum, missed)
}

func TestNothingIsShedWhileSlotsAreFree(t *testing.T) {
	h := newHarness(t, stores(2, 8)...)
	svc := h.core.services["s"]
	svc.missedDeadlines.Add(0, 50)
	svc.deadlines.Add(0, 50)
	for range 5 {
		h.serve(h.request(), time.Millisecond)
	}
	assert.Assert(t, svc.shedShare > 0.5)
}

func TestLowPriorityIsShedFirst(t *testing.T) {
	svc := newService("s")
	for range 500 {
		svc.countLevel(0)
		svc.countLevel(1)
	}
	assert.Assert(t, svc.shedShareOf(1, 0.3) > 0.5)
	assert.Equal(t, svc.shedShareOf(0, 0.3), 0.0)
	assert.Assert(t, svc.shedShareOf(0, 0.8) > 0.5)
}

func TestFirstRequestsOfProgramsAreShedBeforeProgramsUnderWay(t *testing.T) {
	svc := newService("s")
	for range 200 {
		svc.countLevel(priorityCount) // first requests of programs, most urgent
		for range 5 {
			svc.countLevel(1)
		}
	}
	assert.Assert(t, svc.shedShareOf(priorityCount, 0.4) > 0.3)
	assert.Equal(t, svc.shedShareOf(1, 0.4), 0.0)
}

func TestProgramStartsOnce(t *testing.T) {
	h := newHarness(t, stores(2, 8)...)
	r := h.request()
	r.Affinity, r.FirstTurn = 5, true
	svc := h.core.services["s"]
	assert.Assert(t, svc.startsProgram(&r))
	h.acquireNow(r)
	assert.Assert(t, !svc.startsProgram(&r))
}

// overload makes so many requests miss their deadlines that nearly all new ones are shed.
func (h *harness) overload() {
	h.t.Helper()
	h.saturate()
	for range 8 {
		h.acquireQueued(h.request())
	}
	h.clock.advance(testLatencyTarget)
}

// LOST: a stream whose response has started waits for another store, even if nearly all new requests are shed.
func TestRequestWhoseResponseHasStartedIsNotShed(t *testing.T) {
	h := newHarness(t, stores(1, 1)...)
	h.overload()
	for range 20 {
		r := h.request()
		r.ResponseStarted = true
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, rejection := h.Acquire(ctx, r)
		assert.Equal(t, rejection.Reason, ContextEnded, "the request must be rejected only because its context has ended")
	}
}
