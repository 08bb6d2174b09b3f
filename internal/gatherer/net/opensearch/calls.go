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

// Limits of calls that carry several requests.
const (
	innerMost   = 100            // searches of one _msearch
	itemsMost   = 256            // documents of one _mget or _bulk
	keepDefault = time.Minute    // a point in time's life where none is given
	keepMost    = 24 * time.Hour // and the longest
)

// job is what one call comes to: requests of the core, each admitted, refused and answered by itself, and how their
// answers make one.
type job struct {
	asked []*asked
	join  func([]*http1.Response) *http1.Response // nil where there is one request, whose answer it is
}

// at once is a job that is answered here.
func at(p *http1.Response) *job {
	return &job{join: func([]*http1.Response) *http1.Response { return p }}
}

// Handle is the front's http1.Handler.
func (f *Front) Handle(r *http1.Request, gone <-chan struct{}) *http1.Response {
	j, e := f.route(r)
	head := r.Method == "HEAD"
	r.Release() // nothing of the body is needed any more, and the answer may take seconds
	if e != nil {
		return errorResponse(e, nil)
	}
	for _, a := range j.asked {
		if a.wrong == nil {
			f.Core.Submit(a.q)
		}
	}
	answers := make([]*http1.Response, len(j.asked))
	for i, a := range j.asked {
		if a.wrong != nil {
			answers[i] = errorResponse(a.wrong, nil)
			continue
		}
		select {
		case res := <-a.q.Done:
			answers[i] = a.response(res, time.Since(r.At))
		case <-gone:
			for _, a := range j.asked[i:] {
				if a.wrong == nil {
					f.Core.ClientGone(a.q)
				}
			}
			return nil
		}
	}
	p := (*http1.Response)(nil)
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

// response formats a request's final answer.
func (a *asked) response(res gather.Result, took time.Duration) *http1.Response {
	if a.format != nil && res.Kind == gather.Answered {
		return a.format(res, took)
	}
	return a.render(res, took)
}

// unsupported names what is not, and what is.
func unsupported(r *http1.Request) *apiError {
	return illegal("not supported here: %s %.80q; the calls that are stand in docs/api.md", r.Method, r.Path)
}

// route finds what a call is.
func (f *Front) route(r *http1.Request) (*job, *apiError) {
	params, err := url.ParseQuery(r.Query)
	if err != nil {
		return nil, illegal("the query string is malformed")
	}
	path := strings.Split(strings.Trim(r.Path, "/"), "/")
	for i := range path {
		if path[i], err = url.PathUnescape(path[i]); err != nil {
			return nil, illegal("the path is malformed")
		}
	}
	methods := func(ok ...string) *apiError {
		if !slices.Contains(ok, r.Method) {
			return &apiError{405, "illegal_argument_exception", fmt.Sprintf("method [%s] is not allowed here", r.Method)}
		}
		return nil
	}
	index := ""
	if len(path) > 0 && !strings.HasPrefix(path[0], "_") && path[0] != "" {
		index, path = path[0], path[1:]
	}
	call := strings.Join(path[:min(len(path), 2)], "/")
	if len(path) > 0 && (path[0] == "_doc" || path[0] == "_create") {
		if call = path[0]; index == "" || len(path) != 2 {
			return nil, unsupported(r)
		}
	}
	var j *job
	var e *apiError
	switch {
	case index == "" && call == "":
		if e = methods("GET", "HEAD"); e == nil {
			j = at(f.info())
		}
	case index == "" && call == "_cluster/health":
		if e = methods("GET"); e == nil {
			j = at(f.health())
		}
	case call == "_search":
		if e = methods("GET", "POST"); e == nil {
			j, e = f.search(r, index, params)
		}
	case call == "_search/point_in_time" && (index != "") == (r.Method == "POST"):
		if e = methods("POST", "DELETE"); e == nil && index != "" {
			j, e = f.openPoint(r, index, params)
		} else if e == nil {
			j, e = f.closePoints(r)
		}
	case call == "_msearch":
		if e = methods("GET", "POST"); e == nil {
			j, e = f.multiSearch(r, index, params)
		}
	case index != "" && call == "_count":
		if e = methods("GET", "POST"); e == nil {
			j, e = f.count(r, index, params)
		}
	case index != "" && call == "_validate/query":
		if e = methods("GET", "POST"); e == nil {
			j, e = f.validate(r, index, params)
		}
	case call == "_mget":
		if e = methods("GET", "POST"); e == nil {
			j, e = f.multiGet(r, index, params)
		}
	case call == "_bulk":
		if e = methods("POST", "PUT"); e == nil {
			j, e = f.bulk(r, index, params)
		}
	case call == "_doc" && (r.Method == "GET" || r.Method == "HEAD"):
		var a *asked
		if e = only(params, "timeout", "routing", "_source"); e == nil {
			if a, e = f.get(r, index, path[1], params.Get("routing"), params.Get("_source"), params.Get("timeout")); e == nil {
				j = &job{asked: []*asked{a}}
			}
		}
	case call == "_create", call == "_doc" && params.Get("op_type") == "create":
		if e = methods("PUT", "POST"); e == nil {
			j, e = f.create(r, index, path[1], params)
		}
	default:
		e = unsupported(r)
	}
	return j, e
}

// request makes a request of an index's class. keyed says whether it is a create.
func (f *Front) request(r *http1.Request, index string, keyed bool, timeout string) (*asked, *apiError) {
	set := f.Settings.Load()
	class := set.Class((*f.indices.Load())[index])
	if class < 0 {
		return nil, &apiError{404, "index_not_found_exception", fmt.Sprintf("no such index [%.80s]", index)}
	}
	k := set.Policy.Classes[class]
	switch {
	case !keyed && k.Effect != decision.Idempotent:
		return nil, illegal("index [%s] takes only create", index)
	case keyed && k.Effect == decision.Idempotent:
		return nil, illegal("index [%s] takes only _search", index)
	}
	wait := k.Deadline
	if timeout != "" {
		ok := false
		if wait, ok = parseTime(timeout); !ok {
			return nil, illegal("failed to parse setting [timeout] with value [%.40s] as a time value", timeout)
		}
	}
	a := &asked{index: index, search: !keyed, size: sizeUsed, shards: set.Shards}
	a.q = &gather.Request{Name: fmt.Sprintf("%s-%d", f.Name, f.number.Add(1)), Class: class, Done: make(chan gather.Result, 1),
		Deadline: r.At.Add(wait), Origin: r.Origin("opensearch", index)}
	return a, nil
}
