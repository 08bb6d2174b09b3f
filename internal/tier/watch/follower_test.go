package watch

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// trouble is what befalls calls to a source.
type trouble uint8

const (
	none         trouble = iota
	refusing             // a dead process: calls fail at once
	silentBoth           // a cut: calls are neither heard nor answered
	silentBack           // a one-way cut: the source hears calls, and its answers are lost
	slowToAnswer         // a lagging source
)

const oneWay = time.Millisecond

// network calls sources by address, with the trouble set for each. It runs in the virtual time of a synctest bubble.
type network struct {
	mu      sync.Mutex
	sources map[string]*State
	trouble map[string]trouble
	calls   map[string]int
	bytes   int // of replies
}

func newNetwork(addresses ...string) *network {
	n := &network{sources: make(map[string]*State), trouble: make(map[string]trouble), calls: make(map[string]int)}
	for _, address := range addresses {
		n.sources[address] = NewState()
	}
	return n
}

func (n *network) set(address string, to trouble) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.trouble[address] = to
}

func (n *network) look(address string) (*State, trouble) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sources[address], n.trouble[address]
}

func (n *network) count(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls[address]++
}

func (n *network) carry(size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes += size
}

func (n *network) Call(ctx context.Context, address string, _ rpc.Method, request, reply rpc.Message) error {
	n.count(address)
	source, before := n.look(address)
	switch {
	case source == nil || before == refusing:
		return rpc.ErrUnreachable
	case before == silentBoth:
		<-ctx.Done()
		return rpc.ErrTimeout
	case before == slowToAnswer:
		time.Sleep(3 * time.Second)
	}
	time.Sleep(oneWay)
	answer, err := source.Watch(ctx, request.(*tierpb.WatchRequest))
	if err != nil {
		return rpc.ErrTimeout
	}
	time.Sleep(oneWay)
	if _, after := n.look(address); after == silentBack || after == silentBoth {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return rpc.ErrTimeout
	}
	encoded, _ := answer.MarshalVT()
	n.carry(len(encoded))
	return reply.(*tierpb.WatchReply).UnmarshalVT(encoded)
}

// tell gives all sources a control state.
func (n *network) tell(version uint64) {
	for _, source := range n.sources {
		source.SetControl(&tierpb.ControlState{Version: version})
	}
}

func targets(addresses ...string) []Endpoint {
	var all []Endpoint
	for _, address := range addresses {
		all = append(all, Endpoint{Address: address, Zone: "zone-" + address[:1]})
	}
	return all
}

// following runs a Follower in a bubble and hands it to the test.
func following(t *testing.T, n *network, count int, named func() []Endpoint, test func(*Watcher, *State)) {
	synctest.Test(t, func(t *testing.T) {
		for address := range n.sources { // their clocks are to be the bubble's
			n.sources[address] = NewState()
		}
		ctx, cancel := context.WithCancel(context.Background())
		state := NewState()
		follower := NewWatcher(Options{Caller: n, State: state, Endpoints: named, MaxSources: count})
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			follower.Run(ctx)
		}()
		defer func() {
			cancel()
			<-ended
		}()
		time.Sleep(2 * time.Second)
		test(follower, state)
	})
}

func fixed(addresses ...string) func() []Endpoint {
	return func() []Endpoint { return targets(addresses...) }
}

// arrival is how long, in virtual time, a control state told now takes to arrive.
func arrival(n *network, state *State, version uint64) time.Duration {
	began := time.Now()
	n.tell(version)
	for state.Control().GetVersion() < version {
		<-state.Changed()
	}
	return time.Since(began)
}

func TestNewsIsNotHeldUpByOneSourceInTrouble(t *testing.T) {
	for _, kind := range []trouble{none, refusing, silentBoth, silentBack, slowToAnswer} {
		for _, victim := range []string{"a", "b"} {
			t.Run(fmt.Sprint(kind, victim), func(t *testing.T) {
				n := newNetwork("a", "b", "c")
				following(t, n, 2, fixed("a", "b", "c"), func(_ *Watcher, state *State) {
					assert.Assert(t, arrival(n, state, 1) <= 2*oneWay)
					n.set(victim, kind)
					for version := range uint64(40) {
						assert.Assert(t, arrival(n, state, version+2) <= changeGap+catchUpWait+6*oneWay)
						time.Sleep(130 * time.Millisecond)
					}
				})
			})
		}
	}
}

