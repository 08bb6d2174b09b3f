package turnstore

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/settings"
	"pulleygw.example/pulleygw/internal/tier/storage"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

// role is a running turn store.
type role struct {
	settings     *settings.Live
	log          hclog.Logger
	store        *Store
	node         *tierpb.Node
	client       *rpc.Client
	state        *watch.State
	pollRequests chan struct{}
}

// Run runs a turn store until ctx ends, then syncs what has been written. It returns an error if the data folder cannot be
// opened or the internal address cannot be listened on.
func Run(ctx context.Context, live *settings.Live, log hclog.Logger) error {
	r := &role{
		settings:     live,
		log:          log,
		client:       rpc.NewClient(),
		state:        watch.NewState(),
		pollRequests: make(chan struct{}, 1),
	}
	defer r.client.Close()
	if err := r.openStore(live.Current()); err != nil {
		return err
	}
	defer r.store.Close()
	listener, err := net.Listen("tcp4", r.node.Address)
	if err != nil {
		return eris.Wrap(err, "listen on the internal address")
	}
	server := rpc.NewServer()
	r.store.Register(server)
	rpc.Handle(server, rpc.MethodPing, r.ping)
	r.serve(ctx, server, listener)
	return nil
}

// openStore opens the store and sets node, the description of this node.
func (r *role) openStore(current *settings.Settings) error {
	store, err := Open(Options{
		Disk:              storage.DefaultDisk(),
		Folder:            current.DataDir,
		Now:               time.Now,
		After:             time.After,
		NewIdentity:       newIdentity,
		MemoryMb:          current.Limits.MemoryMb,
		DiskMb:            current.Limits.DiskMb,
		Log:               r.log,
		OnNewerMembership: r.requestPoll,
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
	r.log.Info("data folder recovered", "identity", store.Identity(), "previous_identity", store.PreviousIdentity(),
		"new_identity", store.HasNewIdentity(), "records", store.Records())
	return nil
}

// serve runs the background loops and the RPC server until ctx ends.
func (r *role) serve(ctx context.Context, server *rpc.Server, listener net.Listener) {
	rebalancer := NewRebalancer(r.store, r.client, r.settings.Current().FaultTolerance.MemberFailures())
	propagator := &RetentionPropagator{Store: r.store, Caller: r.client, Tolerance: rebalancer.Tolerance}
	expirer := &Expirer{Store: r.store, Caller: r.client, Tolerance: rebalancer.Tolerance}
	join := &joiner{
		store:      r.store,
		rebalancer: rebalancer,
		caller:     r.client,
		node:       r.node,
		addresses:  r.coordinatorAddresses,
	}
	loops := []func(context.Context){
		rebalancer.Run, propagator.Run, expirer.Run, join.run, r.store.RunCompaction, r.watchCoordinators, r.applyControlUpdates, r.pollOnRequest,
	}
	var running sync.WaitGroup
	for _, loop := range loops {
		running.Go(func() { loop(ctx) })
	}
	go func() { _ = server.Serve(listener) }()
	<-ctx.Done()
	server.Close()
	running.Wait()
}

func (r *role) ping(context.Context, *tierpb.PingRequest) (*tierpb.PingReply, error) {
	return &tierpb.PingReply{Node: r.node}, nil
}

// newIdentity returns a random identity that is not 0.
func newIdentity() uint64 { return rand.Uint64() | 1 }
