package turnstore

import (
	"context"
	"slices"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Limits of the calls of a rebalance.
const (
	maxTransferBytes = 256 << 10 // approximate size of one call, unless a single key is larger
	transferTimeout  = 2 * time.Second
)

// progressByMember groups keys by the identity of the member that they are offered or sent to.
type progressByMember map[uint64][]*keyProgress

// offerRecords asks the members of the replica sets which records they have already.
func (r *rebalance) offerRecords(ctx context.Context, batch []*keyProgress) error {
	byMember := make(progressByMember)
	for _, progress := range batch {
		if progress.record == nil || progress.missingReplicas() <= 0 {
			continue
		}
		for _, member := range progress.replicaSet {
			if member.Identity != r.store.identity {
				byMember[member.Identity] = append(byMember[member.Identity], progress)
			}
		}
	}
	return r.callMembers(byMember, func(member *tierpb.Node, offered []*keyProgress) (func(), error) {
		request := &tierpb.OfferRecordsRequest{Header: r.requestHeader(member)}
		for _, progress := range offered {
			request.Ids = append(request.Ids, progress.key.name)
		}
		reply := &tierpb.OfferRecordsReply{}
		err := r.call(ctx, member, rpc.MethodOfferRecords, request, reply)
		served, err := checkReply(reply.Header, err)
		return func() { applyOfferReply(member, offered, reply.Missing, served) }, err
	})
}

// applyOfferReply records which of the offered keys a member has durably.
func applyOfferReply(member *tierpb.Node, offered []*keyProgress, missing []uint32, served bool) {
	for i, progress := range offered {
		switch {
		case !served:
			progress.failed = append(progress.failed, member.Identity)
		case !slices.Contains(missing, uint32(i)):
			progress.durableOn = append(progress.durableOn, member.Identity)
			if progress.extension() != nil {
				progress.needExtension = append(progress.needExtension, member.Identity)
			}
		}
	}
}

// sendMissing sends keys to members until each is durable on a write quorum or has no member left to try.
func (r *rebalance) sendMissing(ctx context.Context, batch []*keyProgress) error {
	for {
		byMember := make(progressByMember)
		for _, progress := range batch {
			for _, member := range progress.targets() {
				byMember[member.Identity] = append(byMember[member.Identity], progress)
			}
		}
		if len(byMember) == 0 {
			return nil
		}
		err := r.callMembers(byMember, func(member *tierpb.Node, sent []*keyProgress) (func(), error) {
			synced, err := r.send(ctx, member, sent)
			return func() { r.applySent(member, sent, synced) }, err
		})
		if err != nil {
			return err
		}
	}
}

// applySent records that a member has synced the first keys that were sent to it, and has failed for the others.
func (r *rebalance) applySent(member *tierpb.Node, sent []*keyProgress, synced int) {
	for i, progress := range sent {
		if i < synced {
			progress.durableOn = append(progress.durableOn, member.Identity)
			r.transferredKeys++
			r.transferredBytes += progress.approximateBytes()
			continue
		}
		progress.failed = append(progress.failed, member.Identity)
	}
}

// send sends keys to one member in calls of bounded size. The member has synced the first keys, as many as returned.
func (r *rebalance) send(ctx context.Context, member *tierpb.Node, keys []*keyProgress) (synced int, err error) {
	for synced < len(keys) {
		request := &tierpb.TransferRecordsRequest{Header: r.requestHeader(member)}
		count := r.fillRequest(request, keys[synced:])
		reply := &tierpb.TransferRecordsReply{}
		err := r.call(ctx, member, rpc.MethodTransferRecords, request, reply)
		served, err := checkReply(reply.Header, err)
		if err != nil || !served {
			return synced, err
		}
		synced += count
	}
	return synced, nil
}

// fillRequest adds keys to a request, at least one, up to maxTransferBytes. It returns how many it has added.
func (r *rebalance) fillRequest(request *tierpb.TransferRecordsRequest, keys []*keyProgress) int {
	bytes := 0
	for i, progress := range keys {
		if i > 0 && bytes+progress.approximateBytes() > maxTransferBytes {
			return i
		}
		bytes += progress.approximateBytes()
		if progress.claims != nil {
			request.Budgets = append(request.Budgets, progress.claims)
			continue
		}
		request.Records = append(request.Records, progress.record.turn)
		if extension := r.currentExtension(progress); extension != nil {
			request.Extensions = append(request.Extensions, extension)
		}
	}
	return len(keys)
}

// currentExtension returns the extension of a record's retention as it is now: it may have been extended since the record was copied.
func (r *rebalance) currentExtension(progress *keyProgress) *tierpb.RetentionExtension {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	if existing := r.store.state.records[progress.key.name]; existing != nil {
		return existing.extension()
	}
	return progress.extension()
}

// sendExtensions sends extended retentions to members that had the records already. A member that has missed an extension
// would remove its replica too early, although it counts towards the quorum.
func (r *rebalance) sendExtensions(ctx context.Context, batch []*keyProgress) error {
	byMember := make(progressByMember)
	for _, progress := range batch {
		for _, identity := range progress.needExtension {
			byMember[identity] = append(byMember[identity], progress)
		}
	}
	return r.callMembers(byMember, func(member *tierpb.Node, extended []*keyProgress) (func(), error) {
		request := &tierpb.TransferRecordsRequest{Header: r.requestHeader(member)}
		for _, progress := range extended {
			request.Extensions = append(request.Extensions, r.currentExtension(progress))
		}
		reply := &tierpb.TransferRecordsReply{}
		err := r.call(ctx, member, rpc.MethodTransferRecords, request, reply)
		served, err := checkReply(reply.Header, err)
		return func() { applyExtensionReply(member, extended, served) }, err
	})
}

// applyExtensionReply records the result of a call with extensions. If the member has not served it, its replicas do not
// count towards the quorum.
func applyExtensionReply(member *tierpb.Node, extended []*keyProgress, served bool) {
	isMember := func(identity uint64) bool { return identity == member.Identity }
	for _, progress := range extended {
		progress.needExtension = slices.DeleteFunc(progress.needExtension, isMember)
		if !served {
			progress.durableOn = slices.DeleteFunc(progress.durableOn, isMember)
		}
	}
}

// callMembers calls members concurrently. Each call returns a function that updates the progress of its keys; these
// functions run one after the other when all calls have ended. An error of a call ends the rebalance.
func (r *rebalance) callMembers(
	byMember progressByMember, call func(*tierpb.Node, []*keyProgress) (applyResult func(), err error),
) error {
	var calls sync.WaitGroup
	var mu sync.Mutex
	var results []func()
	var failure error
	for _, member := range r.membership.Current {
		keys := byMember[member.Identity]
		if len(keys) == 0 {
			continue
		}
		calls.Add(1)
		go func() {
			defer calls.Done()
			applyResult, err := call(member, keys)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, applyResult)
			if err != nil {
				failure = err
			}
		}()
	}
	calls.Wait()
	for _, applyResult := range results {
		applyResult()
	}
	return failure
}

func (r *rebalance) requestHeader(member *tierpb.Node) *tierpb.StoreRequestHeader {
	return &tierpb.StoreRequestHeader{Identity: member.Identity, Epoch: r.membership.Epoch}
}

func (r *rebalance) call(
	ctx context.Context, member *tierpb.Node, method rpc.Method, request, reply rpc.Message,
) error {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	return r.caller.Call(ctx, member.Address, method, request, reply)
}

// checkReply returns whether a call was served. A failed call is not an error, because other members may serve it; the
// error errStaleMembership ends the rebalance.
func checkReply(header *tierpb.StoreReplyHeader, callErr error) (served bool, err error) {
	if callErr != nil {
		return false, nil //nolint:nilerr // other members may serve the call
	}
	if header.GetStatus() == tierpb.StoreStatus_STORE_STALE_EPOCH {
		return false, errStaleMembership
	}
	return header.GetStatus() == tierpb.StoreStatus_STORE_OK, nil
}
