package turnstore

import (
	"context"
	"slices"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/metrics"
	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Timing and batch size of propagation.
const (
	propagationInterval      = 3 * time.Second        // between rounds
	propagationRetry         = time.Second            // after a round in which a member failed: it may have restarted
	urgentPropagationDelay   = 100 * time.Millisecond // before a round that continues the propagation of another store
	propagationTimeout       = 2 * time.Second        // of one call
	propagationBatch         = 1024                   // records whose extensions are sent together
	propagationBatchInterval = 10 * time.Millisecond  // between batches, so that other calls are served meanwhile
)

var extensionCalls = metrics.NewCounterVec("turn_store_retention_extensions_total",
	"Calls by which this turn store extends the retention of turns at other turn stores, by result.", "result")

// Results of these calls in the metric.
const (
	extensionAcked  = "acked"
	extensionFailed = "failed" // repeated in the next round
)

// RetentionPropagator makes all replicas of a turn keep it as long as the turns that continue it. The proxy that saves a turn
// tells them once, without waiting; a replica that is down or unreachable at that time would keep the older expiry, and
// a rebalance could copy it. So each store that holds a record tells the replicas of the turn before, until all have
// acknowledged. A saved turn is on a write quorum, so one of its replicas remains to do so after any tolerated loss. A replica
// that learns of a later end tells the replicas of the turn before it in the same way, and so on to the first turn.
type RetentionPropagator struct {
	Store     *Store
	Caller    rpc.Caller
	Tolerance int // number of machines that may fail at the same time
}

// Run propagates until ctx ends.
func (p *RetentionPropagator) Run(ctx context.Context) {
	var known *tierpb.StoreMembership
	var nextRound <-chan time.Time
	wait := propagationInterval
	for ctx.Err() == nil {
		membership, changed := p.Store.Membership()
		if !sameReplicaSets(membership, known) {
			p.Store.restartPropagations()
			known, nextRound = membership, nil
		}
		started := p.Store.propagationStarted
		if nextRound == nil && p.Store.hasPropagations() {
			nextRound = p.Store.options.After(wait)
		}
		if nextRound != nil {
			started = nil // a round is planned
		}
		select {
		case <-started:
			continue
		case <-changed:
			continue
		case <-nextRound:
		case <-p.Store.propagationUrgent:
			if !p.sleep(ctx, urgentPropagationDelay) {
				return
			}
		case <-ctx.Done():
			return
		}
		nextRound, wait = nil, propagationInterval
		if !p.propagateDue(ctx, membership) {
			wait = propagationRetry
		}
	}
}

// sameReplicaSets returns whether two memberships have the same members. The end of a rebalance, which drops the previous
// members, counts as a change: a record may have reached its new replica after that was told to keep it.
func sameReplicaSets(a, b *tierpb.StoreMembership) bool {
	return a.GetEpoch() == b.GetEpoch() && len(a.GetPrevious()) == len(b.GetPrevious())
}

// propagateDue sends all extensions that are due. It returns false if a member has not acknowledged what it was sent.
func (p *RetentionPropagator) propagateDue(ctx context.Context, membership *tierpb.StoreMembership) bool {
	if len(membership.GetCurrent()) == 0 {
		return true
	}
	failed := make(map[uint64]bool)
	for batch := range slices.Chunk(p.Store.duePropagations(), propagationBatch) {
		byMember := p.Store.pendingExtensions(batch, func(key string) []*tierpb.Node {
			members := replica.Members(membership, key, p.Tolerance)
			return slices.DeleteFunc(members, func(member *tierpb.Node) bool { return member.Identity == p.Store.identity })
		})
		for _, identity := range p.sendBatch(ctx, membership, byMember, failed) {
			failed[identity] = true
		}
		if !p.sleep(ctx, propagationBatchInterval) {
			return false
		}
	}
	return len(failed) == 0
}

// sendBatch sends extensions to the members concurrently, except those that have failed in this round. It returns the identities of
// those that fail.
func (p *RetentionPropagator) sendBatch(
	ctx context.Context, membership *tierpb.StoreMembership, byMember map[uint64][]pendingExtension, failed map[uint64]bool,
) (newlyFailed []uint64) {
	var calls sync.WaitGroup
	var mu sync.Mutex
	for _, member := range replica.Union(membership.Current, membership.Previous) {
		pending := byMember[member.Identity]
		if len(pending) == 0 || failed[member.Identity] {
			continue
		}
		calls.Go(func() {
			if p.send(ctx, membership.Epoch, member, pending) {
				p.Store.applyAcks(member.Identity, pending)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			newlyFailed = append(newlyFailed, member.Identity)
		})
	}
	calls.Wait()
	return newlyFailed
}

// send sends extensions to a member and returns whether it has synced them.
func (p *RetentionPropagator) send(
	ctx context.Context, epoch uint64, member *tierpb.Node, pending []pendingExtension,
) bool {
	request := &tierpb.TransferRecordsRequest{Header: &tierpb.StoreRequestHeader{Identity: member.Identity, Epoch: epoch}}
	for _, extension := range pending {
		request.Extensions = append(request.Extensions, extension.extension)
	}
	ctx, cancel := context.WithTimeout(ctx, propagationTimeout)
	defer cancel()
	reply := &tierpb.TransferRecordsReply{}
	err := p.Caller.Call(ctx, member.Address, rpc.MethodTransferRecords, request, reply)
	if err != nil || reply.Header.GetStatus() != tierpb.StoreStatus_STORE_OK {
		extensionCalls.Inc(extensionFailed)
		return false
	}
	extensionCalls.Inc(extensionAcked)
	return true
}

// sleep waits; it returns false if ctx ends first.
func (p *RetentionPropagator) sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-p.Store.options.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}
