package budget

import (
	"context"
	"math/rand/v2"
	"time"

	"pulleygw.example/pulleygw/internal/tier/invariant"
	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Parameters of resolveContention.
const (
	contentionDelay  = 15 * time.Millisecond // minimum delay before the claims are read again
	contentionJitter = 30 * time.Millisecond // maximum random addition to the delay
	contentionReads  = 4                     // reads after which the claim is withdrawn
)

// Reserve claims the maximum number of tokens that a turn may generate. If it returns nil, the claim is durable and all claims
// of the program together are within its budget. If it returns an error, the turn must not be run, and the claim is withdrawn
// in the background. The error is ErrExhausted if the claim does not fit into the budget, and ErrUncertain otherwise.
func (c *Client) Reserve(ctx context.Context, program string, budget uint64, request string, maxTokens uint64) error {
	ctx, cancel := replica.WithDefaultTimeout(ctx, defaultTimeout)
	defer cancel()
	err := c.reserve(ctx, program, budget, request, maxTokens)
	if err != nil {
		c.Withdraw(program, request)
	}
	return err
}

// reserve needs a single write in the common case. That write goes to the highest-ranked members of the program's replica
// set, which are the same for all callers. Of all claims that are written there, the one that arrives last at any one of
// these members sees all the others in the replies. If the first write has another quorum, because members failed or the
// membership changed, the claim is written again as confirmed and the claims are then read. Of all claims confirmed in this
// way, the one whose confirming write ended last sees all the others. A claim that sees a confirmed claim is confirmed as well.
func (c *Client) reserve(ctx context.Context, program string, budget uint64, request string, maxTokens uint64) error {
	claim := &tierpb.BudgetEntry{Request: request, Tokens: maxTokens, Stage: StageReserved}
	known := &tierpb.ProgramBudget{Program: program}
	topRanked, err := c.write(ctx, known, claim)
	if err != nil {
		return err
	}
	if !topRanked || anyConfirmed(known) {
		claim = &tierpb.BudgetEntry{Request: request, Tokens: maxTokens, Stage: StageReserved, Confirmed: true}
		if _, err := c.write(ctx, known, claim); err != nil {
			return err
		}
		if err := c.read(ctx, known); err != nil {
			return err
		}
	}
	if err := c.resolveContention(ctx, known, claim, budget); err != nil {
		return err
	}
	total := Total(known)
	withinBudget := Covers(known, []*tierpb.BudgetEntry{claim}) && total <= budget
	if !invariant.Check(withinBudget, invariant.WithinBudget, total, budget) {
		return ErrUncertain
	}
	return nil
}

// resolveContention returns nil once all known claims fit into the budget. If concurrent claims do not all fit, a claim with
// priority reads again until the others are withdrawn, and a claim without priority returns ErrExhausted. A claim that was
// already settled or withdrawn must not be granted again, as it counts fewer tokens than the turn may generate.
func (c *Client) resolveContention(
	ctx context.Context, known *tierpb.ProgramBudget, claim *tierpb.BudgetEntry, budget uint64,
) error {
	if isSettled(known, claim.Request) {
		return ErrUncertain
	}
	for range contentionReads {
		switch {
		case Total(known) <= budget:
			return nil
		case !hasPriority(known, claim, budget):
			return ErrExhausted
		}
		select {
		case <-c.replicas.After(contentionDelay + rand.N(contentionJitter)):
		case <-ctx.Done():
			return ErrUncertain
		}
		if err := c.read(ctx, known); err != nil {
			return err
		}
	}
	if Total(known) <= budget {
		return nil
	}
	return ErrExhausted
}
