package agent

import (
	"context"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// logSourceChange logs that a coordinator started or stopped responding.
func (a *agent) logSourceChange(address string, responding bool) {
	if responding {
		a.log.Info("coordinator reachable", "address", address)
		return
	}
	a.log.Warn("coordinator unreachable", "address", address)
}

// logChanges logs new control states and changes in the number of instances by state until ctx ends.
func (a *agent) logChanges(ctx context.Context) {
	counts, version := instanceCounts{}, uint64(0)
	for {
		changed := a.state.Changed()
		if control := a.state.Control(); control.GetVersion() != version {
			version = control.Version
			a.log.Info("control state updated", "version", version, "generation", control.Configuration.GetGeneration(),
				"voter_sets", len(control.Voters), "turn_stores", len(control.Stores.GetCurrent()))
		}
		if current := a.countInstances(); current != counts {
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

// instanceCounts is the number of instances by state. An instance is one incarnation of a store.
type instanceCounts struct{ ready, suspect, draining int }

func (a *agent) countInstances() instanceCounts {
	return instanceCounts{
		ready:    a.state.Count(tierpb.InstanceState_INSTANCE_READY),
		suspect:  a.state.Count(tierpb.InstanceState_INSTANCE_SUSPECT),
		draining: a.state.Count(tierpb.InstanceState_INSTANCE_DRAINING),
	}
}
