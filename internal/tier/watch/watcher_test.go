package watch

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

func TestOneFaultySourceDoesNotDelayUpdates(t *testing.T) {
	for _, injected := range []fault{noFault, crashed, partitioned, repliesLost, lagging} {
		for _, faulty := range []string{"a", "b"} {
			t.Run(fmt.Sprint(injected, faulty), func(t *testing.T) {
				n := newNetwork("a", "b", "c")
				runWatcher(t, n, 2, fixedEndpoints("a", "b", "c"), func(_ *Watcher, state *State) {
					assert.Assert(t, measurePropagation(n, state, 1) <= 2*oneWayLatency)
					n.setFault(faulty, injected)
					for version := range uint64(40) {
						assert.Assert(t, measurePropagation(n, state, version+2) <= minChangeInterval+catchUpTimeout+6*oneWayLatency)
						time.Sleep(130 * time.Millisecond)
					}
				})
			})
		}
	}
}

func TestFailedSourcesAreReplaced(t *testing.T) {
	n := newNetwork("a", "b", "c", "d")
	runWatcher(t, n, 2, fixedEndpoints("a", "b", "c", "d"), func(watcher *Watcher, state *State) {
		n.setFault("a", crashed)
		n.setFault("b", partitioned)
		time.Sleep(DefaultPollWait + pollGrace + time.Second)
		got := watcher.RespondingSources()
		slices.Sort(got)
		assert.DeepEqual(t, got, []string{"c", "d"})
		assert.Assert(t, measurePropagation(n, state, 9) <= 2*oneWayLatency)
	})
}

func TestPreferredSourceIsSelectedAgainAfterRecovery(t *testing.T) {
	n := newNetwork("a", "b", "c")
	runWatcher(t, n, 2, fixedEndpoints("a", "b", "c"), func(watcher *Watcher, _ *State) {
		n.setFault("a", crashed)
		time.Sleep(5 * time.Second)
		assert.Assert(t, !slices.Contains(watcher.RespondingSources(), "a"))
		n.setFault("a", noFault)
		time.Sleep(maxSourceBackoff + 4*maxReselectInterval)
		assert.Assert(t, slices.Contains(watcher.RespondingSources(), "a"))
	})
}

func TestWatcherRecoversAfterAllSourcesFailed(t *testing.T) {
	n := newNetwork("a", "b")
	runWatcher(t, n, 2, fixedEndpoints("a", "b"), func(_ *Watcher, state *State) {
		n.setFault("a", partitioned)
		n.setFault("b", partitioned)
		time.Sleep(time.Minute)
		n.setFault("b", noFault)
		assert.Assert(t, measurePropagation(n, state, 5) <= 4*time.Second)
	})
}

func TestSourcesOfDifferentZonesArePreferred(t *testing.T) {
	n := newNetwork("a1", "a2", "b1")
	runWatcher(t, n, 2, fixedEndpoints("a1", "a2", "b1"), func(watcher *Watcher, _ *State) {
		got := watcher.RespondingSources()
		slices.Sort(got)
		assert.DeepEqual(t, got, []string{"a1", "b1"})
	})
}

func TestRemovedEndpointIsNoLongerWatched(t *testing.T) {
	n := newNetwork("a", "b", "c")
	var mu sync.Mutex
	current := endpointsOf("a", "b")
	runWatcher(t, n, 2, func() []Endpoint {
		mu.Lock()
		defer mu.Unlock()
		return current
	}, func(watcher *Watcher, state *State) {
		mu.Lock()
		current = endpointsOf("b", "c")
		mu.Unlock()
		time.Sleep(2 * time.Second)
		got := watcher.RespondingSources()
		slices.Sort(got)
		assert.DeepEqual(t, got, []string{"b", "c"})
		assert.Assert(t, measurePropagation(n, state, 3) <= 2*oneWayLatency)
	})
}

func TestAllSourcesAreWatchedWithoutMaxSources(t *testing.T) {
	n := newNetwork("a", "b", "c")
	var mu sync.Mutex
	current := endpointsOf("a")
	runWatcher(t, n, 0, func() []Endpoint {
		mu.Lock()
		defer mu.Unlock()
		return current
	}, func(watcher *Watcher, _ *State) {
		mu.Lock()
		current = endpointsOf("a", "b", "c")
		mu.Unlock()
		time.Sleep(2*maxReselectInterval + time.Second)
		assert.Equal(t, len(watcher.RespondingSources()), 3)
	})
}

func TestRestartedSourceDoesNotRevertState(t *testing.T) {
	n := newNetwork("agent")
	runWatcher(t, n, 1, fixedEndpoints("agent"), func(_ *Watcher, state *State) {
		n.setControl(7)
		n.sources["agent"].Upsert(instance("i", 1, draining))
		time.Sleep(time.Second)
		n.mu.Lock()
		n.sources["agent"] = NewState()
		n.mu.Unlock()
		time.Sleep(2 * time.Second)
		assert.Equal(t, state.Control().Version, uint64(7))
		n.sources["agent"].SetControl(&tierpb.ControlState{Version: 6})
		n.sources["agent"].Upsert(instance("i", 2, ready))
		time.Sleep(time.Second)
		assert.Equal(t, state.Control().Version, uint64(7))
		assert.Equal(t, state.Instance("i").State, draining)
		assert.Assert(t, measurePropagation(n, state, 8) <= 2*oneWayLatency)
	})
}

func TestIdlePollRateIsBounded(t *testing.T) {
	n := newNetwork("a", "b", "c")
	runWatcher(t, n, 2, fixedEndpoints("a", "b", "c"), func(_ *Watcher, _ *State) {
		n.mu.Lock()
		clear(n.calls)
		n.mu.Unlock()
		time.Sleep(70 * time.Second)
		total := 0
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, calls := range n.calls {
			total += calls
		}
		assert.Assert(t, total <= 200, "watcher sent %d polls", total)
	})
}
