// Package aggs executes OpenSearch aggregations over many ranges. A range is a part of the lots that is searched on its own,
// like a shard of OpenSearch, and a lot is a document. Parse parses the aggregations of a client's request, AppendRequest
// encodes the request to each range, Decode parses a range's answer, and Merge merges the answers and states how exact the
// result is. An aggregation that cannot be merged exactly either has a stated error bound or is refused by an error that
// names it. The package does no I/O.
package aggs

import (
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/query"
)

// Limits of a request for aggregations.
const (
	MaxDepth   = 6     // levels of nested aggregations
	MaxNodes   = 100   // aggregations in one request, nested ones included
	MaxSize    = 10000 // buckets of a terms aggregation
	MaxBuckets = 65535 // in one answer to a client; the default of OpenSearch
	MaxRanges  = 256   // ranges or filters of one aggregation
	MaxTopHits = 100   // of a top_hits aggregation; the default of OpenSearch
)

// Kind is a kind of aggregation.
type Kind string

// The supported kinds.
const (
	Min           Kind = "min"
	Max           Kind = "max"
	Sum           Kind = "sum"
	Avg           Kind = "avg"
	Stats         Kind = "stats"
	ValueCount    Kind = "value_count"
	Cardinality   Kind = "cardinality"
	Percentiles   Kind = "percentiles"
	Terms         Kind = "terms"
	Histogram     Kind = "histogram"
	DateHistogram Kind = "date_histogram"
	Range         Kind = "range"
	DateRange     Kind = "date_range"
	Filter        Kind = "filter"
	Filters       Kind = "filters"
	Missing       Kind = "missing"
	TopHits       Kind = "top_hits"
)

// Node is one aggregation with those nested below it. Fields that do not apply to its kind are not set.
type Node struct {
	Name  string
	Kind  Kind
	Field string
	// Missing is the JSON value assumed for lots without the field. If it is empty, such lots are skipped.
	Missing string
	Subs    []*Node

	Size             int  // maximum number of buckets (terms) or hits (top_hits)
	ShardSize        int  // shard_size: number of buckets requested from each range (terms); 0 for the default
	OrderByKey       bool // buckets (terms) are ordered by key, otherwise by count
	Descending       bool
	MinDocCount      int64 // buckets with fewer lots are left out; -1 if the request does not say
	Keyed            bool
	Interval         float64       // of a histogram
	FixedInterval    time.Duration // of a date_histogram, unless it has a CalendarInterval
	CalendarInterval string        // of a date_histogram, a value of calendarIntervals
	Offset           string        // of the buckets of a histogram, as the client wrote it; empty for none
	TimeZone         string
	Format           string
	ExtendedBounds   *[2]float64 // least and greatest value that the empty buckets cover
	Ranges           []Span
	Filters          []NamedFilter
	OtherBucketKey   string // key of the bucket of lots that no filter matches; empty if it was not asked for
	Percentiles      []float64
	From             int    // number of hits to skip (top_hits)
	Sort             string // of the hits (top_hits), as JSON; empty for the order by score
	Source           string // _source of the hits (top_hits), as JSON
}

// Span is one range of values in a range or date_range aggregation. Its ends are JSON, or empty where it is open.
type Span struct{ Key, From, To string }

// NamedFilter is one filter of a filter or filters aggregation. The name is empty where the client gave filters as a list.
type NamedFilter struct {
	Name  string
	Query query.Query
}

// hasBuckets reports whether the kind has buckets, and so may have nested aggregations.
func (n *Node) hasBuckets() bool {
	return slices.Contains([]Kind{Terms, Histogram, DateHistogram, Range, DateRange, Filter, Filters, Missing}, n.Kind)
}
