package proxy

import (
	"bytes"
	"context"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pulleygw.example/pulleygw/internal/tier/configuration"
	"pulleygw.example/pulleygw/internal/tier/upstream"
)

// Headers of requests, in canonical form.
const (
	headerProgram     = "Program"
	headerBudget      = "Budget"
	headerPrevious    = "Previous"
	headerSession     = "Session"
	headerAffinityKey = "X-Affinity-Key"
	headerTokenUsage  = "X-Token-Usage"
)

// exchange is one request of a client on its way through the proxy.
type exchange struct {
	proxy          *Proxy
	w              http.ResponseWriter
	r              *http.Request
	snapshot       *snapshot
	route          *configuration.Route
	service        *configuration.Service
	id             string
	arrival        time.Time
	deadline       time.Time
	body           *bytes.Buffer // nil where the request has none
	outbound       upstream.Request
	turn           turn
	triedInstances []string // instances that the request was sent to
	executions     int      // sends that may have run
	declined       int      // sends that did not run
	stream         streamState
	control        *http.ResponseController
	result         result        // what became of it
	lastErr        error         // of the last send without use
	queueTime      time.Duration // by admission
}

// ServeHTTP serves one request of a client.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrival := time.Now()
	current := p.snapshots.load()
	id := r.Header.Get(upstream.HeaderRequestID)
	limits := p.limits(current)
	x := &exchange{
		proxy: p, w: w, r: r, snapshot: current, id: id, arrival: arrival, control: http.NewResponseController(w),
		result: resultAborted, // until an answer is told
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
	p.serve(w, r, x)
}

// setWriteDeadline has writes to a client that doesn't read fail soon after its request's time is up.
func (x *exchange) setWriteDeadline(current *snapshot) {
	const slack = 250 * time.Millisecond
	allowed := defaultRequestTimeout
	if route := current.route(x.r); route != nil {
		allowed = requestTimeout(x.r.Header, route.Timeout)
	}
	_ = x.control.SetWriteDeadline(x.arrival.Add(allowed + slack))
}

func (p *Proxy) serve(w http.ResponseWriter, r *http.Request, x *exchange) {
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
		p.respond(w, x.id, http.StatusBadRequest)
		return
	}
	x.route = x.snapshot.route(r)
	if x.route == nil {
		x.result = resultNoRoute
		p.respond(w, x.id, http.StatusNotFound)
		return
	}
	x.service = x.snapshot.configuration.Service(x.pickService())
	if x.service == nil { // no configuration that was checked is like this
		x.result = resultNoConfiguration
		x.respondRetryLater(retryAfterUncertain)
		return
	}
	x.deadline = x.arrival.Add(requestTimeout(r.Header, x.route.Timeout))
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	x.prepareOutbound()
	x.run(ctx)
}

// requestPath is the path of the request target, byte for byte.
func requestPath(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if strings.HasPrefix(path, "/") {
		return path
	}
	return r.URL.EscapedPath()
}

// requestTimeout is how long the request may take: the client's requestTimeout or the route's timeout, whichever is shorter.
func requestTimeout(header http.Header, timeout time.Duration) time.Duration {
	milliseconds, err := strconv.ParseFloat(strings.TrimSpace(header.Get(upstream.HeaderDeadline)), 64)
	if err != nil || !(milliseconds > 0) || milliseconds >= float64(timeout)/float64(time.Millisecond) {
		return timeout
	}
	return time.Duration(milliseconds * float64(time.Millisecond))
}

// pickService draws the service by weight. All requests of a program on one route draw the same.
func (x *exchange) pickService() string {
	backends := x.route.Backends
	if len(backends) == 1 {
		return backends[0].Service
	}
	key := x.r.Header.Get(headerProgram)
	if key == "" || !x.route.SessionAffinity {
		key = x.id
	}
	return pickWeighted(backends, key)
}

func pickWeighted(backends []configuration.Backend, key string) string {
	total := 0.0
	for _, backend := range backends {
		total += backend.Weight
	}
	const resolution = 1 << 20
	point := float64(hashOf(key)%resolution) / resolution * total
	chosen := ""
	for _, backend := range backends {
		if backend.Weight <= 0 {
			continue
		}
		chosen = backend.Service
		if point < backend.Weight {
			break
		}
		point -= backend.Weight
	}
	return chosen
}

// hashOf hashes a key so that all its bits count.
func hashOf(key string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key))
	mixed := hash.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	return mixed
}

// prepareOutbound fills in what is the same for all sends of the request.
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

// idempotent says whether the request may run more than once.
func (x *exchange) idempotent() bool {
	return x.route.Kind == configuration.Idempotent || x.route.Kind == configuration.Streaming && x.route.Resumable
}
