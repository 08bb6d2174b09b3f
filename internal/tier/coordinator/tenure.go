package coordinator

import (
	"context"
	"errors"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/placement"
	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// placementLease is what placement needs of the lease's holder.
type placementLease interface {
	OwnsLease() bool
	OwnsLeaseOf(voters []*tierpb.VoterSet) bool
	Acquisition() uint64
	Resign()
}

// placementTenure is the holding of the lease under which this process makes changes.
type placementTenure struct {
	number uint64 // of the acquisition of the lease; 0 for none
	term   placement.Term
}

// beginTenure raises the term once after each acquisition of the lease, before anything is changed under it. When that
// is chosen, nothing that an earlier holder has under way can be chosen any more: it has a lower ballot.
func (c *coordinator) beginTenure(ctx context.Context) error {
	number := c.lease.Acquisition()
	if number == c.tenure.number {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, placePatience)
	defer cancel()
	var term placement.Term
	_, err := c.register.Change(ctx, func(current *tierpb.ControlState) (*tierpb.ControlState, error) {
		if !c.holds(current, number) {
			return nil, placement.ErrLeaseLost
		}
		term = placement.TermOf(current).Next(c.self.Identity)
		term.Stamp(current)
		return current, nil
	})
	if err != nil {
		return err
	}
	c.tenure = placementTenure{number: number, term: term}
	c.log.Info("placement term raised", "term", term.Number, "holder", term.Holder)
	return nil
}

// holds says whether the voters of a value grant the lease to this process, as they did since an acquisition.
func (c *coordinator) holds(current *tierpb.ControlState, number uint64) bool {
	held := c.lease.OwnsLeaseOf(current.GetVoters())
	return held && c.lease.Acquisition() == number // in this order: it may be lost and acquired in between
}

// decideFunc computes the next value, nil where nothing is to be done. It may alter the current one.
type decideFunc func(current *tierpb.ControlState, view *placement.View) *tierpb.ControlState

// fenced is the change of a holder of the lease: it is computed on the newest value from a view of that moment, and
// refused where the lease, the view or the term does not hold any more.
func (c *coordinator) fenced(decide decideFunc) register.ChangeFunc {
	return func(current *tierpb.ControlState) (*tierpb.ControlState, error) {
		view := c.view(current)
		next := decide(current.CloneVT(), view)
		if next == nil {
			return nil, nil
		}
		if err := c.faults.At(failpoint.PlacementDecided); err != nil {
			return nil, err
		}
		claim := placement.Credentials{
			Term: c.tenure.term, LeaseOwned: c.holds(current, c.tenure.number), ViewAge: c.now().Sub(view.Now),
		}
		if err := placement.CheckFence(placement.TermOf(current), claim); err != nil {
			return nil, err
		}
		return next, nil
	}
}

// notPlaced logs why a change was not made. A holder that was overtaken has to acquire the lease anew; one whose lease is
// lost has none to give up, and one whose view was old looks again.
func (c *coordinator) notPlaced(reason error) {
	if !isStale(reason) {
		c.log.Info("placement failed", "reason", reason)
		return
	}
	newest := placement.TermOf(c.state.Control())
	c.log.Info("stale holder refused", "reason", reason, "own", c.tenure.term.Number, "term", newest.Number, "holder", newest.Holder)
	if errors.Is(reason, placement.ErrFenced) {
		c.lease.Resign()
	}
}

// isStale says whether a change was refused by the fence.
func isStale(reason error) bool {
	for _, refusal := range []error{placement.ErrFenced, placement.ErrLeaseLost, placement.ErrStaleView} {
		if errors.Is(reason, refusal) {
			return true
		}
	}
	return false
}
