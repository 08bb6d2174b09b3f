// Package proxy is the data plane of the serving tier: it accepts client requests, asks admission when and to which store
// to send each one, and forwards the store's response.
//
// A request passes through these files: server.go accepts the connection (drain.go shuts down), handler.go reads the request and finds its
// route, turn.go fetches the previous turns and reserves budget, exchange.go sends it to stores until one responds,
// response.go or stream.go forwards the response, and result.go counts and logs how the request ended. The configuration
// and the endpoint list come from the agent on the same machine (snapshot.go, endpoints.go). A request is served with the
// configuration that was current when it arrived.
//
// The proxy guarantees that a request on a route that is not idempotent is executed at most once, that a client never
// receives the response to another request, that a truncated response never looks complete, and that the statuses 402,
// 408, 429 and 503 are sent only if the request has not been executed and never will be. Package invariant checks some of
// these guarantees at run time.
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

const (
	turnCacheDivisor = 24 // the turn cache may use this fraction of the setting limits.memoryMb
	bytesPerMb       = 1 << 20
)

// Proxy is the HTTP handler for client requests. It is safe for concurrent use.
type Proxy struct {
	log             hclog.Logger
	state           *watch.State
	snapshots       latestSnapshot
	endpoints       endpointList
	transport       *upstream.Transport
	dispatcher      *admission.Dispatcher
	turns           turnStoreClient
	budgets         budgetClient
	turnStoreHealth turnStoreHealth
	drain           drainState
	endpointsKnown  atomic.Bool // whether any store has ever been known
	updates         changeBroadcaster
	mismatches      mismatchLog
	requestLog      requestLog
	started         time.Time
}

// New creates a proxy that follows a watched state. It cannot serve turns that are retained or have a budget until the
// clients of the turn stores are set, as Run does.
func New(log hclog.Logger, zone string, state *watch.State) *Proxy {
	ejections := &ejectionLog{log: log}
	p := &Proxy{
		log: log, state: state, transport: upstream.NewTransport(),
		dispatcher: admission.New(admission.Options{Zone: zone, OnHealthChange: ejections.record}), started: time.Now(),
	}
	p.updates.channel = make(chan struct{})
	p.snapshots.log = log
	p.endpoints.byService = make(map[string]map[string]*tierpb.Instance)
	p.endpoints.byInstance = make(map[string]*tierpb.Instance)
	return p
}

// Run serves client requests until ctx ends and then shuts down gracefully: it returns when all requests that were read
// are answered, or at the end of the grace period (setting bounds.graceS, default 8 s).
func Run(ctx context.Context, live *settings.Live, log hclog.Logger) error {
	current := live.Current()
	caller := rpc.NewClient()
	defer caller.Close()
	state := watch.NewState()
	p := New(log, current.Zone, state)
	defer p.transport.Close()
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
	clients.drain(newDrainSchedule(time.Now(), settings.Seconds(live.Current().Bounds.GraceS, defaultGracePeriod)))
	p.awaitTurnStoreCalls(settlementTimeout)
	_ = readinessServer.Close()
	return nil
}

// awaitTurnStoreCalls waits up to timeout for budget settlements and extensions of retention in flight. A reservation that is not
// settled stays charged in full; the turn stores make up for extensions.
func (p *Proxy) awaitTurnStoreCalls(timeout time.Duration) {
	ended := make(chan struct{})
	go func() {
		p.budgets.Wait()
		p.turns.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(timeout):
	}
}

// connectTurnStores creates the clients of the turn stores.
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

// watchOptions returns the options to follow the agent on the same machine.
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

// followState applies changes of the watched state until ctx ends.
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

// applyState applies the latest control state and endpoint list. It must not be called concurrently.
func (p *Proxy) applyState() {
	previous := p.snapshots.load()
	p.snapshots.apply(p.state.Control())
	current := p.snapshots.load()
	if previous.membership == nil && current.membership != nil {
		p.updates.notify()
	}
	changedServices := p.endpoints.update(p.state)
	if p.endpoints.everHadStores() {
		p.endpointsKnown.Store(true)
	}
	if current.configuration == nil {
		return
	}
	if current.configuration != previous.configuration {
		changedServices = servicesOf(current.configuration, previous.configuration)
	}
	for name := range changedServices {
		p.updateAdmission(current, name)
	}
	if len(changedServices) > 0 {
		p.transport.Retain(p.endpoints.inUse)
		p.updates.notify()
	}
}

// updateAdmission passes the current stores of a service to admission.
func (p *Proxy) updateAdmission(current *snapshot, name string) {
	service := current.configuration.Service(name)
	if service == nil {
		p.dispatcher.SetStores(name, false, 0, nil)
		return
	}
	slots := 0
	if service.Engine != nil {
		slots = service.Engine.Slots
	}
	p.dispatcher.SetStores(name, service.Engine != nil, slots, p.endpoints.stores(name, time.Now()))
}

// initialLimits apply until the first configuration arrives.
var initialLimits = configuration.Limits{
	MaxHeaderBytes: 64 << 10, MaxBodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 30 * time.Second,
}

// limits returns the limits of the configuration, or initialLimits before the first one.
func (p *Proxy) limits(current *snapshot) configuration.Limits {
	if current.configuration == nil {
		return initialLimits
	}
	return current.configuration.Limits
}

// readinessRouter serves the readiness endpoint.
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
	return !p.drain.active() && p.snapshots.load().configuration != nil && p.endpointsKnown.Load()
}
