// Package placementcontrol changes the voters of the control state and the members of the turn stores: it replaces lost
// nodes, adds joining nodes, and moves records off machines that are being retired.
//
// # Lease and fencing
//
// Every coordinator runs a Controller, but only the holder of the placement lease makes changes. The lease only keeps two
// holders from undoing each other's changes; safety comes from the fencing token, the placement term (fencing.go). Each
// acquisition of the lease raises the term by a change of the register before any other change. A later change is rejected if
// the newest value has another term, if the lease was lost, or if the view behind the decision is too old.
//
// # How a change is made
//
// Package placement makes the decisions, as pure functions of the control state and a placement.View. The Controller first
// decides on the locally known control state, which needs no call. If a change is needed, it decides again inside a
// change of the register, on the newest value and a view taken at that moment. A change that fails or is rejected is retried
// after retryInterval.
//
// # State and goroutines
//
// Controller.Run owns the tenure (the term and the acquisition it belongs to) and the redundancy timer. It starts a second
// goroutine for the stall detector of the ViewSource; ViewSource and stall detector are safe for concurrent use. VoteTransfer
// runs during the shutdown, while Controller.Run is still running. It needs no lease because it gives up only the vote of its
// own process.
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
	checkInterval = 250 * time.Millisecond // between two checks whether a change is needed
	retryInterval = 400 * time.Millisecond // after a failed change
	changeTimeout = 2 * time.Second        // of one change of the register
)

// Lease is this process's candidacy for the placement lease.
type Lease interface {
	// OwnsLease reports whether the newest known voters grant the lease to this process.
	OwnsLease() bool
	// OwnsLeaseOf reports whether the given voters grant the lease to this process.
	OwnsLeaseOf(voters []*tierpb.VoterSet) bool
	// Acquisition returns the number of the newest acquisition of the lease. Each acquisition increases it.
	Acquisition() uint64
	// Resign gives up the lease.
	Resign()
}

// Register changes the control state.
type Register interface {
	// Change applies a function to the newest value and returns the value that is chosen. The function returns nil for no
	// change.
	Change(ctx context.Context, change register.ChangeFunc) (*tierpb.ControlState, error)
	// Reconfigure does the same for a change of the voters, which takes two steps: joint voters, then the new voters.
	Reconfigure(ctx context.Context, change register.ChangeFunc) (*tierpb.ControlState, error)
	// LeaveJoint completes a change of the voters that was interrupted between its two steps.
	LeaveJoint(ctx context.Context) (*tierpb.ControlState, error)
}

// Options of a Controller. All but Faults are required.
type Options struct {
	// Identity is the identity of this process, recorded as the holder of each term that it raises.
	Identity uint64
	Lease    Lease
	Register Register
	// Control returns the newest value known to be chosen, or nil.
	Control func() *tierpb.ControlState
	Views   *ViewSource
	Log     hclog.Logger
	Now     func() time.Time
	Faults  *failpoint.Points // nil outside tests
}

// Controller changes voters and turn store members while its process holds the placement lease.
type Controller struct {
	options Options

	// The following fields are used only by Run's goroutine.
	tenure     placement.Tenure
	redundancy redundancyTimer
}

// New returns a Controller. It does nothing until Run is called.
func New(options Options) *Controller { return &Controller{options: options} }

// Run makes the changes that are needed until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	background := &sync.WaitGroup{}
	background.Go(func() { c.options.Views.stalls.run(ctx) })
	defer background.Wait()
	wait := checkInterval
	for clock.Sleep(ctx, wait) {
		wait = checkInterval
		if !c.options.Lease.OwnsLease() {
			c.redundancy = redundancyTimer{} // the lease holder measures
			continue
		}
		if err := c.reconcile(ctx); err != nil {
			c.handleFailure(err)
			wait = retryInterval
		}
	}
}

// reconcile makes the changes that the known control state and the current view require.
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

// reconcileVoters replaces voters if necessary. The known value only decides whether to try; the new voters are computed from
// the newest value.
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

// reconcileStores changes the turn store members if necessary. As with the voters, the new members are computed from the newest
// value.
func (c *Controller) reconcileStores(ctx context.Context, known *tierpb.ControlState) error {
	c.observeRedundancy(known.GetStores())
	if _, reason := placement.NextStores(known.CloneVT(), c.options.Views.View(known)); reason == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	reason := ""
	change := c.fenced(func(current *tierpb.ControlState, view *placement.View) *tierpb.ControlState {
		next, nextReason := placement.NextStores(current, view)
		if reason = nextReason; reason == "" {
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

// observeRedundancy logs when every record is stored on the guaranteed number of turn stores again.
func (c *Controller) observeRedundancy(stores *tierpb.StoreMembership) {
	if took, restored := c.redundancy.observe(stores, c.options.Now()); restored {
		c.options.Log.Info("redundancy restored", "epoch", stores.GetEpoch(), "seconds", took.Seconds(),
			"members", len(stores.GetCurrent()))
	}
}
