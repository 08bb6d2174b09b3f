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

// newRecordedExchange is an exchange with a log of its own.
func newRecordedExchange(id string) (*exchange, *bytes.Buffer) {
	log := &bytes.Buffer{}
	p := &Proxy{log: hclog.New(&hclog.LoggerOptions{Output: log})}
	request := httptest.NewRequest(http.MethodGet, "/x/", nil)
	return &exchange{proxy: p, r: request, snapshot: &snapshot{}, id: id, arrival: time.Now(), result: resultAborted}, log
}

// A failed request can be explained afterwards from its line alone.
func TestFailedRequestIsLoggedWithItsCause(t *testing.T) {
	x, log := newRecordedExchange("r-1")
	x.result, x.lastErr, x.executions, x.triedInstances = resultBadGateway, errors.New("connection broke off"), 1, []string{"i-1"}
	before := results.Value(string(resultBadGateway))
	x.recordResult()
	line := log.String()
	for _, part := range []string{"request failed", "id=r-1", `cause="connection broke off"`, "stores=[\"i-1\"]", "ran=1", "held_ms=0", "epoch=0"} {
		assert.Assert(t, strings.Contains(line, part), "%s is missing in %s", part, line)
	}
	assert.Equal(t, results.Value(string(resultBadGateway)), before+1)
}

func TestLinesOfFailedRequestsAreBounded(t *testing.T) {
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

func TestRefusalsAreLoggedOnceASecondByReason(t *testing.T) {
	x, log := newRecordedExchange("r")
	for _, became := range []result{resultOverload, resultOverload, resultNoStore, resultServed, resultClientDisconnected} {
		x.result = became
		x.recordResult()
	}
	assert.Equal(t, strings.Count(log.String(), "requests refused"), 2, "%s", log)
	x.proxy.requestLog.rejections[resultOverload].lastLogged = time.Now().Add(-2 * rejectionLogInterval)
	x.result = resultOverload
	x.recordResult()
	assert.Assert(t, strings.Contains(log.String(), "count=2"), "%s", log)
}

func TestClientThatLeftIsNoFailure(t *testing.T) {
	x, log := newRecordedExchange("r")
	ctx, leave := context.WithCancel(context.Background())
	leave()
	x.r = x.r.WithContext(ctx)
	x.recordResult()
	assert.Equal(t, log.Len(), 0, "%s", log)
}

// A mistake in the code ends its request and no more, and leaves its stack in the log.
func TestMistakeIsLoggedWithItsStack(t *testing.T) {
	x, log := newRecordedExchange("r-9")
	func() {
		defer func() { assert.Equal(t, recover(), any(http.ErrAbortHandler)) }()
		defer x.recordResult()
		var none *admission.Grant
		none.ReportFirstByte()
	}()
	assert.Assert(t, strings.Contains(log.String(), "mistake in the code") && strings.Contains(log.String(), "id=r-9"), "%s", log)
	assert.Assert(t, strings.Contains(log.String(), "result_test.go"), "%s", log)
	assert.Assert(t, panics.Value() > 0)
}
