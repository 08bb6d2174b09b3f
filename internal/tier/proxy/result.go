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

// Limits of the log: a line costs processor time, and a fault makes many requests fail at once.
const (
	maxFailureLines      = 10 // failed requests logged within failureLogWindow
	failureLogWindow     = time.Second
	rejectionLogInterval = time.Second // between two lines about one reason
)

var results = metrics.NewCounterVec("proxy_results_total", "Requests of clients by result.", "result")

// result says how a request ended. It is the label of proxy_results_total and a field of log lines.
type result string

// The results. The first three are a store's own response.
const (
	resultServed           result = "served"
	resultStoreError       result = "store_error"
	resultStoreClientError result = "store_client_error"

	resultAborted    result = "aborted"
	resultBadGateway result = "bad_gateway"
	resultTimeout    result = "timeout"

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
	resultBudgetSpent         result = "budget_exhausted"
	resultNoRoute             result = "no_route"
	resultBadRequest          result = "bad_request"
)

// failed reports whether a result was possibly lost: the client cannot know whether its request was executed.
func (r result) failed() bool {
	return r == resultAborted || r == resultBadGateway || r == resultTimeout
}

// resultOfStatus is the result of a request that got a store's response.
func resultOfStatus(status int) result {
	switch {
	case status >= http.StatusInternalServerError:
		return resultStoreError
	case status >= http.StatusBadRequest:
		return resultStoreClientError
	}
	return resultServed
}

// resultsOfRejection are the results of requests that admission rejected, but for those whose context ended.
var resultsOfRejection = map[admission.RejectReason]result{
	admission.Shed:                resultShed,
	admission.QueueTooLong:        resultQueueTooLong,
	admission.NoStore:             resultNoStore,
	admission.DeadlineUnreachable: resultDeadlineUnreachable,
}

// resultOfRejection is the result of a request that no store executed, and whose client still waits. A nil rejection
// means that stores declined it.
func (x *exchange) resultOfRejection(rejection *admission.RejectedError) result {
	if isShutdown(x.r.Context()) {
		return resultShutdown
	}
	if rejection == nil {
		return resultDeclined
	}
	if became, known := resultsOfRejection[rejection.Reason]; known {
		return became
	}
	return resultDeadlineInQueue
}

var panics = metrics.NewCounter("proxy_panics_total", "Requests that ended by a panic in the handler.")

// recordResult counts and logs how the request ended. A panic in the handler ends this request only; it is logged with
// its stack here because net/http's own log is discarded.
func (x *exchange) recordResult() {
	if cause := recover(); cause != nil {
		if !isAbort(cause) {
			panics.Inc()
			x.proxy.log.Error("panic in request handler", "id", x.id, "panic", fmt.Sprint(cause), "stack", string(debug.Stack()))
		}
		defer panic(http.ErrAbortHandler)
	}
	ended := x.result
	if ended == resultAborted && x.clientDisconnected() {
		ended = resultClientDisconnected
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

// isAbort reports whether a handler panicked on purpose, to end the connection.
func isAbort(cause any) bool {
	err, ok := cause.(error)
	return ok && errors.Is(err, http.ErrAbortHandler)
}

// logFields are the fields by which a request that was not served can be explained.
func (x *exchange) logFields(ended result) []any {
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	cause := ""
	if x.lastErr != nil {
		cause = x.lastErr.Error()
	}
	return []any{
		"result", string(ended), "id", x.id, "route", route, "cause", cause, "stores", x.attemptedInstances, "ran", x.executions, "declined", x.declined,
		"events", x.stream.events, "queued_ms", x.queueTime.Milliseconds(), "duration_ms", time.Since(x.arrival).Milliseconds(),
		"generation", x.snapshot.generation(), "epoch", x.snapshot.membership.GetEpoch(),
	}
}

// acquire asks admission for a store and records the time spent waiting. One of grant and rejection is nil.
func (x *exchange) acquire(ctx context.Context) (*admission.Grant, *admission.RejectedError) {
	began := time.Now()
	grant, err := x.proxy.admit.Acquire(ctx, x.admissionRequest())
	x.queueTime += time.Since(began)
	var rejection *admission.RejectedError
	if errors.As(err, &rejection) {
		return nil, rejection
	}
	return grant, nil
}

// requestLog limits the rate of log lines about requests.
type requestLog struct {
	mu          sync.Mutex
	windowStart time.Time // start of the window in which lines are counted
	lines       int
	suppressed  int
	rejections  map[result]*rejectionCount
}

// rejectionCount counts rejections for one reason since the last log line about it.
type rejectionCount struct {
	count      int
	lastLogged time.Time
}

// logFailure logs a failed request. Beyond maxFailureLines in a window failures are counted only, and the count is
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

// logRejection logs one rejected request for each reason and interval, with the number of rejections since the last
// line.
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
	log.Info("requests rejected", append([]any{"count", count}, fields...)...)
}
