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

// Headers of stores' answers, in canonical form.
const (
	headerNotExecuted = "X-Not-Executed"
	headerSignature   = "X-Response-Signature"
	headerServerLoad  = "X-Server-Load"
	headerVersions    = "Versions"
)

// maxDeclines is how many stores may decline a request before it is refused.
const maxDeclines = 6

// Causes of sends without use, beside the errors of package upstream.
var (
	errDeclined        = eris.New("the store did not run it")
	errInvalidResponse = eris.New("the answer was none of the store's: without its stamp, encoded, or a promise without its header")
)

// attemptOutcome says what comes after a send.
type attemptOutcome uint8

const (
	attemptAnswered attemptOutcome = iota // the client has its answer
	attemptRetry                          // another store may be tried
	attemptAborted                        // part of an answer was passed on, and the rest will not come
)

// run sends the request until there is an answer or none will come.
func (x *exchange) run(ctx context.Context) {
	if !x.beginTurn(ctx) {
		return
	}
	defer x.withdrawReservation()
	for {
		changed := x.proxy.updates.changed()
		granted, refused := x.acquire(ctx)
		if refused != nil && refused.Reason == admission.NoStore && x.awaitStores(ctx, changed) {
			continue
		}
		if refused != nil {
			x.respondFailure(ctx, refused)
			return
		}
		switch x.attempt(ctx, granted) {
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

// retryable says whether the request may be sent once more.
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

// isDone says whether the client has left or the request's time is up.
func (x *exchange) isDone(ctx context.Context) bool {
	return ctx.Err() != nil || !time.Now().Before(x.deadline)
}

// attempt sends the request to one store.
func (x *exchange) attempt(ctx context.Context, granted *admission.Grant) attemptOutcome {
	if !x.sendAllowed() {
		granted.Finish(admission.Cancelled)
		x.declined = maxDeclines + 1
		return attemptRetry
	}
	store := grantedStore(granted)
	x.triedInstances = append(x.triedInstances, store.Instance)
	x.outbound.ReadIdleTimeout = x.attemptTimeout()
	x.outbound.LastAttempt = x.isLastAttempt()
	answer, err := x.proxy.pools.Send(ctx, store, x.connectionLimit(), &x.outbound)
	if err != nil {
		x.proxy.mismatches.logFirst(x.proxy.log, store, err)
		x.lastErr = err
		return x.handleSendError(ctx, granted, err)
	}
	reportLoad(granted, answer.Header)
	if isNotExecuted(answer) {
		x.lastErr = errDeclined
		return x.handleDeclined(granted, answer)
	}
	x.executions++
	if !isAcceptable(answer) {
		x.lastErr = errInvalidResponse
		answer.Abort()
		granted.Finish(admission.ResponseLost)
		return x.retryOrAbort()
	}
	switch {
	case x.stream.headWritten:
		return x.resume(ctx, granted, answer)
	case x.isStream(answer):
		return x.forwardStream(ctx, granted, answer)
	}
	return x.forwardResponse(ctx, granted, answer)
}

// isLastAttempt says whether no other store may be sent the request after this one.
func (x *exchange) isLastAttempt() bool {
	return !x.idempotent() || x.executions+1 >= x.route.MaxAttempts
}

// sendAllowed says whether the promises allow that a store is sent the request now. They always do, unless the code above is
// wrong.
func (x *exchange) sendAllowed() bool {
	once := invariant.Check(x.executions == 0 || x.idempotent(), invariant.SentOnce, x.executions, 0)
	attempts := max(1, x.route.MaxAttempts)
	within := invariant.Check(x.executions < attempts, invariant.SentWithinAttempts, x.executions, attempts)
	reserved := invariant.Check(!x.turn.budgeted || x.turn.reserved, invariant.ReservedBeforeSent, "no claim", x.turn.maxTokens)
	return once && within && reserved
}

// attemptTimeout is how long a store may be silent before another one is tried: only a request that may be sent
// again is worth that, and only while there is time for another store. Zero where the deadline alone counts.
func (x *exchange) attemptTimeout() time.Duration {
	const (
		aims      = 6    // times the aim, or the pause between events that is still in time
		leastLeft = 0.45 // of the time that is left
	)
	if x.isLastAttempt() {
		return 0
	}
	usual := max(x.route.TargetLatency, x.route.TargetEventGap)
	left := time.Until(x.deadline)
	return max(time.Millisecond, min(aims*usual, time.Duration(leastLeft*float64(left))))
}

// connectionLimit is how many connections this proxy may open to one store of the service: all callers share its limit.
func (x *exchange) connectionLimit() int {
	const share, fewest = 3, 4
	if x.service.MaxConnections == 0 {
		return 0
	}
	return max(fewest, x.service.MaxConnections/share)
}

func (x *exchange) handleSendError(ctx context.Context, granted *admission.Grant, err error) attemptOutcome {
	var failure *upstream.SendError
	started := errors.As(err, &failure) && failure.Sent
	switch {
	case ctx.Err() != nil:
		granted.Finish(admission.Cancelled)
	case !started:
		granted.Finish(admission.ConnectFailed)
	case errors.Is(err, upstream.ErrDeadlineExceeded):
		granted.Finish(admission.Cancelled)
	default:
		granted.Finish(admission.ResponseLost)
	}
	if !started {
		x.declined++
		return attemptRetry
	}
	x.executions++
	return x.retryOrAbort()
}

// retryOrAbort is the verdict where an answer did not come or broke off.
func (x *exchange) retryOrAbort() attemptOutcome {
	if x.stream.headWritten && !(x.idempotent() && x.executions < x.route.MaxAttempts) {
		return attemptAborted
	}
	return attemptRetry
}

// handleDeclined takes in that the store did not execute the request.
func (x *exchange) handleDeclined(granted *admission.Grant, answer *upstream.Response) attemptOutcome {
	if !answer.CloseDelimited {
		discardBody(answer)
	}
	answer.Finish()
	switch {
	case answer.StatusCode == http.StatusServiceUnavailable, answer.StatusCode == http.StatusTooManyRequests:
		granted.Finish(admission.Saturated)
	case x.expectsVersion():
		granted.Finish(admission.Cancelled) // the store is well: its weights may be others
	default:
		granted.Finish(admission.NotExecuted)
	}
	x.declined++
	return attemptRetry
}

// expectsVersion says whether a store turns the request away where its weights have another version.
func (x *exchange) expectsVersion() bool {
	return x.outbound.ExpectVersion != "" || x.r.Header[upstream.HeaderExpectVersion] != nil
}

// isNotExecuted says whether the store promises that it did not run the request.
func isNotExecuted(answer *upstream.Response) bool {
	return answer.StatusCode == http.StatusMisdirectedRequest || answer.Header[headerNotExecuted] != nil
}

// isAcceptable says whether an answer may be passed on as the store's: a success bears its stamp and is not encoded, and
// a status that promises that nothing ran has been dealt with before.
func isAcceptable(answer *upstream.Response) bool {
	switch answer.StatusCode {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return false
	}
	if answer.StatusCode >= 300 {
		return true
	}
	encoding := answer.Header.Get("Content-Encoding")
	return answer.Header[headerSignature] != nil && (encoding == "" || strings.EqualFold(encoding, "identity"))
}

// discardBody reads the little that an answer without use has as its body, so that its connection can be kept.
func discardBody(answer *upstream.Response) {
	var scrap [512]byte
	for range 16 {
		if _, err := answer.Read(scrap[:]); err != nil {
			return
		}
	}
}

// respondFailure answers a request that no store will answer.
func (x *exchange) respondFailure(ctx context.Context, refused *admission.RejectedError) {
	switch {
	case x.stream.headWritten, x.clientDisconnected():
		x.abort() // or nobody is there any more
	case x.executions == 0:
		x.result = resultOfRejection(refused)
		x.respondRetryLater(retryAfter(refused))
	case x.isDone(ctx):
		x.result = resultTimeout
		x.proxy.respond(x.w, x.id, http.StatusGatewayTimeout)
	default:
		x.result = resultBadGateway
		x.proxy.respond(x.w, x.id, http.StatusBadGateway)
	}
}

// clientDisconnected says whether the client closed its connection.
func (x *exchange) clientDisconnected() bool {
	ctx := x.r.Context()
	return ctx.Err() != nil && !isShutdown(ctx)
}

// retryAfter is when the client is told to come again.
func retryAfter(refused *admission.RejectedError) time.Duration {
	if refused == nil {
		return retryAfterNotExecuted
	}
	return refused.RetryAfter
}
