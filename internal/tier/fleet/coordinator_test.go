package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/registry"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/simulation"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

// coordinator is a hollow one: the list, the watch feed and the links to the others, without the register.
type coordinator struct {
	fleet   *fleet
	machine *simulation.Machine
	self    *tierpb.Node
	state   *watch.State
	silence *registry.FailureDetector
	cancel  context.CancelFunc
	listed  int

	mu       sync.Mutex
	life     *simulation.Incarnation
	dark     bool // its machine is without power: no connection is reset
	answers  map[string]bool
	startsAt []time.Time // first polls of agents: those that are not to be held
	calls    int         // polls of agents
}

func newCoordinator(f *fleet, i int) *coordinator {
	address := fmt.Sprintf("10.0.%d.1:7000", i)
	return &coordinator{
		fleet: f, machine: f.network.NewMachine(address, f.random),
		self: &tierpb.Node{
			Name: fmt.Sprintf("core-%d", i), Address: address, Zone: zoneOf(i), Role: tierpb.Role_ROLE_COORDINATOR,
			Identity: uint64(i + 1),
		},
	}
}

// start begins a life that knows nothing.
func (c *coordinator) start() {
	life, state := c.machine.Start(), watch.NewState()
	c.state, c.silence, c.listed = state, registry.NewFailureDetector(heartbeat), 0
	c.mu.Lock()
	c.life, c.dark, c.answers = life, false, make(map[string]bool)
	c.mu.Unlock()
	started := time.Now()
	gate := watch.NewReadinessGate(watch.ReadinessOptions{
		State: state, Ready: c.inTouch, Starting: func() bool { return time.Since(started) <= startTime },
	})
	rpc.Handle(life.Server, rpc.MethodWatch, func(ctx context.Context, request *tierpb.WatchRequest) (*tierpb.WatchReply, error) {
		return c.watch(ctx, state, gate, request)
	})
	rpc.Handle(life.Server, rpc.MethodAnnounce, func(_ context.Context, request *tierpb.AnnounceRequest) (*tierpb.AnnounceReply, error) {
		return announced(state, request)
	})
	life.Listen()
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	options := watch.Options{
		Caller: c.caller(), State: state, Endpoints: c.targets, Self: c.self, Heartbeats: true,
		OnSourceChange: func(address string, answers bool) {
			c.answering(address, answers)
			gate.Check()
		},
	}
	c.fleet.running.Go(func() { watch.Run(ctx, options) })
}

func (c *coordinator) kill() {
	c.machine.Kill()
	c.cancel()
}

// losePower ends the process without a word to those that are connected.
func (c *coordinator) losePower() {
	c.mu.Lock()
	c.dark = true
	c.mu.Unlock()
	c.machine.PowerLoss()
	c.cancel()
}

// current is the newest life, and whether the machine is without power.
func (c *coordinator) current() (*simulation.Incarnation, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.life, c.dark
}

func (c *coordinator) alive() bool { return c.machine.Running() }

func (c *coordinator) caller() rpc.Caller { return &caller{fleet: c.fleet, inner: c.life.Caller()} }

func (c *coordinator) targets() []watch.Endpoint {
	var targets []watch.Endpoint
	for _, other := range c.fleet.coordinators {
		if other != c {
			targets = append(targets, watch.Endpoint{Address: other.self.Address, Zone: other.self.Zone})
		}
	}
	return targets
}

func (c *coordinator) answering(address string, answers bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[address] = answers
}

func (c *coordinator) heard() []*tierpb.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	nodes := []*tierpb.Node{c.self}
	for _, other := range c.fleet.coordinators {
		if c.answers[other.self.Address] {
			nodes = append(nodes, other.self)
		}
	}
	return nodes
}

func (c *coordinator) inTouch() bool { return len(c.heard()) > coordinatorCount/2 }

// watch is as in the role: one that is cut off sends followers elsewhere.
func (c *coordinator) watch(ctx context.Context, state *watch.State, gate *watch.ReadinessGate, request *tierpb.WatchRequest) (*tierpb.WatchReply, error) {
	if request.Follower.GetRole() == tierpb.Role_ROLE_COORDINATOR {
		return state.Watch(ctx, request)
	}
	c.mu.Lock()
	c.calls++
	if request.WaitMs == 0 {
		c.startsAt = append(c.startsAt, time.Now())
	}
	c.mu.Unlock()
	return gate.Watch(ctx, request)
}

func announced(state *watch.State, request *tierpb.AnnounceRequest) (*tierpb.AnnounceReply, error) {
	for _, instance := range request.Instances {
		state.Upsert(instance)
	}
	return &tierpb.AnnounceReply{}, nil
}

// runMaintenance marks silent stores and lists the coordinators that answer.
func (c *coordinator) runMaintenance() {
	if !c.alive() {
		return
	}
	heard := c.heard()
	if len(heard) != c.listed {
		c.listed = len(heard)
		c.state.AdvertiseCoordinators(heard)
	}
	for _, mark := range c.silence.Observe(time.Now(), c.inTouch(), c.state.Instances()) {
		c.state.Upsert(mark)
	}
}

// reset forgets the polls counted so far.
func (c *coordinator) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls, c.startsAt = 0, nil
}

// densest is the most first polls within a span.
func (c *coordinator) densest(span time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	most, from := 0, 0
	for to, at := range c.startsAt {
		for at.Sub(c.startsAt[from]) > span {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// caller fails calls at once when the process called ends, as a reset connection does.
type caller struct {
	fleet *fleet
	inner rpc.Caller
}

func (c *caller) Call(ctx context.Context, address string, method rpc.Method, request, reply rpc.Message) error {
	target := c.fleet.coordinatorAt(address)
	life, _ := target.current()
	if life == nil {
		return c.inner.Call(ctx, address, method, request, reply)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-life.Ended():
			if _, dark := target.current(); !dark {
				cancel()
			}
		case <-ctx.Done():
		}
	}()
	return c.inner.Call(ctx, address, method, request, reply)
}

func (f *fleet) coordinatorAt(address string) *coordinator {
	for _, c := range f.coordinators {
		if c.self.Address == address {
			return c
		}
	}
	return nil
}
