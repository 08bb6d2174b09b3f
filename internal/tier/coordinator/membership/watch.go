package membership

import (
	"context"
	"time"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

// RunWatcher polls all other coordinators until ctx ends. The replies update the state, the reachability of the others and
// quorum contact.
func (m *Membership) RunWatcher(ctx context.Context) {
	watch.Run(ctx, watch.Options{
		Caller: m.options.Caller, State: m.options.State, Endpoints: m.Targets, Self: m.options.Self, Heartbeats: true,
		Now: m.options.Now, OnReply: m.recordReply, OnSourceChange: m.recordReachability,
	})
}

// recordReachability records and logs that a coordinator has started or stopped answering polls.
func (m *Membership) recordReachability(address string, reachable bool) {
	m.directory.setReachable(address, reachable)
	m.options.Log.Info("coordinator reachability changed", "address", address, "reachable", reachable)
	m.readiness.Check()
}

// recordReply records the reply to a poll that was sent at the given time. A reply that names later voters than this process
// knows does not renew contact.
func (m *Membership) recordReply(address string, reply *tierpb.WatchReply, sent time.Time) {
	if identity := reply.GetResponder().GetIdentity(); identity != 0 {
		m.directory.setIdentity(address, reply.Incarnation, identity)
	}
	epoch := max(reply.GetResponder().GetEpoch(), reply.GetControl().GetEpoch())
	if epoch <= m.NewestVoters().GetEpoch() {
		m.directory.recordReply(address, reply.Incarnation, sent)
	}
}

// HandleWatch answers a poll. Coordinators always get the changes that they lack; agents and turn stores are served through
// the readiness gate.
func (m *Membership) HandleWatch(ctx context.Context, request *tierpb.WatchRequest) (*tierpb.WatchReply, error) {
	m.directory.recordCoordinator(request.Watcher)
	if request.GetWatcher().GetRole() == tierpb.Role_ROLE_COORDINATOR {
		return m.watchAsCoordinator(ctx, request)
	}
	return m.readiness.Watch(ctx, request)
}

// watchAsCoordinator returns the changes that another coordinator lacks, and identifies this process as the responder.
func (m *Membership) watchAsCoordinator(ctx context.Context, request *tierpb.WatchRequest) (*tierpb.WatchReply, error) {
	reply, err := m.options.State.Watch(ctx, request)
	if err != nil {
		return nil, err
	}
	reply.Responder = m.responder(request, reply)
	return reply, nil
}

// responder returns what another coordinator needs to count this process as a voter that answered: its identity and the
// epoch of the newest voters that it knows. The identity is left out if the requester knows this incarnation, and the epoch
// if it is that of the control state, which the requester receives anyway. It returns nil if nothing is left to send.
func (m *Membership) responder(request *tierpb.WatchRequest, reply *tierpb.WatchReply) *tierpb.Responder {
	responder := &tierpb.Responder{}
	if request.Incarnation != reply.Incarnation {
		responder.Identity = m.options.Self.Identity
	}
	if epoch := m.NewestVoters().GetEpoch(); epoch > m.options.State.Control().GetEpoch() {
		responder.Epoch = epoch
	}
	if responder.Identity == 0 && responder.Epoch == 0 {
		return nil
	}
	return responder
}

func (m *Membership) handlePing(context.Context, *tierpb.PingRequest) (*tierpb.PingReply, error) {
	return &tierpb.PingReply{Node: m.options.Self}, nil
}
