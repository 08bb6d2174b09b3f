package opensearch

import (
	"fmt"
	"net/url"
	"slices"
	"strings"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/gather"
	"pulleygw.example/pulleygw/internal/gatherer/net/http1"
)

// Bounds of calls, with the defaults of points in time.
const (
	maxSearches      = 100            // searches of one _msearch
	maxItems         = 256            // documents of one _mget or _bulk
	defaultKeepAlive = time.Minute    // lifetime of a point in time where none is given
	maxKeepAlive     = 24 * time.Hour // and its maximum
)

// clientCall is a parsed call: requests of the core, each admitted, rejected and answered by itself, and how their answers
// are joined.
type clientCall struct {
	requests []*clientRequest
	join     func([]*http1.Response) *http1.Response // nil for one request, whose answer is that of the call
}

// immediate is a call that is answered without the core.
func immediate(p *http1.Response) *clientCall {
	return &clientCall{join: func([]*http1.Response) *http1.Response { return p }}
}

// Handle is the front's http1.Handler.
func (f *Front) Handle(r *http1.Request, gone <-chan struct{}) *http1.Response {
	j, e := f.route(r)
	head := r.Method == "HEAD"
	r.Release() // the body is parsed, and the answer may take seconds
	if e != nil {
		return errorResponse(e, nil)
	}
	for _, a := range j.requests {
		if a.err == nil {
			f.Core.Submit(a.core)
		}
	}
	answers := make([]*http1.Response, len(j.requests))
	for i, a := range j.requests {
		if a.err != nil {
			answers[i] = errorResponse(a.err, nil)
			continue
		}
		select {
		case res := <-a.core.Done:
			answers[i] = a.response(res, time.Since(r.At))
		case <-gone:
			for _, a := range j.requests[i:] {
				if a.err == nil {
					f.Core.ClientDisconnected(a.core)
				}
			}
			return nil
		}
	}
	var p *http1.Response
	if j.join != nil {
		p = j.join(answers)
	} else {
		p = answers[0]
	}
	if head {
		p.Body = nil
	}
	return p
}

// response makes the response for a request's final answer.
func (a *clientRequest) response(res gather.Result, took time.Duration) *http1.Response {
	if a.format != nil && res.Kind == gather.Answered {
		return a.format(res, took)
	}
	return a.render(res, took)
}

// unsupported is the error of a call that is not supported.
func unsupported(r *http1.Request) *apiError {
	return illegalArgument("not supported here: %s %.80q; the calls that are stand in docs/api.md", r.Method, r.Path)
}

// route parses a call.
func (f *Front) route(r *http1.Request) (*clientCall, *apiError) {
	params, err := url.ParseQuery(r.Query)
	if err != nil {
		return nil, illegalArgument("the query string is malformed")
	}
	path := strings.Split(strings.Trim(r.Path, "/"), "/")
	for i := range path {
		if path[i], err = url.PathUnescape(path[i]); err != nil {
			return nil, illegalArgument("the path is malformed")
		}
	}
	index := ""
	if len(path) > 0 && !strings.HasPrefix(path[0], "_") && path[0] != "" {
		index, path = path[0], path[1:]
	}
	if len(path) > 0 && (path[0] == "_doc" || path[0] == "_create") {
		if index == "" || len(path) != 2 {
			return nil, unsupported(r)
		}
		return f.routeDocument(r, index, path[0], path[1], params)
	}
	name := strings.Join(path[:min(len(path), 2)], "/")
	if index == "" && (name == "" || name == "_cluster/health") {
		return f.routeCluster(r, name)
	}
	return f.routeSearch(r, index, name, params)
}

// allow checks the method of a call and then parses it.
func allow(r *http1.Request, parse func() (*clientCall, *apiError), methods ...string) (*clientCall, *apiError) {
	if !slices.Contains(methods, r.Method) {
		return nil, &apiError{405, "illegal_argument_exception", fmt.Sprintf("method [%s] is not allowed here", r.Method)}
	}
	return parse()
}

