package lease

import (
	"context"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// MaxTTL bounds the time for which a lease is granted. It is also the grace period for which a restarted lessor grants
// nothing, because it does not know what it granted before the restart.
const MaxTTL = 2 * time.Second

// Lessor grants leases on behalf of one voter. It keeps its grants in memory only. It is safe for concurrent use.
type Lessor struct {
	identity   uint64
	grantsFrom time.Time // when the grace period ends
	mu         sync.Mutex
	grants     map[string]grant // by role
}

// grant is a lease that this lessor has granted.
type grant struct {
	holder   uint64 // identity
	sequence uint64 // highest sequence number of the granted requests
	expires  time.Time
}

// NewLessor returns the lessor of the voter with this identity. It grants nothing during the grace period. That is MaxTTL,
// or 0 at the first start of the cluster, before which nothing can have been granted.
func NewLessor(identity uint64, gracePeriod time.Duration) *Lessor {
	return &Lessor{identity: identity, grantsFrom: time.Now().Add(gracePeriod), grants: make(map[string]grant)}
}

// Handle grants, renews or releases a lease. A reply that denies the lease contains the current holder and the remaining time
// of its lease, or only the rest of the grace period. A reply without both means that the request is malformed or meant
// for another identity, or that it was a release.
func (l *Lessor) Handle(request *tierpb.LeaseRequest) *tierpb.LeaseReply {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if request.GetIdentity() != l.identity || request.GetHolder() == 0 {
		return &tierpb.LeaseReply{}
	}
	current, found := l.grants[request.GetRole()]
	if found && !now.Before(current.expires) {
		delete(l.grants, request.GetRole())
		current, found = grant{}, false
	}
	switch {
	case found && current.holder != request.GetHolder():
		return &tierpb.LeaseReply{Holder: current.holder, RemainingMs: milliseconds(current.expires.Sub(now))}
	case request.GetRelease():
		if request.GetSequence() > current.sequence { // otherwise the release was delayed: it was sent before the grant
			delete(l.grants, request.GetRole())
		}
		return &tierpb.LeaseReply{}
	case now.Before(l.grantsFrom):
		return &tierpb.LeaseReply{RemainingMs: milliseconds(l.grantsFrom.Sub(now))}
	}
	ttl := min(time.Duration(request.GetTtlMs())*time.Millisecond, MaxTTL)
	l.grants[request.GetRole()] = grant{
		holder: request.GetHolder(), sequence: max(current.sequence, request.GetSequence()), expires: now.Add(ttl),
	}
	return &tierpb.LeaseReply{Granted: true, Holder: request.GetHolder(), RemainingMs: milliseconds(ttl)}
}

// Serve registers the lessor's RPC handler.
func (l *Lessor) Serve(server *rpc.Server) {
	rpc.Handle(server, rpc.MethodLease, func(_ context.Context, request *tierpb.LeaseRequest) (*tierpb.LeaseReply, error) {
		return l.Handle(request), nil
	})
}

// milliseconds rounds a duration up, so that a wait of the result is long enough.
func milliseconds(duration time.Duration) uint32 {
	return uint32((duration + time.Millisecond - 1) / time.Millisecond)
}
