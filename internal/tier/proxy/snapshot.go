package proxy

import (
	"net/http"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"

	"pulleygw.example/pulleygw/internal/tier/configuration"
	"pulleygw.example/pulleygw/internal/tier/invariant"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// snapshot is what requests are served by: a configuration and what else the control state names. It does not change.
type snapshot struct {
	version       uint64
	configuration *configuration.Configuration // nil before the first
	membership    *tierpb.StoreMembership
}

// snapshotHolder holds the newest view. It never goes back.
type snapshotHolder struct {
	current atomic.Pointer[snapshot]
	log     hclog.Logger
}

// load returns the newest view, which is empty before the first control state.
func (v *snapshotHolder) load() *snapshot {
	if current := v.current.Load(); current != nil {
		return current
	}
	return &snapshot{}
}

// apply folds a newer control state in and says whether the view changed. It has one caller at a time.
func (v *snapshotHolder) apply(control *tierpb.ControlState) bool {
	known := v.load()
	if control == nil || control.Version <= known.version {
		return false
	}
	next := &snapshot{version: control.Version, configuration: known.configuration, membership: control.Stores}
	sent := control.Configuration
	if !invariant.Check(sent.GetGeneration() >= known.generation(), invariant.GenerationMonotonic, sent.GetGeneration(), known.generation()) {
		sent = nil // what is in force stays
	}
	if sent.GetGeneration() > 0 && next.generation() != sent.Generation {
		parsed, err := configuration.Parse(sent.Body)
		if err != nil {
			v.log.Error("the chosen configuration cannot be read", "generation", sent.Generation, "error", err)
		} else {
			next.configuration = parsed
			v.log.Info("configuration", "generation", parsed.Generation, "routes", len(parsed.Routes))
		}
	}
	v.current.Store(next)
	return true
}

// route finds the route of a request; nil where there is none, or no configuration yet.
func (v *snapshot) route(r *http.Request) *configuration.Route {
	if v.configuration == nil {
		return nil
	}
	return v.configuration.Route(r.Host, requestPath(r))
}

func (v *snapshot) generation() uint64 {
	if v.configuration == nil {
		return 0
	}
	return v.configuration.Generation
}
