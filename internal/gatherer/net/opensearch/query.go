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

// Bounds of a search body.
const (
	maxWindow       = 10000 // from + size, the default of the API
	maxSortKeys     = 8     // sort keys
	maxCount        = 1 << 31
	maxSourceFields = 256     // fields of _source
	maxNameBytes    = 4 << 10 // bytes; nothing is learned of a longer query
)

// parsingException is the error of an invalid body.
func parsingException(format string, args ...any) *apiError {
	return &apiError{400, "parsing_exception", fmt.Sprintf(format, args...)}
}

// searchBody is a parsed search.
type searchBody struct {
	*search.Query
	query          query.Query
	source         string // of _source as JSON, empty for all
	pit, keepAlive string // token of a point in time, and a longer lifetime for it
	minScore       string // as JSON, empty for none
	timeout        time.Duration
	terminateAfter int // lots that a range examines, 0 for all
	aggs           []*aggs.Node
}

// parseError is the error of an invalid text, with its position.
func parseError(e *query.Error) *apiError {
	return parsingException("%s", e.Error())
}

// bodyParser collects the members of a search body.
type bodyParser struct {
	text        string
	body        *searchBody
	sort, after gjson.Result
	seen        map[string]bool
}

// parseBody parses the search body and the parameters that stand for members of it. The flag tiesByID says that lot stores
// break ties by id.
func parseBody(text string, params url.Values, tiesByID bool) (*searchBody, *apiError) {
	if wrong := query.CheckObject(text); wrong != nil {
		return nil, parseError(wrong)
	}
	q := &search.Query{Size: defaultSize, Count: search.CountBestEffort, TiesByID: tiesByID}
	p := &bodyParser{text: text, body: &searchBody{Query: q, query: query.MatchAll{}}, seen: map[string]bool{}}
	if e := p.members(); e != nil {
		return nil, e
	}
	if e := p.params(params); e != nil {
		return nil, e
	}
	w := p.body
	if q.Truncated = w.terminateAfter > 0; p.after.Exists() {
		if e := parseAfter(q, p.after); e != nil {
			return nil, e
		}
	}
	if q.After == nil && !q.Truncated && w.minScore == "" {
		nameQuery(q, w.query)
	}
	return w, nil
}

// members parses the members of the body.
func (p *bodyParser) members() (e *apiError) {
	gjson.Parse(p.text).ForEach(func(k, v gjson.Result) bool {
		if e = p.member(k.Str, v); e == nil && p.seen[k.Str] {
			e = parseError(query.At(p.text, k.Index, "[%.60s] stands twice in the search body", k.Str))
		}
		p.seen[k.Str] = true
		return e == nil
	})
	return e
}

// params parses the parameters that stand for members of the body, and checks the window and the sort.
func (p *bodyParser) params(params url.Values) (e *apiError) {
	q := p.body.Query
	for _, name := range []string{"from", "size", "track_total_hits", "terminate_after"} {
		if v := params.Get(name); v != "" {
			if !gjson.Valid(v) {
				return illegalArgument("[%s] is not a number", name)
			}
			if e := p.member(name, gjson.Parse(v)); e != nil {
				return &apiError{400, "illegal_argument_exception", e.reason}
			}
		}
	}
	if q.From+q.Size > maxWindow {
		return illegalArgument("Result window is too large, from + size must be less than or equal to: [%d] but was [%d]", maxWindow, q.From+q.Size)
	}
	if q.Keys, e = parseSort(p.sort, params.Get("sort")); e != nil {
		return e
	}
	if params.Has("q") {
		if p.seen["query"] {
			return illegalArgument("[q] and [query] cannot be given together")
		}
		tree, wrong := query.ParseQueryString(params.Get("q"), params.Get("df"), strings.EqualFold(params.Get("default_operator"), "and"))
		if p.body.query = tree; wrong != nil {
			return illegalArgument("[q] %s", wrong.Error())
		}
	}
	return nil
}

