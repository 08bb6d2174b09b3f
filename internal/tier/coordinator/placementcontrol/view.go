package placementcontrol

import (
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/placement"
	"pulleygw.example/pulleygw/internal/tier/settings"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Membership provides what placement needs to know about the other nodes.
type Membership interface {
	// Voters returns the newest known voter sets, whether or not they were chosen.
	Voters() []*tierpb.VoterSet
	// RecentJoins returns the latest join request of each node within the last minute.
	RecentJoins() []placement.Join
	// Zones returns the zone of each coordinator by internal address.
	Zones() map[string]string
	// UnreachableFor returns how long the coordinator at an internal address has not answered; 0 if it answers.
	UnreachableFor(address string) time.Duration
	// Stopping reports whether this process is shutting down.
	Stopping() bool
}

// ViewOptions of a ViewSource. All are required.
type ViewOptions struct {
	Self       *tierpb.Node
	Live       *settings.Live // fault tolerance, catch-up time and failure domains
	Membership Membership
	Now        func() time.Time
}

// ViewSource builds the views on which package placement decides. It is safe for concurrent use.
type ViewSource struct {
	options ViewOptions
	stalls  *stallDetector

	mu       sync.Mutex
	observed observedMembership // guarded by mu
}

// observedMembership is an epoch of the turn store membership and when this process first saw it.
type observedMembership struct {
	epoch     uint64
	firstSeen time.Time
}

// NewViewSource returns a ViewSource for a process that starts now.
func NewViewSource(options ViewOptions) *ViewSource {
	return &ViewSource{options: options, stalls: newStallDetector(options.Now)}
}

// View returns what this process has observed by now, as the basis for a decision about current.
func (v *ViewSource) View(current *tierpb.ControlState) *placement.View {
	zones := v.options.Membership.Zones()
	live := v.options.Live.Current()
	now, since := v.options.Now(), v.stalls.runningSince()
	return &placement.View{
		Now: now, ListeningSince: since, Tolerance: live.FaultTolerance.MemberFailures(),
		CatchUpTimeout: settings.Seconds(live.Bounds.CatchUpS, 0),
		Joins:          v.options.Membership.RecentJoins(),
		VoterUnreachableFor: func(address string) time.Duration {
			if address == v.options.Self.Address {
				return v.ownUnreachableFor()
			}
			return min(v.options.Membership.UnreachableFor(address), now.Sub(since))
		},
		FailureDomain:  func(node *tierpb.Node) string { return live.FailureDomain(zones[node.Address]) },
		MembershipSeen: v.membershipSeen(current.GetStores().GetEpoch()),
	}
}

// ownUnreachableFor returns how long this process counts as unreachable. During the shutdown that is more than zero, so that it
// is no longer a standby, but too short for its own vote to be replaced: VoteTransfer moves that vote.
func (v *ViewSource) ownUnreachableFor() time.Duration {
	if v.options.Membership.Stopping() {
		return time.Nanosecond
	}
	return 0
}

// membershipSeen returns when the membership of this epoch was first seen. An older epoch leaves the recorded one unchanged.
func (v *ViewSource) membershipSeen(epoch uint64) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	if epoch > v.observed.epoch || v.observed.firstSeen.IsZero() {
		v.observed = observedMembership{epoch: epoch, firstSeen: v.options.Now()}
	}
	return v.observed.firstSeen
}