func TestSourcesThatDieAreReplaced(t *testing.T) {
	n := newNetwork("a", "b", "c", "d")
	following(t, n, 2, fixed("a", "b", "c", "d"), func(follower *Watcher, state *State) {
		n.set("a", refusing)
		n.set("b", silentBoth)
		time.Sleep(DefaultPollWait + replySlack + time.Second)
		got := follower.RespondingSources()
		slices.Sort(got)
		assert.DeepEqual(t, got, []string{"c", "d"})
		assert.Assert(t, arrival(n, state, 9) <= 2*oneWay)
	})
}

func TestBetterSourceIsTakenAgainWhenItIsBack(t *testing.T) {
	n := newNetwork("a", "b", "c")
	following(t, n, 2, fixed("a", "b", "c"), func(follower *Watcher, _ *State) {
		n.set("a", refusing)
		time.Sleep(5 * time.Second)
		assert.Assert(t, !slices.Contains(follower.RespondingSources(), "a"))
		n.set("a", none)
		time.Sleep(avoidMost + 4*reconsiderMost)
		assert.Assert(t, slices.Contains(follower.RespondingSources(), "a"))
	})
}

func TestAllSourcesGoneAndOneComesBack(t *testing.T) {
	n := newNetwork("a", "b")
	following(t, n, 2, fixed("a", "b"), func(_ *Watcher, state *State) {
		n.set("a", silentBoth)
		n.set("b", silentBoth)
		time.Sleep(time.Minute)
		n.set("b", none)
		assert.Assert(t, arrival(n, state, 5) <= 4*time.Second)
	})
}

func TestSourcesOfTwoZonesAreFollowed(t *testing.T) {
	n := newNetwork("a1", "a2", "b1")
	following(t, n, 2, fixed("a1", "a2", "b1"), func(follower *Watcher, _ *State) {
		got := follower.RespondingSources()
		slices.Sort(got)
		assert.DeepEqual(t, got, []string{"a1", "b1"})
	})
}

func TestSourceNamedNoMoreIsLeft(t *testing.T) {
	n := newNetwork("a", "b", "c")
	var mu sync.Mutex
	named := targets("a", "b")
	following(t, n, 2, func() []Endpoint {
		mu.Lock()
		defer mu.Unlock()
		return named
	}, func(follower *Watcher, state *State) {
		mu.Lock()
		named = targets("b", "c")
		mu.Unlock()
		time.Sleep(2 * time.Second)
		got := follower.RespondingSources()
		slices.Sort(got)
		assert.DeepEqual(t, got, []string{"b", "c"})
		assert.Assert(t, arrival(n, state, 3) <= 2*oneWay)
	})
}

func TestAllSourcesAreFollowedWhereNoCountIsSet(t *testing.T) {
	n := newNetwork("a", "b", "c")
	var mu sync.Mutex
	named := targets("a")
	following(t, n, 0, func() []Endpoint {
		mu.Lock()
		defer mu.Unlock()
		return named
	}, func(follower *Watcher, _ *State) {
		mu.Lock()
		named = targets("a", "b", "c")
		mu.Unlock()
		time.Sleep(2*reconsiderMost + time.Second)
		assert.Equal(t, len(follower.RespondingSources()), 3)
	})
}

func TestAgentThatStartsAnewTakesNothingBack(t *testing.T) {
	n := newNetwork("agent")
	following(t, n, 1, fixed("agent"), func(_ *Watcher, state *State) {
		n.tell(7)
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
		assert.Assert(t, arrival(n, state, 8) <= 2*oneWay)
	})
}

func TestIdlePollsAreFew(t *testing.T) {
	n := newNetwork("a", "b", "c")
	following(t, n, 2, fixed("a", "b", "c"), func(_ *Watcher, _ *State) {
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
		assert.Assert(t, total <= 200, "%d polls", total)
	})
}
