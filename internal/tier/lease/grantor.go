// Package lease gives singleton roles to one process at a time: a lease is granted by a majority of the voters, and its
// holder stops before it expires, by its own steady clock.
package lease

import (
	"context"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// MaxTTL bounds the terms that are granted. A grantor that has started holds back for as long, because it does
// not know what it granted before.
const MaxTTL = 2 * time.Second

// Lessor grants leases on behalf of one voter. It keeps nothing on disk.
type Lessor struct {
	identity uint64
	opens    time.Time // nothing is granted before
	mu       sync.Mutex
	grants   map[string]grant
}

type grant struct {
	holder   uint64
	sequence uint64
	expires  time.Time
}

// NewLessor makes the grantor of a voter with this identity; holdBack is LongestTerm except at the first start of the
// whole system.
func NewLessor(identity uint64, holdBack time.Duration) *Lessor {
	return &Lessor{identity: identity, opens: time.Now().Add(holdBack), grants: make(map[string]grant)}
}

// Handle grants, renews or releases a lease.
func (g *Lessor) Handle(request *tierpb.LeaseRequest) *tierpb.LeaseReply {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if request.GetIdentity() != g.identity || request.GetHolder() == 0 {
		return &tierpb.LeaseReply{}
	}
	held, found := g.grants[request.GetRole()]
	if found && !now.Before(held.expires) {
		delete(g.grants, request.GetRole())
		held, found = grant{}, false
	}
	switch {
	case found && held.holder != request.GetHolder():
		return &tierpb.LeaseReply{Holder: held.holder, RemainingMs: milliseconds(held.expires.Sub(now))}
	case request.GetRelease():
		if request.GetSequence() > held.sequence { // not one that was on its way since before the grant
			delete(g.grants, request.GetRole())
		}
		return &tierpb.LeaseReply{}
	case now.Before(g.opens):
		return &tierpb.LeaseReply{RemainingMs: milliseconds(g.opens.Sub(now))}
	}
	term := min(time.Duration(request.GetTtlMs())*time.Millisecond, MaxTTL)
	g.grants[request.GetRole()] = grant{
		holder: request.GetHolder(), sequence: max(held.sequence, request.GetSequence()), expires: now.Add(term),
	}
	return &tierpb.LeaseReply{Granted: true, Holder: request.GetHolder(), RemainingMs: milliseconds(term)}
}

// Serve registers the grantor's call.
func (g *Lessor) Serve(server *rpc.Server) {
	rpc.Handle(server, rpc.MethodLease, func(_ context.Context, request *tierpb.LeaseRequest) (*tierpb.LeaseReply, error) {
		return g.Handle(request), nil
	})
}

// milliseconds rounds up, so that a wait of the result is long enough.
func milliseconds(duration time.Duration) uint32 {
	return uint32((duration + time.Millisecond - 1) / time.Millisecond)
}
