package opensearch

import (
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/gather"
	"pulleygw.example/pulleygw/internal/gatherer/net/http1"
	"pulleygw.example/pulleygw/internal/gatherer/query"
)

// get parses a get of one lot, in the range that its routing leads to.
func (f *Front) get(r *http1.Request, index, id, routing, source, timeout string) (*clientRequest, *apiError) {
	if e := f.requirePlans("_doc"); e != nil {
		return nil, e
	}
	if id == "" || len(id) > 512 {
		return nil, illegalArgument("a document id has 1 to 512 bytes")
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
	a.format = func(res gather.Result, _ time.Duration) *http1.Response {
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

// multiGet parses a get of several lots.
func (f *Front) multiGet(r *http1.Request, index string, params url.Values) (*clientCall, *apiError) {
	if e := allowOnly(params, "timeout", "routing", "_source"); e != nil {
		return nil, e
	}
	if wrong := query.CheckObject(string(r.Body)); wrong != nil {
		return nil, parseError(wrong)
	}
	body := gjson.ParseBytes(r.Body)
	docs, ids := body.Get("docs"), body.Get("ids")
	if docs.IsArray() == ids.IsArray() {
		return nil, illegalArgument("the body wants [docs] or [ids], a list")
	}
	list := append(docs.Array(), ids.Array()...)
	if len(list) == 0 || len(list) > maxItems {
		return nil, illegalArgument("%d documents, want 1 to %d", len(list), maxItems)
	}
	j := &clientCall{}
	var names [][2]string
	for _, d := range list {
		doc := parseDocument(d, document{index, d.String(), params.Get("routing"), params.Get("_source")})
		a, e := f.get(r, doc.index, doc.id, doc.routing, doc.source, params.Get("timeout"))
		if e != nil {
			a = &clientRequest{err: e}
		}
		j.requests, names = append(j.requests, a), append(names, [2]string{doc.index, doc.id})
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

// document is one document of a multi-get or a bulk request.
type document struct{ index, id, routing, source string }

// parseDocument parses an element of a multi-get, an id or an object. What it does not have is as in defaults.
func parseDocument(d gjson.Result, defaults document) document {
	doc := defaults
	if !d.IsObject() {
		return doc
	}
	doc.id = d.Get("_id").String()
	if v := d.Get("_index").String(); v != "" {
		doc.index = v
	}
	if v := d.Get("routing").String(); v != "" {
		doc.routing = v
	}
	if v := d.Get("_source"); v.IsArray() {
		var fields []string
		for _, x := range v.Array() {
			fields = append(fields, x.String())
		}
		doc.source = strings.Join(fields, ",")
	} else if v.Exists() {
		doc.source = v.String()
	}
	return doc
}

// create parses a create of one document.
func (f *Front) create(r *http1.Request, index, id string, params url.Values) (*clientCall, *apiError) {
	if e := allowOnly(params, "timeout", "routing", "op_type"); e != nil {
		return nil, e
	}
	if params.Has("op_type") && params.Get("op_type") != "create" {
		return nil, illegalArgument("the only [op_type] supported here is create")
	}
	a, e := f.newCreate(r, index, id, params.Get("routing"), r.Body, params.Get("timeout"))
	if e != nil {
		return nil, e
	}
	return &clientCall{requests: []*clientRequest{a}}, nil
}

// newCreate makes the request of a create. The document id is the idempotency key.
func (f *Front) newCreate(r *http1.Request, index, id, routing string, body []byte, timeout string) (*clientRequest, *apiError) {
	a, e := f.request(r, index, true, timeout)
	if e != nil {
		return nil, e
	}
	if !http1.IsName(id) {
		return nil, illegalArgument("the document id is missing, too long or has characters other than letters, digits, - and _")
	}
	if wrong := query.CheckObject(string(body)); wrong != nil {
		return nil, &apiError{400, "mapper_parsing_exception", wrong.Error()}
	}
	if routing == "" {
		routing = id
	}
	a.core.Key, a.core.Text = id, slices.Clone(body)
	a.core.Shards = []gather.Shard{{Number: Shard(routing, a.shards), Weight: 1}}
	return a, nil
}

// bulk parses creates. The complete body is checked before any of them is sent, so that an invalid line has no effect; then
// each is rejected, fails or succeeds by itself, and says which.
func (f *Front) bulk(r *http1.Request, index string, params url.Values) (*clientCall, *apiError) {
	if e := allowOnly(params, "timeout", "routing"); e != nil {
		return nil, e
	}
	list, e := splitLines(r.Body)
	if e != nil {
		return nil, e
	}
	if len(list)%2 != 0 || len(list) > 2*maxItems {
		return nil, illegalArgument("%d lines, want an action and a document for each of at most %d creates", len(list), maxItems)
	}
	j := &clientCall{}
	seen := map[string]int{}
	for i := 0; i < len(list); i += 2 {
		action := gjson.Parse(list[i])
		create := action.Get("create")
		if !create.IsObject() || len(action.Map()) != 1 {
			return nil, illegalArgument("line %d: the only action supported here is create", i+1)
		}
		doc := document{index: index, id: create.Get("_id").String(), routing: params.Get("routing")}
		for k, v := range create.Map() {
			switch k {
			case "_index":
				doc.index = v.String()
			case "routing":
				doc.routing = v.String()
			case "_id":
			default:
				return nil, illegalArgument("line %d: not supported here: [%.60s] of create", i+1, k)
			}
		}
		a, e := f.newCreate(r, doc.index, doc.id, doc.routing, []byte(list[i+1]), params.Get("timeout"))
		if e != nil {
			return nil, &apiError{e.status, e.kind, fmt.Sprintf("line %d: %s", i+1, e.reason)}
		}
		key := doc.index + "/" + doc.id
		if first, twice := seen[key]; twice { // two of one key are one to lot stores
			return nil, illegalArgument("line %d: [%s] was created in line %d", i+1, doc.id, first)
		}
		seen[key] = i + 1
		a.format = func(res gather.Result, _ time.Duration) *http1.Response {
			counts, _ := a.counts(res)
			return a.renderCreated(res, counts)
		}
		j.requests = append(j.requests, a)
	}
	started := r.At
	j.join = func(answers []*http1.Response) *http1.Response { return joinCreates(j.requests, answers, started) }
	return j, nil
}

// joinCreates makes the response of a bulk from those of its creates.
func joinCreates(requests []*clientRequest, answers []*http1.Response, started time.Time) *http1.Response {
	items, failed := make([]json.RawMessage, len(answers)), false
	for i, p := range answers {
		item := map[string]json.RawMessage{}
		gjson.ParseBytes(p.Body).ForEach(func(k, v gjson.Result) bool { item[k.Str] = json.RawMessage(v.Raw); return true })
		a := requests[i]
		item["_index"], item["_id"], item["status"] = must(json.Marshal(a.index)), must(json.Marshal(a.core.Key)), fmt.Appendf(nil, "%d", p.Status)
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
	return jsonResponse(200, map[string]any{"took": time.Since(started).Milliseconds(), "errors": failed, "items": items})
}
