package coordinator

import (
	"context"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/clock"
	"pulleygw.example/pulleygw/internal/tier/placement"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

const (
	placementRole  = "placement" // name of the lease
	placePatience  = 2 * time.Second
	placeRetryWait = 400 * time.Millisecond
)

// keepPlaced changes voters and turn stores where that is called for, while this process holds the lease.
func (c *coordinator) keepPlaced(ctx context.Context) {
	listening := &sync.WaitGroup{}
	listening.Go(func() { c.listening.keep(ctx) })
	defer listening.Wait()
	wait := maintenanceInterval
	for clock.Sleep(ctx, wait) {
		wait = maintenanceInterval
		if !c.lease.OwnsLease() {
			c.redundancy = redundancy{} // another one measures
			continue
		}
		if err := c.place(ctx); err != nil {
			c.notPlaced(err)
			wait = placeRetryWait
		}
	}
}

// place makes the changes that are called for by what is known.
func (c *coordinator) place(ctx context.Context) error {
	if err := c.beginTenure(ctx); err != nil {
		return err
	}
	if err := c.placeVoters(ctx, c.state.Control()); err != nil {
		return err
	}
	return c.placeStores(ctx, c.state.Control())
}

// placeVoters replaces voters. What is known only tells whether to try: the choice is made on the newest value.
func (c *coordinator) placeVoters(ctx context.Context, known *tierpb.ControlState) error {
	if placement.NextVoters(known, c.view(known)) == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, placePatience)
	defer cancel()
	var next []*tierpb.Node
	chosen, err := c.replaceVoters(ctx, c.fenced(func(current *tierpb.ControlState, view *placement.View) *tierpb.ControlState {
		if next = placement.NextVoters(current, view); next == nil {
			return nil
		}
		current.Voters = []*tierpb.VoterSet{{Nodes: next}}
		return current
	}))
	if err != nil {
		return err
	}
	if next != nil {
		c.log.Info("voters change", "epoch", chosen.GetEpoch(), "to", sortedNames(next))
	}
	return nil
}

// placeStores changes the members of the turn stores, in the same way.
func (c *coordinator) placeStores(ctx context.Context, known *tierpb.ControlState) error {
	c.noteRedundancy(known.GetStores())
	if _, reason := placement.NextStores(known.CloneVT(), c.view(known)); reason == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, placePatience)
	defer cancel()
	reason := ""
	chosen, err := c.register.Change(ctx, c.fenced(func(current *tierpb.ControlState, view *placement.View) *tierpb.ControlState {
		next, why := placement.NextStores(current, view)
		if reason = why; reason == "" {
			return nil
		}
		return next
	}))
	if err != nil {
		return err
	}
	stores := chosen.GetStores()
	c.noteRedundancy(stores)
	if reason != "" {
		c.log.Info("turn stores change", "reason", reason, "epoch", stores.GetEpoch(),
			"current", sortedNames(stores.GetCurrent()), "previous", sortedNames(stores.GetPrevious()))
	}
	return nil
}
