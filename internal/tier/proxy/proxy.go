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
	log      hclog.Logger
	state    *watch.State
	views    views
	listing  listing
	pools    *upstream.Transport
	admit    *admission.Dispatcher
	turns    turnKeeper
	budgets  budgetKeeper
	draining atomic.Bool
	listed   atomic.Bool // at least one store was ever known
	news     news
	strays   strays
	requests requestLog
	started  time.Time
}

// New makes a proxy that follows a state. What keeps turns and budgets is set by the caller.
func New(log hclog.Logger, zone string, state *watch.State) *Proxy {
	p := &Proxy{
		log: log, state: state, pools: upstream.NewTransport(),
		admit: admission.New(admission.Options{Zone: zone}), started: time.Now(),
	}
	p.news.channel = make(chan struct{})
	p.views.log = log
	p.listing.services = make(map[string]map[string]*tierpb.Instance)
	p.listing.instances = make(map[string]*tierpb.Instance)
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
	p.useStores(caller, current)

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
	go watch.Run(inner, followerOptions(caller, state, current))
	clients := newFront(p, front.(*net.TCPListener))
	go p.follow(inner, clients)
	go clients.serve()
	probes := &http.Server{Handler: p.readinessRouter(), ReadHeaderTimeout: probeTimeout, ErrorLog: silent}
	go func() { _ = probes.Serve(readiness) }()

	<-ctx.Done()
	clients.drain(settings.Seconds(live.Current().Bounds.GraceS, defaultGrace))
	p.awaitSettlements(settleMargin)
	_ = probes.Close()
	return nil
}

// awaitSettlements waits for claims that are being settled: one that is left unsettled counts at its most for good.
func (p *Proxy) awaitSettlements(most time.Duration) {
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

// useStores makes the clients of the turn stores.
func (p *Proxy) useStores(caller rpc.Caller, current *settings.Settings) {
	options := replica.Options{
		Caller:     caller,
		Membership: func() *tierpb.StoreMembership { return p.views.get().membership },
		Tolerance:  current.FaultTolerance.MemberFailures(),
		Zone:       current.Zone,
		CacheBytes: current.Limits.MemoryMb * bytesPerMb / turnCacheDivisor,
	}
	p.turns, p.budgets = turns.NewClient(options), budget.NewClient(options)
}

// followerOptions has the proxy follow the agent on its own machine.
func followerOptions(caller rpc.Caller, state *watch.State, current *settings.Settings) watch.Options {
	agent := watch.Endpoint{Address: current.AgentAddress(), Zone: current.Zone}
	return watch.Options{
		Caller:     caller,
		State:      state,
		Endpoints:  func() []watch.Endpoint { return []watch.Endpoint{agent} },
		MaxSources: 1,
		Self:       &tierpb.Node{Name: current.NodeName, Zone: current.Zone, Role: tierpb.Role_ROLE_PROXY},
	}
}

// follow folds what the agent tells into what requests are served by.
func (p *Proxy) follow(ctx context.Context, clients *front) {
	for {
		changed := p.state.Changed()
		limits := p.limits(p.views.get())
		p.refresh()
		if p.limits(p.views.get()) != limits {
			clients.relimit()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// refresh takes in the newest control state and list.
func (p *Proxy) refresh() {
	known := p.views.get()
	before := known.configuration
	p.views.take(p.state.Control())
	current := p.views.get()
	if known.membership == nil && current.membership != nil {
		p.news.tell()
	}
	touched := p.listing.take(p.state)
	if p.listing.known() {
		p.listed.Store(true)
	}
	if current.configuration == nil {
		return
	}
	if current.configuration != before {
		touched = p.listing.allTouched(current, before)
	}
	for name := range touched {
		p.setStores(current, name)
	}
	if len(touched) > 0 {
		p.pools.Retain(p.listing.holds)
		p.news.tell()
	}
}

// setStores tells admission the stores of a service.
func (p *Proxy) setStores(current *view, name string) {
	service := current.configuration.Service(name)
	if service == nil {
		p.admit.SetStores(name, false, 0, nil)
		return
	}
	slots := 0
	if service.Engine != nil {
		slots = service.Engine.Slots
	}
	p.admit.SetStores(name, service.Engine != nil, slots, p.listing.stores(name, time.Now()))
}

// limits are those of the configuration, or defaults before the first.
func (p *Proxy) limits(current *view) configuration.Limits {
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
	return !p.draining.Load() && p.views.get().configuration != nil && p.listed.Load()
}
