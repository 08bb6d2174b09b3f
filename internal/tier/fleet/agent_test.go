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

// sourcesPerAgent is the number of coordinators that an agent follows, as in package agent.
const sourcesPerAgent = 2

// agent is a hollow agent: a watch.State that a follower keeps up to date, and the records of the checks.
type agent struct {
	fleet   *fleet
	machine *simulation.Machine
	self    *tierpb.Node
	state   *watch.State
	cancel  context.CancelFunc

	version  uint64 // of the State, up to which it was checked
	control  uint64
	terminal map[string]tierpb.InstanceState
	complete bool // it has known all stores once

	mu          sync.Mutex
	bytes       int
	lastReply   time.Time
	lastReplies map[string]time.Time // by source
	longestGap  time.Duration        // between two replies
}

func newAgent(f *fleet, i int) *agent {
	address := fmt.Sprintf("10.1.%d.1:7001", i)
	return &agent{
		fleet: f, machine: f.network.NewMachine(address, f.random),
		self: &tierpb.Node{Name: fmt.Sprintf("edge-%d", i), Address: address, Zone: zoneOf(i), Role: tierpb.Role_ROLE_AGENT},
	}
}

// start starts an incarnation that knows only the seeds.
func (a *agent) start() {
	if a.cancel != nil {
		a.cancel()
	}
	incarnation := a.machine.Start()
	a.state = watch.NewState()
	a.version, a.control, a.complete, a.terminal = 0, 0, false, make(map[string]tierpb.InstanceState)
	a.resetCounts()
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	state := a.state
	seeds := []string{a.fleet.coordinators[0].self.Address, a.fleet.coordinators[1].self.Address, a.fleet.coordinators[2].self.Address}
	options := watch.Options{
		Caller: &countingCaller{agent: a, inner: &caller{fleet: a.fleet, inner: incarnation.Caller()}}, State: state,
		MaxSources: sourcesPerAgent, Self: a.self,
		Endpoints: func() []watch.Endpoint { return watch.CoordinatorEndpoints(a.self, state, nil, seeds) },
	}
	a.fleet.running.Go(func() { watch.Run(ctx, options) })
}

// resetCounts sets the counts to zero.
func (a *agent) resetCounts() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bytes, a.lastReply, a.longestGap, a.lastReplies = 0, time.Now(), 0, make(map[string]time.Time)
}

// bytesCarried returns the bytes of the agent's polls since the last reset.
func (a *agent) bytesCarried() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bytes
}

func (a *agent) recordReply(source string, bytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.bytes += bytes
	a.longestGap = max(a.longestGap, now.Sub(a.lastReply))
	a.lastReply = now
	a.lastReplies[source] = now
}

// followsOnly reports whether all sources that replied within the last second are among the coordinators.
func (a *agent) followsOnly(among []*coordinator) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	others := 0
	for address, at := range a.lastReplies {
		if time.Since(at) <= time.Second && !slices.ContainsFunc(among, func(c *coordinator) bool { return c.self.Address == address }) {
			others++
		}
	}
	return others == 0
}

// longestWithoutSource returns the longest time without a reply of any source.
func (a *agent) longestWithoutSource() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(a.longestGap, time.Since(a.lastReply))
}

// knowsAll reports whether the agent has a control state and all expected stores.
func (a *agent) knowsAll() bool {
	return a.state.Control() != nil && a.state.Count(tierpb.InstanceState_INSTANCE_READY) >= a.fleet.expectedStores()
}

// check checks the invariants: the control state never rolls back, a draining or deregistered store never becomes ready
// again, and an endpoint list that was complete keeps all healthy stores.
func (a *agent) check() {
	t := a.fleet.t
	control := a.state.Control().GetVersion()
	if control < a.control {
		t.Fatalf("%s rolled back from control state %d to %d", a.self.Name, a.control, control)
	}
	a.control = control
	changed, version := a.state.ChangedSince(a.version)
	a.version = version
	for _, instance := range changed {
		if before, ended := a.terminal[instance.Id]; ended && instance.State < before {
			t.Fatalf("%s: %s is ready again", a.self.Name, instance.Id)
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

// countingCaller counts the bytes of an agent's polls.
type countingCaller struct {
	agent *agent
	inner rpc.Caller
}

func (c *countingCaller) Call(ctx context.Context, address string, method rpc.Method, request, reply rpc.Message) error {
	err := c.inner.Call(ctx, address, method, request, reply)
	if err == nil {
		c.agent.recordReply(address, pollBytes(request, reply))
	}
	return err
}
