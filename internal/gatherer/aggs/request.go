package aggs

import (
	"encoding/json"
	"strconv"

	"pulleygw.example/pulleygw/internal/gatherer/query"
)

// What ranges are asked for beside the value itself.
const (
	termsList      = "::terms" // of a cardinality: the terms, at most maxListedTerms
	maxListedTerms = 1000      // with fewer terms than this in each range a cardinality is exact
	points         = 100       // steps of the distribution that ranges are asked for by percentiles
	countName      = "::count" // of percentiles: the number of values
	termsExtra     = 10        // a range is asked for half as many buckets more, and this many
)

// RangeSize is how many buckets of a terms a range is asked for: half as many more than wanted, and ten, as in the API, so
// that a term that is rarer in one range than overall is seldom cut off there. A client that wants a smaller error requests
// more by shard_size; fewer than the size are never requested.
func (n *Node) RangeSize() int {
	if n.Shard > 0 {
		return max(n.Shard, n.Size)
	}
	return min(n.Size+n.Size/2+termsExtra, MaxBuckets)
}

// AppendRequest encodes the request to a range, as the value of aggs.
func AppendRequest(b []byte, list []*Node) []byte {
	b = append(b, '{')
	for i, n := range list {
		if i > 0 {
			b = append(b, ',')
		}
		b = n.appendRequest(b)
	}
	return append(b, '}')
}

// objectWriter builds an object member by member.
type objectWriter struct {
	b       []byte
	started bool
}

// member appends a member; one of empty value is left out.
func (w *objectWriter) member(name, value string) *objectWriter {
	if value == "" {
		return w
	}
	if w.started {
		w.b = append(w.b, ',')
	}
	w.started = true
	w.b = append(append(append(w.b, quote(name)...), ':'), value...)
	return w
}

// quote encodes a string as JSON.
func quote(s string) string {
	text, err := json.Marshal(s)
	if err != nil {
		panic(err) // a string
	}
	return string(text)
}

// quoted is quote, but leaves an empty string empty.
func quoted(s string) string {
	if s == "" {
		return ""
	}
	return quote(s)
}

// object encodes an object of members given in pairs; those of empty value are left out.
func object(members ...string) string {
	w := &objectWriter{b: []byte{'{'}}
	for i := 0; i+1 < len(members); i += 2 {
		w.member(members[i], members[i+1])
	}
	return string(append(w.b, '}'))
}

// appendRequest encodes one aggregation.
func (n *Node) appendRequest(b []byte) []byte {
	kind := string(n.Kind)
	var beside []string // an aggregation requested next to it, under its name and a suffix
	switch n.Kind {
	case Avg: // sums and counts can be added, averages cannot
		kind = "stats"
	case Cardinality:
		beside = []string{termsList, object("terms", n.ofField("size", strconv.Itoa(maxListedTerms)))}
	case Percentiles:
		beside = []string{countName, object("value_count", n.ofField())}
	}
	subs := ""
	if len(n.Subs) > 0 {
		subs = string(AppendRequest(nil, n.Subs))
	}
	b = append(append(append(b, quote(n.Name)...), ':'), object(kind, n.requestBody(), "aggs", subs)...)
	if beside != nil {
		b = append(append(append(append(b, ','), quote(n.Name+beside[0])...), ':'), beside[1]...)
	}
	return b
}

// ofField encodes an object of the field, the value of lots without it, and further members.
func (n *Node) ofField(more ...string) string {
	return object(append([]string{"field", quoted(n.Field), "missing", n.Missing}, more...)...)
}

// requestBody encodes the body of the aggregation.
func (n *Node) requestBody() string {
	switch n.Kind {
	case Percentiles:
		return n.ofField("percents", percentPoints(), "keyed", "false")
	case Terms:
		order := object("_count", `"desc"`)
		if n.ByKey {
			order = object("_key", map[bool]string{true: `"desc"`, false: `"asc"`}[n.Desc])
		}
		return n.ofField("size", strconv.Itoa(n.RangeSize()), "shard_size", strconv.Itoa(n.RangeSize()), "order", order)
	case Histogram:
		return n.ofField("interval", strconv.FormatFloat(n.Interval, 'g', -1, 64), "offset", n.Offset, "min_doc_count", "1")
	case DateHistogram:
		interval := ""
		if n.Fixed > 0 {
			interval = strconv.FormatInt(n.Fixed.Milliseconds(), 10) + "ms"
		}
		return n.ofField("fixed_interval", quoted(interval), "calendar_interval", quoted(n.Calendar), "offset", quoted(n.Offset),
			"time_zone", quoted(n.Zone), "format", quoted(n.Format), "min_doc_count", "1")
	case Range, DateRange:
		return n.ofField("ranges", n.requestRanges(), "format", quoted(n.Format), "time_zone", quoted(n.Zone))
	case Filter:
		return string(query.JSON(n.Filters[0].Query))
	case Filters:
		return n.requestFilters()
	case TopHits:
		return object("size", strconv.Itoa(n.From+n.Size), "sort", n.Sort, "_source", n.Source)
	}
	return n.ofField()
}

// requestRanges encodes the ranges, with their indices as keys.
func (n *Node) requestRanges() string {
	ranges := []byte{'['}
	for i, s := range n.Ranges {
		if i > 0 {
			ranges = append(ranges, ',')
		}
		ranges = append(ranges, object("key", quote(strconv.Itoa(i)), "from", s.From, "to", s.To)...)
	}
	return string(append(ranges, ']'))
}

// requestFilters encodes the filters.
func (n *Node) requestFilters() string {
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
	return object("filters", string(append(filters, ']')), "other_bucket", other)
}

// percentPoints encodes the points of a distribution that a range is asked for.
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
