package placementcontrol

import (
	"context"
	"errors"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/placement"
	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// ensureTerm raises the term once after each acquisition of the lease, before anything is changed under it. When that is
// chosen, nothing that an earlier holder has under way can be chosen any more: it has a lower proposal number.
func (c *Controller) ensureTerm(ctx context.Context) error {
	acquisition := c.options.Lease.Acquisition()
	if acquisition == c.tenure.Acquisition() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	var term placement.Term
	_, err := c.options.Register.Change(ctx, func(current *tierpb.ControlState) (*tierpb.ControlState, error) {
		if !c.ownsLeaseSince(acquisition, current) {
			return nil, placement.ErrLeaseLost
		}
		term = placement.TermOf(current).Next(c.options.Identity)
		term.Stamp(current)
		return current, nil
	})
	if err != nil {
		return err
	}
	c.tenure = placement.NewTenure(acquisition, term)
	c.options.Log.Info("placement term raised", "term", term.Number, "holder", term.Holder)
	return nil
}

// ownsLeaseSince reports whether the voters of a value grant the lease to this process, as they did since an acquisition.
func (c *Controller) ownsLeaseSince(acquisition uint64, current *tierpb.ControlState) bool {
	owned := c.options.Lease.OwnsLeaseOf(current.GetVoters())
	return owned && c.options.Lease.Acquisition() == acquisition // in this order: it may be lost and acquired in between
}

// decideFunc computes the next value, nil where nothing is to be done. It may alter the current one.
type decideFunc func(current *tierpb.ControlState, view *placement.View) *tierpb.ControlState

// fenced returns the change of a lease holder: it is computed on the newest value from a view of that moment, and
// rejected where the lease, the view or the term does not hold any more.
func (c *Controller) fenced(decide decideFunc) register.ChangeFunc {
	return func(current *tierpb.ControlState) (*tierpb.ControlState, error) {
		view := c.options.Views.View(current)
		next := decide(current.CloneVT(), view)
		if next == nil {
			return nil, nil
		}
		if err := c.options.Faults.At(failpoint.PlacementDecided); err != nil {
			return nil, err
		}
		owned := c.ownsLeaseSince(c.tenure.Acquisition(), current)
		if err := c.tenure.Check(placement.TermOf(current), owned, c.options.Now().Sub(view.Now)); err != nil {
			return nil, err
		}
		return next, nil
	}
}

// checkTenure ends a tenure that is known to be overtaken, before anything is sent under its term.
func (c *Controller) checkTenure() error {
	c.tenure.Observe(placement.TermOf(c.options.Control()))
	if c.tenure.Overtaken() {
		return placement.ErrFenced
	}
	return nil
}

// handleFailure logs why a change was not made. A holder whose term was overtaken has to acquire the lease anew; one whose
// lease is lost has none to resign, and one whose view was old looks again.
func (c *Controller) handleFailure(reason error) {
	if !isRejectedByFence(reason) {
		c.options.Log.Info("placement change failed", "reason", reason)
		return
	}
	newest := placement.TermOf(c.options.Control())
	c.options.Log.Info("stale lease holder rejected", "reason", reason, "own", c.tenure.Term().Number,
		"term", newest.Number, "holder", newest.Holder)
	if errors.Is(reason, placement.ErrFenced) {
		c.options.Lease.Resign()
	}
}

// isRejectedByFence reports whether placement.CheckFence rejected a change.
func isRejectedByFence(reason error) bool {
	for _, rejection := range []error{placement.ErrFenced, placement.ErrLeaseLost, placement.ErrStaleView} {
		if errors.Is(reason, rejection) {
			return true
		}
	}
	return false
}
