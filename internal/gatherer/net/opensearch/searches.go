package opensearch

import (
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/gather"
	"pulleygw.example/pulleygw/internal/gatherer/net/http1"
	"pulleygw.example/pulleygw/internal/gatherer/pages"
	"pulleygw.example/pulleygw/internal/gatherer/query"
)

// search parses a search: of an index, or of the point in time in its body.
func (f *Front) search(r *http1.Request, index string, params url.Values) (*clientCall, *apiError) {
	var pin *pages.Pin
	token := ""
	if index == "" {
		token = gjson.GetBytes(r.Body, "pit.id").String()
		if token == "" {
			return nil, illegalArgument("a search of no index wants a [pit]")
		}
		var e *apiError
		if pin, e = f.openToken(token, r.At); e != nil {
			return nil, e
		}
		index = pin.Index
	}
	a, e := f.request(r, index, false, params.Get("timeout"))
	if e != nil {
		return nil, e
	}
	a.pin, a.token = pin, token
	if e := f.parseSearch(a, r.At, params, r.Body); e != nil {
		return nil, e
	}
	return &clientCall{requests: []*clientRequest{a}}, nil
}

// splitLines splits a body of one JSON object per line.
func splitLines(body []byte) (list []string, e *apiError) {
	text := strings.TrimSuffix(string(body), "\n")
	for n, line := range strings.Split(text, "\n") {
		line = strings.TrimSuffix(line, "\r")
		if wrong := query.CheckObject(line); wrong != nil {
			return nil, parsingException("line %d: %s", n+1, (&query.Error{Line: n + 1, Column: wrong.Column, Reason: wrong.Reason}).Error())
		}
		list = append(list, line)
	}
	return list, nil
}

// multiSearch parses independent searches: an invalid, rejected or failed one does not affect the others.
func (f *Front) multiSearch(r *http1.Request, index string, params url.Values) (*clientCall, *apiError) {
	if e := allowOnly(params, "timeout", "max_concurrent_searches", "rest_total_hits_as_int", "typed_keys"); e != nil {
		return nil, e
	}
	for _, p := range []string{"rest_total_hits_as_int", "typed_keys"} {
		if v := params.Get(p); v != "" && v != "false" {
			return nil, illegalArgument("not supported here: [%s]", p)
		}
	}
	list, e := splitLines(r.Body)
	if e != nil {
		return nil, e
	}
	if len(list)%2 != 0 || len(list) > 2*maxSearches {
		return nil, illegalArgument("%d lines, want a header and a body for each of at most %d searches", len(list), maxSearches)
	}
	j := &clientCall{}
	for i := 0; i < len(list); i += 2 {
		a, e := f.innerSearch(r, index, list[i], list[i+1], params)
		if e != nil {
			a = &clientRequest{err: e}
		}
		j.requests = append(j.requests, a)
	}
	started := r.At
	j.join = func(answers []*http1.Response) *http1.Response {
		var b []byte
		b = append(b, `{"responses":[`...)
		for i, p := range answers {
			if i > 0 {
				b = append(b, ',')
			}
			b = append(b, p.Body...)
			if p.Status == 200 { // an error object has its status
				b = append(b[:len(b)-1], `,"status":200}`...)
			}
		}
		return rawResponse(200, fmt.Appendf(b, `],"took":%d}`, time.Since(started).Milliseconds()))
	}
	return j, nil
}

// innerSearch parses one search of several.
func (f *Front) innerSearch(r *http1.Request, index, header, body string, outer url.Values) (*clientRequest, *apiError) {
	inner := url.Values{}
	var e *apiError
	gjson.Parse(header).ForEach(func(k, v gjson.Result) bool {
		switch k.Str {
		case "index":
			if v.IsArray() && len(v.Array()) == 1 {
				v = v.Array()[0]
			}
			if index = v.Str; v.Type != gjson.String {
				e = illegalArgument("[index] is not the name of one index")
			}
		case "preference", "routing", "allow_partial_search_results", "timeout":
			inner.Set(k.Str, v.String())
		case "search_type":
			if v.Str != "query_then_fetch" {
				e = illegalArgument("not supported here: [search_type] of [%.40s]", v.Str)
			}
		case "ignore_unavailable", "allow_no_indices", "expand_wildcards", "request_cache":
		default:
			e = illegalArgument("not supported here: [%.60s] in the header of a search", k.Str)
		}
		return e == nil
	})
	if e != nil {
		return nil, e
	}
	timeout := inner.Get("timeout")
	if timeout == "" {
		timeout = outer.Get("timeout")
	}
	a, e := f.request(r, index, false, timeout)
	if e != nil {
		return nil, e
	}
	return a, f.parseSearch(a, r.At, inner, []byte(body))
}

// requirePlans returns an error unless lot stores speak the API.
func (f *Front) requirePlans(call string) *apiError {
	if f.Plans {
		return nil
	}
	return illegalArgument("not supported here: [%s], as lot stores speak frames", call)
}

// count parses a count of the lots that match.
func (f *Front) count(r *http1.Request, index string, params url.Values) (*clientCall, *apiError) {
	if e := f.requirePlans("_count"); e != nil {
		return nil, e
	}
	a, e := f.request(r, index, false, params.Get("timeout"))
	if e != nil {
		return nil, e
	}
	body := r.Body
	if len(body) == 0 {
		body = []byte("{}")
	}
	if wrong := query.CheckObject(string(body)); wrong != nil {
		return nil, parseError(wrong)
	}
	var other string
	gjson.ParseBytes(body).ForEach(func(k, _ gjson.Result) bool {
		if k.Str != "query" {
			other = k.Str
		}
		return other == ""
	})
	if other != "" {
		return nil, parsingException("not supported here: [%.60s] in the body of a count", other)
	}
	p := url.Values{"size": {"0"}, "track_total_hits": {"true"}}
	for _, name := range []string{"q", "df", "default_operator", "preference", "routing", "terminate_after", "timeout"} {
		if params.Has(name) {
			p.Set(name, params.Get(name))
			params.Del(name)
		}
	}
	if e := allowOnly(params); e != nil {
		return nil, e
	}
	if e := f.parseSearch(a, r.At, p, body); e != nil {
		return nil, e
	}
	a.format = func(res gather.Result, _ time.Duration) *http1.Response {
		counts, _ := a.counts(res)
		return jsonResponse(200, map[string]any{"count": res.Search.Total, "_shards": counts, "coverage": a.coverage(res)})
	}
	return &clientCall{requests: []*clientRequest{a}}, nil
}

// validate reports whether a query is valid, and how it is parsed.
func (f *Front) validate(r *http1.Request, index string, params url.Values) (*clientCall, *apiError) {
	if e := allowOnly(params, "q", "df", "default_operator", "explain", "rewrite"); e != nil {
		return nil, e
	}
	if _, e := f.request(r, index, false, ""); e != nil {
		return nil, e
	}
	explain := params.Get("explain") == "true"
	params.Del("explain")
	params.Del("rewrite")
	body := string(r.Body)
	if body == "" {
		body = "{}"
	}
	answer := map[string]any{"valid": true, "_shards": shardCounts{Total: 1, Successful: 1}}
	w, e := parseBody(body, params, false)
	if e != nil {
		answer["valid"] = false
		if answer["error"] = e.reason; explain {
			answer["explanations"] = []map[string]any{{"index": index, "valid": false, "error": e.reason}}
		}
	} else if explain {
		answer["explanations"] = []map[string]any{{"index": index, "valid": true, "explanation": string(query.JSON(w.query))}}
	}
	return immediate(jsonResponse(200, answer)), nil
}
