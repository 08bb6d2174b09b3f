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

// While no turn store is known, a turn that is retained or budgeted is rejected at once, before any store executes it
// and without waiting for its deadline.
func TestTurnIsRejectedAtOnceWithoutTurnStores(t *testing.T) {
	const allowed = 10 * time.Second
	store := newFakeStore(t, "a", streamEvents(true, numberedEvents(1, 3)...))
	b := newTestProxy(t, allowed, nil, []*fakeStore{store})
	b.proxy.started = time.Now().Add(-2 * startupPeriod)
	options := replica.Options{Membership: func() *tierpb.StoreMembership { return b.proxy.snapshots.load().membership }, Tolerance: 1}
	b.proxy.turns, b.proxy.budgets = turns.NewClient(options), budget.NewClient(options)
	limited := []string{"Program: p", "Budget: 100", "X-Token-Usage: 10,9"}
	for name, fields := range map[string][]string{
		"kept":             nil,
		"kept, limited":    limited,
		"goes on from one": append(limited, "Previous: before"),
	} {
		began := time.Now()
		got := b.send("POST", "/t/x", "id", "in", fields...)
		assert.NilError(t, got.err, name)
		assert.Equal(t, got.status, 503, name)
		assert.Assert(t, got.header.Get("Retry-After") != "", name)
		assert.Assert(t, time.Since(began) < allowed/2, "%s: held for %v", name, time.Since(began))
	}
	assert.Equal(t, len(store.requests()), 0)
	got := b.send("POST", "/s/x", "id", "in") // what is not kept is served
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, 200)
}

// Just after the start the first turn stores may not have been received yet: a turn waits a little for them.
func TestTurnWaitsForFirstTurnStoresAtStartup(t *testing.T) {
	store := newFakeStore(t, "a", streamEvents(true, numberedEvents(1, 3)...))
	b := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	unknown := &unreadyTurnStores{fakeTurnStores: b.turnStores, asked: make(chan struct{}, 16)}
	b.proxy.turns = unknown
	answered := make(chan clientResponse, 1)
	go func() { answered <- b.send("POST", "/t/x", "id", "in") }()
	<-unknown.asked
	unknown.ready.Store(true)
	b.proxy.updates.notify()
	got := <-answered
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, 200)
	assert.Equal(t, len(store.requests()), 1)
}

// If the turn stores do not answer, a turn is rejected while its client has time left for a retry.
func TestTurnIsRejectedEarlyWhileTurnStoresAreUnreachable(t *testing.T) {
	const allowed = 5 * time.Second
	store := newFakeStore(t, "a", streamEvents(true, numberedEvents(1, 3)...))
	b := newTestProxy(t, allowed, nil, []*fakeStore{store})
	members := &tierpb.StoreMembership{Epoch: 1, Current: []*tierpb.Node{
		{Name: "s-1", Address: "10.0.0.1:1", Identity: 1}, {Name: "s-2", Address: "10.0.0.2:1", Identity: 2},
		{Name: "s-3", Address: "10.0.0.3:1", Identity: 3},
	}}
	options := replica.Options{
		Caller: unreachableCaller{}, Membership: func() *tierpb.StoreMembership { return members }, Tolerance: 1,
	}
	b.proxy.turns, b.proxy.budgets = turns.NewClient(options), budget.NewClient(options)
	began := time.Now()
	got := b.send("POST", "/t/x", "id", "in", "Program: p", "Budget: 100", "X-Token-Usage: 10,9", "Previous: before")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Assert(t, time.Since(began) < allowed/2, "held for %v", time.Since(began))
	assert.Equal(t, len(store.requests()), 0)
}

// After a turn that could not be saved, another one that needs nothing of the turn stores before it runs asks them first: it
// is rejected before any store executes it, until they answer again.
func TestTurnIsNotExecutedInVainWhileTurnStoresAreSilent(t *testing.T) {
	store := newFakeStore(t, "a", streamEvents(true, numberedEvents(1, 3)...))
	b := newTestProxy(t, longTimeout, nil, []*fakeStore{store})
	setUnavailable := func(err error) {
		b.turnStores.mu.Lock()
		defer b.turnStores.mu.Unlock()
		b.turnStores.saveErr, b.turnStores.chainErr = err, err
	}
	setUnavailable(turns.ErrUncertain)
	got := b.send("POST", "/t/x", "first", "in")
	assert.Assert(t, got.err != nil, "it was known of no turn store that it is silent: the stream breaks off")
	assert.Equal(t, len(store.requests()), 1)
	for range 3 {
		got = b.send("POST", "/t/x", "next", "in")
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, 503)
		assert.Assert(t, got.header.Get("Retry-After") != "")
	}
	got = b.send("POST", "/s/x", "other", "in") // what is not retained needs no turn store
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, 200)
	assert.Equal(t, len(store.requests()), 2)
	setUnavailable(nil)
	for _, id := range []string{"again", "and-again"} {
		got = b.send("POST", "/t/x", id, "in")
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, 200)
	}
}

// Only a call that no quorum answered makes the turn stores suspect, and any that one did ends that.
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
