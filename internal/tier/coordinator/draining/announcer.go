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
	// AnnounceTimeout is for how long a coordinator that does not answer is called again, whether the caller of Announce
	// still waits or not.
	AnnounceTimeout = 2500 * time.Millisecond

	announceCallTimeout = 400 * time.Millisecond // of one call
	announceBackoff     = 50 * time.Millisecond  // after a call that failed
)

var errNotSaved = eris.New("draining: announced states could not be saved")

// Membership is what an Announcer needs to know of the coordinators.
type Membership interface {
	// NewestVoters returns the value with the newest voters known, chosen or not; nil where none is known.
	NewestVoters() *tierpb.ControlState
	// Targets returns the other coordinators.
	Targets() []watch.Endpoint
	// InContact reports whether a quorum of the voters answers this process.
	InContact() bool
	// RecordContact records that a coordinator has called.
	RecordContact(node *tierpb.Node)
}

// AnnouncerOptions of an Announcer. All are required.
type AnnouncerOptions struct {
	Self       *tierpb.Node // this process; its identity is its vote
	Caller     rpc.Caller
	State      *watch.State // takes in what others announce
	Membership Membership
	Table      *Table // the own disk
	Log        hclog.Logger
}

// Announcer replicates final states of instances to the coordinators. It is safe for concurrent use.
type Announcer struct {
	options   AnnouncerOptions
	confirmed *confirmedStates
}

// NewAnnouncer returns an Announcer that knows of no state that it is replicated.
func NewAnnouncer(options AnnouncerOptions) *Announcer {
	return &Announcer{options: options, confirmed: newConfirmedStates()}
}

// RegisterHandlers registers the call by which other coordinators announce.
func (a *Announcer) RegisterHandlers(server *rpc.Server) {
	rpc.Handle(server, rpc.MethodAnnounce, a.HandleAnnounce)
}

// Announce sends the final state of an instance to all coordinators and reports whether a majority of each voter set has it on
// disk before ctx ends. Those that do not answer are called again for AnnounceTimeout, whatever the result.
func (a *Announcer) Announce(ctx context.Context, instance *tierpb.Instance) bool {
	// Without contact, those that had it may have started anew.
	if a.confirmed.includes(instance) && a.options.Membership.InContact() {
		return true
	}
	if !a.awaitQuorum(ctx, a.sendToAll(ctx, instance)) {
		return false
	}
	a.confirmed.add(instance)
	return true
}

// sendToAll saves a state here and sends it to the other coordinators; the votes of those that saved it come over the
// channel, which holds them all.
func (a *Announcer) sendToAll(ctx context.Context, instance *tierpb.Instance) <-chan *tierpb.AnnounceReply {
	targets := a.options.Membership.Targets()
	votes := make(chan *tierpb.AnnounceReply, len(targets)+1)
	go func() {
		if vote := a.save(instance); vote != nil {
			votes <- vote
		}
	}()
	for _, target := range targets {
		go func() {
			if vote := a.sendTo(context.WithoutCancel(ctx), target.Address, instance); vote != nil {
				votes <- vote
			}
		}()
	}
	return votes
}

// awaitQuorum collects votes until they are a quorum of the newest voters, and reports whether that was before ctx ended.
func (a *Announcer) awaitQuorum(ctx context.Context, votes <-chan *tierpb.AnnounceReply) bool {
	var received []*tierpb.AnnounceReply
	for {
		changed := a.options.State.Changed()
		if a.isQuorum(received) {
			return true
		}
		select {
		case vote := <-votes:
			received = append(received, vote)
		case <-changed: // the voters may be others now
		case <-ctx.Done():
			return false
		}
	}
}

// isQuorum reports whether those that voted are a quorum of the newest voters. As with contact, one that knows of later
// voters does not count.
func (a *Announcer) isQuorum(votes []*tierpb.AnnounceReply) bool {
	newest := a.options.Membership.NewestVoters()
	return register.HasQuorum(newest.GetVoters(), func(identity uint64) bool {
		return slices.ContainsFunc(votes, func(vote *tierpb.AnnounceReply) bool {
			return vote.Identity == identity && vote.Epoch <= newest.GetEpoch()
		})
	})
}

// sendTo calls one coordinator until it has answered, and returns nil after AnnounceTimeout.
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

// HandleAnnounce takes in what another coordinator announces, and answers with this process's vote when it is on disk.
func (a *Announcer) HandleAnnounce(_ context.Context, request *tierpb.AnnounceRequest) (*tierpb.AnnounceReply, error) {
	a.options.Membership.RecordContact(request.From)
	for _, instance := range request.Instances {
		a.options.State.Upsert(instance)
	}
	vote := a.save(request.Instances...)
	if vote == nil {
		return nil, errNotSaved
	}
	return vote, nil
}

// save writes final states to the disk and returns this process's vote for them, nil where the disk does not take them.
func (a *Announcer) save(instances ...*tierpb.Instance) *tierpb.AnnounceReply {
	if err := a.options.Table.Save(instances...); err != nil {
		a.options.Log.Warn("saving final instance states failed", "error", err)
		return nil
	}
	return &tierpb.AnnounceReply{
		Identity: a.options.Self.Identity, Epoch: a.options.Membership.NewestVoters().GetEpoch(),
	}
}

// Forget drops what is known of instances that are not listed any more, so that their states would be announced anew.
func (a *Announcer) Forget(isListed func(id string) bool) { a.confirmed.forget(isListed) }
