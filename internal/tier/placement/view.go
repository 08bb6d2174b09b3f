package placement

import (
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// JoinTTL is how long a join request is valid: a node whose last request is older does not count as running.
const JoinTTL = 1300 * time.Millisecond

// Timeouts after which an unreachable node is replaced or removed.
const (
	voterTimeout           = 1200 * time.Millisecond // a voter is replaced if there is a standby
	storeTimeout           = 1500 * time.Millisecond // a turn store is replaced if another one joins
	maxStoreRemovalTimeout = 2500 * time.Millisecond // a turn store is removed without replacement
)

// A turn store is removed after this fraction of the catch-up timeout, if that is less than maxStoreRemovalTimeout.
const (
	removalNumerator   = 3
	removalDenominator = 5
)

// Join is the last join request of a node. Nodes repeat these requests as heartbeats.
type Join struct {
	Request   *tierpb.JoinRequest
	FirstSeen time.Time // of this identity
	LastSeen  time.Time
}

// View is what the lease holder itself knows of the cluster.
type View struct {
	// Now is the time of the decision.
	Now time.Time
	// ListeningSince is the time since which this process has received requests without interruption. No node counts as
	// unreachable for longer than that, because a process that was suspended has received no requests from anyone.
	ListeningSince time.Time
	// Tolerance is the number of members that may be lost at once.
	Tolerance int
	// CatchUpTimeout bounds the time that a new machine takes to catch up; 0 means that there is no bound.
	CatchUpTimeout time.Duration
	// Joins contains the last join request of each known node, at most one per identity.
	Joins []Join
	// VoterUnreachableFor returns for how long the coordinator at an address has not replied, 0 if it replies. The
	// coordinator need not be a voter.
	VoterUnreachableFor func(address string) time.Duration
	// FailureDomain returns the failure domain of a node, that is, the zone or region that may be lost as a whole, empty for
	// none; may be nil.
	FailureDomain func(node *tierpb.Node) string
	// MembershipSeen is the time at which this process learned of the newest membership of the turn stores.
	MembershipSeen time.Time
}

func (v *View) failureDomain(node *tierpb.Node) string {
	if v.FailureDomain == nil {
		return ""
	}
	return v.FailureDomain(node)
}

// countInDomain returns the number of nodes that are in a failure domain.
func (v *View) countInDomain(domain string, nodes []*tierpb.Node) int {
	count := 0
	for _, node := range nodes {
		if v.failureDomain(node) == domain {
			count++
		}
	}
	return count
}

// requiredMembers returns the number of members that is needed to tolerate the loss of Tolerance of them.
func (v *View) requiredMembers() int { return 2*v.Tolerance + 1 }

// storeRemovalTimeout returns how long a turn store may be unreachable before it is removed without replacement. That is
// well before the catch-up timeout of a successor would end.
func (v *View) storeRemovalTimeout() time.Duration {
	if v.CatchUpTimeout <= 0 {
		return maxStoreRemovalTimeout
	}
	return max(storeTimeout, min(maxStoreRemovalTimeout, v.CatchUpTimeout*removalNumerator/removalDenominator))
}

// isRunning reports whether a node has sent a join request within JoinTTL, and no other identity has sent one from its
// address since then, as a node does whose disk was lost. The last requests of both are compared, because the first request
// of an earlier identity may be read late.
func (v *View) isRunning(join Join) bool {
	return v.Now.Sub(join.LastSeen) <= JoinTTL && !v.isSuperseded(join)
}

func (v *View) isSuperseded(join Join) bool {
	return slices.ContainsFunc(v.Joins, func(other Join) bool {
		if other.Request.Node.Address != join.Request.Node.Address {
			return false
		}
		return other.LastSeen.After(join.LastSeen) ||
			other.LastSeen.Equal(join.LastSeen) && other.FirstSeen.After(join.FirstSeen)
	})
}

// findJoin returns the join request of an identity.
func (v *View) findJoin(identity uint64) (join Join, found bool) {
	for _, join := range v.Joins {
		if join.Request.Node.Identity == identity {
			return join, true
		}
	}
	return Join{}, false
}

// storeUnreachableFor returns how long ago the last join request of a turn store was seen, but at most the time since
// ListeningSince.
func (v *View) storeUnreachableFor(identity uint64) time.Duration {
	listened := v.Now.Sub(v.ListeningSince)
	if join, found := v.findJoin(identity); found {
		return min(v.Now.Sub(join.LastSeen), listened)
	}
	return listened
}

// indexOf returns the index of the node with this identity, -1 if there is none.
func indexOf(nodes []*tierpb.Node, identity uint64) int {
	return slices.IndexFunc(nodes, func(node *tierpb.Node) bool { return node.Identity == identity })
}

// indexOfPredecessor returns the index of the member that a joining node replaces, that is, one with the same name or
// address, -1 if there is none.
func indexOfPredecessor(members []*tierpb.Node, joining *tierpb.Node) int {
	return slices.IndexFunc(members, func(member *tierpb.Node) bool {
		return member.Address == joining.Address || member.Name == joining.Name && joining.Name != ""
	})
}
