package replica

import (
	"context"
	"time"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Reply is an answer of a turn store.
type Reply interface {
	GetHeader() *tierpb.StoreReplyHeader
}

// Quorum says how many members of a replica set of this size are needed.
type Quorum func(tolerance, size int) int

// Operation is a call that is made to members of a key's replica sets until enough have answered.
type Operation[R Reply] struct {
	Key    string
	Quorum Quorum
	Call   func(ctx context.Context, address string, header *tierpb.StoreRequestHeader) (R, error)
	// OnReply is called with each reply that counts, from a single goroutine; returning true ends the operation
	// successfully before the quorum is complete. May be nil.
	OnReply func(R) bool
	// Ranked prefers members by their rank for the key, the same for all callers, instead of the near and quick ones.
	Ranked bool
	// SingleMembership discards the replies received under an older membership: a read quorum is valid only within one
	// membership, whereas a write that a member has synced stays there.
	SingleMembership bool
}

// Outcome tells how a quorum came about.
type Outcome struct {
	// TopRanked says that there was one replica set all the while and that the quorum is the first of its members by
	// rank, so that it is the same for all callers.
	TopRanked bool
}

// CallQuorum runs an operation until a quorum of the replica set has answered, of both sets while members change.
// It returns ErrUncertain when ctx ends before.
func CallQuorum[R Reply](ctx context.Context, client *Client, operation Operation[R]) (Outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	run := &collection[R]{
		client:    client,
		operation: operation,
		answers:   make(chan answer[R], answersAhead),
		voted:     make(map[uint64]bool),
	}
	err := run.loop(ctx)
	return Outcome{TopRanked: err == nil && run.isFirst()}, err
}

const answersAhead = 16

type answer[R Reply] struct {
	node   *tierpb.Node
	placed int // the collection's when the call was made
	reply  R
	err    error
	took   time.Duration
}

// collection is one run of an operation. It is used by one goroutine; calls report through answers.
type collection[R Reply] struct {
	client     *Client
	operation  Operation[R]
	membership *tierpb.StoreMembership
	placed     int // how many memberships came before this one
	sets       [][]*tierpb.Node
	order      []*tierpb.Node // all members of the sets, preferred ones first
	answers    chan answer[R]
	voted      map[uint64]bool
	called     map[uint64]bool // called in this round
	pending    int
}

func (r *collection[R]) loop(ctx context.Context) error {
	for {
		r.place()
		if r.complete() {
			return nil
		}
		done, err := r.round(ctx)
		if done || err != nil {
			return err
		}
		if err := r.pause(ctx); err != nil {
			return err
		}
	}
}

// place takes the newest membership and forgets what counted only under an older one. It never goes back.
func (r *collection[R]) place() {
	newest := r.client.Membership()
	if newest.GetEpoch() < r.membership.GetEpoch() {
		newest = r.membership
	}
	if r.membership != nil && differ(newest, r.membership) {
		r.placed++
		if r.operation.SingleMembership {
			clear(r.voted)
		}
	}
	r.membership = newest
	r.sets = Sets(newest, r.operation.Key, r.client.options.Tolerance)
	r.order = r.order[:0]
	for _, set := range r.sets {
		for _, member := range set {
			if !Contains(r.order, member.Identity) {
				r.order = append(r.order, member)
			}
		}
	}
	r.order = r.client.prefer(r.order, r.operation.Ranked)
	r.called = make(map[uint64]bool, len(r.order))
}

// differ says whether two memberships have other replica sets. The end of a move keeps the epoch: current members that
// answered before it may have lacked what the previous ones held.
func differ(a, b *tierpb.StoreMembership) bool {
	return a.GetEpoch() != b.GetEpoch() || len(a.GetPrevious()) != len(b.GetPrevious())
}

// Sets are the replica sets of a key: of the current members, and of the previous ones while records move.
func Sets(membership *tierpb.StoreMembership, key string, tolerance int) [][]*tierpb.Node {
	if len(membership.GetCurrent()) == 0 {
		return nil
	}
	sets := [][]*tierpb.Node{Set(membership.Current, key, Size(tolerance))}
	if len(membership.Previous) > 0 {
		sets = append(sets, Set(membership.Previous, key, Size(tolerance)))
	}
	return sets
}

// isFirst says whether the quorum is the first of the members of a single replica set.
func (r *collection[R]) isFirst() bool {
	if r.placed > 0 || len(r.sets) != 1 {
		return false
	}
	set := r.sets[0]
	for _, member := range set[:r.operation.Quorum(r.client.options.Tolerance, len(set))] {
		if !r.voted[member.Identity] {
			return false
		}
	}
	return true
}

// complete says whether each set has its quorum.
func (r *collection[R]) complete() bool {
	return len(r.sets) > 0 && r.lacking(r.voted) == nil
}

// lacking returns a set that has no quorum among those counted, nil if all have.
func (r *collection[R]) lacking(counted map[uint64]bool) []*tierpb.Node {
	for _, set := range r.sets {
		count := 0
		for _, member := range set {
			if counted[member.Identity] {
				count++
			}
		}
		if count < r.operation.Quorum(r.client.options.Tolerance, len(set)) {
			return set
		}
	}
	return nil
}

// round calls members under one membership, and returns when the operation is done, when the membership is
// older than a store's, or when all members have been called in vain.
func (r *collection[R]) round(ctx context.Context) (bool, error) {
	hopeful := make(map[uint64]bool, len(r.order))
	for identity := range r.voted {
		hopeful[identity] = true
	}
	r.callPreferred(ctx, hopeful)
	hedge := r.client.options.After(hedgeAfter)
	for r.pending > 0 {
		select {
		case got := <-r.answers:
			r.pending--
			if got.placed != r.placed && r.operation.SingleMembership {
				continue
			}
			counts, stale := r.judge(got)
			if stale {
				return false, nil
			}
			if !counts {
				delete(hopeful, got.node.Identity)
				r.callPreferred(ctx, hopeful)
				continue
			}
			if r.operation.OnReply != nil && r.operation.OnReply(got.reply) {
				return true, nil
			}
			r.voted[got.node.Identity] = true
			if r.complete() {
				return true, nil
			}
		case <-hedge:
			r.client.slow(r.called, r.voted)
			r.callAll(ctx)
		case <-ctx.Done():
			return false, ErrUncertain
		}
	}
	return false, nil
}

// callPreferred calls the fewest members that would give each set its quorum if all that are hopeful answer.
func (r *collection[R]) callPreferred(ctx context.Context, hopeful map[uint64]bool) {
	for _, member := range r.order {
		set := r.lacking(hopeful)
		if set == nil {
			return
		}
		if hopeful[member.Identity] || r.called[member.Identity] || !r.useful(member, hopeful) {
			continue
		}
		hopeful[member.Identity] = true
		r.start(ctx, member)
	}
}

// useful says whether a member belongs to a set that still lacks its quorum.
func (r *collection[R]) useful(member *tierpb.Node, counted map[uint64]bool) bool {
	for _, set := range r.sets {
		if !Contains(set, member.Identity) {
			continue
		}
		count := 0
		for _, other := range set {
			if counted[other.Identity] {
				count++
			}
		}
		if count < r.operation.Quorum(r.client.options.Tolerance, len(set)) {
			return true
		}
	}
	return false
}

// callAll calls the members that were not called yet and could still help.
func (r *collection[R]) callAll(ctx context.Context) {
	for _, member := range r.order {
		if !r.called[member.Identity] && !r.voted[member.Identity] && r.useful(member, r.voted) {
			r.start(ctx, member)
		}
	}
}

func (r *collection[R]) start(ctx context.Context, member *tierpb.Node) {
	r.called[member.Identity] = true
	r.pending++
	epoch, placed := r.membership.GetEpoch(), r.placed
	answers := r.answers
	go func() {
		callContext, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		began := r.client.options.Now()
		header := &tierpb.StoreRequestHeader{Identity: member.Identity, Epoch: epoch}
		reply, err := r.operation.Call(callContext, member.Address, header)
		got := answer[R]{node: member, placed: placed, reply: reply, err: err}
		got.took = r.client.options.Now().Sub(began)
		select {
		case answers <- got:
		case <-ctx.Done():
		}
	}()
}

// judge says whether an answer counts, and whether it shows that the membership is older than the store's.
func (r *collection[R]) judge(got answer[R]) (counts, stale bool) {
	if got.err != nil {
		r.client.failed(got.node.Identity)
		return false, false
	}
	verdict := got.reply.GetHeader()
	switch verdict.GetStatus() {
	case tierpb.StoreStatus_STORE_OK:
		r.client.answered(got.node.Identity, got.took)
		return true, false
	case tierpb.StoreStatus_STORE_STALE_EPOCH:
		r.client.learn(verdict.GetMembership())
		return false, verdict.GetMembership().GetEpoch() > r.membership.GetEpoch()
	case tierpb.StoreStatus_STORE_BEHIND:
		return false, false
	}
	r.client.failed(got.node.Identity)
	return false, false
}

// pause waits before the next round, unless a newer membership is known already.
func (r *collection[R]) pause(ctx context.Context) error {
	if newest := r.client.Membership(); newest.GetEpoch() >= r.membership.GetEpoch() && differ(newest, r.membership) {
		return nil
	}
	select {
	case <-r.client.options.After(pauseBetween):
		return nil
	case <-ctx.Done():
		return ErrUncertain
	}
}
