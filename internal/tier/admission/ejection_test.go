package admission

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newObservedHarness returns a harness with two stores, and the changes of health that it reports.
func newObservedHarness(t *testing.T) (*harness, *[]HealthChange) {
	t.Helper()
	h := newHarness(t, stores(2, 8)...)
	changes := &[]HealthChange{}
	h.onHealthChange = func(change HealthChange) { *changes = append(*changes, change) }
	return h, changes
}

// grantFor acquires grants until one is for the store, and returns that one. The others succeed.
func (h *harness) grantFor(instance string) *Grant {
	h.t.Helper()
	for range 100 {
		grant := h.acquireNow(h.request())
		if grant.Store().Instance == instance {
			return grant
		}
		h.clock.advance(time.Millisecond)
		grant.Finish(Success)
	}
	h.t.Fatalf("%s is not selected", instance)
	return nil
}

func TestEjectionAndReturnAreReportedOnceWithTheReason(t *testing.T) {
	for _, of := range []struct {
		reason EjectionReason
		eject  func(h *harness)
	}{
		{EjectedUnreachable, func(h *harness) { h.grantFor("i-0").Finish(ConnectFailed) }},
		{EjectedNotExecuting, func(h *harness) { h.grantFor("i-0").Finish(NotExecuted) }},
		{EjectedFailing, func(h *harness) {
			first, second := h.grantFor("i-0"), h.grantFor("i-0")
			first.Finish(StoreError)
			second.Finish(StoreError)
		}},
		{EjectedStalled, func(h *harness) {
			h.grantFor("i-0")
			h.clock.advance(10 * testLatencyTarget)
			h.grantFor("i-1").Finish(Success)
		}},
	} {
		t.Run(string(of.reason), func(t *testing.T) {
			h, changes := newObservedHarness(t)
			ejections, returns := storeEjections.Value("i-0", string(of.reason)), storeReturns.Value("i-0", string(of.reason))
			of.eject(h)
			for range 10 { // it stays ejected, whatever else is sent
				h.grantFor("i-1").Finish(Success)
			}
			expected := []HealthChange{{Service: "s", Instance: "i-0", Reason: of.reason, Ejected: true}}
			assert.DeepEqual(t, *changes, expected)
			if of.reason == EjectedStalled {
				for _, g := range h.core.services["s"].byInstance["i-0"].awaitingFirstByte {
					g.Finish(Cancelled)
				}
			}
			h.clock.advance(30 * time.Second)
			h.grantFor("i-0").Finish(Success)
			expected = append(expected, HealthChange{Service: "s", Instance: "i-0", Reason: of.reason})
			assert.DeepEqual(t, *changes, expected)
			assert.Equal(t, storeEjections.Value("i-0", string(of.reason)), ejections+1)
			assert.Equal(t, storeReturns.Value("i-0", string(of.reason)), returns+1)
		})
	}
}

func TestRejectionForWantOfCapacityIsNoEjection(t *testing.T) {
	h, changes := newObservedHarness(t)
	h.grantFor("i-0").Finish(Saturated)
	h.grantFor("i-1").Finish(Success)
	assert.Equal(t, len(*changes), 0, "%v", *changes)
}

func TestSlowAndSuspectStoresAreToldApart(t *testing.T) {
	h, changes := newObservedHarness(t)
	listed := stores(2, 8)
	listed[0].State = Suspect
	h.SetStores("s", false, 0, listed)
	for range 20 {
		h.serve(h.request(), testLatencyTarget/10)
	}
	assert.Equal(t, len(*changes), 0, "a suspect store without a failure serves: %v", *changes)
	h.grantFor("i-0").Finish(StoreError)
	h.grantFor("i-1").Finish(Success)
	assert.Equal(t, (*changes)[0].Reason, EjectedSuspect)

	h, changes = newObservedHarness(t)
	for range 20 {
		slow := h.grantFor("i-0")
		fast := h.grantFor("i-1")
		h.clock.advance(10 * time.Millisecond)
		fast.Finish(Success)
		h.clock.advance(testLatencyTarget / 2)
		slow.Finish(Success)
		if len(*changes) > 0 {
			break
		}
	}
	assert.Assert(t, len(*changes) > 0)
	assert.Equal(t, (*changes)[0].Reason, EjectedSlow)
}

// A store that is deregistered while it is ejected does not return.
func TestDeregistrationIsNoReturn(t *testing.T) {
	h, changes := newObservedHarness(t)
	h.grantFor("i-0").Finish(ConnectFailed)
	h.SetStores("s", false, 0, stores(2, 8)[1:])
	h.clock.advance(30 * time.Second)
	grant, _ := h.Acquire(context.Background(), h.request())
	grant.Finish(Success)
	assert.Equal(t, len(*changes), 1, "%v", *changes)
}
