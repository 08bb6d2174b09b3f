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

// mostTurnedAway is how many stores may decline a request before it is refused.
const mostTurnedAway = 6

// Causes of sends without use, beside the errors of package upstream.
var (
	errDeclined      = eris.New("the store did not run it")
	errNotAcceptable = eris.New("the answer was none of the store's: without its stamp, encoded, or a promise without its header")
)

// verdict says what comes after a send.
type verdict uint8

const (
	answered verdict = iota // the client has its answer
	again                   // another store may be tried
	brokeOff                // part of an answer was passed on, and the rest will not come
)

// run sends the request until there is an answer or none will come.
func (x *exchange) run(ctx context.Context) {
	if !x.beginTurn(ctx) {
		return
	}
	defer x.endTurn()
	for {
		changed := x.proxy.news.next()
		granted, refused := x.acquire(ctx)
		if refused != nil && refused.Reason == admission.NoStore && x.awaitStores(ctx, changed) {
			continue
		}
		if refused != nil {
			x.conclude(ctx, refused)
			return
		}
		switch x.attempt(ctx, granted) {
		case answered:
			return
		case brokeOff:
			x.breakOff()
		}
		if !x.mayTryAgain(ctx) {
			x.conclude(ctx, nil)
			return
		}
	}
}

// mayTryAgain says whether the request may be sent once more.
func (x *exchange) mayTryAgain(ctx context.Context) bool {
	if x.isOver(ctx) || x.turned > mostTurnedAway {
		return false
	}
	if x.ran == 0 {
		return true
	}
	if ablation.Disabled(ablation.Retries) {
		return false
	}
	return x.repeatable() && x.ran < max(1, x.route.MaxAttempts)
}

// isOver says whether the client has left or the request's time is up.
func (x *exchange) isOver(ctx context.Context) bool {
	return ctx.Err() != nil || !time.Now().Before(x.deadline)
}

// attempt sends the request to one store.
func (x *exchange) attempt(ctx context.Context, granted *admission.Grant) verdict {
	if !x.maySend() {
		granted.Finish(admission.Cancelled)
		x.turned = mostTurnedAway + 1
		return again
	}
	store := storeOf(granted)
	x.avoid = append(x.avoid, store.Instance)
	x.sending.ReadIdleTimeout = x.patienceWithStore()
	x.sending.LastAttempt = x.isLastAttempt()
	answer, err := x.proxy.pools.Send(ctx, store, x.connectionLimit(), &x.sending)
	if err != nil {
		x.proxy.strays.note(x.proxy.log, store, err)
		x.cause = err
		return x.sendFailed(ctx, granted, err)
	}
	tellLoad(granted, answer.Header)
	if notExecuted(answer) {
		x.cause = errDeclined
		return x.turnedAway(granted, answer)
	}
	x.ran++
	if !acceptable(answer) {
		x.cause = errNotAcceptable
		answer.Abort()
		granted.Finish(admission.ResponseLost)
		return x.afterBreak()
	}
	switch {
	case x.stream.headSent:
		return x.resume(ctx, granted, answer)
	case x.isStream(answer):
		return x.relayStream(ctx, granted, answer)
	}
	return x.relayPlain(ctx, granted, answer)
}

// isLastAttempt says whether no other store may be sent the request after this one.
func (x *exchange) isLastAttempt() bool {
	return !x.repeatable() || x.ran+1 >= x.route.MaxAttempts
}

// maySend says whether the promises allow that a store is sent the request now. They always do, unless the code above is
// wrong.
func (x *exchange) maySend() bool {
	once := invariant.Check(x.ran == 0 || x.repeatable(), invariant.SentOnce, x.ran, 0)
	attempts := max(1, x.route.MaxAttempts)
	within := invariant.Check(x.ran < attempts, invariant.SentWithinAttempts, x.ran, attempts)
	reserved := invariant.Check(!x.turn.limited || x.turn.reserved, invariant.ReservedBeforeSent, "no claim", x.turn.most)
	return once && within && reserved
}

// patienceWithStore is how long a store may be silent before another one is tried: only a request that may be sent
// again is worth that, and only while there is time for another store. Zero where the deadline alone counts.
func (x *exchange) patienceWithStore() time.Duration {
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

func (x *exchange) sendFailed(ctx context.Context, granted *admission.Grant, err error) verdict {
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
		x.turned++
		return again
	}
	x.ran++
	return x.afterBreak()
}

// afterBreak is the verdict where an answer did not come or broke off.
func (x *exchange) afterBreak() verdict {
	if x.stream.headSent && !(x.repeatable() && x.ran < x.route.MaxAttempts) {
		return brokeOff
	}
	return again
}

// turnedAway takes in that the store did not execute the request.
func (x *exchange) turnedAway(granted *admission.Grant, answer *upstream.Response) verdict {
	if !answer.CloseDelimited {
		drain(answer)
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
	x.turned++
	return again
}

// expectsVersion says whether a store turns the request away where its weights have another version.
func (x *exchange) expectsVersion() bool {
	return x.sending.ExpectVersion != "" || x.r.Header[upstream.HeaderExpectVersion] != nil
}

// notExecuted says whether the store promises that it did not run the request.
func notExecuted(answer *upstream.Response) bool {
	return answer.StatusCode == http.StatusMisdirectedRequest || answer.Header[headerNotExecuted] != nil
}

// acceptable says whether an answer may be passed on as the store's: a success bears its stamp and is not encoded, and
// a status that promises that nothing ran has been dealt with before.
func acceptable(answer *upstream.Response) bool {
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

// drain reads the little that an answer without use has as its body, so that its connection can be kept.
func drain(answer *upstream.Response) {
	var scrap [512]byte
	for range 16 {
		if _, err := answer.Read(scrap[:]); err != nil {
			return
		}
	}
}

// conclude answers a request that no store will answer.
func (x *exchange) conclude(ctx context.Context, refused *admission.RejectedError) {
	switch {
	case x.stream.headSent, x.clientLeft():
		x.breakOff() // or nobody is there any more
	case x.ran == 0:
		x.became = resultOfRefusal(refused)
		x.promiseLater(comeAgain(refused))
	case x.isOver(ctx):
		x.became = resultTimeout
		x.proxy.respond(x.w, x.id, http.StatusGatewayTimeout)
	default:
		x.became = resultBadGateway
		x.proxy.respond(x.w, x.id, http.StatusBadGateway)
	}
}

// clientLeft says whether the client closed its connection.
func (x *exchange) clientLeft() bool {
	ctx := x.r.Context()
	return ctx.Err() != nil && !isEnding(ctx)
}

// comeAgain is when the client is told to come again.
func comeAgain(refused *admission.RejectedError) time.Duration {
	if refused == nil {
		return retryNotExecuted
	}
	return refused.RetryAfter
}
