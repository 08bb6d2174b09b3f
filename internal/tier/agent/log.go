package agent

import (
	"context"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

func (a *agent) logCoordinator(address string, responding bool) {
	if responding {
		a.log.Info("coordinator reachable", "address", address)
		return
	}
	a.log.Warn("coordinator unreachable", "address", address)
}

// logChanges logs new control states and changes of the number of stores until ctx ends.
func (a *agent) logChanges(ctx context.Context) {
	counts, version := storeCounts{}, uint64(0)
	for {
		changed := a.state.Changed()
		if control := a.state.Control(); control.GetVersion() != version {
			version = control.Version
			a.log.Info("control state updated", "version", version, "generation", control.Configuration.GetGeneration(),
				"voter_sets", len(control.Voters), "turn_stores", len(control.Stores.GetCurrent()))
		}
		if current := a.countStores(); current != counts {
			counts = current
			a.log.Info("stores updated", "ready", counts.ready, "suspect", counts.suspect, "draining", counts.draining)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// storeCounts is the number of stores by state.
type storeCounts struct{ ready, suspect, draining int }

func (a *agent) countStores() storeCounts {
	return storeCounts{
		ready:    a.state.Count(tierpb.InstanceState_INSTANCE_READY),
		suspect:  a.state.Count(tierpb.InstanceState_INSTANCE_SUSPECT),
		draining: a.state.Count(tierpb.InstanceState_INSTANCE_DRAINING),
	}
}
