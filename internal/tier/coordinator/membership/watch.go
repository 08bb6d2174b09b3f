package membership

import (
	"context"
	"time"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

// Follow polls all other coordinators until ctx ends: it brings the state up to date and keeps contact.
func (m *Membership) Follow(ctx context.Context) {
	watch.Run(ctx, watch.Options{
		Caller: m.options.Caller, State: m.options.State, Endpoints: m.Targets, Self: m.options.Self, Heartbeats: true,
		Now: m.options.Now, OnReply: m.recordReply, OnSourceChange: m.recordReachability,
	})
}

// recordReachability records that a coordinator begins or ceases to answer polls.
func (m *Membership) recordReachability(address string, reachable bool) {
	m.directory.setReachable(address, reachable)
	m.options.Log.Info("coordinator reachability changed", "address", address, "reachable", reachable)
	m.readiness.Check()
}

// recordReply records the reply to a poll, and when that was sent. One that names later voters renews no contact until
// this process knows them too.
func (m *Membership) recordReply(address string, reply *tierpb.WatchReply, sent time.Time) {
	if identity := reply.GetResponder().GetIdentity(); identity != 0 {
		m.directory.setIdentity(address, reply.Incarnation, identity)
	}
	epoch := max(reply.GetResponder().GetEpoch(), reply.GetControl().GetEpoch())
	if epoch <= m.NewestVoters().GetEpoch() {
		m.directory.recordReply(address, reply.Incarnation, sent)
	}
}

// HandleWatch answers a poll. Coordinators get all that they lack; agents and turn stores are served by the readiness gate.
func (m *Membership) HandleWatch(ctx context.Context, request *tierpb.WatchRequest) (*tierpb.WatchReply, error) {
	m.directory.recordContact(request.Watcher)
	if request.GetWatcher().GetRole() == tierpb.Role_ROLE_COORDINATOR {
		return m.watchAsCoordinator(ctx, request)
	}
	return m.readiness.Watch(ctx, request)
}

// watchAsCoordinator sends another coordinator what it lacks, and who sends it.
func (m *Membership) watchAsCoordinator(ctx context.Context, request *tierpb.WatchRequest) (*tierpb.WatchReply, error) {
	reply, err := m.options.State.Watch(ctx, request)
	if err != nil {
		return nil, err
	}
	reply.Responder = m.responder(request, reply)
	return reply, nil
}

// responder is what another coordinator needs to count this one's vote, nil where it knows: an incarnation belongs to one
// process, and most often the newest voters are those of the control state that the reply brings it up to.
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
