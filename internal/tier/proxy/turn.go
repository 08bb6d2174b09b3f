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

// turnStoreTimeFraction is the share of a request's time-out that it waits for turn stores before any store is sent the
// request. The rest is left for the client's retry, when the turn stores may answer.
const turnStoreTimeFraction = 0.4

var (
	errTurnNotSaved    = eris.New("turn could not be saved")
	errMalformedBudget = eris.New("malformed Budget: want a number of tokens")
)

// turnStoreClient reads and writes the records of turns. Chain returns turns.ErrNotFound only if it is certain that
// there is no such turn.
type turnStoreClient interface {
	Ready() bool // whether any turn store is known
	Chain(ctx context.Context, id string) ([]*tierpb.TurnRecord, error)
	Save(ctx context.Context, record *tierpb.TurnRecord) error
}

// budgetClient reserves and settles what programs spend. Reserve returns budget.ErrExhausted if the claim does not fit
// in the budget.
type budgetClient interface {
	Reserve(ctx context.Context, program string, budget uint64, request string, maxTokens uint64) error
	Settle(program, request string, used uint64)
	Withdraw(program, request string)
	Wait() // for calls that Settle and Withdraw have started
}

// turn is the state of a request that is a turn of a program: its record and its budget reservation. The zero value is
// a request that is neither retained nor budgeted.
type turn struct {
	retained       bool
	previous       string
	output         []byte
	budgeted       bool   // the turn counts against the program's budget
	budget         uint64 // tokens that all turns of the program may generate, if budgeted
	program        string
	maxTokens      uint64
	tokensPerEvent uint64
	maxEvents      uint64 // limit of events to pass on
	reserved       bool
	settled        bool
	saved          bool
	forwarded      bool // a successful response that is not a stream was passed on
}

// beginTurn fetches the chain of previous turns and reserves the budget for what the turn may generate, both
// concurrently. If either fails, or no turn store is known, it answers the client and returns false.
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
		return x.canRetain(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(turnStoreTimeFraction*float64(time.Until(x.deadline))))
	defer cancel()
	reserved := x.reserve(ctx)
	chain, chainErr := x.fetchChain(ctx)
	reserveErr := <-reserved
	x.turn.reserved = x.turn.budgeted && reserveErr == nil // a failed reservation has withdrawn itself
	err := errors.Join(chainErr, reserveErr)
	x.recordTurnStores(err)
	if err == nil {
		x.prependChain(chain)
		return true
	}
	x.withdrawReservation()
	x.respondTurnError(err)
	return false
}

// parseTurn reads what the request says of the turn. It returns errMalformedBudget for a Budget that is no number of tokens:
// without a limit the turn would be run on an assumption that its program did not make.
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

func (x *exchange) fetchChain(ctx context.Context) ([]*tierpb.TurnRecord, error) {
	if x.turn.previous == "" {
		return nil, nil
	}
	return x.proxy.turns.Chain(ctx, x.turn.previous)
}

// prependChain puts the inputs and outputs of the previous turns in front of the turn's own input.
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
		if isShutdown(x.r.Context()) {
			x.result = resultShutdown
		}
		x.respondRetryLater(retryAfterUncertain)
	}
}

// completeTurn makes the turn durable before its response ends.
func (x *exchange) completeTurn(ctx context.Context) error {
	t := &x.turn
	if t.retained {
		err := x.proxy.turns.Save(ctx, x.turnRecord())
		x.recordTurnStores(err)
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

// withdrawReservation returns the reservation if nothing of a response was passed on to the client. A turn that was
// aborted halfway stays charged with its full reservation.
func (x *exchange) withdrawReservation() {
	t := &x.turn
	if !t.reserved || t.settled || t.forwarded || x.stream.events > 0 {
		return
	}
	t.settled = true
	x.proxy.budgets.Withdraw(t.program, x.id)
}

// responseForwarded records that a response which is not a stream was passed on: only a success is charged.
func (t *turn) responseForwarded(status int) { t.forwarded = status < 300 }
