package proxy

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/budget"
	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/turns"
)

// While no turn store is known, a turn that is retained or has a budget is rejected at once, without being sent to a store
// and without waiting for its deadline.
func TestTurnIsRejectedAtOnceWithoutTurnStores(t *testing.T) {
	const allowed = 10 * time.Second
	store := newFakeStore(t, "a", streamEvents(true, numberedEvents(1, 3)...))
	tp := newTestProxy(t, allowed, nil, []*fakeStore{store})
	tp.proxy.started = time.Now().Add(-2 * startupPeriod)
	options := replica.Options{Membership: func() *tierpb.StoreMembership { return tp.proxy.snapshots.load().membership }, Tolerance: 1}
	tp.proxy.turns, tp.proxy.budgets = turns.NewClient(options), budget.NewClient(options)
	budgetFields := []string{"Program: p", "Budget: 100", "X-Token-Usage: 10,9"}
	for name, fields := range map[string][]string{
		"retained":                            nil,
		"retained with budget":                budgetFields,
		"retained with budget and a previous": append(budgetFields, "Previous: before"),
	} {
		began := time.Now()
		got := tp.send("POST", "/t/x", "id", "in", fields...)
		assert.NilError(t, got.err, name)
		assert.Equal(t, got.status, 503, name)
		assert.Assert(t, got.header.Get("Retry-After") != "", name)
		assert.Assert(t, time.Since(began) < allowed/2, "%s: rejected only after %v", name, time.Since(began))
	}
	assert.Equal(t, len(store.requests()), 0)
	got := tp.send("POST", "/s/x", "id", "in") // a turn that is not retained is served
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, 200)
}

// Just after the start of the process a turn waits for the first turn stores to become known.
func TestTurnWaitsForFirstTurnStoresAtStartup(t *testing.T) {
	store := newFakeStore(t, "a", streamEvents(true, numberedEvents(1, 3)...))
	tp := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	unready := &unreadyTurnStores{fakeTurnStores: tp.turnStores, asked: make(chan struct{}, 16)}
	tp.proxy.turns = unready
	answered := make(chan clientResponse, 1)
	go func() { answered <- tp.send("POST", "/t/x", "id", "in") }()
	<-unready.asked
	unready.ready.Store(true)
	tp.proxy.updates.notify()
	got := <-answered
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, 200)
	assert.Equal(t, len(store.requests()), 1)
}

// If the turn stores do not respond, a turn is rejected early enough for its client to retry before the deadline.
func TestTurnIsRejectedEarlyWhileTurnStoresAreUnreachable(t *testing.T) {
	const allowed = 5 * time.Second
	store := newFakeStore(t, "a", streamEvents(true, numberedEvents(1, 3)...))
	tp := newTestProxy(t, allowed, nil, []*fakeStore{store})
	members := &tierpb.StoreMembership{Epoch: 1, Current: []*tierpb.Node{
		{Name: "s-1", Address: "10.0.0.1:1", Identity: 1}, {Name: "s-2", Address: "10.0.0.2:1", Identity: 2},
		{Name: "s-3", Address: "10.0.0.3:1", Identity: 3},
	}}
	options := replica.Options{
		Caller: unreachableCaller{}, Membership: func() *tierpb.StoreMembership { return members }, Tolerance: 1,
	}
	tp.proxy.turns, tp.proxy.budgets = turns.NewClient(options), budget.NewClient(options)
	began := time.Now()
	got := tp.send("POST", "/t/x", "id", "in", "Program: p", "Budget: 100", "X-Token-Usage: 10,9", "Previous: before")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Assert(t, time.Since(began) < allowed/2, "rejected only after %v", time.Since(began))
	assert.Equal(t, len(store.requests()), 0)
}

// After a turn could not be saved, further retained turns are rejected before they are sent to a store, until the turn stores
// respond again. Without this check a store would execute each of them, and its stream would be aborted when it cannot be
// saved.
func TestRetainedTurnIsNotExecutedWhileTurnStoresDoNotAnswer(t *testing.T) {
	store := newFakeStore(t, "a", streamEvents(true, numberedEvents(1, 3)...))
	tp := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	setUnavailable := func(err error) {
		tp.turnStores.mu.Lock()
		defer tp.turnStores.mu.Unlock()
		tp.turnStores.saveErr, tp.turnStores.chainErr = err, err
	}
	setUnavailable(turns.ErrUncertain)
	got := tp.send("POST", "/t/x", "first", "in")
	assert.Assert(t, got.err != nil, "the first turn is executed, and its stream is aborted because it cannot be saved")
	assert.Equal(t, len(store.requests()), 1)
	for range 3 {
		got = tp.send("POST", "/t/x", "next", "in")
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, 503)
		assert.Assert(t, got.header.Get("Retry-After") != "")
	}
	got = tp.send("POST", "/s/x", "other", "in") // a turn that is not retained needs no turn store
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, 200)
	assert.Equal(t, len(store.requests()), 2)
	setUnavailable(nil)
	for _, id := range []string{"again", "and-again"} {
		got = tp.send("POST", "/t/x", id, "in")
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, 200)
	}
}

// The turn stores become suspect only by a call that reached no quorum, and stop being suspect by one that did.
func TestTurnStoreHealthFollowsTheLastQuorum(t *testing.T) {
	health := &turnStoreHealth{}
	for _, step := range []struct {
		err     error
		suspect bool
	}{
		{turns.ErrUncertain, true}, {nil, false}, {turns.ErrUncertain, true}, {context.Canceled, true}, {turns.ErrNotFound, false},
		{context.Canceled, false}, {turns.ErrUncertain, true}, {budget.ErrExhausted, false},
	} {
		health.record(step.err)
		assert.Equal(t, health.suspect.Load(), step.suspect, "%v", step.err)
	}
}
