package watch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// gatedSource is a ReadinessGate for a State, with settable inputs and a count of the calls of OnChange.
type gatedSource struct {
	*ReadinessGate
	state           *State
	ready, starting atomic.Bool
	onChangeCalls   int
}

func newGatedSource() *gatedSource {
	g := &gatedSource{state: NewState()}
	g.ReadinessGate = NewReadinessGate(ReadinessOptions{
		State: g.state, Ready: g.ready.Load, Starting: g.starting.Load,
		OnChange: func(bool, time.Duration) { g.onChangeCalls++ },
	})
	return g
}

func (g *gatedSource) setReady(ready bool) {
	g.ready.Store(ready)
	g.Check()
}

var agentNode = &tierpb.Node{Role: tierpb.Role_ROLE_AGENT}

func TestHeldPollEndsWhenSourceBecomesNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGatedSource()
		g.state.SetControl(&tierpb.ControlState{Version: 1})
		g.setReady(true)
		result := make(chan error, 1)
		go func() {
			_, err := g.Watch(t.Context(), &tierpb.WatchRequest{Watcher: agentNode, ControlVersion: 1, WaitMs: 5000})
			result <- err
		}()
		time.Sleep(time.Second)
		start := time.Now()
		g.setReady(false)
		assert.ErrorIs(t, <-result, ErrNotReady)
		assert.Equal(t, time.Since(start), time.Duration(0))
		assert.Equal(t, g.onChangeCalls, 2)
		g.Check()
		assert.Equal(t, g.onChangeCalls, 2, "OnChange called without a change")
	})
}

func TestNotReadySourceSendsUpdatesOnlyToWatchersWithState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGatedSource()
		g.state.SetControl(&tierpb.ControlState{Version: 4})
		g.state.AdvertiseCoordinators([]*tierpb.Node{{Address: "10.0.0.1:1"}})
		_, err := g.Watch(t.Context(), &tierpb.WatchRequest{Watcher: agentNode})
		assert.ErrorIs(t, err, ErrNotReady, "watcher without state")
		_, err = g.Watch(t.Context(), &tierpb.WatchRequest{Watcher: agentNode, ControlVersion: 4})
		assert.ErrorIs(t, err, ErrNotReady, "watcher that is up to date")
		for _, request := range []*tierpb.WatchRequest{{ControlVersion: 3, DigestsOnly: true}, {AcceptNotReady: true}} {
			request.Watcher = agentNode
			reply, err := g.Watch(t.Context(), request)
			assert.NilError(t, err)
			assert.Equal(t, reply.Control.Version, uint64(4))
			assert.Assert(t, reply.Responder.NotReady)
			assert.Equal(t, len(reply.Coordinators), 0)
		}
	})
}

func TestStartingSourceHoldsPollUntilReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGatedSource()
		g.starting.Store(true)
		g.state.SetControl(&tierpb.ControlState{Version: 4})
		request := &tierpb.WatchRequest{Watcher: agentNode, WaitMs: 700}
		reply, err := g.Watch(t.Context(), request.CloneVT())
		assert.NilError(t, err)
		assert.Assert(t, reply.Control == nil, "state sent before the source is ready")
		time.AfterFunc(300*time.Millisecond, func() { g.setReady(true) })
		start := time.Now()
		reply, err = g.Watch(t.Context(), request.CloneVT())
		assert.NilError(t, err)
		assert.Equal(t, reply.Control.Version, uint64(4))
		assert.Equal(t, time.Since(start), 300*time.Millisecond)
	})
}

// gatedNetwork is an rpc.Caller that calls gated sources by address.
type gatedNetwork map[string]*gatedSource

func (n gatedNetwork) Call(ctx context.Context, address string, _ rpc.Method, request, reply rpc.Message) error {
	time.Sleep(oneWayLatency)
	answer, err := n[address].Watch(ctx, request.(*tierpb.WatchRequest).CloneVT())
	if err != nil {
		return rpc.ErrRejected
	}
	encoded, _ := answer.MarshalVT()
	return reply.(*tierpb.WatchReply).UnmarshalVT(encoded)
}

// TestFirstStateFromNotReadySourceIsDelayed: a watcher without a control state accepts one from a source that is not ready
// only after it has waited acceptNotReadyAfter for a ready one.
func TestFirstStateFromNotReadySourceIsDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := gatedNetwork{"a": newGatedSource(), "b": newGatedSource()}
		for _, source := range n {
			source.state.SetControl(&tierpb.ControlState{Version: 4})
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		state := NewState()
		start := time.Now()
		go Run(ctx, Options{Caller: n, State: state, Endpoints: fixedEndpoints("a", "b"), MaxSources: 2, Self: agentNode})
		changed := state.Changed()
		<-changed
		assert.Assert(t, time.Since(start) > acceptNotReadyAfter)
		assert.Assert(t, time.Since(start) < acceptNotReadyAfter+2*maxRetryBackoff)
		assert.Equal(t, state.Control().Version, uint64(4))
	})
}

// TestWatcherLeavesNotReadySourceDespiteUpdates: a watcher switches from a source that is no longer ready to a ready one, even
// if each poll of the former returns updates.
func TestWatcherLeavesNotReadySourceDespiteUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := gatedNetwork{"a": newGatedSource(), "b": newGatedSource()}
		for _, source := range n {
			source.state.SetControl(&tierpb.ControlState{Version: 4})
			source.setReady(true)
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		state := NewState()
		watcher := NewWatcher(Options{Caller: n, State: state, Endpoints: fixedEndpoints("a", "b"), MaxSources: 1, Self: agentNode})
		go watcher.Run(ctx)
		time.Sleep(time.Second)
		assert.DeepEqual(t, watcher.RespondingSources(), []string{"a"})
		n["a"].setReady(false)
		for version := uint64(5); version < 105; version++ {
			n["a"].state.SetControl(&tierpb.ControlState{Version: version})
			time.Sleep(oneWayLatency)
		}
		assert.DeepEqual(t, watcher.RespondingSources(), []string{"b"})
	})
}
