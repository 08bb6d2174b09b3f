package coordinator

import (
	"time"

	"pulleygw.example/pulleygw/internal/tier/placement"
	"pulleygw.example/pulleygw/internal/tier/settings"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// view is what this process knows first hand at this moment, for a change of a value.
func (c *coordinator) view(current *tierpb.ControlState) *placement.View {
	zones := c.zones()
	live := c.live.Current()
	now, since := c.now(), c.listening.since()
	return &placement.View{
		Now: now, ListeningSince: since, Tolerance: live.FaultTolerance.MemberFailures(),
		CatchUpTimeout: settings.Seconds(live.Bounds.CatchUpS, 0),
		Joins:          c.directory.recentJoins(),
		VoterUnreachableFor: func(address string) time.Duration {
			if address == c.self.Address {
				return c.ownSilence()
			}
			return min(c.directory.silentFor(address), now.Sub(since))
		},
		FailureDomain:  func(node *tierpb.Node) string { return live.FailureDomain(zones[node.Address]) },
		MembershipSeen: c.moveSeen(current.GetStores().GetEpoch()),
	}
}

// ownSilence says, once this process is told to stop, that it is no standby any more; its vote is handed over at the end.
func (c *coordinator) ownSilence() time.Duration {
	if c.stopping.Load() {
		return time.Nanosecond
	}
	return 0
}

// zones are the zones of the coordinators by address; the first voters are named without.
func (c *coordinator) zones() map[string]string {
	zones := map[string]string{c.self.Address: c.self.Zone}
	for _, node := range c.directory.coordinators() {
		zones[node.Address] = node.Zone
	}
	return zones
}

// moveSeen is when the newest membership of the turn stores was first looked at.
func (c *coordinator) moveSeen(epoch uint64) time.Time {
	c.moveMu.Lock()
	defer c.moveMu.Unlock()
	if epoch > c.move.epoch || c.move.at.IsZero() {
		c.move = seenMove{epoch: epoch, at: c.now()}
	}
	return c.move.at
}

// seenMove is a membership of the turn stores and when it was heard of.
type seenMove struct {
	epoch uint64
	at    time.Time
}
