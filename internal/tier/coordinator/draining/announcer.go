package draining

import (
	"context"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/clock"
	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

const (
	// AnnounceTimeout is how long calls to a coordinator that does not answer are retried, even after the caller of Announce
	// has stopped waiting.
	AnnounceTimeout = 2500 * time.Millisecond

	announceCallTimeout = 400 * time.Millisecond // of one call
	announceBackoff     = 50 * time.Millisecond  // after a failed call
)

var errNotSaved = eris.New("draining: announced states could not be saved")

// Membership provides what an Announcer needs to know about the coordinators.
type Membership interface {
	// NewestVoters returns the value with the newest known voters, whether or not it was chosen, or nil.
	NewestVoters() *tierpb.ControlState
	// Targets returns the other coordinators.
	Targets() []watch.Endpoint
	// HasQuorumContact reports whether a quorum of the voters has answered this process recently.
	HasQuorumContact() bool
	// RecordCoordinator records that a coordinator has called.
	RecordCoordinator(node *tierpb.Node)
}

// AnnouncerOptions of an Announcer. All are required.
type AnnouncerOptions struct {
	Self       *tierpb.Node // this process; acknowledgements carry its identity
	Caller     rpc.Caller
	State      *watch.State // updated with states that others announce
	Membership Membership
	Table      *Table // terminal states on the local disk
	Log        hclog.Logger
}

// Announcer replicates terminal states of instances to the coordinators. It is safe for concurrent use.
type Announcer struct {
	options   AnnouncerOptions
	confirmed *confirmedStates
}

// NewAnnouncer returns an Announcer that has no confirmed states yet.
func NewAnnouncer(options AnnouncerOptions) *Announcer {
	return &Announcer{options: options, confirmed: newConfirmedStates()}
}

// RegisterHandlers registers the handler for announcements from other coordinators.
func (a *Announcer) RegisterHandlers(server *rpc.Server) {
	rpc.Handle(server, rpc.MethodAnnounce, a.HandleAnnounce)
}

// Announce sends the terminal state of an instance to all coordinators and reports whether a majority of each voter set has
// saved it before ctx ends. Coordinators that do not answer are called again until AnnounceTimeout, regardless of the result.
func (a *Announcer) Announce(ctx context.Context, instance *tierpb.Instance) bool {
	// Without quorum contact a confirmed state is announced again: the coordinators that confirmed it may have restarted.
	if a.confirmed.includes(instance) && a.options.Membership.HasQuorumContact() {
		return true
	}
	if !a.awaitQuorum(ctx, a.sendToAll(ctx, instance)) {
		return false
	}
	a.confirmed.add(instance)
	return true
}

// sendToAll saves a state locally and sends it to the other coordinators. The acknowledgements of those that saved it arrive
// on the returned channel, which is large enough that no sender blocks.
func (a *Announcer) sendToAll(ctx context.Context, instance *tierpb.Instance) <-chan *tierpb.AnnounceReply {
	targets := a.options.Membership.Targets()
	acks := make(chan *tierpb.AnnounceReply, len(targets)+1)
	go func() {
		if ack := a.save(instance); ack != nil {
			acks <- ack
		}
	}()
	for _, target := range targets {
		go func() {
			if ack := a.sendTo(context.WithoutCancel(ctx), target.Address, instance); ack != nil {
				acks <- ack
			}
		}()
	}
	return acks
}

// awaitQuorum collects acknowledgements until they come from a quorum of the newest voters. It returns false if ctx ends first.
func (a *Announcer) awaitQuorum(ctx context.Context, acks <-chan *tierpb.AnnounceReply) bool {
	var received []*tierpb.AnnounceReply
	for {
		changed := a.options.State.Changed()
		if a.isQuorum(received) {
			return true
		}
		select {
		case ack := <-acks:
			received = append(received, ack)
		case <-changed: // the voters may have changed
		case <-ctx.Done():
			return false
		}
	}
}

// isQuorum reports whether acknowledgements come from a quorum of the newest voters. As with quorum contact, an acknowledgement
// from a coordinator that knows later voters does not count.
func (a *Announcer) isQuorum(acks []*tierpb.AnnounceReply) bool {
	newest := a.options.Membership.NewestVoters()
	return register.HasQuorum(newest.GetVoters(), func(identity uint64) bool {
		return slices.ContainsFunc(acks, func(ack *tierpb.AnnounceReply) bool {
			return ack.Identity == identity && ack.Epoch <= newest.GetEpoch()
		})
	})
}

// sendTo calls one coordinator until it answers. It returns nil if there is no answer within AnnounceTimeout.
func (a *Announcer) sendTo(ctx context.Context, address string, instance *tierpb.Instance) *tierpb.AnnounceReply {
	ctx, cancel := context.WithTimeout(ctx, AnnounceTimeout)
	defer cancel()
	request := &tierpb.AnnounceRequest{Instances: []*tierpb.Instance{instance}, From: a.options.Self}
	for {
		call, done := context.WithTimeout(ctx, announceCallTimeout)
		reply := &tierpb.AnnounceReply{}
		err := a.options.Caller.Call(call, address, rpc.MethodAnnounce, request, reply)
		done()
		if err == nil {
			return reply
		}
		if !clock.Sleep(ctx, announceBackoff) {
			return nil
		}
	}
}

// HandleAnnounce applies the states that another coordinator announces and acknowledges them once they are on disk.
func (a *Announcer) HandleAnnounce(_ context.Context, request *tierpb.AnnounceRequest) (*tierpb.AnnounceReply, error) {
	a.options.Membership.RecordCoordinator(request.From)
	for _, instance := range request.Instances {
		a.options.State.Upsert(instance)
	}
	ack := a.save(request.Instances...)
	if ack == nil {
		return nil, errNotSaved
	}
	return ack, nil
}

// save writes terminal states to disk and returns this process's acknowledgement, or nil if they could not be saved.
func (a *Announcer) save(instances ...*tierpb.Instance) *tierpb.AnnounceReply {
	if err := a.options.Table.Save(instances...); err != nil {
		a.options.Log.Warn("saving terminal instance states failed", "error", err)
		return nil
	}
	return &tierpb.AnnounceReply{
		Identity: a.options.Self.Identity, Epoch: a.options.Membership.NewestVoters().GetEpoch(),
	}
}

// Prune drops the confirmations of instances that are no longer listed. If such an instance repeats its state, the state is
// announced again.
func (a *Announcer) Prune(isListed func(id string) bool) { a.confirmed.prune(isListed) }
