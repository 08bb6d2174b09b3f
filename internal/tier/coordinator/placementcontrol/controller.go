// Package placementcontrol changes the voters of the control state and the members of the turn stores: it replaces those
// that are lost, takes in those that join, and moves records off machines that are retired.
//
// # Who acts
//
// All coordinators run a Controller, and only the holder of the placement lease acts. The lease keeps two from working
// against each other; what makes their changes safe is the fencing token of the role, the term (fencing.go): each acquisition
// of the lease raises it by a change of the register before anything else is changed, and every later change is rejected if
// the newest value has another term, if the lease is lost, or if the view that it was decided on is too old.
//
// # How a change is made
//
// Package placement decides, as a pure function of the control state and a placement.View. The Controller first decides on
// what it knows, which costs no call; where that asks for a change, it decides again inside a change of the register, on the
// newest value and a view of that moment. A change that fails or is rejected is tried again after retryInterval.
//
// # State and goroutines
//
// Controller.Run is one goroutine; the term, the acquisition it belongs to and the redundancy timer belong to it. It starts a
// second one for the stall detector of ViewSource; both are safe for concurrent use. VoteTransfer is called by the
// shutdown, while Run still goes on; it takes no vote but the own and needs no lease.
package placementcontrol

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"pulleygw.example/pulleygw/internal/tier/clock"
	"pulleygw.example/pulleygw/internal/tier/coordinator/membership"
	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/placement"
	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Role is the name of the lease.
const Role = "placement"

const (
	checkInterval = 250 * time.Millisecond // between two looks whether a change is called for
	retryInterval = 400 * time.Millisecond // after a change that failed
	changeTimeout = 2 * time.Second        // of one change of the register
)

// Lease is what the Controller needs of its candidacy for the placement lease.
type Lease interface {
	// OwnsLease reports whether the newest voters known grant the lease to this process.
	OwnsLease() bool
	// OwnsLeaseOf reports whether these voters do.
	OwnsLeaseOf(voters []*tierpb.VoterSet) bool
	// Acquisition is the number of the newest acquisition of the lease; it rises with each.
	Acquisition() uint64
	// Resign gives the lease up.
	Resign()
}

// Register changes the control state.
type Register interface {
	// Change replaces the newest value by what the function makes of it, nil for no change, and returns the value chosen.
	Change(ctx context.Context, change register.ChangeFunc) (*tierpb.ControlState, error)
	// Reconfigure does the same for a change of the voters, by way of joint voters.
	Reconfigure(ctx context.Context, change register.ChangeFunc) (*tierpb.ControlState, error)
	// LeaveJoint completes a change of voters that was left between its two steps.
	LeaveJoint(ctx context.Context) (*tierpb.ControlState, error)
}

// Options of a Controller. All but Faults are required.
type Options struct {
	// Identity is that of this process, and the holder in the terms that it raises.
	Identity uint64
	Lease    Lease
	Register Register
	// Control returns the newest value that is known to be chosen; nil where none is.
	Control func() *tierpb.ControlState
	Views   *ViewSource
	Log     hclog.Logger
	Now     func() time.Time
	Faults  *failpoint.Points // nil outside tests
}

// Controller makes the changes of placement while its process holds the lease.
type Controller struct {
	options Options

	// What follows belongs to Run's goroutine.
	tenure     placement.Tenure
	redundancy redundancyTimer
}

// New returns a Controller that does nothing until it is run.
func New(options Options) *Controller { return &Controller{options: options} }

// Run changes voters and turn stores where that is called for, until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	background := &sync.WaitGroup{}
	background.Go(func() { c.options.Views.stalls.run(ctx) })
	defer background.Wait()
	wait := checkInterval
	for clock.Sleep(ctx, wait) {
		wait = checkInterval
		if !c.options.Lease.OwnsLease() {
			c.redundancy = redundancyTimer{} // another one measures
			continue
		}
		if err := c.reconcile(ctx); err != nil {
			c.handleFailure(err)
			wait = retryInterval
		}
	}
}

// reconcile makes the changes that are called for by what is known.
func (c *Controller) reconcile(ctx context.Context) error {
	if err := c.ensureTerm(ctx); err != nil {
		return err
	}
	if err := c.checkTenure(); err != nil {
		return err
	}
	if err := c.reconcileVoters(ctx, c.options.Control()); err != nil {
		return err
	}
	return c.reconcileStores(ctx, c.options.Control())
}

// reconcileVoters replaces voters. What is known only decides whether to try: the choice is made on the newest value.
func (c *Controller) reconcileVoters(ctx context.Context, known *tierpb.ControlState) error {
	if placement.NextVoters(known, c.options.Views.View(known)) == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	var next []*tierpb.Node
	change := c.fenced(func(current *tierpb.ControlState, view *placement.View) *tierpb.ControlState {
		if next = placement.NextVoters(current, view); next == nil {
			return nil
		}
		current.Voters = []*tierpb.VoterSet{{Nodes: next}}
		return current
	})
	chosen, err := c.options.Register.Reconfigure(ctx, change)
	if err != nil {
		return err
	}
	if next != nil {
		c.options.Log.Info("voters changed", "epoch", chosen.GetEpoch(), "to", membership.NodeNames(next))
	}
	return nil
}

// reconcileStores changes the members of the turn stores, in the same way.
func (c *Controller) reconcileStores(ctx context.Context, known *tierpb.ControlState) error {
	c.observeRedundancy(known.GetStores())
	if _, reason := placement.NextStores(known.CloneVT(), c.options.Views.View(known)); reason == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	reason := ""
	change := c.fenced(func(current *tierpb.ControlState, view *placement.View) *tierpb.ControlState {
		next, why := placement.NextStores(current, view)
		if reason = why; reason == "" {
			return nil
		}
		return next
	})
	chosen, err := c.options.Register.Change(ctx, change)
	if err != nil {
		return err
	}
	stores := chosen.GetStores()
	c.observeRedundancy(stores)
	if reason != "" {
		c.options.Log.Info("turn store members changed", "reason", reason, "epoch", stores.GetEpoch(),
			"current", membership.NodeNames(stores.GetCurrent()), "previous", membership.NodeNames(stores.GetPrevious()))
	}
	return nil
}

// observeRedundancy logs the moment at which every record is on as many turn stores as are guaranteed again.
func (c *Controller) observeRedundancy(stores *tierpb.StoreMembership) {
	if took, restored := c.redundancy.observe(stores, c.options.Now()); restored {
		c.options.Log.Info("redundancy restored", "epoch", stores.GetEpoch(), "seconds", took.Seconds(),
			"members", len(stores.GetCurrent()))
	}
}
