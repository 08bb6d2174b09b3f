package proxy

import (
	"net/http"
	"strconv"
	"time"

	"pulleygw.example/pulleygw/internal/tier/invariant"
)

// Values of Retry-After by the reason of the rejection.
const (
	retryAfterUnconfigured = 500 * time.Millisecond // no configuration yet
	retryAfterUncertain    = 200 * time.Millisecond // no quorum of turn stores
	retryAfterNotExecuted  = 100 * time.Millisecond // declined by stores
	retryAfterShutdown     = minRetryAfter          // other proxies can serve the request at once
	minRetryAfter          = 10 * time.Millisecond
)

// respond writes a response without a body that comes from the proxy itself, not from a store.
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

// respondNotExecuted responds with a status that guarantees that the request was not executed and never will be.
func (x *exchange) respondNotExecuted(status int) {
	invariant.Check(x.executions == 0, invariant.NotExecutedGuarantee, x.executions, 0)
	x.proxy.respond(x.w, x.id, status)
}

// respondRetryLater responds with a 503 and a Retry-After, which guarantees that the request was not executed and never
// will be.
func (x *exchange) respondRetryLater(after time.Duration) {
	invariant.Check(x.executions == 0, invariant.NotExecutedGuarantee, x.executions, 0)
	x.proxy.respondUnavailable(x.w, x.id, after)
}

// respondUnavailable writes a 503 with a Retry-After in seconds with millisecond precision.
func (p *Proxy) respondUnavailable(w http.ResponseWriter, id string, after time.Duration) {
	seconds := max(after, minRetryAfter).Seconds()
	w.Header()["Retry-After"] = []string{strconv.FormatFloat(seconds, 'f', 3, 64)}
	p.respond(w, id, http.StatusServiceUnavailable)
}

// setConnectionClose adds "Connection: close" to a response while the process drains.
func (p *Proxy) setConnectionClose(header http.Header) {
	if p.drain.active() {
		header["Connection"] = []string{"close"}
	}
}
