package turnstore

import (
	"context"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

// Limits on the calls by which the role learns control states.
const (
	maxWatchedCoordinators = 2
	minPollInterval        = 100 * time.Millisecond // between polls that callers of the store trigger
	pollTimeout            = 300 * time.Millisecond
)

// watchCoordinators receives control states from up to maxWatchedCoordinators coordinators until ctx ends.
func (r *role) watchCoordinators(ctx context.Context) {
	watch.Run(ctx, watch.Options{
		Caller:     r.client,
		State:      r.state,
		Endpoints:  r.coordinatorEndpoints,
		MaxSources: maxWatchedCoordinators,
		Self:       r.node,
	})
}

// coordinatorEndpoints returns the coordinators in the order of preference.
func (r *role) coordinatorEndpoints() []watch.Endpoint {
	return watch.CoordinatorEndpoints(r.node, r.state, nil, r.settings.Current().SeedCoordinators())
}

func (r *role) coordinatorAddresses() []string {
	endpoints := r.coordinatorEndpoints()
	addresses := make([]string, len(endpoints))
	for i, endpoint := range endpoints {
		addresses[i] = endpoint.Address
	}
	return addresses
}

// applyControlUpdates passes each new control state to the store.
func (r *role) applyControlUpdates(ctx context.Context) {
	for {
		changed := r.state.Changed()
		before, _ := r.store.Membership()
		r.store.UpdateControl(r.state.Control())
		if after, _ := r.store.Membership(); after.GetEpoch() != before.GetEpoch() {
			r.log.Info("membership changed", "epoch", after.Epoch, "current", len(after.Current),
				"previous", len(after.Previous), "member", replica.Contains(after.Current, r.node.Identity))
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// requestPoll makes pollOnRequest poll all coordinators. The store calls it when a caller knows a newer membership. It
// does not block.
func (r *role) requestPoll() {
	select {
	case r.pollRequests <- struct{}{}:
	default:
	}
}

// pollOnRequest polls all coordinators after requestPoll, at most once per minPollInterval.
func (r *role) pollOnRequest(ctx context.Context) {
	for {
		select {
		case <-r.pollRequests:
		case <-ctx.Done():
			return
		}
		r.pollCoordinators(ctx)
		select {
		case <-time.After(minPollInterval):
		case <-ctx.Done():
			return
		}
	}
}

// pollCoordinators asks all coordinators for a newer control state.
func (r *role) pollCoordinators(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	request := &tierpb.WatchRequest{ControlVersion: r.state.Control().GetVersion(), Watcher: r.node}
	var calls sync.WaitGroup
	for _, address := range r.coordinatorAddresses() {
		calls.Go(func() {
			reply := &tierpb.WatchReply{}
			if r.client.Call(ctx, address, rpc.MethodWatch, request, reply) == nil {
				r.state.Merge(&tierpb.WatchReply{Control: reply.Control})
			}
		})
	}
	calls.Wait()
}
