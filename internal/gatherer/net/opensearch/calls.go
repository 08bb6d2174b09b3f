package opensearch

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/gather"
	"pulleygw.example/pulleygw/internal/gatherer/mix"
	"pulleygw.example/pulleygw/internal/gatherer/net/http1"
	"pulleygw.example/pulleygw/internal/gatherer/pages"
	"pulleygw.example/pulleygw/internal/gatherer/query"
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
			answers[i] = a.word(res, time.Since(r.At))
		case <-gone:
			for _, a := range j.asked[i:] {
				if a.wrong == nil {
					f.Core.Leave(a.q)
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

// word words a request's final answer.
func (a *asked) word(res gather.Result, took time.Duration) *http1.Response {
	if a.wording != nil && res.Kind == gather.Answered {
		return a.wording(res, took)
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
	case !keyed && k.Effect != mix.Safe:
		return nil, illegal("index [%s] takes only create", index)
	case keyed && k.Effect == mix.Safe:
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

// search is one search: of an index, or of the point in time that its body names.
func (f *Front) search(r *http1.Request, index string, params url.Values) (*job, *apiError) {
	var pin *pages.Pin
	token := ""
	if index == "" {
		token = gjson.GetBytes(r.Body, "pit.id").String()
		if token == "" {
			return nil, illegal("a search of no index wants a [pit]")
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
	return &job{asked: []*asked{a}}, nil
}

func (f *Front) openToken(token string, now time.Time) (*pages.Pin, *apiError) {
	keys := f.keys.Load()
	if keys == nil || !f.Plans {
		return nil, illegal("points in time are not supported here")
	}
	pin, err := keys.Open(token, "", now)
	switch {
	case errors.Is(err, pages.ErrExpired) || errors.Is(err, pages.ErrKey):
		return nil, &apiError{404, "search_context_missing_exception", err.Error()}
	case err != nil:
		return nil, illegal("[pit] %v", err)
	case pin.Ranges != f.Settings.Load().Shards:
		return nil, &apiError{404, "search_context_missing_exception", "the index has another number of ranges by now"}
	}
	return pin, nil
}

// keepAlive reads how long a point in time lives.
func keepAlive(s string) (time.Duration, *apiError) {
	if s == "" {
		return keepDefault, nil
	}
	if n, ok := strings.CutSuffix(s, "h"); ok {
		s = n + "m"
		hours, err := strconv.Atoi(n)
		if err != nil || hours < 1 || hours > int(keepMost/time.Hour) {
			return 0, illegal("[keep_alive] is not a time of at most %v: [%.40s]", keepMost, n+"h")
		}
		return time.Duration(hours) * time.Hour, nil
	}
	if n, ok := strings.CutSuffix(s, "m"); ok { // past the longest time-out
		if minutes, err := strconv.Atoi(n); err == nil && minutes > 0 && time.Duration(minutes)*time.Minute <= keepMost {
			return time.Duration(minutes) * time.Minute, nil
		}
	}
	d, ok := parseTime(s)
	if !ok {
		return 0, illegal("[keep_alive] is not a time of at most %v: [%.40s]", keepMost, s)
	}
	return d, nil
}

// openPoint asks every range where it stands, and pins those that answer.
func (f *Front) openPoint(r *http1.Request, index string, params url.Values) (*job, *apiError) {
	if e := only(params, "keep_alive", "allow_partial_pit_creation", "timeout"); e != nil {
		return nil, e
	}
	if f.keys.Load() == nil || !f.Plans {
		return nil, illegal("points in time are not supported here")
	}
	keep, e := keepAlive(params.Get("keep_alive"))
	if e != nil {
		return nil, e
	}
	a, e := f.request(r, index, false, params.Get("timeout"))
	if e != nil {
		return nil, e
	}
	if e := f.parseSearch(a, r.At, nil, []byte(`{"size":0,"track_total_hits":false}`)); e != nil {
		return nil, e
	}
	a.q.Search.Every = true
	a.q.WholeOnly = params.Get("allow_partial_pit_creation") == "false"
	created := r.At
	a.wording = func(res gather.Result, _ time.Duration) *http1.Response {
		pin := &pages.Pin{Index: index, Ends: created.Add(keep), Ranges: a.shards, Versions: map[int]int64{}}
		for number, v := range res.Search.Views {
			if v.Boot == "" {
				return errorResponse(illegal("lot stores do not tell the versions that a point in time pins"), nil)
			}
			pin.Versions[number] = v.Version
		}
		counts, _ := a.counts(res)
		return jsonResponse(200, map[string]any{"pit_id": f.keys.Load().Seal(pin), "_shards": counts, "creation_time": created.UnixMilli()})
	}
	return &job{asked: []*asked{a}}, nil
}

// closePoints takes tokens back. Nothing is held for them here, so that a good one is good until its end.
func (f *Front) closePoints(r *http1.Request) (*job, *apiError) {
	if wrong := query.Check(string(r.Body)); wrong != nil {
		return nil, placed(wrong)
	}
	ids := gjson.GetBytes(r.Body, "pit_id")
	if !ids.IsArray() && ids.Type != gjson.String || len(ids.Array()) > itemsMost {
		return nil, illegal("[pit_id] is not a list of at most %d tokens", itemsMost)
	}
	pits := []map[string]any{}
	for _, id := range ids.Array() {
		_, e := f.openToken(id.String(), r.At)
		pits = append(pits, map[string]any{"successful": e == nil, "pit_id": id.String()})
	}
	return at(jsonResponse(200, map[string]any{"pits": pits})), nil
}

// lines splits a body of one JSON object a line.
func lines(body []byte) (list []string, e *apiError) {
	text := strings.TrimSuffix(string(body), "\n")
	for n, line := range strings.Split(text, "\n") {
		line = strings.TrimSuffix(line, "\r")
		if wrong := query.Check(line); wrong != nil {
			return nil, parsing("line %d: %s", n+1, (&query.Error{Line: n + 1, Column: wrong.Column, Reason: wrong.Reason}).Error())
		}
		list = append(list, line)
	}
	return list, nil
}

// multiSearch carries searches that have nothing to do with each other: what is wrong with one, refused or failed is
// said of it alone.
func (f *Front) multiSearch(r *http1.Request, index string, params url.Values) (*job, *apiError) {
	if e := only(params, "timeout", "max_concurrent_searches", "rest_total_hits_as_int", "typed_keys"); e != nil {
		return nil, e
	}
	for _, p := range []string{"rest_total_hits_as_int", "typed_keys"} {
		if v := params.Get(p); v != "" && v != "false" {
			return nil, illegal("not supported here: [%s]", p)
		}
	}
	list, e := lines(r.Body)
	if e != nil {
		return nil, e
	}
	if len(list)%2 != 0 || len(list) > 2*innerMost {
		return nil, illegal("%d lines, want a header and a body for each of at most %d searches", len(list), innerMost)
	}
	j := &job{}
	for i := 0; i < len(list); i += 2 {
		a, e := f.inner(r, index, list[i], list[i+1], params)
		if e != nil {
			a = &asked{wrong: e}
		}
		j.asked = append(j.asked, a)
	}
	begun := r.At
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
		return rawResponse(200, fmt.Appendf(b, `],"took":%d}`, time.Since(begun).Milliseconds()))
	}
	return j, nil
}

// inner is one search of several.
func (f *Front) inner(r *http1.Request, index, header, body string, outer url.Values) (*asked, *apiError) {
	inner := url.Values{}
	var e *apiError
	gjson.Parse(header).ForEach(func(k, v gjson.Result) bool {
		switch k.Str {
		case "index":
			if v.IsArray() && len(v.Array()) == 1 {
				v = v.Array()[0]
			}
			if index = v.Str; v.Type != gjson.String {
				e = illegal("[index] is not the name of one index")
			}
		case "preference", "routing", "allow_partial_search_results", "timeout":
			inner.Set(k.Str, v.String())
		case "search_type":
			if v.Str != "query_then_fetch" {
				e = illegal("not supported here: [search_type] of [%.40s]", v.Str)
			}
		case "ignore_unavailable", "allow_no_indices", "expand_wildcards", "request_cache":
		default:
			e = illegal("not supported here: [%.60s] in the header of a search", k.Str)
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

// plans says that a call needs lot stores that rank.
func (f *Front) plans(call string) *apiError {
	if f.Plans {
		return nil
	}
	return illegal("not supported here: [%s], as lot stores speak frames", call)
}

// count counts the lots that match.
func (f *Front) count(r *http1.Request, index string, params url.Values) (*job, *apiError) {
	if e := f.plans("_count"); e != nil {
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
	if wrong := query.Check(string(body)); wrong != nil {
		return nil, placed(wrong)
	}
	var other string
	gjson.ParseBytes(body).ForEach(func(k, _ gjson.Result) bool {
		if k.Str != "query" {
			other = k.Str
		}
		return other == ""
	})
	if other != "" {
		return nil, parsing("not supported here: [%.60s] in the body of a count", other)
	}
	p := url.Values{"size": {"0"}, "track_total_hits": {"true"}}
	for _, name := range []string{"q", "df", "default_operator", "preference", "routing", "terminate_after", "timeout"} {
		if params.Has(name) {
			p.Set(name, params.Get(name))
			params.Del(name)
		}
	}
	if e := only(params); e != nil {
		return nil, e
	}
	if e := f.parseSearch(a, r.At, p, body); e != nil {
		return nil, e
	}
	a.wording = func(res gather.Result, _ time.Duration) *http1.Response {
		counts, _ := a.counts(res)
		return jsonResponse(200, map[string]any{"count": res.Search.Total, "_shards": counts, "coverage": a.coverage(res)})
	}
	return &job{asked: []*asked{a}}, nil
}

// validate says whether a query can be parsed, and how it is understood.
func (f *Front) validate(r *http1.Request, index string, params url.Values) (*job, *apiError) {
	if e := only(params, "q", "df", "default_operator", "explain", "rewrite"); e != nil {
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
		answer["explanations"] = []map[string]any{{"index": index, "valid": true, "explanation": string(query.JSON(w.tree))}}
	}
	return at(jsonResponse(200, answer)), nil
}

// get looks one lot up, in the range that its routing leads to.
func (f *Front) get(r *http1.Request, index, id, routing, source, timeout string) (*asked, *apiError) {
	if e := f.plans("_doc"); e != nil {
		return nil, e
	}
	if id == "" || len(id) > 512 {
		return nil, illegal("a document id has 1 to 512 bytes")
	}
	a, e := f.request(r, index, false, timeout)
	if e != nil {
		return nil, e
	}
	if routing == "" {
		routing = id
	}
	body := `{"size":1,"track_total_hits":false,"query":{"ids":{"values":[` + quote(id) + `]}}`
	if source == "true" || source == "false" {
		body += `,"_source":` + source
	} else if source != "" {
		body += `,"_source":` + string(must(json.Marshal(strings.Split(source, ","))))
	}
	if e := f.parseSearch(a, r.At, url.Values{"routing": {routing}}, []byte(body+"}")); e != nil {
		return nil, e
	}
	a.wording = func(res gather.Result, _ time.Duration) *http1.Response {
		doc := map[string]any{"_index": index, "_id": id, "found": false}
		for _, h := range res.Search.Hits {
			if h.ID != id {
				continue
			}
			doc["found"] = true
			if v := gjson.Get(h.Listing, "_source"); v.Exists() {
				doc["_source"] = json.RawMessage(v.Raw)
			}
			if v := gjson.Get(h.Listing, "_version"); v.Exists() {
				doc["_version"] = v.Int()
			}
		}
		return jsonResponse(map[bool]int{true: 200, false: 404}[doc["found"] == true], doc)
	}
	return a, nil
}

// multiGet looks several lots up.
func (f *Front) multiGet(r *http1.Request, index string, params url.Values) (*job, *apiError) {
	if e := only(params, "timeout", "routing", "_source"); e != nil {
		return nil, e
	}
	if wrong := query.Check(string(r.Body)); wrong != nil {
		return nil, placed(wrong)
	}
	body := gjson.ParseBytes(r.Body)
	docs, ids := body.Get("docs"), body.Get("ids")
	if docs.IsArray() == ids.IsArray() {
		return nil, illegal("the body wants [docs] or [ids], a list")
	}
	list := append(docs.Array(), ids.Array()...)
	if len(list) == 0 || len(list) > itemsMost {
		return nil, illegal("%d documents, want 1 to %d", len(list), itemsMost)
	}
	j := &job{}
	var names [][2]string
	for _, d := range list {
		in, id, routing, source := index, d.String(), params.Get("routing"), params.Get("_source")
		if d.IsObject() {
			id = d.Get("_id").String()
			if v := d.Get("_index").String(); v != "" {
				in = v
			}
			if v := d.Get("routing").String(); v != "" {
				routing = v
			}
			if v := d.Get("_source"); v.IsArray() {
				var fields []string
				for _, x := range v.Array() {
					fields = append(fields, x.String())
				}
				source = strings.Join(fields, ",")
			} else if v.Exists() {
				source = v.String()
			}
		}
		a, e := f.get(r, in, id, routing, source, params.Get("timeout"))
		if e != nil {
			a = &asked{wrong: e}
		}
		j.asked, names = append(j.asked, a), append(names, [2]string{in, id})
	}
	j.join = func(answers []*http1.Response) *http1.Response {
		docs := make([]json.RawMessage, len(answers))
		for i, p := range answers {
			docs[i] = p.Body
			if e := gjson.GetBytes(p.Body, "error"); e.Exists() {
				docs[i] = must(json.Marshal(map[string]any{"_index": names[i][0], "_id": names[i][1], "error": json.RawMessage(e.Raw)}))
			}
		}
		return jsonResponse(200, map[string]any{"docs": docs})
	}
	return j, nil
}

func (f *Front) create(r *http1.Request, index, id string, params url.Values) (*job, *apiError) {
	if e := only(params, "timeout", "routing", "op_type"); e != nil {
		return nil, e
	}
	if params.Has("op_type") && params.Get("op_type") != "create" {
		return nil, illegal("the only [op_type] supported here is create")
	}
	a, e := f.keyed(r, index, id, params.Get("routing"), r.Body, params.Get("timeout"))
	if e != nil {
		return nil, e
	}
	return &job{asked: []*asked{a}}, nil
}

// keyed makes a create: the document id is the idempotency key.
func (f *Front) keyed(r *http1.Request, index, id, routing string, body []byte, timeout string) (*asked, *apiError) {
	a, e := f.request(r, index, true, timeout)
	if e != nil {
		return nil, e
	}
	if !http1.IsName(id) {
		return nil, illegal("the document id is missing, too long or has characters other than letters, digits, - and _")
	}
	if wrong := query.Check(string(body)); wrong != nil {
		return nil, &apiError{400, "mapper_parsing_exception", wrong.Error()}
	}
	if routing == "" {
		routing = id
	}
	a.q.Key, a.q.Text = id, slices.Clone(body)
	a.q.Shards = []gather.Shard{{Number: Shard(routing, a.shards), Weight: 1}}
	return a, nil
}

// bulk carries creates. The whole body is looked through before any of them is sent, so that one bad line costs
// nothing; then each is refused, fails or is done by itself, and says which.
func (f *Front) bulk(r *http1.Request, index string, params url.Values) (*job, *apiError) {
	if e := only(params, "timeout", "routing"); e != nil {
		return nil, e
	}
	list, e := lines(r.Body)
	if e != nil {
		return nil, e
	}
	if len(list)%2 != 0 || len(list) > 2*itemsMost {
		return nil, illegal("%d lines, want an action and a document for each of at most %d creates", len(list), itemsMost)
	}
	j := &job{}
	seen := map[string]int{}
	for i := 0; i < len(list); i += 2 {
		action := gjson.Parse(list[i])
		create := action.Get("create")
		if !create.IsObject() || len(action.Map()) != 1 {
			return nil, illegal("line %d: the only action supported here is create", i+1)
		}
		in, routing := index, params.Get("routing")
		for k, v := range create.Map() {
			switch k {
			case "_index":
				in = v.String()
			case "routing":
				routing = v.String()
			case "_id":
			default:
				return nil, illegal("line %d: not supported here: [%.60s] of create", i+1, k)
			}
		}
		id := create.Get("_id").String()
		a, e := f.keyed(r, in, id, routing, []byte(list[i+1]), params.Get("timeout"))
		if e != nil {
			return nil, &apiError{e.status, e.kind, fmt.Sprintf("line %d: %s", i+1, e.reason)}
		}
		if first, twice := seen[in+"/"+id]; twice { // two of one key are one to lot stores
			return nil, illegal("line %d: [%s] was created in line %d", i+1, id, first)
		}
		seen[in+"/"+id] = i + 1
		a.wording = func(res gather.Result, _ time.Duration) *http1.Response {
			counts, _ := a.counts(res)
			return a.created(res, counts)
		}
		j.asked = append(j.asked, a)
	}
	begun := r.At
	j.join = func(answers []*http1.Response) *http1.Response {
		items, failed := make([]json.RawMessage, len(answers)), false
		for i, p := range answers {
			item := map[string]json.RawMessage{}
			gjson.ParseBytes(p.Body).ForEach(func(k, v gjson.Result) bool { item[k.Str] = json.RawMessage(v.Raw); return true })
			a := j.asked[i]
			item["_index"], item["_id"], item["status"] = must(json.Marshal(a.index)), must(json.Marshal(a.q.Key)), fmt.Appendf(nil, "%d", p.Status)
			outcome := "done"
			if p.Status != 201 {
				failed = true
				if outcome = "may_have_run"; p.Status == 429 {
					outcome = "never_ran"
				}
			}
			item["outcome"] = must(json.Marshal(outcome))
			items[i] = must(json.Marshal(map[string]any{"create": item}))
		}
		return jsonResponse(200, map[string]any{"took": time.Since(begun).Milliseconds(), "errors": failed, "items": items})
	}
	return j, nil
}

// info is what client libraries ask for first.
func (f *Front) info() *http1.Response {
	return jsonResponse(200, map[string]any{"name": f.Name, "cluster_name": "pulleygw", "cluster_uuid": f.Name,
		"version": map[string]any{"distribution": "opensearch", "number": apiVersion, "build_type": "pulleygw", "lucene_version": "9.0.0",
			"minimum_wire_compatibility_version": apiVersion, "minimum_index_compatibility_version": apiVersion},
		"tagline": "pulleygw speaks a part of the OpenSearch API; see docs/api.md"})
}

// apiVersion is the API's version that the calls here follow.
const apiVersion = "2.11.0"

// health tells the fleet's state by the list of lot stores: red where a range has none that serves, yellow where one
// has a single one, green otherwise.
func (f *Front) health() *http1.Response {
	set := f.Settings.Load()
	s := f.Core.Snapshot()
	holders := make([]int, set.Policy.Cells)
	nodes := 0
	for _, x := range s.Servers {
		if x.State != mix.Ready || slices.Contains(s.Banned, x.Name) {
			continue
		}
		nodes++
		for j := range set.Policy.Width { // shards that begin at a cell are held by so many cells in a row
			if len(holders) > 0 {
				holders[(x.Cell-j+len(holders))%len(holders)]++
			}
		}
	}
	status, active := "green", 0
	for shard := range set.Shards {
		switch n := holders[shard%len(holders)]; {
		case n == 0:
			status = "red"
		case n == 1 && status == "green":
			status = "yellow"
			active++
		default:
			active++
		}
	}
	return jsonResponse(200, map[string]any{"cluster_name": "pulleygw", "status": status, "timed_out": false, "number_of_nodes": nodes,
		"number_of_data_nodes": nodes, "active_primary_shards": active, "active_shards": active, "relocating_shards": 0,
		"initializing_shards": 0, "unassigned_shards": set.Shards - active, "delayed_unassigned_shards": 0, "number_of_pending_tasks": 0,
		"number_of_in_flight_fetch": 0, "task_max_waiting_in_queue_millis": 0,
		"active_shards_percent_as_number": 100 * float64(active) / float64(max(set.Shards, 1))})
}
