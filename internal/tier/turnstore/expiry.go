package turnstore

import (
	"context"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Timing and limits of expiry.
const (
	expiryInterval          = 5 * time.Second // between two checks; members repeat extensions every propagationRetry
	expiryCallTimeout       = time.Second     // of one call
	noContact         int64 = 0               // of Expirer.contactUnixMs
)

// Expirer removes the records and programs of a store that have expired.
//
// A store that was down, frozen or partitioned may have missed that a record must be kept for longer. So what expires is
// removed only after two checks in a row, between which the other members can send what they have to send (see
// RetentionPropagator), have found all of them reachable. Without contact nothing is removed unless the store is full.
type Expirer struct {
	Store  *Store
	Caller rpc.Caller

	contactUnixMs int64 // time of the last check if all members were reachable then, else noContact
}

// Run removes what has expired until ctx ends.
func (e *Expirer) Run(ctx context.Context) {
	for {
		select {
		case <-e.Store.options.After(expiryInterval):
			e.check(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// check removes what had expired at the last check, if all members are reachable and were so then.
func (e *Expirer) check(ctx context.Context) {
	now := e.Store.options.Now().UnixMilli()
	if !e.Store.extendAndFindExpired(now) {
		e.contactUnixMs = now // there is nothing that an extension could still keep
		return
	}
	lastContact := e.contactUnixMs
	e.contactUnixMs = noContact
	membership, _ := e.Store.Membership()
	if len(membership.GetCurrent()) == 0 || !e.reachesAll(ctx, replica.Union(membership.Current, membership.Previous)) {
		return
	}
	e.contactUnixMs = now
	if lastContact == noContact {
		return
	}
	e.Store.removeExpired(lastContact)
}

// reachesAll returns whether all other members answer.
func (e *Expirer) reachesAll(ctx context.Context, members []*tierpb.Node) bool {
	var calls sync.WaitGroup
	answered := make([]bool, len(members))
	for i, member := range members {
		if member.Identity == e.Store.identity {
			answered[i] = true
			continue
		}
		calls.Go(func() {
			answered[i] = e.call(ctx, member, rpc.MethodPing, &tierpb.PingRequest{}, &tierpb.PingReply{}) == nil
		})
	}
	calls.Wait()
	for _, ok := range answered {
		if !ok {
			return false
		}
	}
	return true
}

func (e *Expirer) call(ctx context.Context, member *tierpb.Node, method rpc.Method, request, reply rpc.Message) error {
	ctx, cancel := context.WithTimeout(ctx, expiryCallTimeout)
	defer cancel()
	return e.Caller.Call(ctx, member.Address, method, request, reply)
}

// extendAndFindExpired extends the chains and returns whether anything has expired.
func (s *Store) extendAndFindExpired(unixMs int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.extendChains()
	return s.state.hasExpired(unixMs)
}

// removeExpired removes the records and programs that had expired at a time.
func (s *Store) removeExpired(unixMs int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.removeExpired(time.UnixMilli(unixMs))
}
