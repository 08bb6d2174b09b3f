package proxy

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"pulleygw.example/pulleygw/internal/tier/budget"
	"pulleygw.example/pulleygw/internal/tier/turns"
)

// turnStoreHealth records whether the last call that needed a quorum of turn stores reached one. It prevents turns from
// being executed while they cannot be saved, which would abort their streams at the end. This matters for a retained turn
// that makes no such call before it is executed. It is safe for concurrent use.
type turnStoreHealth struct{ suspect atomic.Bool }

// record updates the health by the outcome of a call. It ignores errors that tell nothing about the turn stores.
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

// checkTurnStores reports whether a turn may be executed that needs no call to the turn stores beforehand. If the last call
// reached no quorum, a retained turn first probes the turn stores by reading the turn itself; if that reaches no quorum
// either, checkTurnStores responds to the client and returns false.
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