// routeCluster parses a call about the cluster.
func (f *Front) routeCluster(r *http1.Request, name string) (*clientCall, *apiError) {
	if name == "" {
		return allow(r, func() (*clientCall, *apiError) { return immediate(f.info()), nil }, "GET", "HEAD")
	}
	return allow(r, func() (*clientCall, *apiError) { return immediate(f.health()), nil }, "GET")
}

// routeDocument parses a call about one document.
func (f *Front) routeDocument(r *http1.Request, index, name, id string, params url.Values) (*clientCall, *apiError) {
	switch {
	case name == "_doc" && (r.Method == "GET" || r.Method == "HEAD"):
		if e := allowOnly(params, "timeout", "routing", "_source"); e != nil {
			return nil, e
		}
		a, e := f.get(r, index, id, params.Get("routing"), params.Get("_source"), params.Get("timeout"))
		if e != nil {
			return nil, e
		}
		return &clientCall{requests: []*clientRequest{a}}, nil
	case name == "_create", params.Get("op_type") == "create":
		return allow(r, func() (*clientCall, *apiError) { return f.create(r, index, id, params) }, "PUT", "POST")
	}
	return nil, unsupported(r)
}

// routeSearch parses any other call.
func (f *Front) routeSearch(r *http1.Request, index, name string, params url.Values) (*clientCall, *apiError) {
	read := []string{"GET", "POST"}
	switch {
	case name == "_search":
		return allow(r, func() (*clientCall, *apiError) { return f.search(r, index, params) }, read...)
	case name == "_search/point_in_time" && index != "" && r.Method == "POST":
		return f.openPoint(r, index, params)
	case name == "_search/point_in_time" && index == "" && r.Method != "POST":
		return allow(r, func() (*clientCall, *apiError) { return f.closePoints(r) }, "DELETE")
	case name == "_msearch":
		return allow(r, func() (*clientCall, *apiError) { return f.multiSearch(r, index, params) }, read...)
	case index != "" && name == "_count":
		return allow(r, func() (*clientCall, *apiError) { return f.count(r, index, params) }, read...)
	case index != "" && name == "_validate/query":
		return allow(r, func() (*clientCall, *apiError) { return f.validate(r, index, params) }, read...)
	case name == "_mget":
		return allow(r, func() (*clientCall, *apiError) { return f.multiGet(r, index, params) }, read...)
	case name == "_bulk":
		return allow(r, func() (*clientCall, *apiError) { return f.bulk(r, index, params) }, "POST", "PUT")
	}
	return nil, unsupported(r)
}

// request makes a request of the class of an index. Create says whether it is a create or a search.
func (f *Front) request(r *http1.Request, index string, create bool, timeout string) (*clientRequest, *apiError) {
	set := f.Settings.Load()
	class := set.Class((*f.indices.Load())[index])
	if class < 0 {
		return nil, &apiError{404, "index_not_found_exception", fmt.Sprintf("no such index [%.80s]", index)}
	}
	k := set.Policy.Classes[class]
	switch {
	case !create && k.Effect != decision.Idempotent:
		return nil, illegalArgument("index [%s] takes only create", index)
	case create && k.Effect == decision.Idempotent:
		return nil, illegalArgument("index [%s] takes only _search", index)
	}
	wait := k.Deadline
	if timeout != "" {
		var ok bool
		if wait, ok = parseTime(timeout); !ok {
			return nil, illegalArgument("failed to parse setting [timeout] with value [%.40s] as a time value", timeout)
		}
	}
	a := &clientRequest{index: index, search: !create, size: defaultSize, shards: set.Shards}
	a.core = &gather.Request{Name: fmt.Sprintf("%s-%d", f.Name, f.lastNumber.Add(1)), Class: class, Done: make(chan gather.Result, 1),
		Deadline: r.At.Add(wait), Origin: r.Origin("opensearch", index)}
	return a, nil
}
