package turnstore

import (
	"context"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Timing of join requests.
const (
	joinInterval   = 500 * time.Millisecond
	joinTimeout    = 400 * time.Millisecond
	firstJoinDelay = 50 * time.Millisecond // after the start, until the coordinators' listeners are up
)

// joiner sends join requests to the coordinators. A request asks for membership, reports the newest epoch whose rebalance
// is complete, and serves as a heartbeat: members send them too, because coordinators consider a store failed when its
// join requests stop.
type joiner struct {
	store      *Store
	rebalancer *Rebalancer
	caller     rpc.Caller
	node       *tierpb.Node
	addresses  func() []string // of the coordinators
}

// run sends join requests at joinInterval, and at once when a rebalance completes or the membership changes.
func (j *joiner) run(ctx context.Context) {
	wait := firstJoinDelay
	for {
		_, changed := j.store.Membership()
		select {
		case <-j.store.options.After(wait):
		case <-j.rebalancer.Done():
		case <-changed:
		case <-ctx.Done():
			return
		}
		j.sendJoin(ctx)
		wait = joinInterval
	}
}

// sendJoin sends a join request to all coordinators concurrently. Failures are ignored: the next request follows soon.
func (j *joiner) sendJoin(ctx context.Context) {
	membership, _ := j.store.Membership()
	request := &tierpb.JoinRequest{
		Node:            j.node,
		StoreEpoch:      membership.GetEpoch(),
		RebalancedEpoch: j.rebalancer.CompletedEpoch(),
		Records:         uint64(j.store.Records()),
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, address := range j.addresses() {
		calls.Go(func() { _ = j.caller.Call(ctx, address, rpc.MethodJoin, request, &tierpb.JoinReply{}) })
	}
	calls.Wait()
}
