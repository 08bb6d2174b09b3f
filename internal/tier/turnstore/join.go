package turnstore

import (
	"context"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Times of joining.
const (
	joinEvery     = 500 * time.Millisecond // also as a member: the coordinators take silence for death
	joinTimeout   = 400 * time.Millisecond
	noticeAtStart = 50 * time.Millisecond // before the first call, for the listeners of the others
)

// joiner tells the coordinators of the store until it is a member, and how far its passes are.
type joiner struct {
	store     *Store
	mover     *Mover
	caller    rpc.Caller
	node      *tierpb.Node
	addresses func() []string // of the coordinators
}

func (j *joiner) run(ctx context.Context) {
	wait := noticeAtStart
	for {
		_, changed := j.store.Membership()
		select {
		case <-j.store.options.After(wait):
		case <-j.mover.Done():
		case <-changed:
		case <-ctx.Done():
			return
		}
		j.tell(ctx)
		wait = joinEvery
	}
}

// tell calls all coordinators at the same time.
func (j *joiner) tell(ctx context.Context) {
	membership, _ := j.store.Membership()
	request := &tierpb.JoinRequest{
		Node:        j.node,
		StoreEpoch:  membership.GetEpoch(),
		CopiedEpoch: j.mover.Copied(),
		Records:     uint64(j.store.Records()),
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, address := range j.addresses() {
		calls.Add(1)
		go func() {
			defer calls.Done()
			_ = j.caller.Call(ctx, address, rpc.MethodJoin, request, &tierpb.JoinReply{})
		}()
	}
	calls.Wait()
}
