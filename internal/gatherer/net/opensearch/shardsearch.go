package opensearch

import (
	"encoding/json"
	"math"
	"strconv"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/aggs"
	"pulleygw.example/pulleygw/internal/gatherer/gather"
	"pulleygw.example/pulleygw/internal/gatherer/merge"
	"pulleygw.example/pulleygw/internal/gatherer/query"
	"pulleygw.example/pulleygw/internal/gatherer/search"
)

// extremesName is the name of the aggregation by which a range is asked for the extremes of a field. It cannot be one of the
// client's names.
const extremesName = "::extremes"

// coreText is what the core carries of a search: the query in its canonical form, and which fields are wanted.
func (w *searchBody) coreText() []byte {
	b := append([]byte(`{"query":`), query.JSON(w.query)...)
	if w.source != "" {
		b = append(append(b, `,"_source":`...), w.source...)
	}
	if w.minScore != "" {
		b = append(append(b, `,"min_score":`...), w.minScore...)
	}
	if w.terminateAfter > 0 {
		b = strconv.AppendInt(append(b, `,"terminate_after":`...), int64(w.terminateAfter), 10)
	}
	if len(w.aggs) > 0 {
		b = aggs.AppendRequest(append(b, `,"aggs":`...), w.aggs)
	}
	return append(b, '}')
}

// shardBody formats the body of an attempt at a range. Text is that of its search, as coreText formats it.
func shardBody(text []byte, a *gather.ShardSearch, shard int, timeout string) []byte {
	root := gjson.ParseBytes(text)
	tree := root.Get("query").Raw
	q := a.Query
	b := append([]byte(nil), `{"timeout":"`...)
	b = append(append(b, timeout...), `","query":`...)
	size := q.From + q.Size
	if a.IDs != nil { // ranked again, so that one that has changed is detected
		size = len(a.IDs)
		b = append(append(b, `{"bool":{"must":[`...), tree...)
		b = append(append(b, `],"filter":[{"ids":{"values":`...), must(json.Marshal(a.IDs))...)
		b = append(b, `}}]}}`...)
	} else {
		b = append(b, tree...)
	}
	b = strconv.AppendInt(append(b, `,"size":`...), int64(size), 10)
	if q.TiesByID || sorted(q) {
		b = appendSort(append(b, `,"sort":`...), q.Keys, q.TiesByID)
	}
	if q.After != nil && a.IDs == nil {
		b = appendAfter(b, q, shard)
	}
	if v, pinned := q.Pins[shard]; pinned { // a lot store that still has that version answers from it
		b = append(strconv.AppendInt(append(b, `,"view":{"version":`...), v, 10), '}')
	}
	for _, name := range []string{"min_score", "terminate_after"} {
		if v := root.Get(name).Raw; v != "" && a.IDs == nil {
			b = append(append(append(append(b, `,"`...), name...), `":`...), v...)
		}
	}
	if src := root.Get("_source").Raw; a.ScoresOnly {
		b = append(b, `,"_source":false`...)
	} else if src != "" {
		b = append(append(b, `,"_source":`...), src...)
	}
	if a.ScoresOnly || a.IDs != nil {
		b = append(b, `,"version":true`...)
	}
	switch {
	case a.IDs != nil || q.Count == search.CountNone:
		b = append(b, `,"track_total_hits":false`...)
	case q.Count == search.CountAll:
		b = append(b, `,"track_total_hits":true`...)
	case q.Count > 0:
		b = strconv.AppendInt(append(b, `,"track_total_hits":`...), int64(q.Count), 10)
	}
	wanted := root.Get("aggs").Raw
	if a.IDs != nil {
		wanted = ""
	}
	return append(appendShardAggs(b, a, wanted), '}')
}

// appendAfter formats the position that the page begins behind.
func appendAfter(b []byte, q *search.Query, shard int) []byte {
	b = append(b, `,"search_after":[`...)
	for i, v := range q.After.Values {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, v.JSON(quote)...)
	}
	if q.TiesByID {
		b = append(append(b, ','), quote(q.After.TieBreakID(shard))...)
	}
	return append(b, ']')
}

// appendShardAggs formats the wanted aggregations and, where the attempt asks for them, the extremes of the first sort key.
func appendShardAggs(b []byte, a *gather.ShardSearch, wanted string) []byte {
	switch {
	case a.Extremes:
		field := must(json.Marshal(a.Query.Keys[0].Field))
		b = append(append(b, `,"aggs":{"`+extremesName+`":{"global":{},"aggs":{"least":{"min":{"field":`...), field...)
		b = append(append(b, `}},"greatest":{"max":{"field":`...), field...)
		b = append(b, `}}}}`...)
		if wanted != "" {
			b = append(append(b, ','), wanted[1:len(wanted)-1]...)
		}
		b = append(b, '}')
	case wanted != "":
		b = append(append(b, `,"aggs":`...), wanted...)
	}
	return b
}

// quote formats a string as JSON.
func quote(s string) string { return string(must(json.Marshal(s))) }

// appendSort formats sort keys, and the id that breaks ties.
func appendSort(b []byte, keys []merge.Key, ties bool) []byte {
	for i, k := range keys {
		b = append(b, "[,"[min(i, 1)])
		b = append(append(append(b, '{'), must(json.Marshal(k.Field))...), `:{"order":"`...)
		if k.Desc {
			b = append(b, `desc"`...)
		} else {
			b = append(b, `asc"`...)
		}
		if k.MissingFirst {
			b = append(b, `,"missing":"_first"`...)
		}
		b = append(b, "}}"...)
	}
	if ties {
		b = append(b, `,{"_id":{"order":"asc"}}`...)
	}
	return append(b, ']')
}

