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

func newTestState() (*State, *fakeClock) {
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

// describedInstance returns an instance with a realistic description.
func describedInstance(i int, sequence uint64, state tierpb.InstanceState) *tierpb.Instance {
	return &tierpb.Instance{
		Id: fmt.Sprintf("i-%010x", i), Backend: "backend-a", Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250),
		Zone: "cheonan-yard", Generation: "v1", Slots: 32, State: state, Sequence: sequence, Models: []string{"m"},
	}
}

func pollState(t *testing.T, s *State, request *tierpb.WatchRequest) *tierpb.WatchReply {
	t.Helper()
	reply, err := s.Watch(context.Background(), request)
	assert.NilError(t, err)
	return reply
}

func isClosed(channel <-chan struct{}) bool {
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
	noFault     fault = iota
	crashed           // calls fail at once
	partitioned       // neither requests nor replies arrive
	repliesLost       // an asymmetric partition: requests arrive, replies do not
	lagging           // the source replies late
)

const oneWayLatency = time.Millisecond // of a request or a reply

// network is an rpc.Caller that calls sources by address, with the fault injected for each. It runs in the virtual time of
// a synctest bubble.
type network struct {
	mu         sync.Mutex
	sources    map[string]*State
	faults     map[string]fault
	calls      map[string]int
	replyBytes int // encoded size of all replies
}

func newNetwork(addresses ...string) *network {
	n := &network{sources: make(map[string]*State), faults: make(map[string]fault), calls: make(map[string]int)}
	for _, address := range addresses {
		n.sources[address] = NewState()
	}
	return n
}

func (n *network) setFault(address string, injected fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[address] = injected
}

func (n *network) lookup(address string) (*State, fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sources[address], n.faults[address]
}

func (n *network) countCall(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls[address]++
}

func (n *network) countReplyBytes(size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.replyBytes += size
}

func (n *network) Call(ctx context.Context, address string, _ rpc.Method, request, reply rpc.Message) error {
	n.countCall(address)
	source, faultBefore := n.lookup(address)
	switch {
	case source == nil || faultBefore == crashed:
		return rpc.ErrUnreachable
	case faultBefore == partitioned:
		<-ctx.Done()
		return rpc.ErrTimeout
	case faultBefore == lagging:
		time.Sleep(3 * time.Second)
	}
	time.Sleep(oneWayLatency)
	answer, err := source.Watch(ctx, request.(*tierpb.WatchRequest))
	if err != nil {
		return rpc.ErrTimeout
	}
	time.Sleep(oneWayLatency)
	if _, faultAfter := n.lookup(address); faultAfter == repliesLost || faultAfter == partitioned {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return rpc.ErrTimeout
	}
	encoded, _ := answer.MarshalVT()
	n.countReplyBytes(len(encoded))
	return reply.(*tierpb.WatchReply).UnmarshalVT(encoded)
}

// setControl sets the control state of all sources.
func (n *network) setControl(version uint64) {
	for _, source := range n.sources {
		source.SetControl(&tierpb.ControlState{Version: version})
	}
}

func endpointsOf(addresses ...string) []Endpoint {
	var all []Endpoint
	for _, address := range addresses {
		all = append(all, Endpoint{Address: address, Zone: "zone-" + address[:1]})
	}
	return all
}

// runWatcher runs a Watcher in a synctest bubble and calls test after two seconds of virtual time.
func runWatcher(t *testing.T, n *network, maxSources int, endpoints func() []Endpoint, test func(*Watcher, *State)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		for address := range n.sources { // created in the bubble, so that they use its clock
			n.sources[address] = NewState()
		}
		ctx, cancel := context.WithCancel(context.Background())
		state := NewState()
		watcher := NewWatcher(Options{Caller: n, State: state, Endpoints: endpoints, MaxSources: maxSources})
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
	return func() []Endpoint { return endpointsOf(addresses...) }
}

// measurePropagation sets a control state at all sources and returns the virtual time until the watcher's state has it.
func measurePropagation(n *network, state *State, version uint64) time.Duration {
	start := time.Now()
	n.setControl(version)
	for state.Control().GetVersion() < version {
		<-state.Changed()
	}
	return time.Since(start)
}
