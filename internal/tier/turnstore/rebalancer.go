package turnstore

import (
	"context"
	"sync/atomic"

	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Rebalancer runs a rebalance at each change of the membership: it transfers the keys of the store whose replica set has
// changed until they are durable on a write quorum of their new replica set.
type Rebalancer struct {
	Store     *Store
	Caller    rpc.Caller
	Tolerance int // number of machines that may fail at the same time

	completedEpoch atomic.Uint64
	done           chan struct{} // receives a value when a rebalance is complete
}

// NewRebalancer returns a Rebalancer; Run starts it.
func NewRebalancer(store *Store, caller rpc.Caller, tolerance int) *Rebalancer {
	return &Rebalancer{Store: store, Caller: caller, Tolerance: tolerance, done: make(chan struct{}, 1)}
}

// CompletedEpoch returns the epoch of the newest membership whose rebalance is complete, 0 if there is none. Once a
// coordinator has received it, the placement role no longer needs this store as a previous member of that epoch.
func (r *Rebalancer) CompletedEpoch() uint64 { return r.completedEpoch.Load() }

// Done returns a channel that receives a value when CompletedEpoch has increased.
func (r *Rebalancer) Done() <-chan struct{} { return r.done }

// Run rebalances until ctx ends.
func (r *Rebalancer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		membership, changed := r.Store.Membership()
		if membership.GetEpoch() > r.completedEpoch.Load() && r.rebalanceTo(ctx, membership, changed) {
			r.completedEpoch.Store(membership.Epoch)
			select {
			case r.done <- struct{}{}:
			default:
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// rebalanceTo saves a membership and transfers keys to its members. It returns false if ctx ends or the membership changes
// before all keys are transferred.
func (r *Rebalancer) rebalanceTo(
	ctx context.Context, membership *tierpb.StoreMembership, changed <-chan struct{},
) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	for r.Store.saveMembership(membership) != nil {
		if !r.waitBackoff(ctx) {
			return false
		}
	}
	if !replica.Contains(membership.Previous, r.Store.identity) {
		return true
	}
	work := &rebalance{
		store:      r.Store,
		caller:     r.Caller,
		tolerance:  r.Tolerance,
		membership: membership,
		failpoints: r.Store.options.Failpoints,
		after:      r.Store.options.After,
	}
	started := r.Store.options.Now()
	for work.run(ctx) != nil {
		if !r.waitBackoff(ctx) {
			return false
		}
	}
	r.Store.options.Log.Info("rebalance complete", "epoch", membership.Epoch,
		"keys", work.transferredKeys, "bytes", work.transferredBytes,
		"seconds", r.Store.options.Now().Sub(started).Seconds())
	return true
}

// waitBackoff waits before the next attempt; it returns false if ctx ends.
func (r *Rebalancer) waitBackoff(ctx context.Context) bool {
	select {
	case <-r.Store.options.After(rebalanceBackoff):
		return true
	case <-ctx.Done():
		return false
	}
}
