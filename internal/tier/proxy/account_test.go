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

// described is an exchange with a log of its own.
func described(id string) (*exchange, *bytes.Buffer) {
	log := &bytes.Buffer{}
	p := &Proxy{log: hclog.New(&hclog.LoggerOptions{Output: log})}
	request := httptest.NewRequest(http.MethodGet, "/x/", nil)
	return &exchange{proxy: p, r: request, view: &view{}, id: id, arrival: time.Now(), became: resultBrokenOff}, log
}

// A failed request can be explained afterwards from its line alone.
func TestFailedRequestIsLoggedWithItsCause(t *testing.T) {
	x, log := described("r-1")
	x.became, x.cause, x.ran, x.avoid = resultBadGateway, errors.New("connection broke off"), 1, []string{"i-1"}
	before := results.Value(string(resultBadGateway))
	x.account()
	line := log.String()
	for _, part := range []string{"request failed", "id=r-1", `cause="connection broke off"`, "stores=[\"i-1\"]", "ran=1", "held_ms=0", "epoch=0"} {
		assert.Assert(t, strings.Contains(line, part), "%s is missing in %s", part, line)
	}
	assert.Equal(t, results.Value(string(resultBadGateway)), before+1)
}

func TestLinesOfFailedRequestsAreBounded(t *testing.T) {
	x, log := described("r")
	x.became = resultTimeout
	for range 5 * failureLines {
		x.account()
	}
	assert.Equal(t, strings.Count(log.String(), "request failed"), failureLines)
	x.proxy.requests.from = time.Now().Add(-2 * failureSpan)
	x.account()
	assert.Assert(t, strings.Contains(log.String(), "suppressed=40"), "%s", log)
}

func TestRefusalsAreLoggedOnceASecondByReason(t *testing.T) {
	x, log := described("r")
	for _, became := range []result{resultOverload, resultOverload, resultNoStore, resultServed, resultClientLeft} {
		x.became = became
		x.account()
	}
	assert.Equal(t, strings.Count(log.String(), "requests refused"), 2, "%s", log)
	x.proxy.requests.refused[resultOverload].at = time.Now().Add(-2 * refusalLogSpan)
	x.became = resultOverload
	x.account()
	assert.Assert(t, strings.Contains(log.String(), "count=2"), "%s", log)
}

func TestClientThatLeftIsNoFailure(t *testing.T) {
	x, log := described("r")
	ctx, leave := context.WithCancel(context.Background())
	leave()
	x.r = x.r.WithContext(ctx)
	x.account()
	assert.Equal(t, log.Len(), 0, "%s", log)
}

// A mistake in the code ends its request and no more, and leaves its stack in the log.
func TestMistakeIsLoggedWithItsStack(t *testing.T) {
	x, log := described("r-9")
	func() {
		defer func() { assert.Equal(t, recover(), any(http.ErrAbortHandler)) }()
		defer x.account()
		var none *admission.Grant
		none.ReportFirstByte()
	}()
	assert.Assert(t, strings.Contains(log.String(), "mistake in the code") && strings.Contains(log.String(), "id=r-9"), "%s", log)
	assert.Assert(t, strings.Contains(log.String(), "account_test.go"), "%s", log)
	assert.Assert(t, panics.Value() > 0)
}
