package proxy

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"pulleygw.example/pulleygw/internal/tier/admission"
	"pulleygw.example/pulleygw/internal/tier/metrics"
)

// Bounds of the log: a line costs processor time, and troubles bring many at once.
const (
	failureLines   = 10 // lines of failed requests within failureSpan
	failureSpan    = time.Second
	refusalLogSpan = time.Second // between two lines of refusals for one reason
)

var results = metrics.NewCounterVec("proxy_results_total", "Requests of clients by what became of them.", "result")

// result says what became of a request.
type result string

// The results. The first three bear a store's answer.
const (
	resultServed      result = "served"
	resultStoreFailed result = "failure of the store's own"
	resultStoreClient result = "refusal of the store's own"

	resultBrokenOff  result = "broken off"
	resultBadGateway result = "no store answered"
	resultTimeout    result = "no answer in time"

	resultClientLeft      result = "client left"
	resultOverload        result = "refused: overload"
	resultNoStore         result = "refused: no store"
	resultHopeless        result = "refused: hopeless"
	resultDeclined        result = "refused: stores declined"
	resultNoConfiguration result = "refused: no configuration"
	resultUncertainTurn   result = "refused: turn stores uncertain"
	resultUnknownTurn     result = "turn unknown"
	resultSpent           result = "budget spent"
	resultNoRoute         result = "no route"
	resultBadRequest      result = "request not readable"
)

// failed says whether something was lost that the client may not have back.
func (r result) failed() bool {
	return r == resultBrokenOff || r == resultBadGateway || r == resultTimeout
}

// resultOfStore is the result of an answer that a store gave.
func resultOfStore(status int) result {
	switch {
	case status >= http.StatusInternalServerError:
		return resultStoreFailed
	case status >= http.StatusBadRequest:
		return resultStoreClient
	}
	return resultServed
}

// resultOfRefusal is the result of a request that no store ran.
func resultOfRefusal(refused *admission.RejectedError) result {
	if refused == nil {
		return resultDeclined
	}
	switch refused.Reason {
	case admission.NoStore:
		return resultNoStore
	case admission.DeadlineUnreachable:
		return resultHopeless
	case admission.ClientGone:
		return resultClientLeft
	}
	return resultOverload
}

var panics = metrics.NewCounter("proxy_panics_total", "Requests that ended by a mistake in the code.")

// account tells metrics and log what became of a request. A mistake in the code ends its request alone, and not without a
// word: net/http would drop it.
func (x *exchange) account() {
	if mistake := recover(); mistake != nil {
		if mistake != http.ErrAbortHandler {
			panics.Inc()
			x.proxy.log.Error("mistake in the code", "id", x.id, "panic", fmt.Sprint(mistake), "stack", string(debug.Stack()))
		}
		defer panic(http.ErrAbortHandler)
	}
	became := x.became
	if became == resultBrokenOff && x.clientLeft() {
		became = resultClientLeft
	}
	results.Inc(string(became))
	switch {
	case became.failed():
		x.proxy.requests.failure(x.proxy.log, x.describe(became))
	case became != resultServed && became != resultClientLeft && became != resultStoreFailed && became != resultStoreClient:
		x.proxy.requests.refusal(x.proxy.log, became, x.describe(became))
	}
}

// describe lists what explains a request afterwards.
func (x *exchange) describe(became result) []any {
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	cause := ""
	if x.cause != nil {
		cause = x.cause.Error()
	}
	return []any{
		"result", string(became), "id", x.id, "route", route, "cause", cause, "stores", x.avoid, "ran", x.ran, "declined", x.turned,
		"events", x.stream.events, "held_ms", x.held.Milliseconds(), "took_ms", time.Since(x.arrival).Milliseconds(),
		"generation", x.view.generation(), "epoch", x.view.membership.GetEpoch(),
	}
}

// acquire asks admission and notes how long the request was held.
func (x *exchange) acquire(ctx context.Context) (*admission.Grant, *admission.RejectedError) {
	began := time.Now()
	granted, refused := x.proxy.admit.Acquire(ctx, x.ask())
	x.held += time.Since(began)
	return granted, refused
}

// requestLog bounds the lines that requests cause.
type requestLog struct {
	mu         sync.Mutex
	from       time.Time // start of the span in which lines are counted
	lines      int
	suppressed int
	refused    map[result]*refusals
}

// refusals are those for one reason since the last line of it.
type refusals struct {
	count int
	at    time.Time // of the last line
}

// failure logs a failed request, unless too many were within the span; those are counted.
func (l *requestLog) failure(log hclog.Logger, fields []any) {
	l.mu.Lock()
	now := time.Now()
	if now.Sub(l.from) >= failureSpan {
		l.from, l.lines = now, 0
	}
	if l.lines >= failureLines {
		l.suppressed++
		l.mu.Unlock()
		return
	}
	l.lines++
	suppressed := l.suppressed
	l.suppressed = 0
	l.mu.Unlock()
	if suppressed > 0 {
		fields = append(fields, "suppressed", suppressed)
	}
	log.Warn("request failed", fields...)
}

// refusal logs the first of the refused requests of a span, with how many there were since the last line.
func (l *requestLog) refusal(log hclog.Logger, reason result, fields []any) {
	l.mu.Lock()
	known := l.refused[reason]
	if known == nil {
		if l.refused == nil {
			l.refused = make(map[result]*refusals)
		}
		known = &refusals{}
		l.refused[reason] = known
	}
	known.count++
	now := time.Now()
	if now.Sub(known.at) < refusalLogSpan {
		l.mu.Unlock()
		return
	}
	count := known.count
	known.count, known.at = 0, now
	l.mu.Unlock()
	log.Info("requests refused", append([]any{"count", count}, fields...)...)
}
