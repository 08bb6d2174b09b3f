package coordinator

import (
	"context"
	"time"

	"pulleygw.example/pulleygw/internal/tier/placement"
	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/settings"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

const (
	placementRole  = "placement" // name of the lease
	placePatience  = 2 * time.Second
	placeRetryWait = 400 * time.Millisecond

	handOverPatience = time.Second
	handOverSilence  = time.Hour // for which a process that stops counts as silent
)

// keepPlaced changes voters and turn stores where that is called for, while this process holds the lease.
func (c *coordinator) keepPlaced(ctx context.Context) {
	wait := maintenanceInterval
	for pause(ctx, wait) {
		wait = maintenanceInterval
		if !c.lease.Held() {
			continue
		}
		if err := c.place(ctx); err != nil {
			c.log.Info("placement failed", "reason", err)
			wait = placeRetryWait
		}
	}
}

// place makes the changes that are called for by what is known.
func (c *coordinator) place(ctx context.Context) error {
	known := c.state.Control()
	if known == nil {
		return c.refresh(ctx)
	}
	if err := c.placeVoters(ctx, known); err != nil {
		return err
	}
	return c.placeStores(ctx, c.state.Control())
}

// refresh reads the register.
func (c *coordinator) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, placePatience)
	defer cancel()
	_, err := c.register.Read(ctx)
	return err
}

// placeVoters looks at the newest value before it acts, so that no change of another holder is undone.
func (c *coordinator) placeVoters(ctx context.Context, known *tierpb.ControlState) error {
	if placement.Voters(known, c.view()) == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, placePatience)
	defer cancel()
	current, err := c.register.Read(ctx)
	if err != nil {
		return err
	}
	next := placement.Voters(current, c.view())
	if next == nil {
		return nil
	}
	c.log.Info("voters change", "to", sortedNames(next))
	_, err = c.replaceVoters(ctx, next)
	return err
}

func (c *coordinator) placeStores(ctx context.Context, known *tierpb.ControlState) error {
	view := c.view()
	view.MoveSeen = c.moveSeen()
	if _, reason := placement.Stores(known.CloneVT(), view); reason == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, placePatience)
	defer cancel()
	reason := ""
	chosen, err := c.register.Change(ctx, func(current *tierpb.ControlState) (*tierpb.ControlState, error) {
		next, why := placement.Stores(current, view)
		reason = why
		return next, nil
	})
	if err != nil {
		return err
	}
	if reason != "" {
		stores := chosen.GetStores()
		c.log.Info("turn stores change", "reason", reason, "epoch", stores.GetEpoch(),
			"current", sortedNames(stores.GetCurrent()), "previous", sortedNames(stores.GetPrevious()))
	}
	return nil
}

// view is what this process knows first hand.
func (c *coordinator) view() *placement.View {
	zones := c.zones()
	current := c.live.Current()
	return &placement.View{
		Now: c.now(), Since: c.directory.started, Tolerance: current.FaultTolerance.Members(),
		CatchUp: settings.Seconds(current.Bounds.CatchUpS, 0),
		Joins:   c.directory.recentJoins(),
		VoterSilence: func(address string) time.Duration {
			if address == c.self.Address {
				return 0
			}
			return c.directory.silentFor(address)
		},
		Domain: func(node *tierpb.Node) string { return current.Domain(zones[node.Address]) },
	}
}

// zones are the zones of the coordinators by address; the first voters are named without.
func (c *coordinator) zones() map[string]string {
	zones := map[string]string{c.self.Address: c.self.Zone}
	for _, node := range c.directory.coordinators() {
		zones[node.Address] = node.Zone
	}
	return zones
}

// moveSeen is when the newest membership of the turn stores was first looked at. Only placement calls it.
func (c *coordinator) moveSeen() time.Time {
	if epoch := c.state.Control().GetStores().GetEpoch(); epoch != c.move.epoch {
		c.move = seenMove{epoch: epoch, at: c.now()}
	}
	return c.move.at
}

// seenMove is a membership of the turn stores and when it was heard of.
type seenMove struct {
	epoch uint64
	at    time.Time
}

// handOver gives the vote of a process that stops to a standby, where one is there: the machine may never come back.
func (c *coordinator) handOver(ctx context.Context) {
	known := c.state.Control()
	if !register.IsVoter(known, c.self.Identity) || len(known.GetVoters()) != 1 {
		return
	}
	view := c.view()
	answers := view.VoterSilence
	view.VoterSilence = func(address string) time.Duration {
		if address == c.self.Address {
			return handOverSilence
		}
		return answers(address)
	}
	next := placement.Voters(known, view)
	if next == nil || register.IsVoter(&tierpb.ControlState{Voters: []*tierpb.VoterSet{{Nodes: next}}}, c.self.Identity) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handOverPatience)
	defer cancel()
	_, err := c.replaceVoters(ctx, next)
	c.log.Info("vote handed over", "to", sortedNames(next), "error", err)
}
