package register

import (
	"context"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Read returns a value that was current at some point during the call. If a quorum of voters has accepted the same value,
// that takes one round trip and no disk write; otherwise the value is proposed again unchanged. The errors are those of
// Change.
func (p *Proposer) Read(ctx context.Context) (*tierpb.ControlState, error) {
	if value := p.readChosen(ctx); value != nil {
		return value, nil
	}
	return p.Change(ctx, func(*tierpb.ControlState) (*tierpb.ControlState, error) { return nil, nil })
}

// readChosen queries the voters without a prepare. A value that a quorum has accepted under the same proposal number is
// chosen, and no value that was chosen before the call is newer. It returns nil if there is no such value.
func (p *Proposer) readChosen(ctx context.Context) *tierpb.ControlState {
	if !p.lock(ctx) {
		return nil
	}
	defer p.unlock()
	return p.readChosenLocked(ctx)
}

// readChosenLocked does the work of readChosen. The caller has locked the proposer.
func (p *Proposer) readChosenLocked(ctx context.Context) *tierpb.ControlState {
	query := p.newProposal(&tierpb.ProposalNumber{})
	found := query.prepare(ctx, p.newestKnownState())
	p.observePrepared(found)
	if !found.chosen {
		return nil
	}
	p.observeChosen(found.value)
	return found.value
}

// readFinal returns a chosen value for which the result of a change is already final, nil if there is none. It queries the
// voters only if the result is final for the state that this process knows.
func (p *Proposer) readFinal(ctx context.Context, isFinal func(*tierpb.ControlState) bool) *tierpb.ControlState {
	if isFinal == nil || p.options.KnownState == nil {
		return nil
	}
	if known := p.options.KnownState(); known == nil || !isFinal(known) {
		return nil
	}
	if value := p.readChosenLocked(ctx); value != nil && isFinal(value) {
		return value
	}
	return nil
}
