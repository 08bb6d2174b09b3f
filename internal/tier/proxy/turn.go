package proxy

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/budget"
	"pulleygw.example/pulleygw/internal/tier/configuration"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/turns"
)

// turnStoreTimeShare is the part of a request's time that it waits for turn stores before any store is sent it: what is left
// is for its client to come again, when they may answer.
const turnStoreTimeShare = 0.4

var errTurnNotSaved = eris.New("the turn could not be saved")

// turnStoreClient keeps the records of turns. Chain returns turns.ErrNotFound where it is sure that there is no such turn.
type turnStoreClient interface {
	Ready() bool // whether there is anything that could keep a turn
	Chain(ctx context.Context, id string) ([]*tierpb.TurnRecord, error)
	Save(ctx context.Context, record *tierpb.TurnRecord) error
}

// budgetClient keeps what programs may spend. Reserve returns budget.ErrExhausted where there is no room for this turn.
type budgetClient interface {
	Reserve(ctx context.Context, program string, budget uint64, request string, most uint64) error
	Settle(program, request string, used uint64)
	Withdraw(program, request string)
	Wait() // for what Settle and Withdraw have begun
}

// turn is what the system keeps of the request where it is a turn of a program.
type turn struct {
	retained       bool
	previous       string
	output         []byte
	budgeted       bool // it counts against a budget
	program        string
	maxTokens      uint64
	tokensPerEvent uint64
	maxEvents      uint64 // events that may be passed on
	reserved       bool
	settled        bool
	saved          bool
	forwarded      bool // a plain answer was passed on
}

// beginTurn fetches what the turn goes on from and reserves what it may generate, both at the same time. Where that
// fails, or nothing could keep the turn, the client has been answered and false is returned.
func (x *exchange) beginTurn(ctx context.Context) bool {
	if x.route.Kind != configuration.Streaming {
		return true
	}
	x.parseTurn()
	if (x.turn.budgeted || x.turn.retained) && !x.awaitTurnStores(ctx) {
		x.respondTurnError(turns.ErrUncertain)
		return false
	}
	if !x.turn.budgeted && x.turn.previous == "" {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(turnStoreTimeShare*float64(time.Until(x.deadline))))
	defer cancel()
	reserved := x.reserve(ctx)
	chain, chainErr := x.fetchChain(ctx)
	reserveErr := <-reserved
	x.turn.reserved = x.turn.budgeted && reserveErr == nil // else it has been withdrawn
	err := errors.Join(chainErr, reserveErr)
	if err == nil {
		x.prependChain(chain)
		return true
	}
	x.withdrawReservation()
	x.respondTurnError(err)
	return false
}

func (x *exchange) parseTurn() {
	t := &x.turn
	t.retained = x.route.Retained
	if t.retained {
		t.previous = x.r.Header.Get(headerPrevious)
	}
	t.tokensPerEvent = 1
	if engine := x.service.Engine; engine != nil && engine.Stride > 0 {
		t.tokensPerEvent = uint64(engine.Stride)
	}
	t.program = x.r.Header.Get(headerProgram)
	budget := x.r.Header.Get(headerBudget)
	if t.program == "" || budget == "" {
		return
	}
	t.budgeted = true
	_, t.maxTokens = parseTokenUsage(x.r.Header)
	if t.maxTokens == 0 {
		t.maxTokens, _ = strconv.ParseUint(budget, 10, 63)
	}
	t.maxEvents = (t.maxTokens + t.tokensPerEvent - 1) / t.tokensPerEvent
}

func (x *exchange) reserve(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	if !x.turn.budgeted {
		done <- nil
		return done
	}
	budget, err := strconv.ParseUint(x.r.Header.Get(headerBudget), 10, 63)
	if err != nil {
		done <- nil
		x.turn.budgeted = false
		return done
	}
	reserve := func() { done <- x.proxy.budgets.Reserve(ctx, x.turn.program, budget, x.id, x.turn.maxTokens) }
	if x.turn.previous == "" {
		reserve()
	} else {
		go reserve()
	}
	return done
}

func (x *exchange) fetchChain(ctx context.Context) ([]*tierpb.TurnRecord, error) {
	if x.turn.previous == "" {
		return nil, nil
	}
	return x.proxy.turns.Chain(ctx, x.turn.previous)
}

// prependChain puts the inputs and outputs of the turns before this one in front of its own input.
func (x *exchange) prependChain(chain []*tierpb.TurnRecord) {
	if len(chain) == 0 {
		return
	}
	body := make([][]byte, 0, 2*len(chain)+1)
	for _, record := range chain {
		body = append(body, record.Input, record.Output)
	}
	x.outbound.Body = append(body, x.outbound.Body...)
	x.outbound.HasBody = true
}

func (x *exchange) respondTurnError(err error) {
	x.lastErr = err
	switch {
	case x.clientDisconnected():
		panic(http.ErrAbortHandler)
	case errors.Is(err, turns.ErrNotFound):
		x.result = resultUnknownTurn
		x.proxy.respond(x.w, x.id, http.StatusNotFound)
	case errors.Is(err, budget.ErrExhausted):
		x.result = resultBudgetSpent
		x.respondNotExecuted(http.StatusPaymentRequired)
	default:
		x.result = resultTurnStoresUncertain
		x.respondRetryLater(retryAfterUncertain)
	}
}

// completeTurn makes the turn last before its answer ends.
func (x *exchange) completeTurn(ctx context.Context) error {
	t := &x.turn
	if t.retained {
		if err := x.proxy.turns.Save(ctx, x.turnRecord()); err != nil {
			return errTurnNotSaved
		}
		t.saved = true
	}
	if t.budgeted {
		t.settled = true
		x.proxy.budgets.Settle(t.program, x.id, x.stream.events*t.tokensPerEvent)
	}
	return nil
}

func (x *exchange) turnRecord() *tierpb.TurnRecord {
	record := &tierpb.TurnRecord{
		Id: x.id, Previous: x.turn.previous, Output: x.turn.output,
		EndedUnixMs: time.Now().UnixMilli(), RetentionMs: uint32(x.route.Retention / time.Millisecond),
	}
	if x.body != nil {
		record.Input = bytes.Clone(x.body.Bytes()) // the buffer is used again
	}
	return record
}

// withdrawReservation gives back what was reserved where nothing of an answer was handed to the client. What broke off stays
// reserved at its most.
func (x *exchange) withdrawReservation() {
	t := &x.turn
	if !t.reserved || t.settled || t.forwarded || x.stream.events > 0 {
		return
	}
	t.settled = true
	x.proxy.budgets.Withdraw(t.program, x.id)
}

// responseForwarded notes that an answer was passed on which is no stream: only a success counts as spent.
func (t *turn) responseForwarded(status int) { t.forwarded = status < 300 }
