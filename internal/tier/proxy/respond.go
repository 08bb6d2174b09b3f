package proxy

import (
	"net/http"
	"strconv"
	"time"

	"pulleygw.example/pulleygw/internal/tier/invariant"
)

// Times told to clients that are to come again.
const (
	retryAfterUnconfigured = 500 * time.Millisecond
	retryAfterUncertain    = 200 * time.Millisecond
	retryAfterNotExecuted  = 100 * time.Millisecond
	minRetryAfter          = 10 * time.Millisecond
)

// respond writes an answer of the proxy's own.
func (p *Proxy) respond(w http.ResponseWriter, id string, status int) {
	header := w.Header()
	if id != "" {
		header["X-Request-Id"] = []string{id}
	}
	header["Content-Type"] = nil
	header["Content-Length"] = []string{"0"}
	p.setConnectionClose(header)
	w.WriteHeader(status)
}

// respondNotExecuted answers that the request has not run and will not.
func (x *exchange) respondNotExecuted(status int) {
	invariant.Check(x.executions == 0, invariant.NotExecutedGuarantee, x.executions, 0)
	x.proxy.respond(x.w, x.id, status)
}

// respondRetryLater is promise, and tells when to come again.
func (x *exchange) respondRetryLater(after time.Duration) {
	invariant.Check(x.executions == 0, invariant.NotExecutedGuarantee, x.executions, 0)
	x.proxy.respondUnavailable(x.w, x.id, after)
}

// respondUnavailable writes a 503 that tells when to come again: the request has not run and will not.
func (p *Proxy) respondUnavailable(w http.ResponseWriter, id string, after time.Duration) {
	seconds := max(after, minRetryAfter).Seconds()
	w.Header()["Retry-After"] = []string{strconv.FormatFloat(seconds, 'f', 3, 64)}
	p.respond(w, id, http.StatusServiceUnavailable)
}

// setConnectionClose asks the client to close its connection while the process shuts down.
func (p *Proxy) setConnectionClose(header http.Header) {
	if p.draining.Load() {
		header["Connection"] = []string{"close"}
	}
}
