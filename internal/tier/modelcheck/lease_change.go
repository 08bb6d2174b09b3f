package modelcheck

import (
	"context"
	"errors"
	"time"

	"pulleygw.example/pulleygw/internal/tier/placement"
	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// leasePollInterval is the time between two looks at whether the process owns the lease.
const leasePollInterval = 130 * time.Millisecond

// changeUnderLease makes a change as a lease holder does, once the process owns the lease: it raises the term for a new
// acquisition, decides, and presents its fencing token. The decision is an event of its own, so that anything may happen
// between it and the check of the token.
func (p *process) changeUnderLease(ctx context.Context) (*tierpb.ControlState, error) {
	select {
	case <-p.leaseToken:
	case <-ctx.Done():
		return nil, register.ErrUnavailable
	}
	defer func() { p.leaseToken <- struct{}{} }()
	for !p.candidate.OwnsLease() {
		select {
		case <-time.After(leasePollInterval):
		case <-ctx.Done():
			return nil, register.ErrUnavailable
		}
	}
	if err := p.raiseTerm(ctx); err != nil {
		return nil, err
	}
	return p.proposer.Change(ctx, func(current *tierpb.ControlState) (*tierpb.ControlState, error) {
		began := time.Now()
		p.awaitDecision()
		owned := p.ownsLease(current, p.tenure.Acquisition())
		if err := p.tenure.Check(placement.TermOf(current), owned, time.Since(began)); err != nil {
			return nil, err
		}
		current.Retirements = append(current.Retirements, &tierpb.Retirement{
			Node: leaseChangeMarker, Identity: p.tenure.Term().Number, Completed: placement.TermOf(current) == p.tenure.Term(),
		})
		return current, nil
	})
}

// leaseChangeMarker is the node name of the retirement that a change under the lease adds to the control state. Its
// identity is the number of the term, and it is completed if that term was the newest.
const leaseChangeMarker = "act"

// raiseTerm raises the term once after each acquisition of the lease.
func (p *process) raiseTerm(ctx context.Context) error {
	number := p.candidate.Acquisition()
	if number == p.tenure.Acquisition() {
		return nil
	}
	var term placement.Term
	_, err := p.proposer.Change(ctx, func(current *tierpb.ControlState) (*tierpb.ControlState, error) {
		if !p.ownsLease(current, number) {
			return nil, placement.ErrLeaseLost
		}
		term = placement.TermOf(current).Next(p.acceptor.Identity())
		term.SetIn(current)
		return current, nil
	})
	if err == nil {
		p.tenure = placement.NewTenure(number, term)
	}
	return err
}

func (p *process) ownsLease(current *tierpb.ControlState, number uint64) bool {
	owned := p.candidate.OwnsLeaseOf(current.GetVoters())
	return owned && p.candidate.Acquisition() == number
}

// awaitDecision blocks for the time of a decision, which ends with an event.
func (p *process) awaitDecision() {
	decided := make(chan struct{})
	p.run.post(&event{
		kind: decisionEvent, from: p.node.number, to: p.node.number, label: "decides",
		observation: observation{kind: observationDecision, from: p.node.number}, release: func() { close(decided) },
	})
	select {
	case <-decided:
	case <-p.incarnation.Ended():
	}
}

func isFenced(err error) bool {
	return errors.Is(err, placement.ErrFenced) || errors.Is(err, placement.ErrLeaseLost) || errors.Is(err, placement.ErrStaleView)
}

// checkTerms checks that each change under the lease was made under the newest term; mu is held.
func (c *checks) checkTerms(state *tierpb.ControlState) {
	for _, mark := range state.GetRetirements() {
		if mark.Node == leaseChangeMarker && !mark.Completed {
			c.fail("a change was made under term %d, which was not the newest", mark.Identity)
		}
	}
}
