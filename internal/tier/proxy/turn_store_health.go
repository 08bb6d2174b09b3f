package proxy

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"pulleygw.example/pulleygw/internal/tier/budget"
	"pulleygw.example/pulleygw/internal/tier/turns"
)

// turnStoreHealth records whether the last call that needed a quorum of turn stores reached one. With it, checkTurnStores
// avoids the execution of a retained turn that could not be saved and whose stream would be aborted at the end for this reason.
// It is safe for concurrent use.
type turnStoreHealth struct{ suspect atomic.Bool }

// record updates the health from the result of a call: ErrNotFound and ErrExhausted are replies of a quorum, ErrUncertain means
// that no quorum was reached, and any other error changes nothing.
func (h *turnStoreHealth) record(err error) {
	switch {
	case err == nil, errors.Is(err, turns.ErrNotFound), errors.Is(err, budget.ErrExhausted):
		h.suspect.Store(false)
	case errors.Is(err, turns.ErrUncertain):
		h.suspect.Store(true)
	}
}

// recordTurnStoreOutcome records the outcome of a call to the turn stores, unless the client disconnected during it.
func (x *exchange) recordTurnStoreOutcome(err error) {
	if !x.clientDisconnected() {
		x.proxy.turnStoreHealth.record(err)
	}
}

// checkTurnStores is called for turns that make no other call to the turn stores before they are executed. It reports whether
// the turn may be executed; otherwise it has responded to the client. If the last call reached no quorum, a retained turn
// first probes the turn stores by reading the turn itself, and may be executed only if that succeeds or the turn is not found.
func (x *exchange) checkTurnStores(ctx context.Context) bool {
	if !x.turn.retained || !x.proxy.turnStoreHealth.suspect.Load() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(turnStoreTimeFraction*float64(time.Until(x.deadline))))
	defer cancel()
	_, err := x.proxy.turns.Chain(ctx, x.id)
	x.recordTurnStoreOutcome(err)
	if err == nil || errors.Is(err, turns.ErrNotFound) {
		return true
	}
	x.respondTurnError(turns.ErrUncertain)
	return false
}
