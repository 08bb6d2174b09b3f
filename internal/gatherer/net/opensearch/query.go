package opensearch

import (
	"fmt"
	"math"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/aggs"
	"pulleygw.example/pulleygw/internal/gatherer/merge"
	"pulleygw.example/pulleygw/internal/gatherer/query"
	"pulleygw.example/pulleygw/internal/gatherer/search"
)

// Bounds on a search body.
const (
	windowMost = 10000 // from + size, as the API has it by default
	sortMost   = 8     // sort keys
	countMost  = 1 << 31
	sourceMost = 256     // fields of _source
	nameMost   = 4 << 10 // a longer query is neither learnt from nor bounded
)

func parsing(format string, args ...any) *apiError {
	return &apiError{400, "parsing_exception", fmt.Sprintf(format, args...)}
}

// wanted is what a client's search asks for.
type wanted struct {
	*search.Query
	tree      query.Query
	source    string // of _source as JSON, empty for all
	pit, keep string // a point in time's token, and a longer life for it
	minScore  string // as JSON, empty for none
	timeout   time.Duration
	terminate int // lots that a range looks at, 0 for all
	aggs      []*aggs.Node
}

// placed is the error object of a fault in a text, with its place.
func placed(e *query.Error) *apiError {
	return parsing("%s", e.Error())
}

