package proxy

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/budget"
	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/turns"
)

// While no turn store is known nothing can be kept: a turn that is to be kept, or that counts against a budget, is refused
// at once, before any store works on it and without being held for all of its time.
func TestTurnIsRefusedAtOnceWhileNoTurnStoreIsKnown(t *testing.T) {
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

// Just after the start the first turn stores may only not have been told yet: a turn waits a little for them.
func TestTurnWaitsForTheFirstTurnStoresAfterTheStart(t *testing.T) {
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

// unreadyTurnStores is a keeper that knows no turn store at first.
type unreadyTurnStores struct {
	*fakeTurnStores
	ready atomic.Bool
	asked chan struct{}
}

func (k *unreadyTurnStores) Ready() bool {
	k.asked <- struct{}{}
	return k.ready.Load()
}

// unreachableCaller reaches nobody and hears nothing.
type unreachableCaller struct{}

func (unreachableCaller) Call(ctx context.Context, _ string, _ rpc.Method, _, _ rpc.Message) error {
	<-ctx.Done()
	return rpc.ErrTimeout
}

// Where the turn stores do not answer, a turn is refused while its client has time left to come again.
func TestTurnIsRefusedInTimeWhileTurnStoresAreSilent(t *testing.T) {
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
