package placementcontrol

import (
	"context"
	"errors"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/placement"
	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// ensureTerm raises the term once per acquisition of the lease, before any change under that acquisition. Once the raised term
// is chosen, no change that an earlier holder has in flight can still be chosen, because its proposal number is lower.
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
		term.SetIn(current)
		return current, nil
	})
	if err != nil {
		return err
	}
	c.tenure = placement.NewTenure(acquisition, term)
	c.options.Log.Info("placement term raised", "term", term.Number, "holder", term.Holder)
	return nil
}

// ownsLeaseSince reports whether the voters of a value grant the lease to this process and it was not lost since the given
// acquisition.
func (c *Controller) ownsLeaseSince(acquisition uint64, current *tierpb.ControlState) bool {
	owned := c.options.Lease.OwnsLeaseOf(current.GetVoters())
	// The acquisition is read after the ownership: the lease may be lost and acquired again between the two reads.
	return owned && c.options.Lease.Acquisition() == acquisition
}

// decideFunc computes the next value, or nil if no change is needed. It may modify current.
type decideFunc func(current *tierpb.ControlState, view *placement.View) *tierpb.ControlState

// fenced wraps a decision of the lease holder as a change of the register. The decision is made on the newest value and a view
// taken at that moment. The change is rejected if the term, the lease or the view is no longer valid.
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

// checkTenure returns placement.ErrFenced if a newer term than that of this holder is known, so that nothing is sent under the
// old term.
func (c *Controller) checkTenure() error {
	c.tenure.Observe(placement.TermOf(c.options.Control()))
	if c.tenure.Superseded() {
		return placement.ErrFenced
	}
	return nil
}

// handleFailure logs why a change was not made, and resigns the lease if a newer term is known: the lease must then be acquired
// again to raise the term. A lost lease cannot be resigned, and after a stale view it is enough to try again.
func (c *Controller) handleFailure(err error) {
	if !isRejectedByFence(err) {
		c.options.Log.Info("placement change failed", "reason", err)
		return
	}
	newest := placement.TermOf(c.options.Control())
	c.options.Log.Info("stale lease holder rejected", "reason", err, "own", c.tenure.Term().Number,
		"term", newest.Number, "holder", newest.Holder)
	if errors.Is(err, placement.ErrFenced) {
		c.options.Lease.Resign()
	}
}

// isRejectedByFence reports whether an error is one of those that placement.CheckFence returns.
func isRejectedByFence(err error) bool {
	for _, rejection := range []error{placement.ErrFenced, placement.ErrLeaseLost, placement.ErrStaleView} {
		if errors.Is(err, rejection) {
			return true
		}
	}
	return false
}
