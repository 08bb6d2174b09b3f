package aggs

import (
	"encoding/json"
	"strconv"

	"pulleygw.example/pulleygw/internal/gatherer/query"
)

// What ranges are asked for beside the figure itself.
const (
	termsList  = "::terms" // of a cardinality: the terms, as many as listMost
	listMost   = 1000      // fewer terms than this in each range, and a cardinality is exact
	points     = 100       // steps of the distribution that ranges are asked for percentiles
	countName  = "::count" // of percentiles: how many values
	termsExtra = 10        // a range is asked for half as many buckets more, and ten
)

// RangeSize is how many buckets of a terms a range is asked for: half as many more than wanted, and ten, as the API has
// it, so that a term that is rarer in one range than over all is seldom cut off there. A client that wants a smaller
// error asks for more by shard_size; fewer than the size are never asked for.
func (n *Node) RangeSize() int {
	if n.Shard > 0 {
		return max(n.Shard, n.Size)
	}
	return min(n.Size+n.Size/2+termsExtra, MaxBuckets)
}

// AppendAsk formats what a range is asked, as the value of aggs.
func AppendAsk(b []byte, list []*Node) []byte {
	b = append(b, '{')
	for i, n := range list {
		if i > 0 {
			b = append(b, ',')
		}
		b = n.appendAsk(b)
	}
	return append(b, '}')
}

// objectWriter builds an object member by member.
type objectWriter struct {
	b     []byte
	begun bool
}

func (w *objectWriter) member(name, value string) *objectWriter {
	if value == "" {
		return w
	}
	if w.begun {
		w.b = append(w.b, ',')
	}
	w.begun = true
	w.b = append(append(append(w.b, quote(name)...), ':'), value...)
	return w
}

func quote(s string) string {
	text, err := json.Marshal(s)
	if err != nil {
		panic(err) // a string
	}
	return string(text)
}

func quoted(s string) string {
	if s == "" {
		return ""
	}
	return quote(s)
}

// object formats the members given in pairs, those of empty value left out.
func object(members ...string) string {
	w := &objectWriter{b: []byte{'{'}}
	for i := 0; i+1 < len(members); i += 2 {
		w.member(members[i], members[i+1])
	}
	return string(append(w.b, '}'))
}

func (n *Node) appendAsk(b []byte) []byte {
	field := []string{"field", quoted(n.Field), "missing", n.Missing}
	with := func(more ...string) string { return object(append(field, more...)...) }
	kind, body := string(n.Kind), ""
	var beside []string // aggregations asked for next to it, under its name and a suffix
	switch n.Kind {
	case Avg: // sums and counts can be added, averages cannot
		kind, body = "stats", with()
	case Cardinality:
		body = with()
		beside = []string{termsList, object("terms", with("size", strconv.Itoa(listMost)))}
	case Percentiles:
		body = with("percents", percentPoints(), "keyed", "false")
		beside = []string{countName, object("value_count", with())}
	case Terms:
		order := object("_count", `"desc"`)
		if n.ByKey {
			order = object("_key", map[bool]string{true: `"desc"`, false: `"asc"`}[n.Desc])
		}
		body = with("size", strconv.Itoa(n.RangeSize()), "shard_size", strconv.Itoa(n.RangeSize()), "order", order)
	case Histogram:
		body = with("interval", strconv.FormatFloat(n.Interval, 'g', -1, 64), "offset", n.Offset, "min_doc_count", "1")
	case DateHistogram:
		interval := ""
		if n.Fixed > 0 {
			interval = strconv.FormatInt(n.Fixed.Milliseconds(), 10) + "ms"
		}
		body = with("fixed_interval", quoted(interval), "calendar_interval", quoted(n.Calendar), "offset", quoted(n.Offset),
			"time_zone", quoted(n.Zone), "format", quoted(n.Format), "min_doc_count", "1")
	case Range, DateRange:
		ranges := []byte{'['}
		for i, s := range n.Ranges {
			if i > 0 {
				ranges = append(ranges, ',')
			}
			ranges = append(ranges, object("key", quote(strconv.Itoa(i)), "from", s.From, "to", s.To)...)
		}
		body = with("ranges", string(append(ranges, ']')), "format", quoted(n.Format), "time_zone", quoted(n.Zone))
	case Filter:
		body = string(query.JSON(n.Filters[0].Query))
	case Filters:
		filters := []byte{'['}
		for i, f := range n.Filters {
			if i > 0 {
				filters = append(filters, ',')
			}
			filters = append(filters, query.JSON(f.Query)...)
		}
		other := ""
		if n.Other != "" {
			other = "true"
		}
		body = object("filters", string(append(filters, ']')), "other_bucket", other)
	case TopHits:
		body = object("size", strconv.Itoa(n.From+n.Size), "sort", n.Sort, "_source", n.Source)
	default:
		body = with()
	}
	subs := ""
	if len(n.Subs) > 0 {
		subs = string(AppendAsk(nil, n.Subs))
	}
	b = append(append(append(b, quote(n.Name)...), ':'), object(kind, body, "aggs", subs)...)
	if beside != nil {
		b = append(append(append(append(b, ','), quote(n.Name+beside[0])...), ':'), beside[1]...)
	}
	return b
}

// percentPoints are the points of a distribution that a range is asked for.
func percentPoints() string {
	b := []byte{'['}
	for i := 0; i <= points; i++ {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendInt(b, int64(i), 10)
	}
	return string(append(b, ']'))
}
