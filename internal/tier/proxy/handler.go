package proxy

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pulleygw.example/pulleygw/internal/tier/configuration"
	"pulleygw.example/pulleygw/internal/tier/upstream"
)

// Request headers that clients set, in canonical form.
const (
	headerProgram     = "Program"
	headerBudget      = "Budget"
	headerPrevious    = "Previous"
	headerSession     = "Session"
	headerAffinityKey = "X-Affinity-Key"
	headerTokenUsage  = "X-Token-Usage"
)

// exchange holds the state of one client request and of the attempts to serve it.
type exchange struct {
	proxy              *Proxy
	w                  http.ResponseWriter
	r                  *http.Request
	snapshot           *snapshot
	route              *configuration.Route
	service            *configuration.Service
	id                 string
	arrival            time.Time
	deadline           time.Time
	body               *bytes.Buffer    // nil if the request has none
	outbound           upstream.Request // request as sent to stores
	turn               turn
	attemptedInstances []string // instances tried so far, in order
	executions         int      // attempts that may have been executed
	declined           int      // attempts that certainly were not executed
	stream             streamState
	control            *http.ResponseController
	result             result        // for the log and metrics
	lastErr            error         // of the last attempt without a usable response
	queueTime          time.Duration // time spent waiting for admission
}

// ServeHTTP serves one client request: it reads the whole body, finds the route and forwards the request to a store that
// admission chooses. By its deadline every request has been answered or its connection aborted.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrival := time.Now()
	current := p.snapshots.load()
	id := r.Header.Get(upstream.HeaderRequestID)
	limits := p.limits(current)
	x := &exchange{
		proxy: p, w: w, r: r, snapshot: current, id: id, arrival: arrival, control: http.NewResponseController(w),
		result: resultAborted, // until the request is answered
	}
	defer x.recordResult()
	x.setWriteDeadline(current)
	if limits.MaxHeaderBytes > 0 && headerBytes(r) > limits.MaxHeaderBytes {
		x.result = resultBadRequest
		p.respond(w, id, http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	body, err := readBody(w, r, limits, current.bodyReadDeadline(r, limits, arrival))
	if err != nil {
		w.Header()["Connection"] = []string{"close"}
		x.result, x.lastErr = resultBadRequest, err
		p.respond(w, id, statusOfBodyError(err))
		return
	}
	defer putBody(body)
	x.body = body
	x.serve()
}

// setWriteDeadline sets the connection's write deadline to shortly after the request's deadline, so that a client that
// does not read its response cannot hold the request any longer.
func (x *exchange) setWriteDeadline(current *snapshot) {
	const slack = 250 * time.Millisecond
	allowed := defaultRequestTimeout
	if route := current.route(x.r); route != nil {
		allowed = requestTimeout(x.r.Header, route.Timeout)
	}
	_ = x.control.SetWriteDeadline(x.arrival.Add(allowed + slack))
}

// serve finds the route and service of a request whose body was read and runs the request until its deadline.
func (x *exchange) serve() {
	p, r := x.proxy, x.r
	if x.snapshot.configuration == nil {
		x.snapshot = p.awaitConfiguration(r.Context(), requestTimeout(r.Header, defaultRequestTimeout))
		x.setWriteDeadline(x.snapshot)
	}
	if x.snapshot.configuration == nil {
		x.result = resultNoConfiguration
		x.respondRetryLater(retryAfterUnconfigured)
		return
	}
	if x.id == "" {
		x.result = resultBadRequest
		p.respond(x.w, x.id, http.StatusBadRequest)
		return
	}
	x.route = x.snapshot.route(r)
	if x.route == nil {
		x.result = resultNoRoute
		p.respond(x.w, x.id, http.StatusNotFound)
		return
	}
	x.service = x.snapshot.configuration.Service(x.pickService())
	if x.service == nil { // cannot happen: Parse checks that each backend exists
		x.result = resultNoConfiguration
		x.respondRetryLater(retryAfterUncertain)
		return
	}
	x.deadline = x.arrival.Add(requestTimeout(r.Header, x.route.Timeout))
	if !p.drain.admits(x.deadline) {
		x.result = resultShutdown
		x.respondRetryLater(retryAfterShutdown)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	x.prepareOutbound()
	x.run(ctx)
}

// requestPath returns the path of the request target as the client sent it, neither decoded nor cleaned.
func requestPath(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if strings.HasPrefix(path, "/") {
		return path
	}
	return r.URL.EscapedPath()
}

// requestTimeout returns the shorter of the client's X-Deadline-Ms and the route's timeout. An X-Deadline-Ms that is not
// a positive number is ignored.
func requestTimeout(header http.Header, timeout time.Duration) time.Duration {
	milliseconds, err := strconv.ParseFloat(strings.TrimSpace(header.Get(upstream.HeaderDeadline)), 64)
	if err != nil || !(milliseconds > 0) || milliseconds >= float64(timeout)/float64(time.Millisecond) {
		return timeout
	}
	return time.Duration(milliseconds * float64(time.Millisecond))
}

// prepareOutbound sets the fields of the outbound request that are the same for all attempts.
func (x *exchange) prepareOutbound() {
	x.outbound = upstream.Request{
		Service: x.service.Name,
		Method:  x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Header: x.r.Header,
		ID: x.id, Deadline: x.deadline,
	}
	switch x.r.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		x.outbound.HasBody = true
	}
	if x.body != nil {
		x.outbound.Body = [][]byte{x.body.Bytes()}
		x.outbound.HasBody = true
	}
}

// idempotent reports whether the request may be executed more than once.
func (x *exchange) idempotent() bool {
	return x.route.Kind == configuration.Idempotent || x.route.Kind == configuration.Streaming && x.route.Resumable
}
