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

// Response headers that stores set, in canonical form.
const (
	headerNotExecuted = "X-Not-Executed"
	headerSignature   = "X-Response-Signature"
	headerServerLoad  = "X-Server-Load"
	headerVersions    = "Versions"
)

// maxDeclines is how many times stores may decline a request before it is rejected.
const maxDeclines = 6

// Reasons why an attempt gave no usable response, in addition to the errors of package upstream.
var (
	errDeclined        = eris.New("store did not execute the request")
	errInvalidResponse = eris.New("invalid response: unsigned, content-encoded, or status 408, 429 or 503 without X-Not-Executed")
)

// attemptOutcome tells how to proceed after an attempt.
type attemptOutcome uint8

const (
	attemptAnswered attemptOutcome = iota // the client has received a complete response
	attemptRetry                          // the request may be sent to another store
	attemptAborted                        // part of a response was forwarded and cannot be completed
)

// run sends the request to one store after another until the client has received a response or no further attempt is
// allowed.
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

// retryable reports whether the request may be sent to another store. That is always allowed, up to maxDeclines, while the
// request certainly has not been executed. Afterwards it must be idempotent and its route must allow another attempt.
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

// attempt sends the request to the store of the grant and forwards its response.
func (x *exchange) attempt(ctx context.Context, grant *admission.Grant) attemptOutcome {
	if !x.sendAllowed() {
		grant.Finish(admission.Cancelled)
		x.declined = maxDeclines + 1 // prevents further attempts
		return attemptRetry
	}
	store := grantedStore(grant)
	x.attemptedInstances = append(x.attemptedInstances, store.Instance)
	x.outbound.ReadIdleTimeout = x.attemptTimeout()
	x.outbound.LastAttempt = x.isLastAttempt()
	response, err := x.proxy.transport.Send(ctx, store, x.connectionLimit(), &x.outbound)
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

// isLastAttempt reports whether the request cannot be retried if the next store may have executed it.
func (x *exchange) isLastAttempt() bool {
	return !x.idempotent() || x.executions+1 >= x.route.MaxAttempts
}

// sendAllowed checks the invariants that are required before the request is sent to a store, and reports whether they hold. A
// violation is a bug in this package.
func (x *exchange) sendAllowed() bool {
	sentOnce := invariant.Check(x.executions == 0 || x.idempotent(), invariant.SentOnce, x.executions, 0)
	attempts := max(1, x.route.MaxAttempts)
	withinAttempts := invariant.Check(x.executions < attempts, invariant.SentWithinAttempts, x.executions, attempts)
	reserved := invariant.Check(!x.turn.budgeted || x.turn.reserved, invariant.ReservedBeforeSent, "not reserved", x.turn.maxTokens)
	return sentOnce && withinAttempts && reserved
}

// attemptTimeout returns how long a store may send nothing before the request is retried at another store, or 0 if only
// the request's deadline applies. There is a timeout only if another attempt is allowed, and it leaves time for that
// attempt.
func (x *exchange) attemptTimeout() time.Duration {
	const (
		targetMultiple        = 6    // of the target latency or the target gap between events
		remainingTimeFraction = 0.45 // of the time until the deadline
	)
	if x.isLastAttempt() {
		return 0
	}
	expected := max(x.route.TargetLatency, x.route.TargetEventGap)
	remaining := time.Until(x.deadline)
	return max(time.Millisecond, min(targetMultiple*expected, time.Duration(remainingTimeFraction*float64(remaining))))
}

// connectionLimit returns how many connections this proxy may open to one store of the service, or 0 for no limit. It is
// a fraction of the service's maxConnections, which all callers of a store share.
func (x *exchange) connectionLimit() int {
	const divisor, minimum = 3, 4
	if x.service.MaxConnections == 0 {
		return 0
	}
	return max(minimum, x.service.MaxConnections/divisor)
}

// handleSendError handles an attempt that got no response head. If no part of the request was sent, the store cannot
// have executed it.
func (x *exchange) handleSendError(ctx context.Context, grant *admission.Grant, err error) attemptOutcome {
	var sendError *upstream.SendError
	sent := errors.As(err, &sendError) && sendError.Sent
	switch {
	case ctx.Err() != nil:
		grant.Finish(admission.Cancelled)
	case !sent:
		grant.Finish(admission.ConnectFailed)
	case errors.Is(err, upstream.ErrDeadlineExceeded):
		grant.Finish(admission.Cancelled)
	default:
		grant.Finish(admission.ResponseLost)
	}
	if !sent {
		x.declined++
		return attemptRetry
	}
	x.executions++
	return x.retryOrAbort()
}

// retryOrAbort decides how to proceed after a response that did not arrive, was invalid or was truncated.
func (x *exchange) retryOrAbort() attemptOutcome {
	if x.stream.headWritten && (!x.idempotent() || x.executions >= x.route.MaxAttempts) {
		return attemptAborted
	}
	return attemptRetry
}

// handleDeclined handles a response with which a store guarantees that it did not execute the request.
func (x *exchange) handleDeclined(grant *admission.Grant, response *upstream.Response) attemptOutcome {
	if !response.CloseDelimited {
		discardBody(response)
	}
	response.Finish()
	switch {
	case response.StatusCode == http.StatusServiceUnavailable, response.StatusCode == http.StatusTooManyRequests:
		grant.Finish(admission.Saturated)
	case x.expectsVersion():
		grant.Finish(admission.Cancelled) // not counted against the store: its weights may have another version
	default:
		grant.Finish(admission.NotExecuted)
	}
	x.declined++
	return attemptRetry
}

// expectsVersion reports whether the request requires a version of the model weights; stores with another version
// decline it.
func (x *exchange) expectsVersion() bool {
	return x.outbound.ExpectVersion != "" || x.r.Header[upstream.HeaderExpectVersion] != nil
}

// isNotExecuted reports whether the store guarantees that it did not execute the request.
func isNotExecuted(response *upstream.Response) bool {
	return response.StatusCode == http.StatusMisdirectedRequest || response.Header[headerNotExecuted] != nil
}

// isAcceptable reports whether a response may be forwarded to the client, given that isNotExecuted is false for it. A success
// must be signed by the store and must not have a content encoding. The statuses 408, 429 and 503 would tell the client that
// the request was not executed, which the store does not guarantee here, so they are not forwarded.
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

// discardBody reads and discards a short body so that the connection can be reused. The rest of
// a longer body is left unread.
func discardBody(response *upstream.Response) {
	const maxReads = 16
	var buffer [512]byte
	for range maxReads {
		if _, err := response.Read(buffer[:]); err != nil {
			return
		}
	}
}

// respondFailure ends a request that got no usable response from any store. rejection is nil unless admission rejected
// the request.
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

// clientDisconnected reports whether the request's context ended because the client closed its connection, and not
// because the process shuts down.
func (x *exchange) clientDisconnected() bool {
	ctx := x.r.Context()
	return ctx.Err() != nil && !isShutdown(ctx)
}

// retryAfter returns the delay after which a rejected client should retry. A nil rejection means that stores declined
// the request.
func retryAfter(rejection *admission.RejectedError) time.Duration {
	if rejection == nil {
		return retryAfterNotExecuted
	}
	return rejection.RetryAfter
}
