package budget

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Errors of Reserve. After either error the turn must not be run.
var (
	// ErrExhausted means that the claim does not fit into the program's budget.
	ErrExhausted = eris.New("the program's budget is exhausted")
	// ErrUncertain means that no quorum answered in time, that the claim had already been settled or withdrawn, or that an
	// invariant was violated.
	ErrUncertain = replica.ErrUncertain
)

// Limits of a Client.
const (
	defaultTimeout           = 1500 * time.Millisecond // of Reserve, if the context has no deadline
	settleTimeout            = 10 * time.Second        // after which the claim stays as it is
	maxConcurrentSettlements = 1024                    // claims in excess of it are not settled and keep their maximum
)

// Options are the options of a Client.
type Options = replica.Options

// Client reserves and settles claims on the budgets of programs. It is safe for concurrent use.
type Client struct {
	replicas        *replica.Client
	settlementSlots chan struct{} // holds one value for each settlement in progress
	settlements     sync.WaitGroup
}

// NewClient returns a client.
func NewClient(options Options) *Client {
	return &Client{
		replicas:        replica.NewClient(options),
		settlementSlots: make(chan struct{}, maxConcurrentSettlements),
	}
}

// Settle sets the claim of a turn that has ended to the number of tokens generated. It does not wait for the turn stores; if
// they cannot be reached, the claim keeps its maximum.
func (c *Client) Settle(program, request string, usedTokens uint64) {
	select {
	case c.settlementSlots <- struct{}{}:
	default:
		return
	}
	c.settlements.Go(func() {
		defer func() { <-c.settlementSlots }()
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		claim := &tierpb.BudgetEntry{Request: request, Tokens: usedTokens, Stage: StageSettled}
		_, _ = c.write(ctx, &tierpb.ProgramBudget{Program: program}, claim)
	})
}

// Withdraw withdraws the claim of a turn that was not run. It does not wait for the turn stores.
func (c *Client) Withdraw(program, request string) { c.Settle(program, request, 0) }

// Wait waits until all settlements in progress have ended.
func (c *Client) Wait() { c.settlements.Wait() }

// write stores a claim on a write quorum and merges the members' claims of the program into known. It returns whether the
// quorum consisted of the highest-ranked members.
func (c *Client) write(
	ctx context.Context, known *tierpb.ProgramBudget, claim *tierpb.BudgetEntry,
) (topRanked bool, err error) {
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
		OnReply: mergeInto(known),
	})
	return outcome.TopRanked, err
}

// read merges the claims of the program on a read quorum into known.
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
		OnReply: mergeInto(known),
	})
	return err
}

// mergeInto returns an OnReply function that merges the claims of each reply. It returns false, so that the call waits for the
// whole quorum.
func mergeInto(known *tierpb.ProgramBudget) func(*tierpb.BudgetReply) bool {
	return func(reply *tierpb.BudgetReply) bool {
		Merge(known, reply.GetBudget().GetEntries())
		return false
	}
}
