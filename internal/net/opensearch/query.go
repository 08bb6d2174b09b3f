package opensearch

import (
	"fmt"
	"math"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/search"
)

// Bounds on a search body.
const (
	windowMost  = 10000 // from + size, as the API has it by default
	sortMost    = 8     // sort keys
	depthMost   = 20    // of a query
	clausesMost = 1024  // of a query, as the API has it by default
	countMost   = 1 << 31
	nameMost    = 4 << 10 // a longer query is neither learnt from nor bounded
)

func parsing(format string, args ...any) *apiError {
	return &apiError{400, "parsing_exception", fmt.Sprintf(format, args...)}
}

// parseBody reads the search body and the parameters that stand for members of it. plan says whether lot stores
// rank, so that what they say can be merged by any key; without that only a size is taken.
func parseBody(root gjson.Result, params url.Values, plan bool) (q *search.Query, e *apiError) {
	q = &search.Query{Size: sizeUsed, Count: search.CountAnyhow}
	var query, sort gjson.Result
	member := func(name string, v gjson.Result) *apiError {
		switch {
		case name == "query":
			query = v
			return nil
		case name == "_source":
			return nil
		case name == "size":
			return whole(&q.Size, name, v, sizeMost)
		case !plan:
		case name == "from":
			return whole(&q.From, name, v, windowMost)
		case name == "sort":
			sort = v
			return nil
		case name == "track_total_hits":
			return parseCount(q, v)
		}
		return parsing("not supported here: [%.60s] in the search body", name)
	}
	seen := map[string]bool{}
	root.ForEach(func(k, v gjson.Result) bool {
		if e = member(k.Str, v); e == nil && seen[k.Str] {
			e = parsing("[%.60s] stands twice in the search body", k.Str)
		}
		seen[k.Str] = true
		return e == nil
	})
	if e != nil {
		return nil, e
	}
	for _, name := range []string{"from", "size", "track_total_hits"} {
		if v := params.Get(name); v != "" {
			if !gjson.Valid(v) {
				return nil, illegal("[%s] is not a number", name)
			}
			if e := member(name, gjson.Parse(v)); e != nil {
				return nil, &apiError{400, "illegal_argument_exception", e.reason}
			}
		}
	}
	if q.From+q.Size > windowMost {
		return nil, illegal("Result window is too large, from + size must be less than or equal to: [%d] but was [%d]", windowMost, q.From+q.Size)
	}
	if q.Keys, e = parseSort(sort, params.Get("sort")); e != nil {
		return nil, e
	}
	w := walker{}
	if query.Raw == "{}" { // taken for one that every lot matches
		query = gjson.Result{}
	}
	if query.Exists() {
		if e := w.walk(query, "query", 1); e != nil {
			return nil, e
		}
	}
	nameQuery(q, query, &w)
	return q, nil
}

// whole reads a whole number from 0 to most.
func whole(to *int, name string, v gjson.Result, most int) *apiError {
	if v.Type != gjson.Number || v.Num < 0 || v.Num > float64(most) || v.Num != math.Trunc(v.Num) {
		return illegal("[%s] is not a whole number from 0 to %d", name, most)
	}
	*to = int(v.Num)
	return nil
}

func parseCount(q *search.Query, v gjson.Result) *apiError {
	switch {
	case v.Type == gjson.True:
		q.Count = search.CountAll
	case v.Type == gjson.False:
		q.Count = search.CountNone
	case v.Type == gjson.Number && v.Num >= 0 && v.Num < countMost && v.Num == math.Trunc(v.Num):
		q.Count = search.Counting(v.Num) // 0 counts nothing, as the API has it
	default:
		return illegal("[track_total_hits] is neither true, false nor a whole number")
	}
	return nil
}

// parseSort reads the sort of a body, or of the parameter: FIELD:ORDER, and so on.
func parseSort(v gjson.Result, param string) (keys []search.Key, e *apiError) {
	add := func(field string, order gjson.Result) *apiError {
		switch {
		case field == "" || len(field) > 256:
			return illegal("[sort] has a key without a field, or a field of over 256 characters")
		case strings.HasPrefix(field, "_") && field != search.Score:
			return illegal("not supported here: [sort] by [%.60s]", field)
		case len(keys) == sortMost:
			return illegal("[sort] has more than %d keys", sortMost)
		}
		k := search.Key{Field: field, Desc: field == search.Score}
		options := map[string]gjson.Result{"order": order}
		if order.IsObject() {
			options = order.Map()
		}
		for name, o := range options {
			switch {
			case name == "order" && !o.Exists():
			case name == "order" && (o.Str == "asc" || o.Str == "desc"):
				k.Desc = o.Str == "desc"
			case name == "missing" && (o.Str == "_last" || o.Str == "_first") && field != search.Score:
				k.MissingFirst = o.Str == "_first"
			default:
				return illegal("not supported here: [sort] by [%.60s] with [%.60s] of [%.60s]", field, name, o.Raw)
			}
		}
		keys = append(keys, k)
		return nil
	}
	one := func(v gjson.Result) *apiError {
		switch {
		case v.Type == gjson.String:
			return add(v.Str, gjson.Result{})
		case v.IsObject() && len(v.Map()) == 1:
			for field, order := range v.Map() {
				return add(field, order)
			}
		}
		return illegal("[sort] has a key that is neither a field's name nor an object of one field: [%.60s]", v.Raw)
	}
	switch {
	case param != "":
		for _, f := range strings.Split(param, ",") {
			field, order, ordered := strings.Cut(f, ":")
			o := gjson.Result{}
			if ordered {
				o = gjson.Result{Type: gjson.String, Str: order, Raw: order}
			}
			if e := add(field, o); e != nil {
				return nil, e
			}
		}
	case v.IsArray():
		for _, k := range v.Array() {
			if e := one(k); e != nil {
				return nil, e
			}
		}
	case v.Exists():
		if e := one(v); e != nil {
			return nil, e
		}
	}
	if keys == nil {
		keys = []search.Key{{Field: search.Score, Desc: true}}
	}
	return keys, nil
}