// member parses one member of the body.
func (p *bodyParser) member(name string, v gjson.Result) *apiError {
	w := p.body
	switch name {
	case "query":
		return p.parseQuery(v)
	case "_source":
		return w.parseSource(v)
	case "timeout":
		timeout, ok := parseTime(v.Str)
		if w.timeout = timeout; !ok {
			return illegalArgument("failed to parse setting [timeout] with value [%.40s] as a time value", v.String())
		}
	case "size":
		return parseInt(&w.Size, name, v, maxSize)
	case "from":
		return parseInt(&w.From, name, v, maxWindow)
	case "pit":
		w.pit, w.keepAlive = v.Get("id").Str, v.Get("keep_alive").Str
		if w.pit == "" || len(v.Map()) > 2 || len(v.Map()) == 2 && w.keepAlive == "" {
			return illegalArgument("[pit] is not an object of an [id] and perhaps a [keep_alive]")
		}
	case "search_after":
		p.after = v
	case "min_score":
		if v.Type != gjson.Number || math.IsInf(v.Num, 0) {
			return illegalArgument("[min_score] is not a number")
		}
		w.minScore = v.Raw
	case "terminate_after":
		w.Truncated = true
		return parseInt(&w.terminateAfter, name, v, math.MaxInt32)
	case "aggs", "aggregations":
		return p.parseAggs(v)
	case "sort":
		p.sort = v
	case "track_total_hits":
		return parseCount(w.Query, v)
	default:
		return parsingException("not supported here: [%.60s] in the search body", name)
	}
	return nil
}

// parseQuery parses the query; an empty one matches every lot.
func (p *bodyParser) parseQuery(v gjson.Result) *apiError {
	if v.Raw == "{}" {
		return nil
	}
	tree, wrong := query.Parse(p.text, v)
	if p.body.query = tree; wrong != nil {
		return parseError(wrong)
	}
	return nil
}

// parseAggs parses the aggregations.
func (p *bodyParser) parseAggs(v gjson.Result) *apiError {
	w := p.body
	list, wrong := aggs.Parse(p.text, v)
	if wrong != nil {
		return parseError(wrong)
	}
	if w.aggs != nil {
		return parsingException("[aggs] and [aggregations] cannot be given together")
	}
	w.aggs = list
	if w.SkipEmptyOnly = len(list) > 0; w.SkipEmptyOnly {
		w.Extra = list
	}
	return nil
}

// parseAfter parses the sort values that the page begins behind: one for each key and, where the client was given one, the
// tie of that lot.
func parseAfter(q *search.Query, v gjson.Result) *apiError {
	values := v.Array()
	if !v.IsArray() || len(values) != len(q.Keys) && len(values) != len(q.Keys)+1 {
		return illegalArgument("[search_after] is not a list of %d values, one for each [sort] key, and perhaps a tie", len(q.Keys))
	}
	if q.From > 0 {
		return illegalArgument("[from] must be 0 with [search_after]")
	}
	after := &merge.After{}
	for i, x := range values[:len(q.Keys)] {
		if x.Type == gjson.JSON {
			return illegalArgument("[search_after] has a value that is no string, number, boolean or null: [%.60s]", x.Raw)
		}
		y := parseValue(x)
		if q.Keys[i].Field == merge.Score && y.Kind != merge.Number {
			return illegalArgument("[search_after] has [%.60s] for a score", x.Raw)
		}
		after.Values = append(after.Values, y)
	}
	if len(values) > len(q.Keys) {
		number, id, ok := strings.Cut(values[len(q.Keys)].Str, "/")
		n, err := strconv.Atoi(number)
		if !ok || err != nil || n < 0 || id == "" {
			return illegalArgument("[search_after] ends in a tie that was not given by a search: [%.60s]", values[len(q.Keys)].Raw)
		}
		after.Tied, after.Range, after.ID = true, n, id
	}
	q.After = after
	return nil
}

// tieOf formats the tie of a lot.
func tieOf(h *merge.Hit) string { return strconv.Itoa(h.Range) + "/" + h.ID }

// sorted reports whether a search has its own sort.
func sorted(q *search.Query) bool {
	return len(q.Keys) > 1 || q.Keys[0] != merge.Key{Field: merge.Score, Desc: true}
}

// parseSource parses _source: a boolean, a field or a list of fields, or an object of includes and excludes.
func (w *searchBody) parseSource(v gjson.Result) *apiError {
	fields := func(v gjson.Result) bool {
		if v.IsArray() {
			for _, f := range v.Array() {
				if f.Type != gjson.String || len(f.Str) > query.MaxFieldName {
					return false
				}
			}
			return len(v.Array()) <= maxSourceFields
		}
		return v.Type == gjson.String && len(v.Str) <= query.MaxFieldName
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
		return illegalArgument("[_source] is neither a boolean, a field, a list of at most %d fields nor an object of includes and excludes", maxSourceFields)
	}
	w.source = gjson.Get(v.Raw, "@ugly").Raw
	return nil
}

