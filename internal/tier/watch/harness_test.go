package watch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// fakeClock runs timers only when it is advanced.
type fakeClock struct {
	now    time.Time
	timers []fakeTimer
}

type fakeTimer struct {
	at  time.Time
	run func()
}

func newFakeClock() *fakeClock { return &fakeClock{now: time.Unix(1000, 0)} }

func (c *fakeClock) time() time.Time { return c.now }

func (c *fakeClock) after(delay time.Duration, run func()) {
	c.timers = append(c.timers, fakeTimer{c.now.Add(delay), run})
}

func (c *fakeClock) advance(by time.Duration) {
	c.now = c.now.Add(by)
	due := c.timers
	c.timers = nil
	for _, timer := range due {
		if timer.at.After(c.now) {
			c.timers = append(c.timers, timer)
			continue
		}
		timer.run()
	}
}

func testState() (*State, *fakeClock) {
	clock := newFakeClock()
	return newState(clock.time, clock.after), clock
}

const (
	ready        = tierpb.InstanceState_INSTANCE_READY
	suspect      = tierpb.InstanceState_INSTANCE_SUSPECT
	draining     = tierpb.InstanceState_INSTANCE_DRAINING
	deregistered = tierpb.InstanceState_INSTANCE_DEREGISTERED
)

func instance(id string, sequence uint64, state tierpb.InstanceState) *tierpb.Instance {
	return &tierpb.Instance{Id: id, Sequence: sequence, State: state, Address: "10.0.0.1:80"}
}

// described returns an instance with a realistic description.
func described(i int, sequence uint64, state tierpb.InstanceState) *tierpb.Instance {
	return &tierpb.Instance{
		Id: fmt.Sprintf("i-%010x", i), Backend: "backend-a", Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250),
		Zone: "cheonan-yard", Generation: "v1", Slots: 32, State: state, Sequence: sequence, Models: []string{"m"},
	}
}

func ask(t *testing.T, s *State, request *tierpb.WatchRequest) *tierpb.WatchReply {
	t.Helper()
	reply, err := s.Watch(context.Background(), request)
	assert.NilError(t, err)
	return reply
}

func closed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// fault is how the network or the process behind a source fails.
type fault uint8

const (
	none         fault = iota
	crashed            // calls fail at once
	partitioned        // neither requests nor replies arrive
	repliesLost        // an asymmetric partition: requests arrive, replies do not
	slowToAnswer       // the source lags
)

const oneWay = time.Millisecond

// network calls sources by address, with the fault injected for each. It runs in the virtual time of a synctest bubble.
type network struct {
	mu      sync.Mutex
	sources map[string]*State
	faults  map[string]fault
	calls   map[string]int
	bytes   int // of replies
}

func newNetwork(addresses ...string) *network {
	n := &network{sources: make(map[string]*State), faults: make(map[string]fault), calls: make(map[string]int)}
	for _, address := range addresses {
		n.sources[address] = NewState()
	}
	return n
}

func (n *network) set(address string, to fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[address] = to
}

func (n *network) look(address string) (*State, fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sources[address], n.faults[address]
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
	case source == nil || before == crashed:
		return rpc.ErrUnreachable
	case before == partitioned:
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
	if _, after := n.look(address); after == repliesLost || after == partitioned {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return rpc.ErrTimeout
	}
	encoded, _ := answer.MarshalVT()
	n.carry(len(encoded))
	return reply.(*tierpb.WatchReply).UnmarshalVT(encoded)
}

// setControl sets the control state of all sources.
func (n *network) setControl(version uint64) {
	for _, source := range n.sources {
		source.SetControl(&tierpb.ControlState{Version: version})
	}
}

func endpoints(addresses ...string) []Endpoint {
	var all []Endpoint
	for _, address := range addresses {
		all = append(all, Endpoint{Address: address, Zone: "zone-" + address[:1]})
	}
	return all
}

// runWatcher runs a Watcher in a bubble and passes it to the test after two seconds.
func runWatcher(t *testing.T, n *network, maxSources int, list func() []Endpoint, test func(*Watcher, *State)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		for address := range n.sources { // made in the bubble, for its clock
			n.sources[address] = NewState()
		}
		ctx, cancel := context.WithCancel(context.Background())
		state := NewState()
		watcher := NewWatcher(Options{Caller: n, State: state, Endpoints: list, MaxSources: maxSources})
		done := make(chan struct{})
		go func() {
			defer close(done)
			watcher.Run(ctx)
		}()
		defer func() {
			cancel()
			<-done
		}()
		time.Sleep(2 * time.Second)
		test(watcher, state)
	})
}

func fixedEndpoints(addresses ...string) func() []Endpoint {
	return func() []Endpoint { return endpoints(addresses...) }
}

// arrival returns how long, in virtual time, a control state set now takes to arrive.
func arrival(n *network, state *State, version uint64) time.Duration {
	start := time.Now()
	n.setControl(version)
	for state.Control().GetVersion() < version {
		<-state.Changed()
	}
	return time.Since(start)
}
