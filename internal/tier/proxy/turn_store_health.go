package proxy

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"pulleygw.example/pulleygw/internal/tier/budget"
	"pulleygw.example/pulleygw/internal/tier/turns"
)

// turnStoreHealth remembers whether the last call that needed a quorum of turn stores got one. A turn that is retained and
// needs no such call before it runs would otherwise be executed in vain while none can be saved: its stream breaks off at
// the end. It is safe for concurrent use.
type turnStoreHealth struct{ suspect atomic.Bool }

// record takes in the outcome of a call. An error that says nothing about the stores changes nothing.
func (h *turnStoreHealth) record(err error) {
	switch {
	case err == nil, errors.Is(err, turns.ErrNotFound), errors.Is(err, budget.ErrExhausted):
		h.suspect.Store(false)
	case errors.Is(err, turns.ErrUncertain):
		h.suspect.Store(true)
	}
}

// recordTurnStores records the outcome of a call to turn stores, unless the client ended it.
func (x *exchange) recordTurnStores(err error) {
	if !x.clientDisconnected() {
		x.proxy.turnStoreHealth.record(err)
	}
}

// canRetain reports whether a turn that needs nothing of the turn stores before it runs may begin. After a call that got no
// quorum it asks them first, by a read of the turn itself, and answers the client where there is none.
func (x *exchange) canRetain(ctx context.Context) bool {
	if !x.turn.retained || !x.proxy.turnStoreHealth.suspect.Load() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(turnStoreTimeFraction*float64(time.Until(x.deadline))))
	defer cancel()
	_, err := x.proxy.turns.Chain(ctx, x.id)
	x.recordTurnStores(err)
	if err == nil || errors.Is(err, turns.ErrNotFound) {
		return true
	}
	x.respondTurnError(turns.ErrUncertain)
	return false
}