// parseInt parses an integer from 0 to limit.
func parseInt(to *int, name string, v gjson.Result, limit int) *apiError {
	if v.Type != gjson.Number || v.Num < 0 || v.Num > float64(limit) || v.Num != math.Trunc(v.Num) {
		return illegalArgument("[%s] is not a whole number from 0 to %d", name, limit)
	}
	*to = int(v.Num)
	return nil
}

// parseCount parses track_total_hits.
func parseCount(q *search.Query, v gjson.Result) *apiError {
	switch {
	case v.Type == gjson.True:
		q.Count = search.CountAll
	case v.Type == gjson.False:
		q.Count = search.CountNone
	case v.Type == gjson.Number && v.Num >= 0 && v.Num < maxCount && v.Num == math.Trunc(v.Num):
		q.Count = search.Counting(v.Num) // 0 counts nothing, as in the API
	default:
		return illegalArgument("[track_total_hits] is neither true, false nor a whole number")
	}
	return nil
}

// parseSort parses the sort of a body, or of the parameter: FIELD:ORDER, and so on.
func parseSort(v gjson.Result, param string) (keys []merge.Key, e *apiError) {
	switch {
	case param != "":
		keys, e = parseSortParam(param)
	case v.IsArray():
		for _, k := range v.Array() {
			if keys, e = appendSortElement(keys, k); e != nil {
				break
			}
		}
	case v.Exists():
		keys, e = appendSortElement(nil, v)
	}
	if e != nil {
		return nil, e
	}
	if keys == nil {
		keys = []merge.Key{{Field: merge.Score, Desc: true}}
	}
	return keys, nil
}

// parseSortParam parses the sort parameter.
func parseSortParam(param string) (keys []merge.Key, e *apiError) {
	for _, f := range strings.Split(param, ",") {
		field, order, ordered := strings.Cut(f, ":")
		o := gjson.Result{}
		if ordered {
			o = gjson.Result{Type: gjson.String, Str: order, Raw: order}
		}
		if keys, e = appendSortKey(keys, field, o); e != nil {
			return nil, e
		}
	}
	return keys, nil
}

// appendSortElement parses one element of a sort: the name of a field, or an object of one field.
func appendSortElement(keys []merge.Key, v gjson.Result) ([]merge.Key, *apiError) {
	switch {
	case v.Type == gjson.String:
		return appendSortKey(keys, v.Str, gjson.Result{})
	case v.IsObject() && len(v.Map()) == 1:
		for field, order := range v.Map() {
			return appendSortKey(keys, field, order)
		}
	}
	return nil, illegalArgument("[sort] has a key that is neither a field's name nor an object of one field: [%.60s]", v.Raw)
}

// appendSortKey parses one sort key: its order, or an object of options.
func appendSortKey(keys []merge.Key, field string, order gjson.Result) ([]merge.Key, *apiError) {
	switch {
	case field == "" || len(field) > 256:
		return nil, illegalArgument("[sort] has a key without a field, or a field of over 256 characters")
	case strings.HasPrefix(field, "_") && field != merge.Score:
		return nil, illegalArgument("not supported here: [sort] by [%.60s]", field)
	case len(keys) == maxSortKeys:
		return nil, illegalArgument("[sort] has more than %d keys", maxSortKeys)
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
			return nil, illegalArgument("not supported here: [sort] by [%.60s] with [%.60s] of [%.60s]", field, name, o.Raw)
		}
	}
	return append(keys, k), nil
}

// nameQuery sets the names by which bounds of a query are learned. A query that depends on the time of day has none.
func nameQuery(q *search.Query, tree query.Query) {
	text := query.JSON(tree)
	if query.TimeDependent(tree) || len(text) > maxNameBytes {
		return
	}
	b := strings.Builder{}
	b.Write(text)
	for _, k := range q.Keys {
		fmt.Fprintf(&b, "|%q %v %v", k.Field, k.Desc, k.MissingFirst)
	}
	q.Name, q.Clauses, q.Plain = b.String(), query.ScoringClauses(tree), query.IsSingleClause(tree)
}
