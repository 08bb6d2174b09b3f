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
	proxy    *Proxy
	w        http.ResponseWriter
	r        *http.Request
	view     *view
	route    *configuration.Route
	service  *configuration.Service
	id       string
	arrival  time.Time
	deadline time.Time
	body     *bytes.Buffer // nil where the request has none
	sending  upstream.Request
	turn     turn
	avoid    []string // instances that the request was sent to
	ran      int      // sends that may have run
	turned   int      // sends that did not run
	stream   streamState
	control  *http.ResponseController
	became   result        // what became of it
	cause    error         // of the last send without use
	held     time.Duration // by admission
}

// ServeHTTP serves one request of a client.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrival := time.Now()
	current := p.views.get()
	id := r.Header.Get(upstream.HeaderRequestID)
	limits := p.limits(current)
	x := &exchange{
		proxy: p, w: w, r: r, view: current, id: id, arrival: arrival, control: http.NewResponseController(w),
		became: resultBrokenOff, // until an answer is told
	}
	defer x.account()
	x.boundWrites(current)
	if limits.MaxHeaderBytes > 0 && headerBytes(r) > limits.MaxHeaderBytes {
		x.became = resultBadRequest
		p.respond(w, id, http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	body, err := readBody(w, r, limits, current.bodyUntil(r, limits, arrival))
	if err != nil {
		w.Header()["Connection"] = []string{"close"}
		x.became, x.cause = resultBadRequest, err
		p.respond(w, id, bodyFailure(err))
		return
	}
	defer putBody(body)
	x.body = body
	p.serve(w, r, x)
}

// boundWrites has writes to a client that doesn't read fail soon after its request's time is up.
func (x *exchange) boundWrites(current *view) {
	const slack = 250 * time.Millisecond
	allowed := startUnnamed
	if route := current.route(x.r); route != nil {
		allowed = patience(x.r.Header, route.Timeout)
	}
	_ = x.control.SetWriteDeadline(x.arrival.Add(allowed + slack))
}

func (p *Proxy) serve(w http.ResponseWriter, r *http.Request, x *exchange) {
	if x.view.configuration == nil {
		x.view = p.awaitConfiguration(r.Context(), patience(r.Header, startUnnamed))
		x.boundWrites(x.view)
	}
	if x.view.configuration == nil {
		x.became = resultNoConfiguration
		x.promiseLater(retryUnconfigured)
		return
	}
	if x.id == "" {
		x.became = resultBadRequest
		p.respond(w, x.id, http.StatusBadRequest)
		return
	}
	x.route = x.view.route(r)
	if x.route == nil {
		x.became = resultNoRoute
		p.respond(w, x.id, http.StatusNotFound)
		return
	}
	x.service = x.view.configuration.Service(x.backend())
	if x.service == nil { // no configuration that was checked is like this
		x.became = resultNoConfiguration
		x.promiseLater(retryUncertain)
		return
	}
	x.deadline = x.arrival.Add(patience(r.Header, x.route.Timeout))
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	x.prepare()
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

// patience is how long the request may take: the client's patience or the route's timeout, whichever is shorter.
func patience(header http.Header, timeout time.Duration) time.Duration {
	milliseconds, err := strconv.ParseFloat(strings.TrimSpace(header.Get(upstream.HeaderDeadline)), 64)
	if err != nil || !(milliseconds > 0) || milliseconds >= float64(timeout)/float64(time.Millisecond) {
		return timeout
	}
	return time.Duration(milliseconds * float64(time.Millisecond))
}

// backend draws the service by weight. All requests of a program on one route draw the same.
func (x *exchange) backend() string {
	backends := x.route.Backends
	if len(backends) == 1 {
		return backends[0].Service
	}
	key := x.r.Header.Get(headerProgram)
	if key == "" || !x.route.SessionAffinity {
		key = x.id
	}
	return draw(backends, key)
}

func draw(backends []configuration.Backend, key string) string {
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

// prepare fills in what is the same for all sends of the request.
func (x *exchange) prepare() {
	x.sending = upstream.Request{
		Service: x.service.Name,
		Method:  x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Header: x.r.Header,
		ID: x.id, Deadline: x.deadline,
	}
	switch x.r.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		x.sending.HasBody = true
	}
	if x.body != nil {
		x.sending.Body = [][]byte{x.body.Bytes()}
		x.sending.HasBody = true
	}
}

// repeatable says whether the request may run more than once.
func (x *exchange) repeatable() bool {
	return x.route.Kind == configuration.Idempotent || x.route.Kind == configuration.Streaming && x.route.Resumable
}
