package proxy

import (
	"net/http"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"

	"pulleygw.example/pulleygw/internal/tier/configuration"
	"pulleygw.example/pulleygw/internal/tier/invariant"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// snapshot is the control state that a request is served with: the configuration and the membership of the turn stores. It
// is immutable. A request keeps the snapshot that was current when it arrived.
type snapshot struct {
	version       uint64                       // of the control state
	configuration *configuration.Configuration // nil until the first one is received
	membership    *tierpb.StoreMembership
}

// latestSnapshot holds the latest snapshot, whose version and generation never decrease.
type latestSnapshot struct {
	current atomic.Pointer[snapshot]
	log     hclog.Logger
}

// load returns the latest snapshot, or an empty one before the first control state is received.
func (l *latestSnapshot) load() *snapshot {
	if current := l.current.Load(); current != nil {
		return current
	}
	return &snapshot{}
}

// apply replaces the snapshot if the control state is newer. It keeps the previous configuration if the new one has a
// lower generation or cannot be parsed. It must not be called concurrently.
func (l *latestSnapshot) apply(control *tierpb.ControlState) {
	previous := l.load()
	if control == nil || control.Version <= previous.version {
		return
	}
	next := &snapshot{version: control.Version, configuration: previous.configuration, membership: control.Stores}
	received := control.Configuration
	if !invariant.Check(received.GetGeneration() >= previous.generation(), invariant.GenerationMonotonic, received.GetGeneration(), previous.generation()) {
		received = nil // keep the previous configuration
	}
	if received.GetGeneration() > 0 && next.generation() != received.Generation {
		parsed, err := configuration.Parse(received.Body)
		if err != nil {
			l.log.Error("configuration cannot be parsed", "generation", received.Generation, "error", err)
		} else {
			next.configuration = parsed
			l.log.Info("configuration applied", "generation", parsed.Generation, "routes", len(parsed.Routes))
		}
	}
	l.current.Store(next)
}

// route returns the route of a request, or nil if no route matches or there is no configuration yet.
func (s *snapshot) route(r *http.Request) *configuration.Route {
	if s.configuration == nil {
		return nil
	}
	return s.configuration.Route(r.Host, requestPath(r))
}

func (s *snapshot) generation() uint64 {
	if s.configuration == nil {
		return 0
	}
	return s.configuration.Generation
}
