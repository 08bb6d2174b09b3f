// Package agent implements the agent, the role that runs beside the proxy on each machine. It watches the coordinators and
// serves their control state and list of instances to the proxy over loopback, so that the proxy's watch does not leave
// the machine and the coordinators have only one watcher per machine. It keeps no state across restarts.
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

// maxWatchedCoordinators is how many coordinators an agent watches at a time. With two, a coordinator that lags or does not
// answer delays no updates; more would only add load.
const maxWatchedCoordinators = 2

// agent holds the parts of a running agent.
type agent struct {
	settings *settings.Live
	log      hclog.Logger
	self     *tierpb.Node
	client   *rpc.Client
	server   *rpc.Server
	state    *watch.State
	sampler  *peers.Sampler
}

// Run runs the role until ctx ends. It returns an error only if it cannot listen on an internal address.
func Run(ctx context.Context, live *settings.Live, log hclog.Logger) error {
	a := newAgent(live, log)
	defer a.client.Close()
	defer a.server.Close()
	if err := a.listen(ctx); err != nil {
		return err
	}
	log.Info("agent started", "node", a.self.Name, "address", a.self.Address)
	var tasks sync.WaitGroup
	tasks.Go(func() { a.sampler.Run(ctx) })
	tasks.Go(func() { a.logChanges(ctx) })
	tasks.Go(func() { watch.Run(ctx, a.watchOptions()) })
	tasks.Wait()
	log.Info("agent stopped")
	return nil
}

func newAgent(live *settings.Live, log hclog.Logger) *agent {
	current := live.Current()
	self := &tierpb.Node{
		Name:    current.NodeName,
		Address: current.InternalAddress(current.IP, settings.AgentPortOffset),
		Zone:    current.Zone,
		Role:    tierpb.Role_ROLE_AGENT,
	}
	a := &agent{
		settings: live, log: log, self: self,
		client: rpc.NewClient(), server: rpc.NewServer(), state: watch.NewState(),
	}
	a.sampler = peers.NewSampler(a.self, a.client, a.seedAddresses)
	a.sampler.Serve(a.server)
	watch.Serve(a.server, a.state)
	rpc.Handle(a.server, rpc.MethodPing, a.ping)
	return a
}

// listen opens the listener at the machine's internal address and, if it differs, the one at the loopback address for the
// proxy: a socket bound to the machine's address cannot be reached at the loopback address.
func (a *agent) listen(ctx context.Context) error {
	addresses := []string{a.self.Address}
	if local := a.settings.Current().AgentAddress(); local != a.self.Address {
		addresses = append(addresses, local)
	}
	for _, address := range addresses {
		listener, err := rpc.Listen(ctx, address)
		if err != nil {
			return eris.Wrapf(err, "internal listener %s", address)
		}
		go func() { _ = a.server.Serve(listener) }()
	}
	return nil
}

func (a *agent) ping(context.Context, *tierpb.PingRequest) (*tierpb.PingReply, error) {
	return &tierpb.PingReply{Node: a.self}, nil
}

func (a *agent) seedAddresses() []string { return a.settings.Current().SeedCoordinators() }

func (a *agent) watchOptions() watch.Options {
	return watch.Options{
		Caller:         a.client,
		State:          a.state,
		Endpoints:      a.endpoints,
		MaxSources:     maxWatchedCoordinators,
		Self:           a.self,
		Reconcile:      true,
		OnSourceChange: a.logSourceChange,
	}
}

func (a *agent) endpoints() []watch.Endpoint {
	return watch.CoordinatorEndpoints(a.self, a.state, a.sampler.Nodes(tierpb.Role_ROLE_COORDINATOR), a.seedAddresses())
}
