// Package aggs is what becomes of aggregations over many ranges: a typed tree of what a client asks for, the question
// that each range is asked for it, and one figure out of the ranges' answers, with how exact it is. It does no input
// or output. What ranges' answers do not allow to be merged exactly has a stated bound, or is refused by name.
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
	MaxBuckets = 65535 // in one answer, as the API has it by default
	MaxRanges  = 256   // ranges or filters of one aggregation
	MaxHits    = 100   // of top_hits, as the API has it by default
)

// Kind is a kind of aggregation.
type Kind string

// The kinds that are known.
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
	// Missing, as JSON, is what a lot without the field counts as; empty for nothing.
	Missing string
	Subs    []*Node

	Size     int  // buckets of a terms, hits of a top_hits
	Shard    int  // buckets of a terms that each range is asked for; 0 for as many as is usual
	ByKey    bool // a terms' order
	Desc     bool
	MinDocs  int64 // a bucket's least count
	Keyed    bool
	Interval float64       // of a histogram
	Fixed    time.Duration // of a date_histogram, or
	Calendar string
	Offset   string // as the API has it, empty for none
	Zone     string
	Format   string
	Bounds   *[2]float64 // extended_bounds
	Ranges   []Span
	Filters  []Named
	Other    string // name of the bucket of what no filter matches, empty for none
	Percents []float64
	From     int    // of top_hits
	Sort     string // of top_hits as JSON, empty for by score
	Source   string
}

// Span is one range of a range aggregation, its ends as JSON.
type Span struct{ Key, From, To string }

// Named is one filter; the name is empty where they have none.
type Named struct {
	Name  string
	Query query.Query
}

// buckets says whether aggregations may stand below.
func (n *Node) buckets() bool {
	return slices.Contains([]Kind{Terms, Histogram, DateHistogram, Range, DateRange, Filter, Filters, Missing}, n.Kind)
}
