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
const actPause = 130 * time.Millisecond

// tenure is a holding of the lease, as a coordinator keeps it.
type tenure struct {
	number uint64
	term   placement.Term
}

// act makes a change as the holder of the lease does, once the process holds it: it raises the term where the tenure is
// new, decides, and passes the fence. The decision is an event of its own, so that anything may come before the fence.
func (p *process) act(ctx context.Context) (*tierpb.ControlState, error) {
	select {
	case <-p.acting:
	case <-ctx.Done():
		return nil, register.ErrUnavailable
	}
	defer func() { p.acting <- struct{}{} }()
	for !p.holder.OwnsLease() {
		select {
		case <-time.After(actPause):
		case <-ctx.Done():
			return nil, register.ErrUnavailable
		}
	}
	if err := p.beginTenure(ctx); err != nil {
		return nil, err
	}
	return p.proposer.Change(ctx, func(current *tierpb.ControlState) (*tierpb.ControlState, error) {
		began := time.Now()
		p.decide()
		claim := placement.Credentials{
			Term: p.tenure.term, LeaseOwned: p.holds(current, p.tenure.number), ViewAge: time.Since(began),
		}
		if err := placement.CheckFence(placement.TermOf(current), claim); err != nil {
			return nil, err
		}
		current.Retirements = append(current.Retirements, &tierpb.Retirement{
			Node: actMark, Identity: p.tenure.term.Number, Completed: placement.TermOf(current) == p.tenure.term,
		})
		return current, nil
	})
}

// actMark names what a holder of the lease leaves in the control state: the number of its term, completed where that
// was the newest.
const actMark = "act"

// beginTenure raises the term once after each acquisition of the lease.
func (p *process) beginTenure(ctx context.Context) error {
	number := p.holder.Acquisition()
	if number == p.tenure.number {
		return nil
	}
	var term placement.Term
	_, err := p.proposer.Change(ctx, func(current *tierpb.ControlState) (*tierpb.ControlState, error) {
		if !p.holds(current, number) {
			return nil, placement.ErrLeaseLost
		}
		term = placement.TermOf(current).Next(p.acceptor.Identity())
		term.Stamp(current)
		return current, nil
	})
	if err == nil {
		p.tenure = tenure{number: number, term: term}
	}
	return err
}

func (p *process) holds(current *tierpb.ControlState, number uint64) bool {
	held := p.holder.OwnsLeaseOf(current.GetVoters())
	return held && p.holder.Acquisition() == number
}

// decide takes the time of a decision, which ends with an event.
func (p *process) decide() {
	decided := make(chan struct{})
	p.world.post(&event{
		kind: decideEvent, from: p.node.number, to: p.node.number, label: "decides",
		fact: fact{kind: factDecide, from: p.node.number}, release: func() { close(decided) },
	})
	select {
	case <-decided:
	case <-p.life.Ended():
	}
}

func isRefusedByFence(err error) bool {
	return errors.Is(err, placement.ErrFenced) || errors.Is(err, placement.ErrLeaseLost) || errors.Is(err, placement.ErrStaleView)
}

// checkTerms checks that whoever acted did so under the newest term; mu is held.
func (c *checks) checkTerms(state *tierpb.ControlState) {
	for _, mark := range state.GetRetirements() {
		if mark.Node == actMark && !mark.Completed {
			c.fail("a change was made under term %d, which was not the newest", mark.Identity)
		}
	}
}
