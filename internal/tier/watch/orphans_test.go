package watch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/registry"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// comparing has a follower that knows two stores follow a source that knows only one of them.
func comparing(t *testing.T, test func(source, state *State)) {
	n := newNetwork("a")
	following(t, n, 1, fixed("a"), func(f *Watcher, state *State) {
		f.mu.Lock()
		f.options.Reconcile = true
		f.mu.Unlock()
		state.Upsert(described(1, 5, ready))
		state.Upsert(described(2, 5, ready))
		n.sources["a"].Upsert(described(1, 9, ready))
		test(n.sources["a"], state)
	})
}

// listenFor lets time pass while the source says that it has heard every store.
func listenFor(source *State, span time.Duration) {
	for until := time.Now().Add(span); time.Now().Before(until); {
		source.MarkSynchronized()
		time.Sleep(time.Second)
	}
}

func stateOf(state *State, i int) tierpb.InstanceState {
	return state.Instance(described(i, 0, ready).Id).GetState()
}

func TestOrphanIsSilentAndGoneInTheEnd(t *testing.T) {
	comparing(t, func(source, state *State) {
		listenFor(source, 20*time.Second)
		assert.Equal(t, stateOf(state, 1), ready)
		assert.Equal(t, stateOf(state, 2), silent)
		listenFor(source, registry.ExpireAfter+time.Minute/2)
		assert.Equal(t, stateOf(state, 1), ready)
		orphan := state.Instance(described(2, 0, ready).Id)
		assert.Assert(t, orphan == nil || orphan.State == tierpb.InstanceState_INSTANCE_DEREGISTERED, "it is %v", orphan.GetState())
	})
}

// TestNothingIsAnOrphanToASourceThatHasNotListened: a coordinator that has just started knows little.
func TestNothingIsAnOrphanToASourceThatHasNotListened(t *testing.T) {
	comparing(t, func(source, state *State) {
		source.MarkSynchronized()
		time.Sleep(listenedFor + time.Millisecond) // this has run out before the first comparison, as in a process that froze
		time.Sleep(time.Minute)
		assert.Equal(t, stateOf(state, 2), ready)
	})
}

// TestOrphanThatSendsHeartbeatsIsReadyAgain: its silence was only that of the source.
func TestOrphanThatSendsHeartbeatsIsReadyAgain(t *testing.T) {
	comparing(t, func(source, state *State) {
		listenFor(source, 20*time.Second)
		assert.Equal(t, stateOf(state, 2), silent)
		source.Upsert(described(2, 6, ready))
		time.Sleep(time.Second)
		assert.Equal(t, stateOf(state, 2), ready)
	})
}

// TestNewsThatCrossesAComparisonIsNoOrphan: what another source told a moment ago may be on its way to this one.
func TestNewsThatCrossesAComparisonIsNoOrphan(t *testing.T) {
	source, clock := testState()
	source.Upsert(described(1, 1, ready))
	source.MarkSynchronized()
	follower, followerClock := testState()
	follower.Upsert(described(2, 1, ready))
	ask := func() *tierpb.WatchReply {
		return source.idle(&tierpb.WatchRequest{Incarnation: source.feed, Cursor: 1, Compare: true, Summary: follower.digests()})
	}
	followerClock.advance(orphanAge - time.Millisecond)
	follower.Merge(ask())
	assert.Equal(t, stateOf(follower, 2), ready)
	followerClock.advance(time.Millisecond)
	clock.advance(time.Second)
	follower.Merge(ask())
	assert.Equal(t, stateOf(follower, 2), silent)
}

// TestComparisonIsSmall: lists of 3,000 that agree cost a summary each way at the most; one orphan costs its bucket.
func TestComparisonIsSmall(t *testing.T) {
	source, _ := testState()
	follower, clock := testState()
	for i := range 3000 {
		source.Upsert(described(i, 1, ready))
		follower.Upsert(described(i, 1, ready))
	}
	source.MarkSynchronized()
	request := func() *tierpb.WatchRequest {
		return &tierpb.WatchRequest{Incarnation: source.feed, Cursor: source.Revision(), Compare: true, Summary: follower.digests()}
	}
	agreed := source.idle(request())
	assert.Assert(t, agreed.Compared && len(agreed.DifferingBuckets) == 0)
	assert.Assert(t, request().SizeVT()+agreed.SizeVT() < 320, "%d and %d bytes", request().SizeVT(), agreed.SizeVT())
	follower.Upsert(described(3001, 1, ready))
	clock.advance(orphanAge)
	differed := source.idle(request())
	assert.Assert(t, differed.SizeVT() < 2500, "%d bytes", differed.SizeVT())
	follower.Merge(differed)
	assert.Equal(t, follower.Count(silent), 1)
	assert.Equal(t, stateOf(follower, 3001), silent)
}
