package proxy

import (
	"net/http"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"

	"pulleygw.example/pulleygw/internal/tier/configuration"
	"pulleygw.example/pulleygw/internal/tier/invariant"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// snapshot is the state that a request is served by: a configuration and the membership of the turn stores. It is
// immutable; a request keeps the snapshot that it began with.
type snapshot struct {
	version       uint64
	configuration *configuration.Configuration // nil before the first one
	membership    *tierpb.StoreMembership
}

// latestSnapshot holds the newest snapshot. Versions and generations never decrease.
type latestSnapshot struct {
	current atomic.Pointer[snapshot]
	log     hclog.Logger
}

// load returns the newest snapshot, which is empty before the first control state.
func (h *latestSnapshot) load() *snapshot {
	if current := h.current.Load(); current != nil {
		return current
	}
	return &snapshot{}
}

// apply takes in a newer control state. It must not be called concurrently.
func (h *latestSnapshot) apply(control *tierpb.ControlState) {
	known := h.load()
	if control == nil || control.Version <= known.version {
		return
	}
	next := &snapshot{version: control.Version, configuration: known.configuration, membership: control.Stores}
	received := control.Configuration
	if !invariant.Check(received.GetGeneration() >= known.generation(), invariant.GenerationMonotonic, received.GetGeneration(), known.generation()) {
		received = nil // keep the configuration in force
	}
	if received.GetGeneration() > 0 && next.generation() != received.Generation {
		parsed, err := configuration.Parse(received.Body)
		if err != nil {
			h.log.Error("configuration cannot be parsed", "generation", received.Generation, "error", err)
		} else {
			next.configuration = parsed
			h.log.Info("configuration applied", "generation", parsed.Generation, "routes", len(parsed.Routes))
		}
	}
	h.current.Store(next)
}

// route finds the route of a request, or nil if there is none or no configuration yet.
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
