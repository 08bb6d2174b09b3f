package modelcheck

import (
	"context"
	"errors"
	"time"

	"pulleygw.example/pulleygw/internal/tier/placement"
	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// actPause is how long a process waits before it looks again whether it holds the lease.
const leasePollInterval = 130 * time.Millisecond

// tenure is a holding of the lease, as a coordinator keeps it.
type acquisition struct {
	number uint64
	term   placement.Term
}

// act makes a change as the holder of the lease does, once the process holds it: it raises the term where the tenure is
// new, decides, and passes the fence. The decision is an event of its own, so that anything may come before the fence.
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
		claim := placement.Claim{
			Term: p.acquisition.term, LeaseOwned: p.ownsLease(current, p.acquisition.number), ViewAge: time.Since(began),
		}
		if err := placement.Admit(placement.TermOf(current), claim); err != nil {
			return nil, err
		}
		current.Retirements = append(current.Retirements, &tierpb.Retirement{
			Node: leaseChangeMarker, Identity: p.acquisition.term.Number, Completed: placement.TermOf(current) == p.acquisition.term,
		})
		return current, nil
	})
}

// actMark names what a holder of the lease leaves in the control state: the number of its term, completed where that
// was the newest.
const leaseChangeMarker = "act"

// beginTenure raises the term once after each acquisition of the lease.
func (p *process) raiseTerm(ctx context.Context) error {
	number := p.candidate.Acquisition()
	if number == p.acquisition.number {
		return nil
	}
	var term placement.Term
	_, err := p.proposer.Change(ctx, func(current *tierpb.ControlState) (*tierpb.ControlState, error) {
		if !p.ownsLease(current, number) {
			return nil, placement.ErrLeaseLost
		}
		term = placement.TermOf(current).Next(p.acceptor.Identity())
		term.Stamp(current)
		return current, nil
	})
	if err == nil {
		p.acquisition = acquisition{number: number, term: term}
	}
	return err
}

func (p *process) ownsLease(current *tierpb.ControlState, number uint64) bool {
	owned := p.candidate.OwnsLeaseOf(current.GetVoters())
	return owned && p.candidate.Acquisition() == number
}

// decide takes the time of a decision, which ends with an event.
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
	return errors.Is(err, placement.ErrFenced) || errors.Is(err, placement.ErrLeaseLost) || errors.Is(err, placement.ErrOldView)
}

// checkTerms checks that whoever acted did so under the newest term; mu is held.
func (c *checks) checkTerms(state *tierpb.ControlState) {
	for _, mark := range state.GetRetirements() {
		if mark.Node == leaseChangeMarker && !mark.Completed {
			c.fail("a change was made under term %d, which was not the newest", mark.Identity)
		}
	}
}
