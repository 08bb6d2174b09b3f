package turnstore

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Batch size and pauses of a rebalance.
const (
	keysPerBatch     = 512                    // keys that are offered and transferred together
	batchInterval    = 10 * time.Millisecond  // pause between batches, so that other calls are served meanwhile
	rebalanceBackoff = 200 * time.Millisecond // before failed keys are transferred again
)

var errStaleMembership = eris.New("another store knows a newer membership")

// rebalance transfers the keys of a store to the current members of one membership. When it is complete, every key that
// the store had when it learned the membership is synced on a write quorum of the key's replica set among these members.
// Keys whose replica set has not changed are not transferred.
type rebalance struct {
	store      *Store
	caller     rpc.Caller
	tolerance  int
	membership *tierpb.StoreMembership
	failpoints *failpoint.Points
	after      func(time.Duration) <-chan time.Time

	transferredKeys  int // synced by members; a key counts once for each member
	transferredBytes int // approximate size of these keys
}

// transferKey identifies a record or a program to be transferred.
type transferKey struct {
	name      string
	isProgram bool   // false: a record
	rank      uint64 // keys are transferred by ascending rank
}

// run transfers keys until each is durable on a write quorum. It returns an error if ctx ends or a member knows a newer
// membership.
func (r *rebalance) run(ctx context.Context) error {
	remaining := r.changedKeys()
	for len(remaining) > 0 {
		var incomplete []transferKey
		for keys := range slices.Chunk(remaining, keysPerBatch) {
			failed, err := r.transferBatch(ctx, keys)
			if err != nil {
				return err
			}
			incomplete = append(incomplete, failed...)
			if err := r.failpoints.At(pointBatchTransferred); err != nil {
				return err
			}
			if err := r.sleep(ctx, batchInterval); err != nil {
				return err
			}
		}
		remaining = incomplete
		if len(remaining) > 0 {
			if err := r.sleep(ctx, rebalanceBackoff); err != nil {
				return err
			}
		}
	}
	return r.failpoints.At(pointRebalanceDone)
}

func (r *rebalance) sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-r.after(duration):
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// changedKeys lists the keys whose replica set has changed. The order differs between stores, so that two stores seldom
// transfer the same key at the same time.
func (r *rebalance) changedKeys() []transferKey {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	var changed []transferKey
	add := func(name string, isProgram bool) {
		sets := replica.Sets(r.membership, name, r.tolerance)
		if !replica.SameMembers(sets[0], sets[1]) {
			rank := replica.Score(replica.Hash(name), r.store.identity)
			changed = append(changed, transferKey{name: name, isProgram: isProgram, rank: rank})
		}
	}
	for id := range r.store.state.records {
		add(id, false)
	}
	for name := range r.store.state.programs {
		add(name, true)
	}
	slices.SortFunc(changed, func(a, b transferKey) int {
		if a.rank < b.rank {
			return -1
		}
		return 1
	})
	return changed
}

// transferBatch transfers some keys and returns those that are still not durable on a write quorum.
func (r *rebalance) transferBatch(ctx context.Context, keys []transferKey) ([]transferKey, error) {
	batch := make([]*keyProgress, 0, len(keys))
	for _, key := range keys {
		if progress := r.newKeyProgress(key); progress != nil {
			batch = append(batch, progress)
		}
	}
	if err := r.offerRecords(ctx, batch); err != nil {
		return nil, err
	}
	if err := r.sendMissing(ctx, batch); err != nil {
		return nil, err
	}
	if err := r.sendExtensions(ctx, batch); err != nil {
		return nil, err
	}
	var incomplete []transferKey
	for _, progress := range batch {
		if progress.missingReplicas() > 0 {
			incomplete = append(incomplete, progress.key)
		}
	}
	return incomplete, nil
}
