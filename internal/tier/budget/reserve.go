package budget

import (
	"context"
	"math/rand/v2"
	"time"

	"pulleygw.example/pulleygw/internal/tier/invariant"
	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// How concurrent claims that do not fit the budget together are resolved.
const (
	contentionDelay  = 15 * time.Millisecond // at least, before the claims are read again
	contentionJitter = 30 * time.Millisecond // at most, added to the delay
	contentionReads  = 4                     // after these the claim is given up
)

// Reserve claims the most tokens that a turn may generate. On nil the claim is durable and all claims of the program
// together are within its budget. On any error the turn must not be run, and the claim is withdrawn in the background:
// ErrExhausted if it does not fit the budget, ErrUncertain otherwise.
func (c *Client) Reserve(ctx context.Context, program string, budget uint64, request string, maxTokens uint64) error {
	ctx, cancel := replica.WithDefaultTimeout(ctx, defaultTimeout)
	defer cancel()
	err := c.reserve(ctx, program, budget, request, maxTokens)
	if err != nil {
		c.Withdraw(program, request)
	}
	return err
}

// reserve needs a single write in the common case. The first write goes to the members of the highest rank of the
// program's replica set, which are the same for all callers: of any claims that are written there, the one that arrives
// last at one of these members sees all the others in the replies. A claim whose first write has another quorum, because
// members fail or change, is written again as confirmed and then read: of any such claims, the one whose confirming write
// ended last sees all the others. A claim that sees a confirmed one is confirmed too.
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

// resolveContention returns nil once all known claims fit the budget. Concurrent claims that do not fit together are
// ordered by priority: the one that has it reads again while the others are withdrawn. A claim that was withdrawn or
// settled before counts nothing or too little, and must not be granted again.
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