// foundMembers are the members of a range's answer that are not parsed at once.
type foundMembers struct {
	total, aggregations gjson.Result
	early               bool
}

// walkFound parses the members of a range's answer. It walks the text once: at 200 ranges, looking members up by name, each
// from the start, took three times as long.
func walkFound(found *search.Answer, item gjson.Result, a *gather.ShardSearch) (m foundMembers, why string) {
	item.ForEach(func(k, v gjson.Result) bool {
		switch k.Str {
		case "hits":
			v.ForEach(func(k, v gjson.Result) bool {
				switch k.Str {
				case "total":
					m.total = v
				case "hits":
					found.Hits, why = parseHits(v, a)
				}
				return why == ""
			})
		case "view":
			found.View = search.View{Boot: v.Get("boot").String(), Version: v.Get("version").Int(),
				StableFor: float64(max(v.Get("holds_ms").Int(), 0)) / 1000}
		case "aggregations":
			m.aggregations = v
		case "terminated_early":
			m.early = v.Bool()
		}
		return why == ""
	})
	return m, why
}

// parseFound parses one range's answer to a search, and says why where it is invalid.
func parseFound(item gjson.Result, a *gather.ShardSearch) (found *search.Answer, why string) {
	found = &search.Answer{Bytes: len(item.Raw)}
	m, why := walkFound(found, item, a)
	if why != "" {
		return nil, why
	}
	total, aggregations := m.total, m.aggregations
	if total.IsObject() {
		found.AtLeast = total.Get("relation").Str != "eq"
		total = total.Get("value")
	}
	if a.Query.Count != search.CountNone && a.IDs == nil {
		if total.Type != gjson.Number || total.Num != math.Trunc(total.Num) || total.Num > math.MaxInt32 {
			return nil, "no total"
		}
		found.Total = total.Int()
	}
	if e := aggregations.Get(extremesName); a.Extremes && e.Exists() {
		found.Extremes = map[string]search.Extremes{a.Query.Keys[0].Field: {
			Least: parseValue(e.Get("least.value")), Greatest: parseValue(e.Get("greatest.value"))}}
	}
	if list, ok := a.Query.Extra.([]*aggs.Node); ok && a.IDs == nil {
		parts, why := aggs.Decode(list, aggregations)
		if why != "" {
			return nil, why
		}
		found.Extra = parts
	}
	if a.IDs != nil {
		if len(found.Hits) > len(a.IDs) {
			return nil, "more listings than were asked for"
		}
		return found, ""
	}
	if why := found.Check(a.Query); why != "" {
		return nil, why
	}
	if a.Query.Truncated {
		found.AtLeast = found.AtLeast || m.early
		found.View = search.View{}
	}
	return found, ""
}

// parseHits parses the hits of an answer.
func parseHits(list gjson.Result, a *gather.ShardSearch) (hits []merge.Hit, why string) {
	keys := len(a.Query.Keys)
	expected := a.Query.From + a.Query.Size
	if a.IDs != nil {
		expected = len(a.IDs)
	}
	hits = make([]merge.Hit, 0, min(expected, 64))
	values := make([]merge.Value, 0, keys*cap(hits)) // of all hits, one allocation for the usual page
	list.ForEach(func(_, h gjson.Result) bool {
		x, score, sort := parseHitFields(h)
		if x.ID == "" {
			why = "a hit without an id"
			return false
		}
		if !a.ScoresOnly {
			x.Listing = h.Raw
		}
		first, n, tie := len(values), 0, ""
		sort.ForEach(func(_, v gjson.Result) bool {
			if n++; n <= keys {
				values = append(values, parseValue(v))
			} else {
				tie = v.Str
			}
			return n <= keys
		})
		switch {
		case n == 0 && !sorted(a.Query):
			values = append(values, parseValue(score))
		case n == keys || n == keys+1 && tie == x.ID:
		default:
			values = values[:first] // Check reports that they are missing
		}
		x.Sort = values[first:len(values):len(values)]
		hits = append(hits, x)
		return true
	})
	return hits, why
}

// parseHitFields parses the fields of a hit in one pass, and returns its score and sort values as they are.
func parseHitFields(h gjson.Result) (x merge.Hit, score, sort gjson.Result) {
	h.ForEach(func(k, v gjson.Result) bool {
		switch k.Str {
		case "_id":
			if v.Type == gjson.String {
				x.ID = v.Str
			}
		case "_version":
			x.Version = v.Int()
		case "_score":
			score = v
		case "sort":
			sort = v
		}
		return true
	})
	return x, score, sort
}

// parseValue parses a sort value. The API encodes infinite numbers, which stand for lots without the field, as strings.
func parseValue(v gjson.Result) merge.Value {
	switch {
	case v.Type == gjson.Number:
		if n, err := strconv.ParseInt(v.Raw, 10, 64); err == nil {
			return merge.Int(n)
		}
		return merge.Num(v.Num)
	case v.Type == gjson.String && v.Str == "Infinity":
		return merge.Num(math.Inf(1))
	case v.Type == gjson.String && v.Str == "-Infinity":
		return merge.Num(math.Inf(-1))
	case v.Type == gjson.String:
		return merge.Str(v.Str)
	case v.Type == gjson.True:
		return merge.Num(1)
	case v.Type == gjson.False:
		return merge.Num(0)
	}
	return merge.Value{}
}
