package budget

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/invariant"
	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Errors of Reserve.
var (
	ErrExhausted = eris.New("the program's budget is spent")
	ErrUncertain = replica.ErrUncertain // too few stores answered: the turn may not be run
)

// Times of the client.
const (
	defaultTimeout = 1500 * time.Millisecond // of a Reserve whose context has no deadline
	settleTimeout  = 10 * time.Second        // after this a claim is left as it is
	contestLeast   = 15 * time.Millisecond   // before an excess that others may withdraw is looked at again
	contestSpread  = 30 * time.Millisecond
	contestRounds  = 4
	mostUnsettled  = 1024 // settlements under way at once
)

// Options of a Client.
type Options = replica.Options

// Client reserves and settles claims on programs' budgets. It is safe for concurrent use.
type Client struct {
	replicas *replica.Client
	places   chan struct{} // one for each settlement under way
	settling sync.WaitGroup
}

// NewClient makes a client.
func NewClient(options Options) *Client {
	return &Client{replicas: replica.NewClient(options), places: make(chan struct{}, mostUnsettled)}
}

// Reserve claims the most that a turn may generate. On nil the claim is durable and all claims of the program
// together are within its budget. On any error the turn must not be run; the claim is withdrawn in the background.
func (c *Client) Reserve(ctx context.Context, program string, budget uint64, request string, most uint64) error {
	ctx, cancel := bounded(ctx)
	defer cancel()
	err := c.reserve(ctx, program, budget, request, most)
	if err != nil {
		c.Withdraw(program, request)
	}
	return err
}

// reserve claims in one round where it can. In a first round the claim goes to the first members of the program's
// replica set, which are the same for all: of any claims that go there, the one that comes last to one of these
// members finds all the others. A claim that gets past them, because members fail or change, is marked and written
// again, and read in a round that begins when that write has ended: of any such claims, the one whose write ended
// last finds all the others. A claim that finds a marked one does so too.
func (c *Client) reserve(ctx context.Context, program string, budget uint64, request string, most uint64) error {
	claim := &tierpb.BudgetEntry{Request: request, Tokens: most, Stage: StageReserved}
	known := &tierpb.ProgramBudget{Program: program}
	first, err := c.write(ctx, known, claim)
	if err != nil {
		return err
	}
	if !first || anyInTwoRounds(known) {
		claim = &tierpb.BudgetEntry{Request: request, Tokens: most, Stage: StageReserved, Confirmed: true}
		if _, err := c.write(ctx, known, claim); err != nil {
			return err
		}
		if err := c.read(ctx, known); err != nil {
			return err
		}
	}
	if err := c.contest(ctx, known, claim, budget); err != nil {
		return err
	}
	counted := Total(known)
	if !invariant.Check(Covers(known, []*tierpb.BudgetEntry{claim}) && counted <= budget, invariant.WithinBudget, counted, budget) {
		return ErrUncertain
	}
	return nil
}

// contest decides on what is known of a program. Claims that came together and have no room together are settled
// by priority: the one that has it looks again while the others are withdrawn. A claim that was withdrawn or settled
// before counts for nothing and may not pass again.
func (c *Client) contest(
	ctx context.Context, known *tierpb.ProgramBudget, claim *tierpb.BudgetEntry, budget uint64,
) error {
	if isSettled(known, claim.Request) {
		return ErrUncertain
	}
	for range contestRounds {
		switch {
		case Total(known) <= budget:
			return nil
		case !hasPriority(known, claim, budget):
			return ErrExhausted
		}
		select {
		case <-c.replicas.After(contestLeast + rand.N(contestSpread)):
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

// write has a claim synced by a quorum and merges what the stores know of the program. It says whether the quorum
// was that of the first members.
func (c *Client) write(
	ctx context.Context, known *tierpb.ProgramBudget, claim *tierpb.BudgetEntry,
) (first bool, err error) {
	written := &tierpb.ProgramBudget{
		Program:        known.Program,
		Entries:        []*tierpb.BudgetEntry{claim},
		LastUsedUnixMs: c.replicas.Now().UnixMilli(),
	}
	outcome, err := replica.CallQuorum(ctx, c.replicas, replica.Operation[*tierpb.BudgetReply]{
		Key:    known.Program,
		Quorum: replica.WriteQuorum,
		Ranked: true,
		Call: func(ctx context.Context, address string, header *tierpb.StoreRequestHeader) (*tierpb.BudgetReply, error) {
			request := &tierpb.ReserveBudgetRequest{Header: header, Budget: written}
			reply := &tierpb.BudgetReply{}
			return reply, c.replicas.Caller().Call(ctx, address, rpc.MethodReserveBudget, request, reply)
		},
		OnReply: func(reply *tierpb.BudgetReply) bool {
			Merge(known, reply.GetBudget().GetEntries())
			return false
		},
	})
	return outcome.TopRanked, err
}

// read merges what a quorum of stores knows of the program.
func (c *Client) read(ctx context.Context, known *tierpb.ProgramBudget) error {
	_, err := replica.CallQuorum(ctx, c.replicas, replica.Operation[*tierpb.BudgetReply]{
		Key:              known.Program,
		Quorum:           replica.ReadQuorum,
		SingleMembership: true,
		Call: func(ctx context.Context, address string, header *tierpb.StoreRequestHeader) (*tierpb.BudgetReply, error) {
			request := &tierpb.ReadBudgetRequest{Header: header, Program: known.Program}
			reply := &tierpb.BudgetReply{}
			return reply, c.replicas.Caller().Call(ctx, address, rpc.MethodReadBudget, request, reply)
		},
		OnReply: func(reply *tierpb.BudgetReply) bool {
			Merge(known, reply.GetBudget().GetEntries())
			return false
		},
	})
	return err
}

// Settle counts a turn that ended whole at what it generated. It returns at once.
func (c *Client) Settle(program, request string, used uint64) {
	select {
	case c.places <- struct{}{}:
	default:
		return // the claim stays at its most
	}
	c.settling.Go(func() {
		defer func() { <-c.places }()
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		claim := &tierpb.BudgetEntry{Request: request, Tokens: used, Stage: StageSettled}
		_, _ = c.write(ctx, &tierpb.ProgramBudget{Program: program}, claim)
	})
}

// Withdraw takes back the claim of a turn that reached no store. It returns at once.
func (c *Client) Withdraw(program, request string) { c.Settle(program, request, 0) }

func bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, has := ctx.Deadline(); has {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, defaultTimeout)
}

// Wait waits for the settlements that are under way.
func (c *Client) Wait() { c.settling.Wait() }
