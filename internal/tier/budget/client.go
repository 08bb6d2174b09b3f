package budget

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Errors of Reserve.
var (
	ErrSpent     = eris.New("the program's budget is spent")
	ErrUncertain = replica.ErrUncertain // too few stores answered: the turn may not be run
)

// Times of the client.
const (
	defaultTimeout = 1500 * time.Millisecond // of a Reserve whose context has no deadline
	settleTimeout  = 10 * time.Second        // after this a claim is left as it is
	recheckLeast   = 20 * time.Millisecond   // before an excess that others may withdraw is looked at again
	recheckSpread  = 80 * time.Millisecond
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

func (c *Client) reserve(ctx context.Context, program string, budget uint64, request string, most uint64) error {
	claim := &tierpb.BudgetEntry{Request: request, Tokens: most, Stage: StageReserved}
	known := &tierpb.ProgramBudget{Program: program}
	if err := c.write(ctx, known, claim); err != nil {
		return err
	}
	if Sum(known) <= budget {
		// Claims are summed only from reads that began when the write was done: of any set of claims, the one
		// whose write ended last reads all the others.
		known = &tierpb.ProgramBudget{Program: program}
		if err := c.read(ctx, known, claim); err != nil {
			return err
		}
		if Sum(known) <= budget {
			return nil
		}
	}
	if add(SettledSum(known), most) > budget {
		return ErrSpent
	}
	return c.recheck(ctx, program, budget, claim)
}

// recheck looks once more when only claims that are not settled stand in the way: of several that came together
// all but one may have been withdrawn meanwhile.
func (c *Client) recheck(ctx context.Context, program string, budget uint64, claim *tierpb.BudgetEntry) error {
	select {
	case <-c.replicas.After(recheckLeast + rand.N(recheckSpread)):
	case <-ctx.Done():
		return ErrUncertain
	}
	known := &tierpb.ProgramBudget{Program: program}
	if err := c.read(ctx, known, claim); err != nil {
		return err
	}
	if Sum(known) > budget {
		return ErrSpent
	}
	return nil
}

// write has a claim synced by a quorum and merges what the stores know of the program.
func (c *Client) write(ctx context.Context, known *tierpb.ProgramBudget, claim *tierpb.BudgetEntry) error {
	written := &tierpb.ProgramBudget{
		Program:       known.Program,
		Entries:       []*tierpb.BudgetEntry{claim},
		TouchedUnixMs: c.replicas.Now().UnixMilli(),
	}
	return replica.Collect(ctx, c.replicas, replica.Operation[*tierpb.BudgetReply]{
		Key:    known.Program,
		Quorum: replica.WriteQuorum,
		Call: func(ctx context.Context, address string, header *tierpb.StoreHeader) (*tierpb.BudgetReply, error) {
			request := &tierpb.ReserveBudgetRequest{Header: header, Budget: written}
			reply := &tierpb.BudgetReply{}
			return reply, c.replicas.Caller().Call(ctx, address, rpc.MethodReserveBudget, request, reply)
		},
		Visit: func(reply *tierpb.BudgetReply) bool {
			Merge(known, reply.GetBudget().GetEntries())
			return false
		},
	})
}

// read merges what a quorum of stores knows of the program, and the claim itself.
func (c *Client) read(ctx context.Context, known *tierpb.ProgramBudget, claim *tierpb.BudgetEntry) error {
	Merge(known, []*tierpb.BudgetEntry{claim})
	return replica.Collect(ctx, c.replicas, replica.Operation[*tierpb.BudgetReply]{
		Key:    known.Program,
		Quorum: replica.ReadQuorum,
		Fresh:  true,
		Call: func(ctx context.Context, address string, header *tierpb.StoreHeader) (*tierpb.BudgetReply, error) {
			request := &tierpb.ReadBudgetRequest{Header: header, Program: known.Program}
			reply := &tierpb.BudgetReply{}
			return reply, c.replicas.Caller().Call(ctx, address, rpc.MethodReadBudget, request, reply)
		},
		Visit: func(reply *tierpb.BudgetReply) bool {
			Merge(known, reply.GetBudget().GetEntries())
			return false
		},
	})
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
		_ = c.write(ctx, &tierpb.ProgramBudget{Program: program}, claim)
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
