// Package agent is the role beside each proxy: it keeps the link to the coordinators and feeds the proxy over
// loopback. It holds nothing that it may not lose.
package agent

import (
	"context"
	"sync"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/peers"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/settings"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

// coordinatorsFollowed is how many coordinators an agent follows at a time: one that is silent or lags delays nothing.
const coordinatorsFollowed = 2

// Agent is one running agent.
type Agent struct {
	live    *settings.Live
	log     hclog.Logger
	self    *tierpb.Node
	client  *rpc.Client
	server  *rpc.Server
	state   *watch.State
	sampler *peers.Sampler
}

// Run runs the role until the context ends.
func Run(ctx context.Context, live *settings.Live, log hclog.Logger) error {
	a := newAgent(live, log)
	defer a.client.Close()
	defer a.server.Close()
	if err := a.listen(ctx); err != nil {
		return err
	}
	log.Info("agent runs", "node", a.self.Name, "address", a.self.Address)
	var running sync.WaitGroup
	running.Go(func() { a.sampler.Run(ctx) })
	running.Go(func() { a.logChanges(ctx) })
	running.Go(func() { watch.Run(ctx, a.followOptions()) })
	running.Wait()
	log.Info("agent stops")
	return nil
}

func newAgent(live *settings.Live, log hclog.Logger) *Agent {
	own := live.Current()
	a := &Agent{live: live, log: log, client: rpc.NewClient(), server: rpc.NewServer(), state: watch.NewState()}
	a.self = &tierpb.Node{
		Name: own.NodeName, Address: own.InternalAddress(own.IP, settings.AgentPortOffset), Zone: own.Zone, Role: tierpb.Role_ROLE_AGENT,
	}
	a.sampler = peers.NewSampler(a.self, a.client, a.seeds)
	a.sampler.Serve(a.server)
	watch.Serve(a.server, a.state)
	rpc.Handle(a.server, rpc.MethodPing, a.ping)
	return a
}

// listen opens the inner listener for other machines and the one for the proxy: a socket bound to the machine's address
// is not reached at the loopback address.
func (a *Agent) listen(ctx context.Context) error {
	addresses := []string{a.self.Address}
	if local := a.live.Current().AgentAddress(); local != a.self.Address {
		addresses = append(addresses, local)
	}
	for _, address := range addresses {
		listener, err := rpc.Listen(ctx, address)
		if err != nil {
			return eris.Wrapf(err, "inner listener %s", address)
		}
		go func() { _ = a.server.Serve(listener) }()
	}
	return nil
}

func (a *Agent) ping(context.Context, *tierpb.PingRequest) (*tierpb.PingReply, error) {
	return &tierpb.PingReply{Node: a.self}, nil
}

func (a *Agent) seeds() []string { return a.live.Current().SeedCoordinators() }

func (a *Agent) followOptions() watch.Options {
	return watch.Options{
		Caller: a.client, State: a.state, Endpoints: a.targets, MaxSources: coordinatorsFollowed, Self: a.self,
		Reconcile: true, OnSourceChange: a.logCoordinator,
	}
}

func (a *Agent) targets() []watch.Endpoint {
	return watch.CoordinatorEndpoints(a.self, a.state, a.sampler.Nodes(tierpb.Role_ROLE_COORDINATOR), a.seeds())
}

func (a *Agent) logCoordinator(address string, answers bool) {
	if answers {
		a.log.Info("coordinator answers", "address", address)
		return
	}
	a.log.Warn("coordinator does not answer", "address", address)
}

// logChanges tells of new control states and changes of the number of stores.
func (a *Agent) logChanges(ctx context.Context) {
	counts, version := storeCounts{}, uint64(0)
	for {
		changed := a.state.Changed()
		if newest := a.state.Control(); newest.GetVersion() != version {
			version = newest.Version
			a.log.Info("control state", "version", version, "generation", newest.Configuration.GetGeneration(),
				"voters", len(newest.Voters), "stores", len(newest.Stores.GetCurrent()))
		}
		if now := a.countStores(); now != counts {
			counts = now
			a.log.Info("stores", "ready", now.ready, "silent", now.silent, "draining", now.draining)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// storeCounts is how many stores there are by state.
type storeCounts struct{ ready, silent, draining int }

func (a *Agent) countStores() storeCounts {
	return storeCounts{
		ready:    a.state.Count(tierpb.InstanceState_INSTANCE_READY),
		silent:   a.state.Count(tierpb.InstanceState_INSTANCE_SUSPECT),
		draining: a.state.Count(tierpb.InstanceState_INSTANCE_DRAINING),
	}
}