// parseBody reads the search body and the parameters that stand for members of it. ties says that lot stores break ties
// by id.
func parseBody(text string, params url.Values, ties bool) (w *wanted, e *apiError) {
	if wrong := query.Check(text); wrong != nil {
		return nil, placed(wrong)
	}
	q := &search.Query{Size: sizeUsed, Count: search.CountAnyhow, Ties: ties}
	w = &wanted{Query: q, tree: query.All{}}
	var sort, after gjson.Result
	member := func(name string, v gjson.Result) *apiError {
		switch {
		case name == "query" && v.Raw == "{}": // taken for one that every lot matches
			return nil
		case name == "query":
			tree, wrong := query.Parse(text, v)
			if w.tree = tree; wrong != nil {
				return placed(wrong)
			}
			return nil
		case name == "_source":
			return w.parseSource(v)
		case name == "timeout":
			ok := false
			if w.timeout, ok = parseTime(v.Str); !ok {
				return illegal("failed to parse setting [timeout] with value [%.40s] as a time value", v.String())
			}
			return nil
		case name == "size":
			return whole(&q.Size, name, v, sizeMost)
		case name == "from":
			return whole(&q.From, name, v, windowMost)
		case name == "pit":
			if w.pit, w.keep = v.Get("id").Str, v.Get("keep_alive").Str; w.pit == "" || len(v.Map()) > 2 || len(v.Map()) == 2 && w.keep == "" {
				return illegal("[pit] is not an object of an [id] and perhaps a [keep_alive]")
			}
			return nil
		case name == "search_after":
			after = v
			return nil
		case name == "min_score":
			if v.Type != gjson.Number || math.IsInf(v.Num, 0) {
				return illegal("[min_score] is not a number")
			}
			w.minScore = v.Raw
			return nil
		case name == "terminate_after":
			q.Cut = true
			return whole(&w.terminate, name, v, math.MaxInt32)
		case name == "aggs" || name == "aggregations":
			list, wrong := aggs.Parse(text, v)
			if wrong != nil {
				return placed(wrong)
			}
			if w.aggs != nil {
				return parsing("[aggs] and [aggregations] cannot be given together")
			}
			w.aggs = list
			if q.Every = len(list) > 0; q.Every {
				q.Extra = list
			}
			return nil
		case name == "sort":
			sort = v
			return nil
		case name == "track_total_hits":
			return parseCount(q, v)
		}
		return parsing("not supported here: [%.60s] in the search body", name)
	}
	seen := map[string]bool{}
	gjson.Parse(text).ForEach(func(k, v gjson.Result) bool {
		if e = member(k.Str, v); e == nil && seen[k.Str] {
			e = placed(query.At(text, k.Index, "[%.60s] stands twice in the search body", k.Str))
		}
		seen[k.Str] = true
		return e == nil
	})
	if e != nil {
		return nil, e
	}
	for _, name := range []string{"from", "size", "track_total_hits", "terminate_after"} {
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
	if params.Has("q") {
		if seen["query"] {
			return nil, illegal("[q] and [query] cannot be given together")
		}
		tree, wrong := query.Short(params.Get("q"), params.Get("df"), strings.EqualFold(params.Get("default_operator"), "and"))
		if w.tree = tree; wrong != nil {
			return nil, illegal("[q] %s", wrong.Error())
		}
	}
	if q.Cut = w.terminate > 0; after.Exists() {
		if e := parseAfter(q, after); e != nil {
			return nil, e
		}
	}
	if q.After == nil && !q.Cut && w.minScore == "" {
		nameQuery(q, w.tree)
	}
	return w, nil
}

// parseAfter reads the sort values that the page begins behind: one for each key and, where the client was given one,
// the tie of the lot that they are of.
func parseAfter(q *search.Query, v gjson.Result) *apiError {
	values := v.Array()
	if !v.IsArray() || len(values) != len(q.Keys) && len(values) != len(q.Keys)+1 {
		return illegal("[search_after] is not a list of %d values, one for each [sort] key, and perhaps a tie", len(q.Keys))
	}
	if q.From > 0 {
		return illegal("[from] must be 0 with [search_after]")
	}
	after := &merge.After{}
	for i, x := range values[:len(q.Keys)] {
		if x.Type == gjson.JSON {
			return illegal("[search_after] has a value that is no string, number, boolean or null: [%.60s]", x.Raw)
		}
		y := parseValue(x)
		if q.Keys[i].Field == merge.Score && y.Kind != merge.Number {
			return illegal("[search_after] has [%.60s] for a score", x.Raw)
		}
		after.Values = append(after.Values, y)
	}
	if len(values) > len(q.Keys) {
		number, id, ok := strings.Cut(values[len(q.Keys)].Str, "/")
		n, err := strconv.Atoi(number)
		if !ok || err != nil || n < 0 || id == "" {
			return illegal("[search_after] ends in a tie that was not given by a search: [%.60s]", values[len(q.Keys)].Raw)
		}
		after.Tied, after.Range, after.ID = true, n, id
	}
	q.After = after
	return nil
}

// tieOf formats the tie of a lot.
func tieOf(h *merge.Hit) string { return strconv.Itoa(h.Range) + "/" + h.ID }

// sorted says whether a search has a sort of its own.
func sorted(q *search.Query) bool {
	return len(q.Keys) > 1 || q.Keys[0] != merge.Key{Field: merge.Score, Desc: true}
}

// parseSource takes what _source may be: a boolean, a field or a list of fields, or an object of includes and excludes.
func (w *wanted) parseSource(v gjson.Result) *apiError {
	fields := func(v gjson.Result) bool {
		if v.IsArray() {
			for _, f := range v.Array() {
				if f.Type != gjson.String || len(f.Str) > query.MaxField {
					return false
				}
			}
			return len(v.Array()) <= sourceMost
		}
		return v.Type == gjson.String && len(v.Str) <= query.MaxField
	}
	ok := v.IsBool() || fields(v)
	if v.IsObject() {
		ok = true
		v.ForEach(func(k, f gjson.Result) bool {
			ok = ok && slices.Contains([]string{"include", "includes", "exclude", "excludes"}, k.Str) && fields(f)
			return ok
		})
	}
	if !ok {
		return illegal("[_source] is neither a boolean, a field, a list of at most %d fields nor an object of includes and excludes", sourceMost)
	}
	w.source = gjson.Get(v.Raw, "@ugly").Raw
	return nil
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
func parseSort(v gjson.Result, param string) (keys []merge.Key, e *apiError) {
	add := func(field string, order gjson.Result) *apiError {
		switch {
		case field == "" || len(field) > 256:
			return illegal("[sort] has a key without a field, or a field of over 256 characters")
		case strings.HasPrefix(field, "_") && field != merge.Score:
			return illegal("not supported here: [sort] by [%.60s]", field)
		case len(keys) == sortMost:
			return illegal("[sort] has more than %d keys", sortMost)
		}
		k := merge.Key{Field: field, Desc: field == merge.Score}
		options := map[string]gjson.Result{"order": order}
		if order.IsObject() {
			options = order.Map()
		}
		for name, o := range options {
			switch {
			case name == "order" && !o.Exists():
			case name == "order" && (o.Str == "asc" || o.Str == "desc"):
				k.Desc = o.Str == "desc"
			case name == "missing" && (o.Str == "_last" || o.Str == "_first") && field != merge.Score:
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
		keys = []merge.Key{{Field: merge.Score, Desc: true}}
	}
	return keys, nil
}

// nameQuery gives a query the names that it is learnt and bounded by. What moves with the time of day has none.
func nameQuery(q *search.Query, tree query.Query) {
	text := query.JSON(tree)
	if query.Moves(tree) || len(text) > nameMost {
		return
	}
	b := strings.Builder{}
	b.Write(text)
	for _, k := range q.Keys {
		fmt.Fprintf(&b, "|%q %v %v", k.Field, k.Desc, k.MissingFirst)
	}
	q.Name, q.Clauses, q.Plain = b.String(), query.Clauses(tree), query.Plain(tree)
}
