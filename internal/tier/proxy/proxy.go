// Package proxy is the data plane of the serving tier: it takes clients' requests, has admission decide when and to which
// store each one leaves, and passes the stores' answers on.
package proxy

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/admission"
	"pulleygw.example/pulleygw/internal/tier/budget"
	"pulleygw.example/pulleygw/internal/tier/configuration"
	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/settings"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/turns"
	"pulleygw.example/pulleygw/internal/tier/upstream"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

// Shares of limits.memoryMb.
const (
	turnCacheDivisor = 24
	bytesPerMb       = 1 << 20
)

// Proxy serves clients. It is safe for concurrent use.
type Proxy struct {
	log            hclog.Logger
	state          *watch.State
	snapshots      snapshotHolder
	endpoints      endpointList
	pools          *upstream.Transport
	admit          *admission.Dispatcher
	turns          turnStoreClient
	budgets        budgetClient
	draining       atomic.Bool
	endpointsKnown atomic.Bool // at least one store was ever known
	updates        updates
	mismatches     mismatchLog
	requestLog     requestLog
	started        time.Time
}

// New makes a proxy that follows a state. What keeps turns and budgets is set by the caller.
func New(log hclog.Logger, zone string, state *watch.State) *Proxy {
	p := &Proxy{
		log: log, state: state, pools: upstream.NewTransport(),
		admit: admission.New(admission.Options{Zone: zone}), started: time.Now(),
	}
	p.updates.channel = make(chan struct{})
	p.snapshots.log = log
	p.endpoints.byService = make(map[string]map[string]*tierpb.Instance)
	p.endpoints.byInstance = make(map[string]*tierpb.Instance)
	return p
}

// Run serves until ctx ends and all requests that were read are answered, or the time for that is over.
func Run(ctx context.Context, live *settings.Live, log hclog.Logger) error {
	current := live.Current()
	caller := rpc.NewClient()
	defer caller.Close()
	state := watch.NewState()
	p := New(log, current.Zone, state)
	defer p.pools.Close()
	p.connectTurnStores(caller, current)

	front, err := net.Listen("tcp4", current.Listen.Front)
	if err != nil {
		return eris.Wrap(err, "listen for clients")
	}
	readiness, err := net.Listen("tcp4", current.Listen.Readiness)
	if err != nil {
		_ = front.Close()
		return eris.Wrap(err, "listen for readiness")
	}
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go watch.Run(inner, watchOptions(caller, state, current))
	clients := newClientServer(p, front.(*net.TCPListener))
	go p.followState(inner, clients)
	go clients.serve()
	probes := &http.Server{Handler: p.readinessRouter(), ReadHeaderTimeout: readinessHeaderTimeout, ErrorLog: discardLogger}
	go func() { _ = probes.Serve(readiness) }()

	<-ctx.Done()
	clients.drain(settings.Seconds(live.Current().Bounds.GraceS, defaultGracePeriod))
	p.awaitSettlement(settlementTimeout)
	_ = probes.Close()
	return nil
}

// awaitSettlement waits for claims that are being settled: one that is left unsettled counts at its most for good.
func (p *Proxy) awaitSettlement(most time.Duration) {
	settled := make(chan struct{})
	go func() {
		p.budgets.Wait()
		close(settled)
	}()
	select {
	case <-settled:
	case <-time.After(most):
	}
}

// connectTurnStores makes the clients of the turn stores.
func (p *Proxy) connectTurnStores(caller rpc.Caller, current *settings.Settings) {
	options := replica.Options{
		Caller:     caller,
		Membership: func() *tierpb.StoreMembership { return p.snapshots.load().membership },
		Tolerance:  current.FaultTolerance.MemberFailures(),
		Zone:       current.Zone,
		CacheBytes: current.Limits.MemoryMb * bytesPerMb / turnCacheDivisor,
	}
	p.turns, p.budgets = turns.NewClient(options), budget.NewClient(options)
}

// watchOptions has the proxy follow the agent on its own machine.
func watchOptions(caller rpc.Caller, state *watch.State, current *settings.Settings) watch.Options {
	agent := watch.Endpoint{Address: current.AgentAddress(), Zone: current.Zone}
	return watch.Options{
		Caller:     caller,
		State:      state,
		Endpoints:  func() []watch.Endpoint { return []watch.Endpoint{agent} },
		MaxSources: 1,
		Self:       &tierpb.Node{Name: current.NodeName, Zone: current.Zone, Role: tierpb.Role_ROLE_PROXY},
	}
}

// followState folds what the agent tells into what requests are served by.
func (p *Proxy) followState(ctx context.Context, clients *clientServer) {
	for {
		changed := p.state.Changed()
		limits := p.limits(p.snapshots.load())
		p.applyState()
		if p.limits(p.snapshots.load()) != limits {
			clients.applyLimits()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// applyState takes in the newest control state and list.
func (p *Proxy) applyState() {
	known := p.snapshots.load()
	before := known.configuration
	p.snapshots.apply(p.state.Control())
	current := p.snapshots.load()
	if known.membership == nil && current.membership != nil {
		p.updates.notify()
	}
	touched := p.endpoints.update(p.state)
	if p.endpoints.any() {
		p.endpointsKnown.Store(true)
	}
	if current.configuration == nil {
		return
	}
	if current.configuration != before {
		touched = p.endpoints.servicesOf(current, before)
	}
	for name := range touched {
		p.updateAdmission(current, name)
	}
	if len(touched) > 0 {
		p.pools.Retain(p.endpoints.inUse)
		p.updates.notify()
	}
}

// updateAdmission tells admission the stores of a service.
func (p *Proxy) updateAdmission(current *snapshot, name string) {
	service := current.configuration.Service(name)
	if service == nil {
		p.admit.SetStores(name, false, 0, nil)
		return
	}
	slots := 0
	if service.Engine != nil {
		slots = service.Engine.Slots
	}
	p.admit.SetStores(name, service.Engine != nil, slots, p.endpoints.stores(name, time.Now()))
}

// limits are those of the configuration, or defaults before the first.
func (p *Proxy) limits(current *snapshot) configuration.Limits {
	if current.configuration == nil {
		return configuration.Limits{
			MaxHeaderBytes: 64 << 10, MaxBodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 30 * time.Second,
		}
	}
	return current.configuration.Limits
}

func (p *Proxy) readinessRouter() http.Handler {
	router := chi.NewRouter()
	router.Get("/v1/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !p.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return router
}

// ready says whether new clients are welcome.
func (p *Proxy) ready() bool {
	return !p.draining.Load() && p.snapshots.load().configuration != nil && p.endpointsKnown.Load()
}
