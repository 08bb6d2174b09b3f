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
		a.format = func(res gather.Result, _ time.Duration) *http1.Response {
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
