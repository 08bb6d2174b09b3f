package admission

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newObservedHarness returns a harness with two stores, and the health changes that its Dispatcher reports.
func newObservedHarness(t *testing.T) (*harness, *[]HealthChange) {
	t.Helper()
	h := newHarness(t, stores(2, 8)...)
	changes := &[]HealthChange{}
	h.onHealthChange = func(change HealthChange) { *changes = append(*changes, change) }
	return h, changes
}

// grantFor acquires grants until one is for the given store and returns it. The other requests succeed.
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
	h.t.Fatalf("%s was not selected in 100 requests", instance)
	return nil
}

func TestEjectionAndReturnAreReportedOnceWithTheReason(t *testing.T) {
	for _, test := range []struct {
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
		t.Run(string(test.reason), func(t *testing.T) {
			h, changes := newObservedHarness(t)
			ejections, returns := storeEjections.Value("i-0", string(test.reason)), storeReturns.Value("i-0", string(test.reason))
			test.eject(h)
			for range 10 { // further requests neither return the store nor report it again
				h.grantFor("i-1").Finish(Success)
			}
			expected := []HealthChange{{Service: "s", Instance: "i-0", Reason: test.reason, Ejected: true}}
			assert.DeepEqual(t, *changes, expected)
			if test.reason == EjectedStalled {
				for _, g := range h.core.services["s"].byInstance["i-0"].awaitingFirstByte {
					g.Finish(Cancelled)
				}
			}
			h.clock.advance(30 * time.Second)
			h.grantFor("i-0").Finish(Success)
			expected = append(expected, HealthChange{Service: "s", Instance: "i-0", Reason: test.reason})
			assert.DeepEqual(t, *changes, expected)
			assert.Equal(t, storeEjections.Value("i-0", string(test.reason)), ejections+1)
			assert.Equal(t, storeReturns.Value("i-0", string(test.reason)), returns+1)
		})
	}
}

func TestSaturationIsNotAnEjection(t *testing.T) {
	h, changes := newObservedHarness(t)
	h.grantFor("i-0").Finish(Saturated)
	h.grantFor("i-1").Finish(Success)
	assert.Equal(t, len(*changes), 0, "%v", *changes)
}

func TestEjectionReasonDistinguishesSlowFromSuspect(t *testing.T) {
	h, changes := newObservedHarness(t)
	listed := stores(2, 8)
	listed[0].State = Suspect
	h.SetStores("s", false, 0, listed)
	for range 20 {
		h.serve(h.request(), testLatencyTarget/10)
	}
	assert.Equal(t, len(*changes), 0, "a suspect store without failures must not be ejected: %v", *changes)
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

// A store that is deregistered while it is ejected is not reported as returned.
func TestDeregistrationIsNotReportedAsReturn(t *testing.T) {
	h, changes := newObservedHarness(t)
	h.grantFor("i-0").Finish(ConnectFailed)
	h.SetStores("s", false, 0, stores(2, 8)[1:])
	h.clock.advance(30 * time.Second)
	grant, _ := h.Acquire(context.Background(), h.request())
	grant.Finish(Success)
	assert.Equal(t, len(*changes), 1, "%v", *changes)
}
