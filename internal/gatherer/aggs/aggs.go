// Package aggs executes aggregations over many ranges: Parse makes a typed tree of what a client asks for, AppendRequest
// encodes the request to each range, Decode parses a range's answer, and Merge merges the answers and says how exact the
// result is. What cannot be merged exactly has a stated bound, or is an error that names it. The package does no I/O.
package aggs

import (
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/query"
)

// Limits of a tree.
const (
	MaxDepth   = 6     // aggregations within aggregations
	MaxNodes   = 100   // in all
	MaxSize    = 10000 // buckets of a terms
	MaxBuckets = 65535 // in one answer, the default of the API
	MaxRanges  = 256   // ranges or filters of one aggregation
	MaxHits    = 100   // of top_hits, the default of the API
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

// Node is one aggregation of a tree.
type Node struct {
	Name  string
	Kind  Kind
	Field string
	// Missing, as JSON, is the value of a lot without the field; empty for none.
	Missing string
	Subs    []*Node

	Size     int  // buckets of a terms, hits of a top_hits
	Shard    int  // buckets of a terms that each range is asked for; 0 for the default
	ByKey    bool // order of a terms
	Desc     bool
	MinDocs  int64 // least count of a bucket
	Keyed    bool
	Interval float64       // of a histogram
	Fixed    time.Duration // of a date_histogram, or
	Calendar string
	Offset   string // as in the API, empty for none
	Zone     string
	Format   string
	Bounds   *[2]float64 // extended_bounds
	Ranges   []Span
	Filters  []Named
	Other    string // name of the bucket of lots that no filter matches, empty for none
	Percents []float64
	From     int    // of top_hits
	Sort     string // of top_hits as JSON, empty for by score
	Source   string
}

// Span is one range of a range aggregation, its ends as JSON.
type Span struct{ Key, From, To string }

// Named is one filter. The name is empty where filters have none.
type Named struct {
	Name  string
	Query query.Query
}

// buckets reports whether the kind has buckets, and so may have aggregations below it.
func (n *Node) buckets() bool {
	return slices.Contains([]Kind{Terms, Histogram, DateHistogram, Range, DateRange, Filter, Filters, Missing}, n.Kind)
}
