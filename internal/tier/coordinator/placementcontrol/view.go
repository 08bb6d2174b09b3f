package placementcontrol

import (
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/placement"
	"pulleygw.example/pulleygw/internal/tier/settings"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Membership is what placement needs to know of the other nodes.
type Membership interface {
	// Voters returns the newest voter sets known, chosen or not.
	Voters() []*tierpb.VoterSet
	// RecentJoins returns the join requests of the last minute.
	RecentJoins() []placement.Join
	// Zones returns the zones of the coordinators by internal address.
	Zones() map[string]string
	// UnreachableFor is how long the coordinator at an internal address has not answered, 0 for one that does.
	UnreachableFor(address string) time.Duration
	// Stopping reports whether this process shuts down.
	Stopping() bool
}

// ViewOptions of a ViewSource. All are required.
type ViewOptions struct {
	Self       *tierpb.Node
	Live       *settings.Live // fault tolerance, catch-up time and failure domains
	Membership Membership
	Now        func() time.Time
}

// ViewSource makes the views that placement decides on. It is safe for concurrent use.
type ViewSource struct {
	options ViewOptions
	stalls  *stallDetector

	mu   sync.Mutex
	move observedMove // guarded by mu
}

// observedMove is a membership of the turn stores and when this process first looked at it.
type observedMove struct {
	epoch uint64
	at    time.Time
}

// NewViewSource returns a ViewSource of a process that runs since now.
func NewViewSource(options ViewOptions) *ViewSource {
	return &ViewSource{options: options, stalls: newStallDetector(options.Now)}
}

// View returns what this process has seen itself up to this moment, for a change of a value.
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
		MembershipSeen: v.moveSeen(current.GetStores().GetEpoch()),
	}
}

// ownUnreachableFor says, once this process shuts down, that it is no standby any more; its vote is transferred at the end.
func (v *ViewSource) ownUnreachableFor() time.Duration {
	if v.options.Membership.Stopping() {
		return time.Nanosecond
	}
	return 0
}

// moveSeen is when the newest membership of the turn stores was first looked at.
func (v *ViewSource) moveSeen(epoch uint64) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	if epoch > v.move.epoch || v.move.at.IsZero() {
		v.move = observedMove{epoch: epoch, at: v.options.Now()}
	}
	return v.move.at
}
