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
	maxFailureLines      = 10 // lines of failed requests within failureSpan
	failureLogWindow     = time.Second
	rejectionLogInterval = time.Second // between two lines of refusals for one reason
)

var results = metrics.NewCounterVec("proxy_results_total", "Requests of clients by what became of them.", "result")

// result says what became of a request.
type result string

// The results. The first three bear a store's answer.
const (
	resultServed           result = "served"
	resultStoreError       result = "failure of the store's own"
	resultStoreClientError result = "refusal of the store's own"

	resultAborted    result = "broken off"
	resultBadGateway result = "no store answered"
	resultTimeout    result = "no answer in time"

	resultClientDisconnected  result = "client left"
	resultOverload            result = "refused: overload"
	resultNoStore             result = "refused: no store"
	resultDeadlineUnreachable result = "refused: hopeless"
	resultDeclined            result = "refused: stores declined"
	resultNoConfiguration     result = "refused: no configuration"
	resultTurnStoresUncertain result = "refused: turn stores uncertain"
	resultUnknownTurn         result = "turn unknown"
	resultBudgetSpent         result = "budget spent"
	resultNoRoute             result = "no route"
	resultBadRequest          result = "request not readable"
)

// failed says whether something was lost that the client may not have back.
func (r result) failed() bool {
	return r == resultAborted || r == resultBadGateway || r == resultTimeout
}

// resultOfStatus is the result of an answer that a store gave.
func resultOfStatus(status int) result {
	switch {
	case status >= http.StatusInternalServerError:
		return resultStoreError
	case status >= http.StatusBadRequest:
		return resultStoreClientError
	}
	return resultServed
}

// resultOfRejection is the result of a request that no store ran.
func resultOfRejection(refused *admission.RejectedError) result {
	if refused == nil {
		return resultDeclined
	}
	switch refused.Reason {
	case admission.NoStore:
		return resultNoStore
	case admission.DeadlineUnreachable:
		return resultDeadlineUnreachable
	case admission.ClientGone:
		return resultClientDisconnected
	}
	return resultOverload
}

var panics = metrics.NewCounter("proxy_panics_total", "Requests that ended by a mistake in the code.")

// recordResult tells metrics and log what became of a request. A mistake in the code ends its request alone, and not without a
// word: net/http would drop it.
func (x *exchange) recordResult() {
	if mistake := recover(); mistake != nil {
		if mistake != http.ErrAbortHandler {
			panics.Inc()
			x.proxy.log.Error("mistake in the code", "id", x.id, "panic", fmt.Sprint(mistake), "stack", string(debug.Stack()))
		}
		defer panic(http.ErrAbortHandler)
	}
	became := x.result
	if became == resultAborted && x.clientDisconnected() {
		became = resultClientDisconnected
	}
	results.Inc(string(became))
	switch {
	case became.failed():
		x.proxy.requestLog.logFailure(x.proxy.log, x.logFields(became))
	case became != resultServed && became != resultClientDisconnected && became != resultStoreError && became != resultStoreClientError:
		x.proxy.requestLog.logRejection(x.proxy.log, became, x.logFields(became))
	}
}

// logFields lists what explains a request afterwards.
func (x *exchange) logFields(became result) []any {
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	cause := ""
	if x.lastErr != nil {
		cause = x.lastErr.Error()
	}
	return []any{
		"result", string(became), "id", x.id, "route", route, "cause", cause, "stores", x.triedInstances, "ran", x.executions, "declined", x.declined,
		"events", x.stream.events, "held_ms", x.queueTime.Milliseconds(), "took_ms", time.Since(x.arrival).Milliseconds(),
		"generation", x.snapshot.generation(), "epoch", x.snapshot.membership.GetEpoch(),
	}
}

// acquire asks admission and notes how long the request was held.
func (x *exchange) acquire(ctx context.Context) (*admission.Grant, *admission.RejectedError) {
	began := time.Now()
	granted, refused := x.proxy.admit.Acquire(ctx, x.admissionRequest())
	x.queueTime += time.Since(began)
	return granted, refused
}

// requestLog bounds the lines that requests cause.
type requestLog struct {
	mu          sync.Mutex
	windowStart time.Time // start of the span in which lines are counted
	lines       int
	suppressed  int
	rejections  map[result]*rejectionCount
}

// rejectionCount are those for one reason since the last line of it.
type rejectionCount struct {
	count      int
	lastLogged time.Time // of the last line
}

// logFailure logs a failed request, unless too many were within the span; those are counted.
func (l *requestLog) logFailure(log hclog.Logger, fields []any) {
	l.mu.Lock()
	now := time.Now()
	if now.Sub(l.windowStart) >= failureLogWindow {
		l.windowStart, l.lines = now, 0
	}
	if l.lines >= maxFailureLines {
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

// logRejection logs the first of the refused requests of a span, with how many there were since the last line.
func (l *requestLog) logRejection(log hclog.Logger, reason result, fields []any) {
	l.mu.Lock()
	known := l.rejections[reason]
	if known == nil {
		if l.rejections == nil {
			l.rejections = make(map[result]*rejectionCount)
		}
		known = &rejectionCount{}
		l.rejections[reason] = known
	}
	known.count++
	now := time.Now()
	if now.Sub(known.lastLogged) < rejectionLogInterval {
		l.mu.Unlock()
		return
	}
	count := known.count
	known.count, known.lastLogged = 0, now
	l.mu.Unlock()
	log.Info("requests refused", append([]any{"count", count}, fields...)...)
}
