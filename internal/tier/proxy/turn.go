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

// turnStoreTimeFraction is the fraction of a request's remaining time for which it waits for turn stores before it is sent
// to a store. The rest leaves the client time to retry when the turn stores may respond again.
const turnStoreTimeFraction = 0.4

var (
	errTurnNotSaved    = eris.New("turn could not be saved")
	errMalformedBudget = eris.New("malformed Budget: want a number of tokens")
)

// turnStoreClient reads and writes the records of turns.
type turnStoreClient interface {
	// Ready reports whether any turn store is known.
	Ready() bool
	// Chain returns the records of a turn and its predecessors, oldest first. It returns turns.ErrNotFound only if the turn
	// certainly does not exist.
	Chain(ctx context.Context, id string) ([]*tierpb.TurnRecord, error)
	// Save stores the record of a turn durably.
	Save(ctx context.Context, record *tierpb.TurnRecord) error
	// Wait waits until the calls that earlier calls of Save have left in progress have ended.
	Wait()
}

// budgetClient accounts for the tokens that programs spend.
type budgetClient interface {
	// Reserve reserves maxTokens for a request. It returns budget.ErrExhausted if they exceed what is left of the budget.
	Reserve(ctx context.Context, program string, budget uint64, request string, maxTokens uint64) error
	// Settle replaces a reservation by the number of tokens used. It does not wait for the turn stores.
	Settle(program, request string, used uint64)
	// Withdraw cancels a reservation. It does not wait for the turn stores.
	Withdraw(program, request string)
	// Wait waits for the calls that Settle and Withdraw have started.
	Wait()
}

// turn is the state of a request that is a turn of a program: its record and its budget reservation. The zero value is a
// request that is neither retained nor subject to a budget.
type turn struct {
	retained       bool   // the turn is saved in the turn stores
	previous       string // id of the previous turn, if any
	output         []byte // data of the events forwarded so far, if retained
	budgeted       bool   // the turn counts against the program's budget
	budget         uint64 // tokens that all turns of the program may generate, if budgeted
	program        string
	maxTokens      uint64
	tokensPerEvent uint64
	maxEvents      uint64 // maximum number of events to forward
	reserved       bool
	settled        bool // the reservation was settled or withdrawn
	saved          bool
	forwarded      bool // a successful response that is not a stream was forwarded
}

// beginTurn concurrently fetches the chain of previous turns and reserves budget for the tokens that the turn may generate.
// If either fails, or no turn store is known, it responds to the client and returns false.
func (x *exchange) beginTurn(ctx context.Context) bool {
	if x.route.Kind != configuration.Streaming {
		return true
	}
	if err := x.parseTurn(); err != nil {
		x.result, x.lastErr = resultBadRequest, err
		x.proxy.respond(x.w, x.id, http.StatusBadRequest)
		return false
	}
	if (x.turn.budgeted || x.turn.retained) && !x.awaitTurnStores(ctx) {
		x.respondTurnError(turns.ErrUncertain)
		return false
	}
	if !x.turn.budgeted && x.turn.previous == "" {
		return x.checkTurnStores(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(turnStoreTimeFraction*float64(time.Until(x.deadline))))
	defer cancel()
	reserved := x.reserve(ctx)
	chain, chainErr := x.fetchChain(ctx)
	reserveErr := <-reserved
	x.turn.reserved = x.turn.budgeted && reserveErr == nil // Reserve withdraws a reservation that fails
	err := errors.Join(chainErr, reserveErr)
	x.recordTurnStoreOutcome(err)
	if err == nil {
		x.prependChain(chain)
		return true
	}
	x.withdrawReservation()
	x.respondTurnError(err)
	return false
}

// parseTurn sets the fields of the turn from the route and the request headers. It returns errMalformedBudget if Budget is
// not a number of tokens, because running the turn without a limit is not what its program asked for.
func (x *exchange) parseTurn() error {
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
		return nil
	}
	tokens, err := strconv.ParseUint(budget, 10, 63)
	if err != nil {
		return eris.Wrapf(errMalformedBudget, "%.40q", budget)
	}
	t.budgeted, t.budget = true, tokens
	_, t.maxTokens = parseTokenUsage(x.r.Header)
	if t.maxTokens == 0 {
		t.maxTokens = tokens
	}
	t.maxEvents = (t.maxTokens + t.tokensPerEvent - 1) / t.tokensPerEvent
	return nil
}

// reserve reserves the turn's budget, concurrently if there is also a chain to fetch. It returns a channel for the result.
func (x *exchange) reserve(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	if !x.turn.budgeted {
		done <- nil
		return done
	}
	reserve := func() { done <- x.proxy.budgets.Reserve(ctx, x.turn.program, x.turn.budget, x.id, x.turn.maxTokens) }
	if x.turn.previous == "" {
		reserve()
	} else {
		go reserve()
	}
	return done
}

// fetchChain returns the records of the previous turns, oldest first.
func (x *exchange) fetchChain(ctx context.Context) ([]*tierpb.TurnRecord, error) {
	if x.turn.previous == "" {
		return nil, nil
	}
	return x.proxy.turns.Chain(ctx, x.turn.previous)
}

// prependChain prepends the inputs and outputs of the previous turns to the turn's own input.
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

// respondTurnError responds to a turn whose preparation failed. It was not sent to any store.
func (x *exchange) respondTurnError(err error) {
	x.lastErr = err
	switch {
	case x.clientDisconnected():
		panic(http.ErrAbortHandler)
	case errors.Is(err, turns.ErrNotFound):
		x.result = resultUnknownTurn
		x.proxy.respond(x.w, x.id, http.StatusNotFound)
	case errors.Is(err, budget.ErrExhausted):
		x.result = resultBudgetExhausted
		x.respondNotExecuted(http.StatusPaymentRequired)
	default:
		x.result = resultTurnStoresUncertain
		if isShutdown(x.r.Context()) {
			x.result = resultShutdown
		}
		x.respondRetryLater(retryAfterUncertain)
	}
}

// completeTurn saves a retained turn and settles its budget. It must succeed before the response ends, so that a turn whose
// response is complete is durable.
func (x *exchange) completeTurn(ctx context.Context) error {
	t := &x.turn
	if t.retained {
		err := x.proxy.turns.Save(ctx, x.turnRecord())
		x.recordTurnStoreOutcome(err)
		if err != nil {
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

// turnRecord returns the record of the turn to save.
func (x *exchange) turnRecord() *tierpb.TurnRecord {
	record := &tierpb.TurnRecord{
		Id: x.id, Previous: x.turn.previous, Output: x.turn.output,
		EndedUnixMs: time.Now().UnixMilli(), RetentionMs: uint32(x.route.Retention / time.Millisecond),
	}
	if x.body != nil {
		record.Input = bytes.Clone(x.body.Bytes()) // the buffer is pooled
	}
	return record
}

// withdrawReservation withdraws the reservation if no part of a response was forwarded to the client. A turn that was
// aborted midway stays charged with its full reservation.
func (x *exchange) withdrawReservation() {
	t := &x.turn
	if !t.reserved || t.settled || t.forwarded || x.stream.events > 0 {
		return
	}
	t.settled = true
	x.proxy.budgets.Withdraw(t.program, x.id)
}

// responseForwarded records that a response that is not a stream was forwarded. Only a successful one is charged.
func (t *turn) responseForwarded(status int) { t.forwarded = status < 300 }
