package proxy

import (
	"net/http"
	"strconv"
	"time"

	"pulleygw.example/pulleygw/internal/tier/invariant"
)

// Times told to clients that are to come again.
const (
	retryUnconfigured = 500 * time.Millisecond
	retryUncertain    = 200 * time.Millisecond
	retryNotExecuted  = 100 * time.Millisecond
	shortestRetry     = 10 * time.Millisecond
)

// respond writes an answer of the proxy's own.
func (p *Proxy) respond(w http.ResponseWriter, id string, status int) {
	header := w.Header()
	if id != "" {
		header["X-Request-Id"] = []string{id}
	}
	header["Content-Type"] = nil
	header["Content-Length"] = []string{"0"}
	p.markClosing(header)
	w.WriteHeader(status)
}

// promise answers that the request has not run and will not.
func (x *exchange) promise(status int) {
	invariant.Check(x.ran == 0, invariant.NotExecutedGuarantee, x.ran, 0)
	x.proxy.respond(x.w, x.id, status)
}

// promiseLater is promise, and tells when to come again.
func (x *exchange) promiseLater(after time.Duration) {
	invariant.Check(x.ran == 0, invariant.NotExecutedGuarantee, x.ran, 0)
	x.proxy.respondLater(x.w, x.id, after)
}

// respondLater writes a 503 that tells when to come again: the request has not run and will not.
func (p *Proxy) respondLater(w http.ResponseWriter, id string, after time.Duration) {
	seconds := max(after, shortestRetry).Seconds()
	w.Header()["Retry-After"] = []string{strconv.FormatFloat(seconds, 'f', 3, 64)}
	p.respond(w, id, http.StatusServiceUnavailable)
}

// markClosing asks the client to close its connection while the process shuts down.
func (p *Proxy) markClosing(header http.Header) {
	if p.draining.Load() {
		header["Connection"] = []string{"close"}
	}
}
