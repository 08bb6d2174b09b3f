package register

import (
	"context"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// peek reads without promises: where a quorum holds one and the same ballot, its value is chosen, and nothing that
// was chosen before the call began is newer. It returns nil where that is not so.
func (p *Proposer) peek(ctx context.Context) *tierpb.ControlState {
	select {
	case <-p.turn:
	case <-ctx.Done():
		return nil
	}
	defer func() { p.turn <- struct{}{} }()
	return p.peekInTurn(ctx)
}

// peekInTurn is peek for the owner of the turn.
func (p *Proposer) peekInTurn(ctx context.Context) *tierpb.ControlState {
	round := newRound(p, &tierpb.ProposalNumber{}, p.options.CallTimeout)
	found := round.prepare(ctx, p.startingPoint())
	p.saw(found)
	if !found.chosen {
		return nil
	}
	p.sawChosen(found.value)
	return found.value
}

// settled returns a chosen value on which a change is settled, nil where none is known. What is known decides whether it
// is worth a round to look at what is chosen now.
func (p *Proposer) settled(ctx context.Context, isSettled func(*tierpb.ControlState) bool) *tierpb.ControlState {
	if isSettled == nil || p.options.KnownState == nil {
		return nil
	}
	if known := p.options.KnownState(); known == nil || !isSettled(known) {
		return nil
	}
	if value := p.peekInTurn(ctx); value != nil && isSettled(value) {
		return value
	}
	return nil
}
