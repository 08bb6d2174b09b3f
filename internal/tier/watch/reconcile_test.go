package watch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/registry"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// runReconcilingWatcher runs a watcher with two instances and a source that has only the first of them.
func runReconcilingWatcher(t *testing.T, test func(source, state *State)) {
	t.Helper()
	n := newNetwork("a")
	runWatcher(t, n, 1, fixedEndpoints("a"), func(watcher *Watcher, state *State) {
		watcher.mu.Lock()
		watcher.options.Reconcile = true
		watcher.mu.Unlock()
		state.Upsert(describedInstance(1, 5, ready))
		state.Upsert(describedInstance(2, 5, ready))
		n.sources["a"].Upsert(describedInstance(1, 9, ready))
		test(n.sources["a"], state)
	})
}

// keepSynchronized marks the source as synchronized once a second for a time span.
func keepSynchronized(source *State, span time.Duration) {
	for until := time.Now().Add(span); time.Now().Before(until); {
		source.MarkSynchronized()
		time.Sleep(time.Second)
	}
}

func stateOf(state *State, i int) tierpb.InstanceState {
	return state.Instance(describedInstance(i, 0, ready).Id).GetState()
}

func TestUnconfirmedInstanceIsSuspectedThenDeregistered(t *testing.T) {
	runReconcilingWatcher(t, func(source, state *State) {
		keepSynchronized(source, 20*time.Second)
		assert.Equal(t, stateOf(state, 1), ready)
		assert.Equal(t, stateOf(state, 2), suspect)
		keepSynchronized(source, registry.ExpireAfter+time.Minute/2)
		assert.Equal(t, stateOf(state, 1), ready)
		unconfirmed := state.Instance(describedInstance(2, 0, ready).Id)
		assert.Assert(t, unconfirmed == nil || unconfirmed.State == tierpb.InstanceState_INSTANCE_DEREGISTERED, "state is %v", unconfirmed.GetState())
	})
}

// TestUnsynchronizedSourceCausesNoSuspicion: a comparison with a source that may not know all instances yet, as after its
// start or a suspension, must not make any instance suspect.
func TestUnsynchronizedSourceCausesNoSuspicion(t *testing.T) {
	runReconcilingWatcher(t, func(source, state *State) {
		source.MarkSynchronized()
		time.Sleep(synchronizedTTL + time.Millisecond) // expires before the first comparison, as in a suspended process
		time.Sleep(time.Minute)
		assert.Equal(t, stateOf(state, 2), ready)
	})
}

// TestHeartbeatClearsSuspicionOfUnconfirmedInstance: the instance was alive, and the source receives its heartbeats later.
func TestHeartbeatClearsSuspicionOfUnconfirmedInstance(t *testing.T) {
	runReconcilingWatcher(t, func(source, state *State) {
		keepSynchronized(source, 20*time.Second)
		assert.Equal(t, stateOf(state, 2), suspect)
		source.Upsert(describedInstance(2, 6, ready))
		time.Sleep(time.Second)
		assert.Equal(t, stateOf(state, 2), ready)
	})
}

// TestRecentInstanceIsNotUnconfirmed: a recent update from another source may still be in transit to the compared source.
func TestRecentInstanceIsNotUnconfirmed(t *testing.T) {
	source, clock := newTestState()
	source.Upsert(describedInstance(1, 1, ready))
	source.MarkSynchronized()
	watcher, watcherClock := newTestState()
	watcher.Upsert(describedInstance(2, 1, ready))
	compare := func() *tierpb.WatchReply {
		return source.replyNow(&tierpb.WatchRequest{Incarnation: source.incarnation, Cursor: 1, Compare: true, Summary: watcher.digests()})
	}
	watcherClock.advance(unconfirmedTimeout - time.Millisecond)
	watcher.Merge(compare())
	assert.Equal(t, stateOf(watcher, 2), ready)
	watcherClock.advance(time.Millisecond)
	clock.advance(time.Second)
	watcher.Merge(compare())
	assert.Equal(t, stateOf(watcher, 2), suspect)
}

// TestReconciliationMessagesAreSmall: comparing equal lists of 3,000 instances takes a summary and a short reply; an
// unconfirmed instance adds the statuses of its bucket.
func TestReconciliationMessagesAreSmall(t *testing.T) {
	source, _ := newTestState()
	watcher, clock := newTestState()
	for i := range 3000 {
		source.Upsert(describedInstance(i, 1, ready))
		watcher.Upsert(describedInstance(i, 1, ready))
	}
	source.MarkSynchronized()
	request := func() *tierpb.WatchRequest {
		return &tierpb.WatchRequest{Incarnation: source.incarnation, Cursor: source.Revision(), Compare: true, Summary: watcher.digests()}
	}
	equal := source.replyNow(request())
	assert.Assert(t, equal.Compared && len(equal.DifferingBuckets) == 0)
	assert.Assert(t, request().SizeVT()+equal.SizeVT() < 320, "request takes %d bytes and reply %d bytes", request().SizeVT(), equal.SizeVT())
	watcher.Upsert(describedInstance(3001, 1, ready))
	clock.advance(unconfirmedTimeout)
	different := source.replyNow(request())
	assert.Assert(t, different.SizeVT() < 2500, "reply takes %d bytes", different.SizeVT())
	watcher.Merge(different)
	assert.Equal(t, watcher.Count(suspect), 1)
	assert.Equal(t, stateOf(watcher, 3001), suspect)
}
