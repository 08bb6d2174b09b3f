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
	round := newRound(p, &tierpb.Ballot{}, p.options.Timeout)
	found := round.prepare(ctx, p.startingPoint())
	p.saw(found)
	if !found.chosen {
		return nil
	}
	p.sawChosen(found.value)
	return found.value
}
