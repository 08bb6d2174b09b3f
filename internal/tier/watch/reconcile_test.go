package watch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/registry"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// reconciling runs a watcher that knows two instances with a source that knows only one of them.
func reconciling(t *testing.T, test func(source, state *State)) {
	t.Helper()
	n := newNetwork("a")
	runWatcher(t, n, 1, fixedEndpoints("a"), func(f *Watcher, state *State) {
		f.mu.Lock()
		f.options.Reconcile = true
		f.mu.Unlock()
		state.Upsert(described(1, 5, ready))
		state.Upsert(described(2, 5, ready))
		n.sources["a"].Upsert(described(1, 9, ready))
		test(n.sources["a"], state)
	})
}

// keepSynchronized lets time pass while the source is synchronized.
func keepSynchronized(source *State, span time.Duration) {
	for until := time.Now().Add(span); time.Now().Before(until); {
		source.MarkSynchronized()
		time.Sleep(time.Second)
	}
}

func stateOf(state *State, i int) tierpb.InstanceState {
	return state.Instance(described(i, 0, ready).Id).GetState()
}

func TestUnconfirmedInstanceIsSuspectedThenDeregistered(t *testing.T) {
	reconciling(t, func(source, state *State) {
		keepSynchronized(source, 20*time.Second)
		assert.Equal(t, stateOf(state, 1), ready)
		assert.Equal(t, stateOf(state, 2), suspect)
		keepSynchronized(source, registry.ExpireAfter+time.Minute/2)
		assert.Equal(t, stateOf(state, 1), ready)
		unconfirmed := state.Instance(described(2, 0, ready).Id)
		assert.Assert(t, unconfirmed == nil || unconfirmed.State == tierpb.InstanceState_INSTANCE_DEREGISTERED, "state is %v", unconfirmed.GetState())
	})
}

// TestUnsynchronizedSourceCausesNoSuspicion: a coordinator that has just started knows few instances.
func TestUnsynchronizedSourceCausesNoSuspicion(t *testing.T) {
	reconciling(t, func(source, state *State) {
		source.MarkSynchronized()
		time.Sleep(synchronizedTTL + time.Millisecond) // over before the first comparison, as in a process that was frozen
		time.Sleep(time.Minute)
		assert.Equal(t, stateOf(state, 2), ready)
	})
}

// TestHeartbeatClearsSuspicionOfUnconfirmedInstance: only the source had not got its heartbeats.
func TestHeartbeatClearsSuspicionOfUnconfirmedInstance(t *testing.T) {
	reconciling(t, func(source, state *State) {
		keepSynchronized(source, 20*time.Second)
		assert.Equal(t, stateOf(state, 2), suspect)
		source.Upsert(described(2, 6, ready))
		time.Sleep(time.Second)
		assert.Equal(t, stateOf(state, 2), ready)
	})
}

// TestRecentInstanceIsNotUnconfirmed: what another source has just sent may be on its way to
// this one.
func TestRecentInstanceIsNotUnconfirmed(t *testing.T) {
	source, clock := testState()
	source.Upsert(described(1, 1, ready))
	source.MarkSynchronized()
	watcher, watcherClock := testState()
	watcher.Upsert(described(2, 1, ready))
	ask := func() *tierpb.WatchReply {
		return source.replyNow(&tierpb.WatchRequest{Incarnation: source.incarnation, Cursor: 1, Compare: true, Summary: watcher.digests()})
	}
	watcherClock.advance(unconfirmedTimeout - time.Millisecond)
	watcher.Merge(ask())
	assert.Equal(t, stateOf(watcher, 2), ready)
	watcherClock.advance(time.Millisecond)
	clock.advance(time.Second)
	watcher.Merge(ask())
	assert.Equal(t, stateOf(watcher, 2), suspect)
}

// TestReconciliationMessagesAreSmall: equal lists of 3,000 cost at most a summary each way; one unconfirmed instance costs
// its bucket.
func TestReconciliationMessagesAreSmall(t *testing.T) {
	source, _ := testState()
	watcher, clock := testState()
	for i := range 3000 {
		source.Upsert(described(i, 1, ready))
		watcher.Upsert(described(i, 1, ready))
	}
	source.MarkSynchronized()
	request := func() *tierpb.WatchRequest {
		return &tierpb.WatchRequest{Incarnation: source.incarnation, Cursor: source.Revision(), Compare: true, Summary: watcher.digests()}
	}
	equal := source.replyNow(request())
	assert.Assert(t, equal.Compared && len(equal.DifferingBuckets) == 0)
	assert.Assert(t, request().SizeVT()+equal.SizeVT() < 320, "%d and %d bytes", request().SizeVT(), equal.SizeVT())
	watcher.Upsert(described(3001, 1, ready))
	clock.advance(unconfirmedTimeout)
	different := source.replyNow(request())
	assert.Assert(t, different.SizeVT() < 2500, "%d bytes", different.SizeVT())
	watcher.Merge(different)
	assert.Equal(t, watcher.Count(suspect), 1)
	assert.Equal(t, stateOf(watcher, 3001), suspect)
}