// scoring are the kinds of queries whose answer depends on the range's lots and on nothing else, such as chance,
// scripts or the time of day. Only from these is anything learnt.
var scoring = []string{"match", "match_phrase", "match_phrase_prefix", "multi_match", "match_all", "match_none", "term", "terms",
	"range", "ids", "exists", "prefix", "wildcard", "constant_score", "bool"}

// walker looks through a query, as deep as it is known.
type walker struct {
	clauses int
	opaque  bool // it has what may answer otherwise the next time
}

// walk says what is wrong with a query, by its place.
func (w *walker) walk(v gjson.Result, place string, depth int) *apiError {
	if w.clauses++; w.clauses > clausesMost {
		return parsing("[query] has more than %d clauses", clausesMost)
	}
	if depth > depthMost {
		return parsing("[query] is nested deeper than %d", depthMost)
	}
	if !v.IsObject() {
		return parsing("[%s] is not an object", place)
	}
	members := 0
	kind, body := "", gjson.Result{}
	v.ForEach(func(k, b gjson.Result) bool {
		members++
		kind, body = k.Str, b
		return true
	})
	if members != 1 {
		return parsing("[%s] has %d members, want one kind of query", place, members)
	}
	if !slices.Contains(scoring, kind) {
		w.opaque = true // passed on as it is
		return nil
	}
	place += "." + kind
	if !body.IsObject() {
		return parsing("[%s] is not an object", place)
	}
	switch kind {
	case "bool":
		return w.walkBool(body, place, depth)
	case "constant_score":
		if !body.Get("filter").Exists() {
			return parsing("[%s] lacks [filter]", place)
		}
		return w.walk(body.Get("filter"), place+".filter", depth+1)
	case "range":
		w.opaque = w.opaque || strings.Contains(body.Raw, "now") // it moves with the time
	}
	return nil
}

func (w *walker) walkBool(body gjson.Result, place string, depth int) (e *apiError) {
	body.ForEach(func(k, v gjson.Result) bool {
		switch k.Str {
		case "must", "should", "filter", "must_not":
			list := []gjson.Result{v}
			if v.IsArray() {
				list = v.Array()
			}
			for i, c := range list {
				at := place + "." + k.Str
				if v.IsArray() {
					at += "[" + strconv.Itoa(i) + "]"
				}
				if e = w.walk(c, at, depth+1); e != nil {
					return false
				}
			}
		case "minimum_should_match", "boost", "_name", "adjust_pure_negative":
		default:
			e = parsing("[%s] does not know [%.60s]", place, k.Str)
		}
		return e == nil
	})
	return e
}

// nameQuery gives a query the names that it is learnt and bounded by.
func nameQuery(q *search.Query, query gjson.Result, w *walker) {
	if w.opaque || len(query.Raw) > nameMost {
		return
	}
	raw := gjson.Get(query.Raw, "@ugly").Raw
	var b strings.Builder
	b.WriteString(raw)
	for _, k := range q.Keys {
		fmt.Fprintf(&b, "|%q %v %v", k.Field, k.Desc, k.MissingFirst)
	}
	q.Name = b.String()
	kind, body := "match_all", gjson.Result{}
	query.ForEach(func(k, v gjson.Result) bool { kind, body = k.Str, v; return false })
	if kind != "bool" {
		q.Clauses, q.Plain = []string{raw}, true
		return
	}
	if body.Get("boost").Exists() {
		return // the sum is not the score
	}
	for _, name := range []string{"must", "should"} {
		v := body.Get(name)
		list := []gjson.Result{v}
		if v.IsArray() {
			list = v.Array()
		}
		for _, c := range list {
			if c.Exists() {
				q.Clauses = append(q.Clauses, gjson.Get(c.Raw, "@ugly").Raw)
			}
		}
	}
}
