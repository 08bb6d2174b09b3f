package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestStalledStoreIsAvoided(t *testing.T) {
	h := newHarness(t, stores(2, 8)...)
	first := h.acquireNow(h.request())
	h.clock.advance(testLatencyTarget) // longer than the stall timeout that applies before the first response
	for range 4 {
		g := h.acquireNow(h.request())
		assert.Assert(t, g.Store().Instance != first.Store().Instance)
	}
	first.Finish(Success)
}

func TestSaturatedStoreEntersBackoff(t *testing.T) {
	h := newHarness(t, stores(2, 8)...)
	g := h.acquireNow(h.request())
	g.Finish(Saturated)
	retry := h.request()
	retry.AttemptedInstances, retry.ExecutedAttempts = []string{g.Store().Instance}, 1
	assert.Assert(t, h.acquireNow(retry).Store().Instance != g.Store().Instance)
	for range 4 {
		assert.Assert(t, h.acquireNow(h.request()).Store().Instance != g.Store().Instance)
	}
}

// A store whose connection failed is available again after connectBackoff.
func TestBackoffEnds(t *testing.T) {
	h := newHarness(t, stores(2, 8)...)
	g := h.acquireNow(h.request())
	g.Finish(ConnectFailed)
	s := h.core.services["s"].byInstance[g.Store().Instance]
	h.clock.advance(connectBackoff - time.Millisecond)
	r := &pendingRequest{Request: h.request()}
	assert.Equal(t, s.tierFor(r, h.sinceStart(h.clock.Now())), tierBackoff)
	h.clock.advance(time.Millisecond)
	assert.Equal(t, s.tierFor(r, h.sinceStart(h.clock.Now())), tierAvailable)
}

func TestFailingStoreGetsFewRequests(t *testing.T) {
	h := newHarness(t, stores(3, 8)...)
	failed, sent := 0, 300
	for range sent {
		g := h.acquireNow(h.request())
		h.clock.advance(10 * time.Millisecond)
		if g.Store().Instance == "i-1" {
			failed++
			g.Finish(StoreError)
			continue
		}
		g.Finish(Success)
	}
	assert.Assert(t, failed > 0 && failed < sent/8, "%d of %d", failed, sent)
}

func TestNonIdempotentRequestsAvoidAStoreThatLostAResponse(t *testing.T) {
	h := newHarness(t, stores(3, 8)...)
	g := h.acquireNow(h.request())
	g.Finish(ResponseLost)
	for range 6 {
		r := h.request()
		r.Idempotent = false
		assert.Assert(t, h.acquireNow(r).Store().Instance != g.Store().Instance)
	}
	seen := false
	for range 6 {
		seen = seen || h.acquireNow(h.request()).Store().Instance == g.Store().Instance
	}
	assert.Assert(t, seen, "no idempotent request was sent to the store")
}

// Under a load that slows all stores equally, none is unhealthy or stalled.
func TestLoadOnAllStoresMakesNoneUnhealthy(t *testing.T) {
	h := newHarness(t, stores(3, 32)...)
	for range 60 {
		h.serve(h.request(), 10*time.Millisecond)
	}
	for range 120 {
		h.serve(h.request(), 80*time.Millisecond)
	}
	granted := h.acquireNow(h.request())
	h.clock.advance(40 * time.Millisecond)
	svc, now := h.core.services["s"], h.sinceStart(h.clock.Now())
	for _, s := range svc.stores {
		assert.Assert(t, s.healthy(now), "weight %v", s.weight(now))
		assert.Assert(t, !s.stalled(now))
	}
	h.clock.advance(80 * time.Millisecond)
	assert.Assert(t, svc.byInstance[granted.Store().Instance].stalled(h.sinceStart(h.clock.Now())))
}

// DENIED, LOST: stores whose heartbeats are late take requests if there are no better ones.
func TestSuspectStoresServeIfThereAreNoOthers(t *testing.T) {
	late := stores(2, 4)
	for i := range late {
		late[i].State = Suspect
	}
	h := newHarness(t, late...)
	for range 200 {
		h.serve(h.request(), testLatencyTarget/10)
	}
	var grants []*Grant
	for range 8 {
		grants = append(grants, h.acquireNow(h.request()))
	}
	for _, g := range grants {
		g.Finish(Success)
	}
}

// A store whose heartbeats are late gets a reduced share of the requests, and its full share once it is Ready again.
func TestSuspectStoreKeepsAReducedShare(t *testing.T) {
	list := stores(3, 8)
	list[0].State = Suspect
	h := newHarness(t, list...)
	share := func() int {
		count := 0
		for range 300 {
			g := h.acquireNow(h.request())
			if g.Store().Instance == list[0].Instance {
				count++
			}
			g.Finish(Success)
		}
		return count
	}
	late := share()
	assert.Assert(t, late > 10 && late < 90, "%d of 300", late)
	list[0].State = Ready
	h.SetStores("s", false, 0, list)
	ready := share()
	assert.Assert(t, ready > 80, "%d of 300", ready)
}
