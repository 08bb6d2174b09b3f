package fleet

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/simulation"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

// followed is how many coordinators an agent follows, as in package agent.
const followed = 2

// agent is a hollow one: a State that a Follower keeps up to date, and what the checks remember of it.
type agent struct {
	fleet   *fleet
	machine *simulation.Machine
	self    *tierpb.Node
	state   *watch.State
	cancel  context.CancelFunc

	version  uint64 // of the State, up to which it was checked
	control  uint64
	terminal map[string]tierpb.InstanceState
	complete bool // it knew all once

	mu       sync.Mutex
	bytes    int
	heardAt  time.Time
	answers  map[string]time.Time // by source, the last one
	greatest time.Duration        // between two answers
}

func newAgent(f *fleet, i int) *agent {
	address := fmt.Sprintf("10.1.%d.1:7001", i)
	return &agent{
		fleet: f, machine: f.network.NewMachine(address, f.random),
		self: &tierpb.Node{Name: fmt.Sprintf("edge-%d", i), Address: address, Zone: zoneOf(i), Role: tierpb.Role_ROLE_AGENT},
	}
}

// start begins a life that knows nothing but the seeds.
func (a *agent) start() {
	if a.cancel != nil {
		a.cancel()
	}
	life := a.machine.Start()
	a.state = watch.NewState()
	a.version, a.control, a.complete, a.terminal = 0, 0, false, make(map[string]tierpb.InstanceState)
	a.forget()
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	state := a.state
	seeds := []string{a.fleet.coordinators[0].self.Address, a.fleet.coordinators[1].self.Address, a.fleet.coordinators[2].self.Address}
	options := watch.Options{
		Caller: &counting{agent: a, inner: &caller{fleet: a.fleet, inner: life.Caller()}}, State: state, MaxSources: followed, Self: a.self,
		Endpoints: func() []watch.Endpoint { return watch.CoordinatorEndpoints(a.self, state, nil, seeds) },
	}
	a.fleet.running.Go(func() { watch.Run(ctx, options) })
}

// forget begins new counts.
func (a *agent) forget() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bytes, a.heardAt, a.greatest, a.answers = 0, time.Now(), 0, make(map[string]time.Time)
}

func (a *agent) carried() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bytes
}

func (a *agent) heard(source string, bytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.bytes += bytes
	a.greatest = max(a.greatest, now.Sub(a.heardAt))
	a.heardAt = now
	a.answers[source] = now
}

// followsOnly says that all that answered within the last second are among the coordinators.
func (a *agent) followsOnly(among []*coordinator) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	others := 0
	for address, at := range a.answers {
		if time.Since(at) <= time.Second && !slices.ContainsFunc(among, func(c *coordinator) bool { return c.self.Address == address }) {
			others++
		}
	}
	return others == 0
}

// longestUnheard is the longest time without any answer of a source.
func (a *agent) longestUnheard() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(a.greatest, time.Since(a.heardAt))
}

func (a *agent) knowsAll() bool {
	return a.state.Control() != nil && a.state.Count(tierpb.InstanceState_INSTANCE_READY) >= a.fleet.steadyStores()
}

// check holds the invariants: the control state never goes back, what has ended stays ended, and a list that was whole
// keeps all stores that are well.
func (a *agent) check() {
	t := a.fleet.t
	control := a.state.Control().GetVersion()
	if control < a.control {
		t.Fatalf("%s went back from control state %d to %d", a.self.Name, a.control, control)
	}
	a.control = control
	changed, version := a.state.ChangedSince(a.version)
	a.version = version
	for _, instance := range changed {
		if before, ended := a.terminal[instance.Id]; ended && instance.State < before {
			t.Fatalf("%s: %s came back", a.self.Name, instance.Id)
		}
		if watch.IsTerminal(instance.State) {
			a.terminal[instance.Id] = instance.State
		}
	}
	known := a.knowsAll()
	a.complete = a.complete || known
	if a.complete && !known && !a.fleet.growing {
		t.Fatalf("%s lost stores: %d left", a.self.Name, a.state.Count(tierpb.InstanceState_INSTANCE_READY))
	}
}

// counting adds up what an agent's polls carry.
type counting struct {
	agent *agent
	inner rpc.Caller
}

func (c *counting) Call(ctx context.Context, address string, method rpc.Method, request, reply rpc.Message) error {
	err := c.inner.Call(ctx, address, method, request, reply)
	if err == nil {
		c.agent.heard(address, pollBytes(request, reply))
	}
	return err
}
