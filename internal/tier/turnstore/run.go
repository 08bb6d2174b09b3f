package turnstore

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/settings"
	"pulleygw.example/pulleygw/internal/tier/storage"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

// Bounds of the role.
const (
	coordinatorsFollowed = 2
	kickEvery            = 100 * time.Millisecond // between polls that a caller's newer membership causes
	kickTimeout          = 300 * time.Millisecond
)

// role is a running turn store.
type role struct {
	settings *settings.Live
	log      hclog.Logger
	store    *Store
	node     *tierpb.Node
	client   *rpc.Client
	state    *watch.State
	kicks    chan struct{}
}

// Run serves until ctx ends; what is under way is then synced.
func Run(ctx context.Context, live *settings.Live, log hclog.Logger) error {
	current := live.Current()
	r := &role{
		settings: live,
		log:      log,
		client:   rpc.NewClient(),
		state:    watch.NewState(),
		kicks:    make(chan struct{}, 1),
	}
	defer r.client.Close()
	if err := r.open(current); err != nil {
		return err
	}
	defer r.store.Close()
	listener, err := net.Listen("tcp4", r.node.Address)
	if err != nil {
		return eris.Wrap(err, "inner listener")
	}
	server := rpc.NewServer()
	r.store.Register(server)
	rpc.Handle(server, rpc.MethodPing, r.ping)
	r.work(ctx, server, listener)
	return nil
}

// open reads the disk.
func (r *role) open(current *settings.Settings) error {
	store, err := Open(Options{
		Disk:     storage.Local(),
		Folder:   current.DataDir,
		Now:      time.Now,
		After:    time.After,
		Identity: drawIdentity,
		MemoryMb: current.Limits.MemoryMb,
		DiskMb:   current.Limits.DiskMb,
		Log:      r.log,
		Kick:     r.kick,
	})
	if err != nil {
		return err
	}
	r.store = store
	r.node = &tierpb.Node{
		Name:     current.NodeName,
		Address:  current.InternalAddress(current.IP, settings.TurnStorePortOffset),
		Zone:     current.Zone,
		Domain:   current.FailureDomain(current.Zone),
		Role:     tierpb.Role_ROLE_TURN_STORE,
		Identity: store.Identity(),
	}
	r.log.Info("disk read", "identity", store.Identity(), "records", store.Records())
	return nil
}

// work runs the parts of the role until ctx ends.
func (r *role) work(ctx context.Context, server *rpc.Server, listener net.Listener) {
	mover := NewMover(r.store, r.client, r.settings.Current().FaultTolerance.MemberFailures())
	join := &joiner{store: r.store, mover: mover, caller: r.client, node: r.node, addresses: r.coordinators}
	var parts sync.WaitGroup
	for _, part := range []func(context.Context){mover.Run, join.run, r.store.Upkeep, r.follow, r.learn, r.poll} {
		parts.Add(1)
		go func() {
			defer parts.Done()
			part(ctx)
		}()
	}
	go func() { _ = server.Serve(listener) }()
	<-ctx.Done()
	server.Close()
	parts.Wait()
}

func (r *role) ping(context.Context, *tierpb.PingRequest) (*tierpb.PingReply, error) {
	return &tierpb.PingReply{Node: r.node}, nil
}

// targets are the coordinators in the order in which they are to be followed.
func (r *role) targets() []watch.Target {
	return watch.CoordinatorTargets(r.node, r.state, nil, r.settings.Current().SeedCoordinators())
}

func (r *role) coordinators() []string {
	targets := r.targets()
	addresses := make([]string, len(targets))
	for i, target := range targets {
		addresses[i] = target.Address
	}
	return addresses
}

func (r *role) follow(ctx context.Context) {
	watch.Follow(ctx, watch.Options{
		Caller:  r.client,
		State:   r.state,
		Targets: r.targets,
		Count:   coordinatorsFollowed,
		Self:    r.node,
	})
}

// learn hands each new control state to the store.
func (r *role) learn(ctx context.Context) {
	for {
		changed := r.state.Changed()
		before, _ := r.store.Membership()
		r.store.Learn(r.state.Control())
		if after, _ := r.store.Membership(); after.GetEpoch() != before.GetEpoch() {
			r.log.Info("members changed", "epoch", after.Epoch, "current", len(after.Current),
				"previous", len(after.Previous), "member", replica.Contains(after.Current, r.node.Identity))
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// kick asks for a poll of all coordinators: a caller knows a newer membership.
func (r *role) kick() {
	select {
	case r.kicks <- struct{}{}:
	default:
	}
}

// poll asks the coordinators for news whenever a caller knows a newer membership.
func (r *role) poll(ctx context.Context) {
	for {
		select {
		case <-r.kicks:
		case <-ctx.Done():
			return
		}
		r.pollAll(ctx)
		select {
		case <-time.After(kickEvery):
		case <-ctx.Done():
			return
		}
	}
}

func (r *role) pollAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, kickTimeout)
	defer cancel()
	request := &tierpb.WatchRequest{ControlVersion: r.state.Control().GetVersion(), Follower: r.node}
	var calls sync.WaitGroup
	for _, address := range r.coordinators() {
		calls.Add(1)
		go func() {
			defer calls.Done()
			reply := &tierpb.WatchReply{}
			if r.client.Call(ctx, address, rpc.MethodWatch, request, reply) == nil {
				r.state.Merge(&tierpb.WatchReply{Control: reply.Control})
			}
		}()
	}
	calls.Wait()
}

// drawIdentity draws an identity that is not 0.
func drawIdentity() uint64 { return rand.Uint64() | 1 }
