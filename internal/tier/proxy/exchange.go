package proxy

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/ablation"
	"pulleygw.example/pulleygw/internal/tier/admission"
	"pulleygw.example/pulleygw/internal/tier/invariant"
	"pulleygw.example/pulleygw/internal/tier/upstream"
)

// Headers of stores' responses, in canonical form.
const (
	headerNotExecuted = "X-Not-Executed"
	headerSignature   = "X-Response-Signature"
	headerServerLoad  = "X-Server-Load"
	headerVersions    = "Versions"
)

// maxDeclines is how many stores may decline a request before it is rejected.
const maxDeclines = 6

// Reasons why an attempt gave no usable response, besides the errors of package upstream.
var (
	errDeclined        = eris.New("store did not execute the request")
	errInvalidResponse = eris.New("invalid response: unsigned, encoded, or a status of the not-executed guarantee without its header")
)

// attemptOutcome says how the exchange goes on after an attempt.
type attemptOutcome uint8

const (
	attemptAnswered attemptOutcome = iota // the client has its complete answer
	attemptRetry                          // another store may be asked
	attemptAborted                        // part of a response was passed on, and the rest will not follow
)

// run sends the request to one store after another until the client has its answer or no further attempt is allowed.
func (x *exchange) run(ctx context.Context) {
	if !x.beginTurn(ctx) {
		return
	}
	defer x.withdrawReservation()
	for {
		changed := x.proxy.updates.changed()
		grant, rejection := x.acquire(ctx)
		if rejection != nil && rejection.Reason == admission.NoStore && x.awaitStores(ctx, changed) {
			continue
		}
		if rejection != nil {
			x.respondFailure(ctx, rejection)
			return
		}
		switch x.attempt(ctx, grant) {
		case attemptAnswered:
			return
		case attemptAborted:
			x.abort()
		}
		if !x.retryable(ctx) {
			x.respondFailure(ctx, nil)
			return
		}
	}
}

// retryable reports whether the request may be sent to another store. A request that certainly has not been executed
// may; one that may have been executed only if it is idempotent and its route allows a further attempt.
func (x *exchange) retryable(ctx context.Context) bool {
	if x.isDone(ctx) || x.declined > maxDeclines {
		return false
	}
	if x.executions == 0 {
		return true
	}
	if ablation.Disabled(ablation.Retries) {
		return false
	}
	return x.idempotent() && x.executions < max(1, x.route.MaxAttempts)
}

// isDone reports whether the client has disconnected or the request's deadline has passed.
func (x *exchange) isDone(ctx context.Context) bool {
	return ctx.Err() != nil || !time.Now().Before(x.deadline)
}

// attempt sends the request to one store and forwards its response.
func (x *exchange) attempt(ctx context.Context, grant *admission.Grant) attemptOutcome {
	if !x.sendAllowed() {
		grant.Finish(admission.Cancelled)
		x.declined = maxDeclines + 1
		return attemptRetry
	}
	store := grantedStore(grant)
	x.attemptedInstances = append(x.attemptedInstances, store.Instance)
	x.outbound.ReadIdleTimeout = x.attemptTimeout()
	x.outbound.LastAttempt = x.isLastAttempt()
	response, err := x.proxy.pools.Send(ctx, store, x.connectionLimit(), &x.outbound)
	if err != nil {
		x.proxy.mismatches.logFirst(x.proxy.log, store, err)
		x.lastErr = err
		return x.handleSendError(ctx, grant, err)
	}
	reportLoad(grant, response.Header)
	if isNotExecuted(response) {
		x.lastErr = errDeclined
		return x.handleDeclined(grant, response)
	}
	x.executions++
	if !isAcceptable(response) {
		x.lastErr = errInvalidResponse
		response.Abort()
		grant.Finish(admission.ResponseLost)
		return x.retryOrAbort()
	}
	switch {
	case x.stream.headWritten:
		return x.resume(ctx, grant, response)
	case x.isStream(response):
		return x.forwardStream(ctx, grant, response)
	}
	return x.forwardResponse(ctx, grant, response)
}

// isLastAttempt reports whether the request may be sent to no other store after this one.
func (x *exchange) isLastAttempt() bool {
	return !x.idempotent() || x.executions+1 >= x.route.MaxAttempts
}

// sendAllowed checks the invariants that must hold before the request is sent to a store. They always hold unless the
// code above is wrong.
func (x *exchange) sendAllowed() bool {
	sentOnce := invariant.Check(x.executions == 0 || x.idempotent(), invariant.SentOnce, x.executions, 0)
	attempts := max(1, x.route.MaxAttempts)
	withinAttempts := invariant.Check(x.executions < attempts, invariant.SentWithinAttempts, x.executions, attempts)
	reserved := invariant.Check(!x.turn.budgeted || x.turn.reserved, invariant.ReservedBeforeSent, "not reserved", x.turn.maxTokens)
	return sentOnce && withinAttempts && reserved
}

