// Package placement decides which nodes vote and which turn stores keep records. It computes the next step from the
// control state and from what the holder of the lease knows first hand; it does no I/O.
package placement

import (
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Times that decisions rest on.
const (
	JoinTTL        = 1300 * time.Millisecond // a node whose last join is older than this does not count as running
	firstQuiet     = 700 * time.Millisecond  // no new turn store for this long: the first members are complete
	firstWait      = 1500 * time.Millisecond // after the first turn store: the first members are complete
	fewWait        = 4 * time.Second         // the same, where those that came are too few to go on after as many losses
	fewerWait      = 7 * time.Second         // the same, where as many losses would leave none of them
	batchQuiet     = 300 * time.Millisecond  // no new joiner for this long: those that wait are taken in together
	batchWait      = time.Second             // after the first of those that wait
	voterDead      = 1200 * time.Millisecond // a voter silent for so long is replaced, where a standby is there
	storeDead      = 1500 * time.Millisecond // the same of a turn store
	storeAbandoned = 2500 * time.Millisecond // a turn store silent for so long, at most, is taken out without a replacement
	reportPatience = 6 * time.Second         // a move waits this long for reports beyond those it needs
)

// Join is a node's last call to join.
type Join struct {
	Request   *tierpb.JoinRequest
	FirstSeen time.Time // when the node was heard of first
	LastSeen  time.Time // when it called last
}

// View is what the holder of the lease knows first hand.
type View struct {
	Now            time.Time
	ListeningSince time.Time     // since when this process has listened without a gap; nobody counts as silent for longer
	Tolerance      int           // members that may be lost at once
	CatchUpTimeout time.Duration // bound on a new machine's start; 0 where none is set
	Joins          []Join
	// VoterUnreachableFor is how long the coordinator at an address, voter or not, has not answered; 0 for one that answers.
	VoterUnreachableFor func(address string) time.Duration
	// FailureDomain is the zone or region of a node that may be lost as a whole, empty for none; it may be nil.
	FailureDomain func(node *tierpb.Node) string
	// MembershipSeen is when this process heard of the newest membership of the turn stores.
	MembershipSeen time.Time
}

func (v *View) domain(node *tierpb.Node) string {
	if v.FailureDomain == nil {
		return ""
	}
	return v.FailureDomain(node)
}

// countIn is how many nodes are in a domain.
func (v *View) countIn(domain string, nodes []*tierpb.Node) int {
	count := 0
	for _, node := range nodes {
		if v.domain(node) == domain {
			count++
		}
	}
	return count
}

// abandonAfter is how long a turn store may be silent: it is out well before its successor's catch-up time is over.
func (v *View) abandonAfter() time.Duration {
	if v.CatchUpTimeout <= 0 {
		return storeAbandoned
	}
	return max(storeDead, min(storeAbandoned, v.CatchUpTimeout*3/5))
}

// least is the number of members that bears the loss of tolerance of them.
func (v *View) least() int { return 2*v.Tolerance + 1 }

// fresh says that a node called lately and that no other one has called from its address since: that one found the disk
// empty. What counts is the last call of each, for the first call of an earlier life may be read late.
func (v *View) fresh(join Join) bool {
	return v.Now.Sub(join.LastSeen) <= JoinTTL && !v.superseded(join)
}

func (v *View) superseded(join Join) bool {
	return slices.ContainsFunc(v.Joins, func(other Join) bool {
		if other.Request.Node.Address != join.Request.Node.Address {
			return false
		}
		return other.LastSeen.After(join.LastSeen) || other.LastSeen.Equal(join.LastSeen) && other.FirstSeen.After(join.FirstSeen)
	})
}

// storeSilence is how long a turn store has not called.
func (v *View) storeSilence(identity uint64) time.Duration {
	listened := v.Now.Sub(v.ListeningSince)
	for _, join := range v.Joins {
		if join.Request.Node.Identity == identity {
			return min(v.Now.Sub(join.LastSeen), listened)
		}
	}
	return listened
}

func find(nodes []*tierpb.Node, identity uint64) int {
	for i, node := range nodes {
		if node.Identity == identity {
			return i
		}
	}
	return -1
}

// predecessor is the member that a joiner stands in for: the one of the same name or address. -1 where there is none.
func predecessor(members []*tierpb.Node, joiner *tierpb.Node) int {
	for i, member := range members {
		if member.Address == joiner.Address || member.Name == joiner.Name && joiner.Name != "" {
			return i
		}
	}
	return -1
}
