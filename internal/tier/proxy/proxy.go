// Package proxy is the data plane of the serving tier: it accepts clients' requests, has admission decide when and to
// which store each is sent, and forwards the store's response.
//
// A request passes through these files: server.go accepts the connection, handler.go reads the request and finds its
// route, turn.go fetches the previous turns and reserves budget, exchange.go sends it to stores until one answers,
// response.go or stream.go forwards the answer, and result.go counts and logs how it ended. Configuration and endpoint
// list come from the agent on the same machine (snapshot.go, endpoints.go); a request keeps the configuration that it
// began with.
//
// The proxy guarantees that a request on a route that is not idempotent is executed at most once, that a response is
// never mixed with another request's, that a truncated response never looks complete, and that the statuses 402, 408,
// 429 and 503 are only sent if the request has not been executed and never will be (package invariant checks these at
// run time).
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

// The cache of turns takes a share of the settings' limits.memoryMb.
const (
	turnCacheDivisor = 24
	bytesPerMb       = 1 << 20
)

// Proxy serves clients' requests. It is safe for concurrent use.
type Proxy struct {
	log             hclog.Logger
	state           *watch.State
	snapshots       latestSnapshot
	endpoints       endpointList
	pools           *upstream.Transport
	admit           *admission.Dispatcher
	turns           turnStoreClient
	budgets         budgetClient
	turnStoreHealth turnStoreHealth
	draining        atomic.Bool
	endpointsKnown  atomic.Bool // at least one store was ever known
	updates         updates
	mismatches      mismatchLog
	requestLog      requestLog
	started         time.Time
}

// New makes a proxy that follows a watched state. Requests on routes that retain turns or have budgets need clients of
// the turn stores, which Run sets.
func New(log hclog.Logger, zone string, state *watch.State) *Proxy {
	ejections := &ejectionLog{log: log}
	p := &Proxy{
		log: log, state: state, pools: upstream.NewTransport(),
		admit: admission.New(admission.Options{Zone: zone, OnHealthChange: ejections.record}), started: time.Now(),
	}
	p.updates.channel = make(chan struct{})
	p.snapshots.log = log
	p.endpoints.byService = make(map[string]map[string]*tierpb.Instance)
	p.endpoints.byInstance = make(map[string]*tierpb.Instance)
	return p
}

// Run serves until ctx ends, and then until all requests that were read are answered or the grace period of the
// settings (bounds.graceS, default 8 s) is over.
func Run(ctx context.Context, live *settings.Live, log hclog.Logger) error {
	current := live.Current()
	caller := rpc.NewClient()
	defer caller.Close()
	state := watch.NewState()
	p := New(log, current.Zone, state)
	defer p.pools.Close()
	p.connectTurnStores(caller, current)

	clientListener, err := net.Listen("tcp4", current.Listen.Front)
	if err != nil {
		return eris.Wrap(err, "listen for clients")
	}
	readinessListener, err := net.Listen("tcp4", current.Listen.Readiness)
	if err != nil {
		_ = clientListener.Close()
		return eris.Wrap(err, "listen for readiness")
	}
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go watch.Run(serving, watchOptions(caller, state, current))
	clients := newClientServer(p, clientListener.(*net.TCPListener))
	go p.followState(serving, clients)
	go clients.serve()
	readinessServer := &http.Server{Handler: p.readinessRouter(), ReadHeaderTimeout: readinessHeaderTimeout, ErrorLog: discardLogger}
	go func() { _ = readinessServer.Serve(readinessListener) }()

	<-ctx.Done()
	clients.drain(settings.Seconds(live.Current().Bounds.GraceS, defaultGracePeriod))
	p.awaitSettlement(settlementTimeout)
	_ = readinessServer.Close()
	return nil
}

// awaitSettlement waits for budget settlements that are in flight: a claim that is not settled stays charged with its
// full reservation.
func (p *Proxy) awaitSettlement(timeout time.Duration) {
	settled := make(chan struct{})
	go func() {
		p.budgets.Wait()
		close(settled)
	}()
	select {
	case <-settled:
	case <-time.After(timeout):
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

// watchOptions makes the proxy follow the agent on its own machine.
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

// followState applies every change of the watched state until ctx ends.
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

// applyState takes in the newest control state and endpoint list.
func (p *Proxy) applyState() {
	known := p.snapshots.load()
	before := known.configuration
	p.snapshots.apply(p.state.Control())
	current := p.snapshots.load()
	if known.membership == nil && current.membership != nil {
		p.updates.notify()
	}
	changedServices := p.endpoints.update(p.state)
	if p.endpoints.hasStores() {
		p.endpointsKnown.Store(true)
	}
	if current.configuration == nil {
		return
	}
	if current.configuration != before {
		changedServices = servicesOf(current.configuration, before)
	}
	for name := range changedServices {
		p.updateAdmission(current, name)
	}
	if len(changedServices) > 0 {
		p.pools.Retain(p.endpoints.inUse)
		p.updates.notify()
	}
}

// updateAdmission gives admission the current stores of a service.
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

// initialLimits apply until the first configuration arrives.
var initialLimits = configuration.Limits{
	MaxHeaderBytes: 64 << 10, MaxBodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 30 * time.Second,
}

// limits are those of the configuration, or defaults before the first one.
func (p *Proxy) limits(current *snapshot) configuration.Limits {
	if current.configuration == nil {
		return initialLimits
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

// ready reports whether the proxy accepts new clients.
func (p *Proxy) ready() bool {
	return !p.draining.Load() && p.snapshots.load().configuration != nil && p.endpointsKnown.Load()
}
