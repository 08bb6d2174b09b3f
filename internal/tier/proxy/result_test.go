package proxy

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/admission"
)

// newRecordedExchange returns an exchange that can be recorded, and its log.
func newRecordedExchange(id string) (*exchange, *bytes.Buffer) {
	log := &bytes.Buffer{}
	p := &Proxy{log: hclog.New(&hclog.LoggerOptions{Output: log})}
	request := httptest.NewRequest(http.MethodGet, "/x/", nil)
	return &exchange{proxy: p, r: request, snapshot: &snapshot{}, id: id, arrival: time.Now(), result: resultAborted}, log
}

// The log line of a failed request names the cause and the stores.
func TestFailedRequestIsLoggedWithItsCause(t *testing.T) {
	x, log := newRecordedExchange("r-1")
	x.result, x.lastErr, x.executions, x.attemptedInstances = resultBadGateway, errors.New("connection reset"), 1, []string{"i-1"}
	before := results.Value(string(resultBadGateway))
	x.recordResult()
	line := log.String()
	for _, part := range []string{"request failed", "id=r-1", `cause="connection reset"`, "stores=[\"i-1\"]", "ran=1", "queued_ms=0", "epoch=0"} {
		assert.Assert(t, strings.Contains(line, part), "%s is missing in %s", part, line)
	}
	assert.Equal(t, results.Value(string(resultBadGateway)), before+1)
}

func TestFailedRequestLogIsRateLimited(t *testing.T) {
	x, log := newRecordedExchange("r")
	x.result = resultTimeout
	for range 5 * maxFailureLines {
		x.recordResult()
	}
	assert.Equal(t, strings.Count(log.String(), "request failed"), maxFailureLines)
	x.proxy.requestLog.windowStart = time.Now().Add(-2 * failureLogWindow)
	x.recordResult()
	assert.Assert(t, strings.Contains(log.String(), "suppressed=40"), "%s", log)
}

func TestRejectionsAreLoggedOncePerReasonAndInterval(t *testing.T) {
	x, log := newRecordedExchange("r")
	for _, ended := range []result{resultShed, resultShed, resultNoStore, resultServed, resultClientDisconnected} {
		x.result = ended
		x.recordResult()
	}
	assert.Equal(t, strings.Count(log.String(), "requests rejected"), 2, "%s", log)
	x.proxy.requestLog.rejections[resultShed].lastLogged = time.Now().Add(-2 * rejectionLogInterval)
	x.result = resultShed
	x.recordResult()
	assert.Assert(t, strings.Contains(log.String(), "count=2"), "%s", log)
}

func TestClientDisconnectIsNotLoggedAsFailure(t *testing.T) {
	x, log := newRecordedExchange("r")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	x.r = x.r.WithContext(ctx)
	x.recordResult()
	assert.Equal(t, log.Len(), 0, "%s", log)
}

// The result of a rejected request tells the reason, also if its context ended because of its deadline or the shutdown.
func TestRejectionResultFollowsItsReason(t *testing.T) {
	shutdown, cancel := context.WithCancelCause(context.Background())
	cancel(errShutdown)
	for _, test := range []struct {
		ctx       context.Context
		rejection *admission.RejectedError
		expected  result
	}{
		{t.Context(), nil, resultDeclined},
		{t.Context(), &admission.RejectedError{Reason: admission.Shed}, resultShed},
		{t.Context(), &admission.RejectedError{Reason: admission.QueueTooLong}, resultQueueTooLong},
		{t.Context(), &admission.RejectedError{Reason: admission.NoStore}, resultNoStore},
		{t.Context(), &admission.RejectedError{Reason: admission.DeadlineUnreachable}, resultDeadlineUnreachable},
		{t.Context(), &admission.RejectedError{Reason: admission.ContextEnded}, resultDeadlineInQueue},
		{shutdown, &admission.RejectedError{Reason: admission.ContextEnded}, resultShutdown},
		{shutdown, nil, resultShutdown},
	} {
		x, log := newRecordedExchange("r")
		x.r = x.r.WithContext(test.ctx)
		x.result = x.resultOfRejection(test.rejection)
		assert.Equal(t, x.result, test.expected)
		x.recordResult()
		assert.Assert(t, strings.Contains(log.String(), "requests rejected: count=1 result="+string(test.expected)), "%s", log)
	}
}

// A panic in the handler aborts only its own request and is logged with its stack.
func TestPanicIsLoggedWithItsStack(t *testing.T) {
	x, log := newRecordedExchange("r-9")
	func() {
		defer func() { assert.Equal(t, recover(), any(http.ErrAbortHandler)) }()
		defer x.recordResult()
		var none *admission.Grant
		none.ReportFirstByte()
	}()
	assert.Assert(t, strings.Contains(log.String(), "panic in request handler") && strings.Contains(log.String(), "id=r-9"), "%s", log)
	assert.Assert(t, strings.Contains(log.String(), "result_test.go"), "%s", log)
	assert.Assert(t, panics.Value() > 0)
}