// attemptTimeout is how long a store may send nothing before the request is retried elsewhere. It only applies if a
// further attempt is allowed, and leaves time for it. 0 means that only the request's deadline applies.
func (x *exchange) attemptTimeout() time.Duration {
	const (
		targets         = 6    // multiples of the target latency, or of the target gap between events
		shareOfTimeLeft = 0.45 // of the time to the deadline
	)
	if x.isLastAttempt() {
		return 0
	}
	expected := max(x.route.TargetLatency, x.route.TargetEventGap)
	left := time.Until(x.deadline)
	return max(time.Millisecond, min(targets*expected, time.Duration(shareOfTimeLeft*float64(left))))
}

// connectionLimit is how many connections this proxy may open to one store of the service, or 0 for no limit: all
// callers share the service's maxConnections.
func (x *exchange) connectionLimit() int {
	const share, minimum = 3, 4
	if x.service.MaxConnections == 0 {
		return 0
	}
	return max(minimum, x.service.MaxConnections/share)
}

func (x *exchange) handleSendError(ctx context.Context, grant *admission.Grant, err error) attemptOutcome {
	var failure *upstream.SendError
	started := errors.As(err, &failure) && failure.Sent
	switch {
	case ctx.Err() != nil:
		grant.Finish(admission.Cancelled)
	case !started:
		grant.Finish(admission.ConnectFailed)
	case errors.Is(err, upstream.ErrDeadlineExceeded):
		grant.Finish(admission.Cancelled)
	default:
		grant.Finish(admission.ResponseLost)
	}
	if !started {
		x.declined++
		return attemptRetry
	}
	x.executions++
	return x.retryOrAbort()
}

// retryOrAbort decides what follows a response that did not arrive or was truncated.
func (x *exchange) retryOrAbort() attemptOutcome {
	if x.stream.headWritten && (!x.idempotent() || x.executions >= x.route.MaxAttempts) {
		return attemptAborted
	}
	return attemptRetry
}

// handleDeclined handles the response of a store that did not execute the request.
func (x *exchange) handleDeclined(grant *admission.Grant, response *upstream.Response) attemptOutcome {
	if !response.CloseDelimited {
		discardBody(response)
	}
	response.Finish()
	switch {
	case response.StatusCode == http.StatusServiceUnavailable, response.StatusCode == http.StatusTooManyRequests:
		grant.Finish(admission.Saturated)
	case x.expectsVersion():
		grant.Finish(admission.Cancelled) // the store is healthy: its weights may have another version
	default:
		grant.Finish(admission.NotExecuted)
	}
	x.declined++
	return attemptRetry
}

// expectsVersion reports whether a store declines the request if its model weights have another version.
func (x *exchange) expectsVersion() bool {
	return x.outbound.ExpectVersion != "" || x.r.Header[upstream.HeaderExpectVersion] != nil
}

// isNotExecuted reports whether the store guarantees that it did not execute the request.
func isNotExecuted(response *upstream.Response) bool {
	return response.StatusCode == http.StatusMisdirectedRequest || response.Header[headerNotExecuted] != nil
}

// isAcceptable reports whether a response may be passed on as the store's own. A success must bear the store's
// signature and must not be encoded; a status that carries the not-executed guarantee must have been recognized as
// such before.
func isAcceptable(response *upstream.Response) bool {
	switch response.StatusCode {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return false
	}
	if response.StatusCode >= 300 {
		return true
	}
	encoding := response.Header.Get("Content-Encoding")
	return response.Header[headerSignature] != nil && (encoding == "" || strings.EqualFold(encoding, "identity"))
}

// discardBody reads the short body of a response that is not used, so that its connection can be reused.
func discardBody(response *upstream.Response) {
	var buffer [512]byte
	for range 16 {
		if _, err := response.Read(buffer[:]); err != nil {
			return
		}
	}
}

// respondFailure answers a request that no store will answer.
func (x *exchange) respondFailure(ctx context.Context, rejection *admission.RejectedError) {
	switch {
	case x.stream.headWritten, x.clientDisconnected():
		x.abort()
	case x.executions == 0:
		x.result = x.resultOfRejection(rejection)
		x.respondRetryLater(retryAfter(rejection))
	case x.isDone(ctx):
		x.result = resultTimeout
		x.proxy.respond(x.w, x.id, http.StatusGatewayTimeout)
	default:
		x.result = resultBadGateway
		x.proxy.respond(x.w, x.id, http.StatusBadGateway)
	}
}

// clientDisconnected reports whether the client closed its connection.
func (x *exchange) clientDisconnected() bool {
	ctx := x.r.Context()
	return ctx.Err() != nil && !isShutdown(ctx)
}

// retryAfter is the delay after which a rejected client should retry.
func retryAfter(rejection *admission.RejectedError) time.Duration {
	if rejection == nil {
		return retryAfterNotExecuted
	}
	return rejection.RetryAfter
}
