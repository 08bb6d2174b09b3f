package aggs

import (
	"encoding/json"
	"strconv"

	"pulleygw.example/pulleygw/internal/gatherer/query"
)

// Some kinds ask ranges for more than the client wants, to merge the answers or to bound the error.
const (
	termsSuffix       = "::terms" // name suffix of the terms aggregation that is sent along with a cardinality
	maxListedTerms    = 1000      // size of that terms aggregation: a cardinality is exact if each range has at most this many terms
	distributionSteps = 100       // a percentiles aggregation asks each range for its distribution in this many steps
	countSuffix       = "::count" // name suffix of the value_count aggregation that is sent along with percentiles
	extraTerms        = 10        // buckets that a terms aggregation asks a range for beyond 1.5 times its size
)

// RangeSize returns how many buckets of a terms aggregation a range is asked for: 1.5 times the size and extraTerms, as in
// OpenSearch, so that a term that is rarer in one range than overall is seldom cut off there. A client that wants a smaller
// error can ask for more by shard_size; less than the size is never requested.
func (n *Node) RangeSize() int {
	if n.ShardSize > 0 {
		return max(n.ShardSize, n.Size)
	}
	return min(n.Size+n.Size/2+extraTerms, MaxBuckets)
}

// AppendRequest encodes the request to a range, as the value of its aggs member.
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

// objectWriter builds a JSON object member by member.
type objectWriter struct {
	b       []byte
	started bool
}

// member appends a member, unless its value is empty.
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
		panic(err) // strings can always be marshaled
	}
	return string(text)
}

// quoteUnlessEmpty encodes a string as JSON, but leaves an empty one empty.
func quoteUnlessEmpty(s string) string {
	if s == "" {
		return ""
	}
	return quote(s)
}

// object encodes a JSON object. Members are given as name, value, name, value, and so on; those with an empty value are left
// out.
func object(members ...string) string {
	w := &objectWriter{b: []byte{'{'}}
	for i := 0; i+1 < len(members); i += 2 {
		w.member(members[i], members[i+1])
	}
	return string(append(w.b, '}'))
}

// appendRequest encodes one aggregation, as a member of the object of aggregations.
func (n *Node) appendRequest(b []byte) []byte {
	kind := string(n.Kind)
	var companion []string // another aggregation sent along with this one: name suffix and JSON
	switch n.Kind {
	case Avg: // averages cannot be merged, sums and counts can
		kind = "stats"
	case Cardinality:
		companion = []string{termsSuffix, object("terms", n.fieldBody("size", strconv.Itoa(maxListedTerms)))}
	case Percentiles:
		companion = []string{countSuffix, object("value_count", n.fieldBody())}
	}
	subs := ""
	if len(n.Subs) > 0 {
		subs = string(AppendRequest(nil, n.Subs))
	}
	b = append(append(append(b, quote(n.Name)...), ':'), object(kind, n.requestBody(), "aggs", subs)...)
	if companion != nil {
		b = append(append(append(append(b, ','), quote(n.Name+companion[0])...), ':'), companion[1]...)
	}
	return b
}

// fieldBody encodes the body of an aggregation of a field: the field, the value of lots without it, and further members.
func (n *Node) fieldBody(more ...string) string {
	return object(append([]string{"field", quoteUnlessEmpty(n.Field), "missing", n.Missing}, more...)...)
}

// requestBody encodes the body of the aggregation.
func (n *Node) requestBody() string {
	switch n.Kind {
	case Percentiles:
		return n.fieldBody("percents", distributionPercents(), "keyed", "false")
	case Terms:
		order := object("_count", `"desc"`)
		if n.OrderByKey {
			order = object("_key", map[bool]string{true: `"desc"`, false: `"asc"`}[n.Descending])
		}
		return n.fieldBody("size", strconv.Itoa(n.RangeSize()), "shard_size", strconv.Itoa(n.RangeSize()), "order", order)
	case Histogram:
		return n.fieldBody("interval", strconv.FormatFloat(n.Interval, 'g', -1, 64), "offset", n.Offset, "min_doc_count", "1")
	case DateHistogram:
		interval := ""
		if n.FixedInterval > 0 {
			interval = strconv.FormatInt(n.FixedInterval.Milliseconds(), 10) + "ms"
		}
		return n.fieldBody("fixed_interval", quoteUnlessEmpty(interval), "calendar_interval", quoteUnlessEmpty(n.CalendarInterval), "offset", quoteUnlessEmpty(n.Offset),
			"time_zone", quoteUnlessEmpty(n.TimeZone), "format", quoteUnlessEmpty(n.Format), "min_doc_count", "1")
	case Range, DateRange:
		return n.fieldBody("ranges", n.requestRanges(), "format", quoteUnlessEmpty(n.Format), "time_zone", quoteUnlessEmpty(n.TimeZone))
	case Filter:
		return string(query.JSON(n.Filters[0].Query))
	case Filters:
		return n.requestFilters()
	case TopHits:
		return object("size", strconv.Itoa(n.From+n.Size), "sort", n.Sort, "_source", n.Source)
	}
	return n.fieldBody()
}

// requestRanges encodes the ranges of a range aggregation. Their keys are their indices.
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

// requestFilters encodes the body of a filters aggregation. The filters are a list, so their buckets are in the same order.
func (n *Node) requestFilters() string {
	filters := []byte{'['}
	for i, f := range n.Filters {
		if i > 0 {
			filters = append(filters, ',')
		}
		filters = append(filters, query.JSON(f.Query)...)
	}
	other := ""
	if n.OtherBucketKey != "" {
		other = "true"
	}
	return object("filters", string(append(filters, ']')), "other_bucket", other)
}

// distributionPercents encodes the percentiles that describe the distribution of a range, 0 to 100.
func distributionPercents() string {
	b := []byte{'['}
	for i := 0; i <= distributionSteps; i++ {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendInt(b, int64(i), 10)
	}
	return string(append(b, ']'))
}
