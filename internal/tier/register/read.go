package register

import (
	"context"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Read returns a value that was current at some moment of the call. Where a quorum of voters holds one and the same
// accepted value, one round trip without a write to any disk is enough; otherwise the value is proposed again as it is.
// The errors are those of Change.
func (p *Proposer) Read(ctx context.Context) (*tierpb.ControlState, error) {
	if value := p.readChosen(ctx); value != nil {
		return value, nil
	}
	return p.Change(ctx, func(*tierpb.ControlState) (*tierpb.ControlState, error) { return nil, nil })
}

// readChosen queries the voters without a prepare: a value that a quorum holds by one and the same proposal number is
// chosen, and no value that was chosen before the call is newer. It returns nil where there is none.
func (p *Proposer) readChosen(ctx context.Context) *tierpb.ControlState {
	if !p.lock(ctx) {
		return nil
	}
	defer p.unlock()
	return p.readChosenLocked(ctx)
}

// readChosenLocked is readChosen for a caller that has locked the proposer.
func (p *Proposer) readChosenLocked(ctx context.Context) *tierpb.ControlState {
	query := p.newProposal(&tierpb.ProposalNumber{})
	found := query.prepare(ctx, p.startState())
	p.observePrepared(found)
	if !found.chosen {
		return nil
	}
	p.observeChosen(found.value)
	return found.value
}

// readDecided returns a chosen value on which a change is decided already, nil where none is known. The state that this
// process knows tells first whether it is worth a round trip to query what is chosen now.
func (p *Proposer) readDecided(ctx context.Context, isDecided func(*tierpb.ControlState) bool) *tierpb.ControlState {
	if isDecided == nil || p.options.KnownState == nil {
		return nil
	}
	if known := p.options.KnownState(); known == nil || !isDecided(known) {
		return nil
	}
	if value := p.readChosenLocked(ctx); value != nil && isDecided(value) {
		return value
	}
	return nil
}
