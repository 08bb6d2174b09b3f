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

// coordinator is a hollow coordinator: the registry, the watch and the links to its peers, without the register.
type coordinator struct {
	fleet    *fleet
	machine  *simulation.Machine
	self     *tierpb.Node
	state    *watch.State
	detector *registry.FailureDetector
	cancel   context.CancelFunc
	listed   int

	mu          sync.Mutex
	incarnation *simulation.Incarnation
	poweredOff  bool // its machine has no power: no connection is reset
	answers     map[string]bool
	firstPolls  []time.Time // of agents' first polls, which are answered at once
	polls       int         // of agents
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

// start starts an incarnation that knows nothing.
func (c *coordinator) start() {
	incarnation, state := c.machine.Start(), watch.NewState()
	c.state, c.detector, c.listed = state, registry.NewFailureDetector(heartbeat), 0
	c.mu.Lock()
	c.incarnation, c.poweredOff, c.answers = incarnation, false, make(map[string]bool)
	c.mu.Unlock()
	started := time.Now()
	gate := watch.NewReadinessGate(watch.ReadinessOptions{
		State: state, Ready: c.hasMajority, Starting: func() bool { return time.Since(started) <= startTime },
	})
	rpc.Handle(incarnation.Server, rpc.MethodWatch, func(ctx context.Context, request *tierpb.WatchRequest) (*tierpb.WatchReply, error) {
		return c.watch(ctx, state, gate, request)
	})
	rpc.Handle(incarnation.Server, rpc.MethodAnnounce, func(_ context.Context, request *tierpb.AnnounceRequest) (*tierpb.AnnounceReply, error) {
		return announced(state, request)
	})
	incarnation.Listen()
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	options := watch.Options{
		Caller: c.caller(), State: state, Endpoints: c.targets, Self: c.self, Heartbeats: true,
		OnSourceChange: func(address string, answers bool) {
			c.setAnswering(address, answers)
			gate.Check()
		},
	}
	c.fleet.running.Go(func() { watch.Run(ctx, options) })
}

func (c *coordinator) kill() {
	c.machine.Kill()
	c.cancel()
}

// powerLoss ends the process without resetting its connections.
func (c *coordinator) powerLoss() {
	c.mu.Lock()
	c.poweredOff = true
	c.mu.Unlock()
	c.machine.PowerLoss()
	c.cancel()
}

// current returns the newest incarnation, and whether the machine is powered off.
func (c *coordinator) current() (*simulation.Incarnation, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.incarnation, c.poweredOff
}

func (c *coordinator) alive() bool { return c.machine.Running() }

func (c *coordinator) caller() rpc.Caller {
	return &caller{fleet: c.fleet, inner: c.incarnation.Caller()}
}

func (c *coordinator) targets() []watch.Endpoint {
	var targets []watch.Endpoint
	for _, other := range c.fleet.coordinators {
		if other != c {
			targets = append(targets, watch.Endpoint{Address: other.self.Address, Zone: other.self.Zone})
		}
	}
	return targets
}

func (c *coordinator) setAnswering(address string, answers bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[address] = answers
}

func (c *coordinator) respondingPeers() []*tierpb.Node {
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

func (c *coordinator) hasMajority() bool { return len(c.respondingPeers()) > coordinatorCount/2 }

// watch answers as the role does: a partitioned coordinator sends followers elsewhere.
func (c *coordinator) watch(ctx context.Context, state *watch.State, gate *watch.ReadinessGate, request *tierpb.WatchRequest) (*tierpb.WatchReply, error) {
	if request.Watcher.GetRole() == tierpb.Role_ROLE_COORDINATOR {
		return state.Watch(ctx, request)
	}
	c.mu.Lock()
	c.polls++
	if request.WaitMs == 0 {
		c.firstPolls = append(c.firstPolls, time.Now())
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

// runMaintenance marks suspect stores and advertises the coordinators that respond.
func (c *coordinator) runMaintenance() {
	if !c.alive() {
		return
	}
	peers := c.respondingPeers()
	if len(peers) != c.listed {
		c.listed = len(peers)
		c.state.AdvertiseCoordinators(peers)
	}
	for _, suspect := range c.detector.Observe(time.Now(), c.hasMajority(), c.state.Instances()) {
		c.state.Upsert(suspect)
	}
}

// reset sets the counts of polls to zero.
func (c *coordinator) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.polls, c.firstPolls = 0, nil
}

// maxFirstPolls returns the largest number of first polls within a span.
func (c *coordinator) maxFirstPolls(span time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	most, from := 0, 0
	for to, at := range c.firstPolls {
		for at.Sub(c.firstPolls[from]) > span {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// caller fails calls at once when the callee's process ends, as a reset connection does.
type caller struct {
	fleet *fleet
	inner rpc.Caller
}

func (c *caller) Call(ctx context.Context, address string, method rpc.Method, request, reply rpc.Message) error {
	target := c.fleet.coordinatorAt(address)
	incarnation, _ := target.current()
	if incarnation == nil {
		return c.inner.Call(ctx, address, method, request, reply)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-incarnation.Ended():
			if _, poweredOff := target.current(); !poweredOff {
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
