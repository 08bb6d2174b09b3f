package coordinator

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/lease"
	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/settings"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

// Times of the listeners.
const (
	headerTimeout   = 5 * time.Second
	bodyTimeout     = 15 * time.Second
	restTimeout     = time.Minute
	shutdownReserve = 2 * time.Second // of graceS, kept for the rest of the shutdown
	defaultGrace    = 8 * time.Second
)

// serve runs all parts of the role until ctx ends.
func (c *coordinator) serve(ctx context.Context, acceptor *register.Acceptor) error {
	inner, err := net.Listen("tcp4", c.self.Address)
	if err != nil {
		return eris.Wrap(err, "inner listener")
	}
	server := rpc.NewServer()
	defer server.Close()
	acceptor.Serve(server)
	grantor := c.newGrantor(acceptor)
	grantor.Serve(server)
	holder := c.newHolder(grantor)
	c.handleCalls(server)
	control, err := net.Listen("tcp4", c.self.Control)
	if err != nil {
		_ = inner.Close()
		return eris.Wrap(err, "control listener")
	}
	go func() { _ = server.Serve(inner) }()
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	parts := &sync.WaitGroup{}
	for _, part := range []func(context.Context){
		c.follow, c.learnFirst, c.keepJoining, c.runMaintenance, c.keepOrders, c.keepPlaced, c.sampler.Run, holder.Run,
	} {
		parts.Add(1)
		go func() {
			defer parts.Done()
			part(background)
		}()
	}
	err = c.serveControl(ctx, control)
	c.handOver(background)
	stop()
	parts.Wait()
	c.log.Info("stopped")
	return err
}

// newGrantor grants leases on behalf of the acceptor's voter. It holds back where it may have granted some before.
func (c *coordinator) newGrantor(acceptor *register.Acceptor) *lease.Lessor {
	holdBack := lease.MaxTTL
	if acceptor.Fresh() && c.live.Current().Bootstrap {
		holdBack = 0
	}
	return lease.NewLessor(c.self.Identity, holdBack)
}

// newHolder tries to hold the lease for placement.
func (c *coordinator) newHolder(local *lease.Lessor) *lease.Candidate {
	holder := lease.NewCandidate(lease.CandidateOptions{
		Role: placementRole, Self: c.self.Identity, Caller: c.caller, Local: local, Voters: c.voters,
		OnChange: func(held bool) { c.log.Info("lease", "role", placementRole, "held", held) },
	})
	c.lease = holder
	return holder
}

// serveControl serves the control API until ctx ends and the calls in hand are answered.
func (c *coordinator) serveControl(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler: c.routes(), ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: restTimeout,
		ErrorLog: c.log.StandardLogger(nil),
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return eris.Wrap(err, "control API")
	case <-ctx.Done():
	}
	c.log.Info("stopping")
	c.stopping.Store(true)
	grace := settings.Seconds(c.live.Current().Bounds.GraceS, defaultGrace)
	patience, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(grace-shutdownReserve, grace/2))
	defer cancel()
	if err := server.Shutdown(patience); err != nil {
		_ = server.Close()
	}
	return nil
}

// handleCalls registers the calls of other processes, but for the acceptor's.
func (c *coordinator) handleCalls(server *rpc.Server) {
	rpc.Handle(server, rpc.MethodWatch, c.watch)
	rpc.Handle(server, rpc.MethodAnnounce, c.takeAnnounce)
	rpc.Handle(server, rpc.MethodJoin, c.takeJoin)
	rpc.Handle(server, rpc.MethodPing, c.takePing)
	rpc.Handle(server, rpc.MethodChangeSegments, c.takeOrderRuns)
	c.sampler.Serve(server)
}

func (c *coordinator) watch(ctx context.Context, request *tierpb.WatchRequest) (*tierpb.WatchReply, error) {
	c.directory.heard(request.Follower)
	if request.GetFollower().GetRole() == tierpb.Role_ROLE_COORDINATOR {
		return c.watchAsCoordinator(ctx, request)
	}
	return c.readiness.Watch(ctx, request)
}

// watchAsCoordinator tells another coordinator what it lacks, and who tells it.
func (c *coordinator) watchAsCoordinator(ctx context.Context, request *tierpb.WatchRequest) (*tierpb.WatchReply, error) {
	reply, err := c.state.Watch(ctx, request)
	if err != nil {
		return nil, err
	}
	reply.Responder = c.answerer(request, reply)
	return reply, nil
}

// answerer tells another coordinator what it needs to count this one's vote, nil where it knows: a feed belongs to one
// life of a process, and most often the newest voters are those of the control state that the reply brings it up to.
func (c *coordinator) answerer(request *tierpb.WatchRequest, reply *tierpb.WatchReply) *tierpb.Responder {
	told := &tierpb.Responder{}
	if request.Incarnation != reply.Incarnation {
		told.Identity = c.self.Identity
	}
	if epoch := c.newestVoters().GetEpoch(); epoch > c.state.Control().GetEpoch() {
		told.Epoch = epoch
	}
	if told.Identity == 0 && told.Epoch == 0 {
		return nil
	}
	return told
}

func (c *coordinator) takePing(context.Context, *tierpb.PingRequest) (*tierpb.PingReply, error) {
	return &tierpb.PingReply{Node: c.self}, nil
}

func (c *coordinator) takeJoin(_ context.Context, request *tierpb.JoinRequest) (*tierpb.JoinReply, error) {
	if request.GetNode().GetIdentity() == 0 {
		return nil, eris.New("join without an identity")
	}
	c.directory.joined(request)
	return &tierpb.JoinReply{ControlVersion: c.state.Control().GetVersion()}, nil
}

// follow keeps up with all other coordinators.
func (c *coordinator) follow(ctx context.Context) {
	watch.Run(ctx, watch.Options{
		Caller: c.caller, State: c.state, Endpoints: c.targets, Self: c.self, Heartbeats: true,
		Now: c.now,
		OnReply: func(address string, reply *tierpb.WatchReply, asked time.Time) {
			c.answered(address, reply, asked)
		},
		OnSourceChange: func(address string, answers bool) {
			c.directory.answering(address, answers)
			c.log.Info("coordinator", "address", address, "answers", answers)
			c.readiness.Check()
		},
	})
}
