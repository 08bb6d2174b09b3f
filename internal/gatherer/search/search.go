// Package search plans how a search is executed over many ranges of lots: which range is asked for scores and when, which
// need not be asked, which lots make the page, which listings to fetch, and what the answer may claim.
//
// It does no I/O and has no clock: its host passes answers and the time, as a duration since some fixed moment, and carries
// out its orders. Lot stores, retries and rejections are package policy's.
//
// A Chooser chooses one phase or two, a Plan leads one query, and an Index remembers bounds of ranges between queries.
package search

import (
	"math"

	"pulleygw.example/pulleygw/internal/gatherer/merge"
)

// Counting says how the client wants matching lots to be counted.
type Counting int

// The special values of Counting. A number above 0 asks for a count that is exact up to it.
const (
	CountNone   Counting = 0
	CountAll    Counting = -1 // exact
	CountAnyhow Counting = -2 // what is known without asking more ranges; the default
)

// Query is one search.
type Query struct {
	Keys       []merge.Key // at least one
	From, Size int
	Count      Counting
	After      *merge.After // the page begins behind it; nil for at the start
	Ties       bool         // ranges are asked to break ties by id
	Truncated  bool         // ranges may terminate before they have examined all their lots, so that answers bound nothing
	// Name identifies queries with the same lots in the same order: two of one name differ at most in From, Size and
	// Count. Empty where no bounds may be learned or used.
	Name string
	// Clauses are the names of the clauses whose scores add up to a lot's; nil where its score is not such a sum. They
	// matter only where the first key is the score, best first.
	Clauses []string
	// Plain queries consist of one clause and nothing else, so that its best score is learned from their answers.
	Plain bool
	// Pins are the versions that ranges must answer from, by number, and Absent the ranges that are excluded; nil for
	// none.
	Pins   map[int]int64
	Absent []int
	// Every says that more than the page is asked of each range, so that only a range without a lot may be skipped.
	Every bool
	// Extra is the host's, for encoding requests and decoding answers.
	Extra any
}

// page is how many lots a range may have to return.
func (q *Query) page() int { return q.From + q.Size }

// byScore reports whether the best score is the first key.
func (q *Query) byScore() bool { return q.Keys[0].Field == merge.Score && q.Keys[0].Desc }

// View is the state of a range that an answer was made from. The zero View guarantees nothing.
type View struct {
	Boot      string  // id of the start of the lot store's process; empty if unknown
	Version   int64   // increases with every change of the range that a search can see
	StableFor float64 // seconds from the request on for which the replica's searches see this version
}

// Answer is the answer of a range to the score phase.
type Answer struct {
	Hits     []merge.Hit // sorted, with ID and Sort set
	Total    int64       // lots of the range that match
	AtLeast  bool        // Total is a lower bound
	View     View
	Extremes map[string]Extremes // of fields over all lots of the range, where requested
	Bytes    int                 // size of the answer on the wire
	Extra    any                 // the answer to the query's Extra, as decoded by the host
}

// Extremes are a field's least and greatest value in a range.
type Extremes struct{ Least, Greatest merge.Value }

// Check returns what is wrong with an answer to a query, empty if it is valid: more hits than requested, a duplicate id,
// sort values that are missing or out of order, a total that its own hits contradict.
func (a *Answer) Check(q *Query) string {
	if merge.HasDuplicates(a.Hits) {
		return "a hit stands twice"
	}
	for i := range a.Hits {
		h := &a.Hits[i]
		if h.ID == "" {
			return "a hit without an id"
		}
		if len(h.Sort) != len(q.Keys) {
			return "a hit without its sort values"
		}
		for j, k := range q.Keys {
			if v := h.Sort[j]; math.IsNaN(v.Num) || k.Field == merge.Score && v.Kind != merge.Number {
				return "a hit with a score that is no number"
			}
		}
		if i == 0 {
			continue
		}
		last := &a.Hits[i-1]
		if c := merge.Compare(q.Keys, last.Sort, h.Sort); c > 0 || c == 0 && q.Ties && last.ID >= h.ID {
			return "the hits are not in order"
		}
	}
	switch {
	case len(a.Hits) > q.page():
		return "more hits than were asked for"
	case a.Total < 0 || q.Count != CountNone && a.Total < int64(len(a.Hits)):
		return "a total that its hits refute"
	case q.Count != CountNone && !a.AtLeast && q.After == nil && len(a.Hits) < q.page() && a.Total > int64(len(a.Hits)):
		return "fewer hits than were asked for and counted"
	}
	return ""
}
