package proxy

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"pulleygw.example/pulleygw/internal/tier/admission"
	"pulleygw.example/pulleygw/internal/tier/metrics"
)

// Rate limits of the request log: log lines cost CPU time, and a fault can make many requests fail at once.
const (
	maxFailureLines      = 10 // per failureLogWindow
	failureLogWindow     = time.Second
	rejectionLogInterval = time.Second // minimum time between two lines for the same reason
)

var results = metrics.NewCounterVec("proxy_results_total", "Requests of clients by result.", "result")

// result tells how a request ended. It is a label value of proxy_results_total and a field of log lines.
type result string

const (
	// The client received a store's response.
	resultServed           result = "served"
	resultStoreError       result = "store_error"
	resultStoreClientError result = "store_client_error"

	// The request may have been executed, but the client received no complete response.
	resultAborted           result = "aborted"
	resultAbortedByShutdown result = "aborted_by_shutdown" // the grace period was over before the response was complete
	resultBadGateway        result = "bad_gateway"
	resultTimeout           result = "timeout"

	// The client disconnected, or the request was rejected.
	resultClientDisconnected  result = "client_disconnected"
	resultShed                result = "rejected_shed"
	resultQueueTooLong        result = "rejected_queue_too_long"
	resultNoStore             result = "rejected_no_store"
	resultDeadlineUnreachable result = "rejected_deadline_unreachable"
	resultDeadlineInQueue     result = "rejected_deadline_in_queue"
	resultShutdown            result = "rejected_shutdown"
	resultDeclined            result = "rejected_by_stores"
	resultNoConfiguration     result = "rejected_no_configuration"
	resultTurnStoresUncertain result = "rejected_turn_stores_uncertain"
	resultUnknownTurn         result = "unknown_turn"
	resultBudgetExhausted     result = "budget_exhausted"
	resultNoRoute             result = "no_route"
	resultBadRequest          result = "bad_request"
)

// failed reports whether the client cannot know whether its request was executed.
func (r result) failed() bool {
	return r == resultAborted || r == resultAbortedByShutdown || r == resultBadGateway || r == resultTimeout
}

// resultOfStatus returns the result of a request that was answered with a store's response.
func resultOfStatus(status int) result {
	switch {
	case status >= http.StatusInternalServerError:
		return resultStoreError
	case status >= http.StatusBadRequest:
		return resultStoreClientError
	}
	return resultServed
}

// resultsOfRejection maps admission's reasons to results, except for requests whose context ended.
var resultsOfRejection = map[admission.RejectReason]result{
	admission.Shed:                resultShed,
	admission.QueueTooLong:        resultQueueTooLong,
	admission.NoStore:             resultNoStore,
	admission.DeadlineUnreachable: resultDeadlineUnreachable,
}

// resultOfRejection returns the result of a request that no store executed and whose client is still connected. A nil
// rejection means that stores declined the request.
func (x *exchange) resultOfRejection(rejection *admission.RejectedError) result {
	if isShutdown(x.r.Context()) {
		return resultShutdown
	}
	if rejection == nil {
		return resultDeclined
	}
	if mapped, ok := resultsOfRejection[rejection.Reason]; ok {
		return mapped
	}
	return resultDeadlineInQueue
}

var panics = metrics.NewCounter("proxy_panics_total", "Requests that ended by a panic in the handler.")

// recordResult counts and logs how the request ended. It must be deferred directly, because it recovers from a panic in
// the handler. A panic ends only its own request; it is logged here with its stack because the log of net/http is
// discarded.
func (x *exchange) recordResult() {
	if cause := recover(); cause != nil {
		if !isAbort(cause) {
			panics.Inc()
			x.proxy.log.Error("panic in request handler", "id", x.id, "panic", fmt.Sprint(cause), "stack", string(debug.Stack()))
		}
		defer panic(http.ErrAbortHandler)
	}
	ended := x.result
	switch {
	case ended != resultAborted:
	case x.clientDisconnected():
		ended = resultClientDisconnected
	case isShutdown(x.r.Context()):
		ended = resultAbortedByShutdown
	}
	results.Inc(string(ended))
	x.recordByPriority(ended)
	switch {
	case ended.failed():
		x.proxy.requestLog.logFailure(x.proxy.log, x.logFields(ended))
	case ended != resultServed && ended != resultClientDisconnected && ended != resultStoreError && ended != resultStoreClientError:
		x.proxy.requestLog.logRejection(x.proxy.log, ended, x.logFields(ended))
	}
}

// isAbort reports whether the handler panicked deliberately to abort the response.
func isAbort(cause any) bool {
	err, ok := cause.(error)
	return ok && errors.Is(err, http.ErrAbortHandler)
}

// logFields returns the key-value pairs that explain in the log why a request was not served.
func (x *exchange) logFields(ended result) []any {
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	cause := ""
	if x.lastErr != nil {
		cause = x.lastErr.Error()
	}
	fields := []any{
		"result", string(ended), "id", x.id, "route", route, "cause", cause, "stores", x.attemptedInstances, "ran", x.executions, "declined", x.declined,
		"events", x.stream.events, "queued_ms", x.queueTime.Milliseconds(), "duration_ms", time.Since(x.arrival).Milliseconds(),
		"generation", x.snapshot.generation(), "epoch", x.snapshot.membership.GetEpoch(),
	}
	if x.proxy.drain.active() { // 0 if the request arrived before the shutdown began
		fields = append(fields, "arrived_draining_ms", x.proxy.drain.since(x.arrival).Milliseconds())
	}
	return fields
}

// acquire asks admission for a store and adds the waiting time to queueTime. One of grant and rejection is nil.
func (x *exchange) acquire(ctx context.Context) (*admission.Grant, *admission.RejectedError) {
	began := time.Now()
	grant, err := x.proxy.dispatcher.Acquire(ctx, x.admissionRequest())
	x.queueTime += time.Since(began)
	var rejection *admission.RejectedError
	if errors.As(err, &rejection) {
		return nil, rejection
	}
	return grant, nil
}

// requestLog limits the rate of log lines about requests. It is safe for concurrent use.
type requestLog struct {
	mu          sync.Mutex
	windowStart time.Time // start of the current failureLogWindow
	lines       int       // failures logged in the current window
	suppressed  int       // failures not logged since the last line
	rejections  map[result]*rejectionCount
}

// rejectionCount counts the rejections for one reason since they were last logged.
type rejectionCount struct {
	count      int
	lastLogged time.Time
}

// logFailure logs a failed request. Failures beyond maxFailureLines per window are only counted, and their number is
// added to the next line.
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

// logRejection logs at most one rejected request for each reason and rejectionLogInterval, with the number of rejections
// since the last line for that reason.
func (l *requestLog) logRejection(log hclog.Logger, reason result, fields []any) {
	l.mu.Lock()
	entry := l.rejections[reason]
	if entry == nil {
		if l.rejections == nil {
			l.rejections = make(map[result]*rejectionCount)
		}
		entry = &rejectionCount{}
		l.rejections[reason] = entry
	}
	entry.count++
	now := time.Now()
	if now.Sub(entry.lastLogged) < rejectionLogInterval {
		l.mu.Unlock()
		return
	}
	count := entry.count
	entry.count, entry.lastLogged = 0, now
	l.mu.Unlock()
	log.Info("requests rejected", append([]any{"count", count}, fields...)...)
}
