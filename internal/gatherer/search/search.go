// Package search plans the execution of a search over many ranges of lots: which ranges are asked for scores and when, which
// ranges can be skipped, which lots make the page, which listings to fetch, and whether the result is complete.
//
// It does no I/O and has no clock: its host passes answers and the time, as a duration since some fixed moment, and executes
// its orders. Choosing lot stores, retries and rejections are left to package policy.
//
// A Chooser chooses between one phase and two, a Plan executes one query, and an Index remembers bounds of ranges between
// queries.
package search

import (
	"math"

	"pulleygw.example/pulleygw/internal/gatherer/merge"
)

// Counting says how the client wants matching lots to be counted.
type Counting int

// The special values of Counting. A value above 0 asks for a count that is exact up to that number.
const (
	CountNone       Counting = 0
	CountAll        Counting = -1 // exact
	CountBestEffort Counting = -2 // as exact as possible without asking more ranges; the default
)

// Query is one search.
type Query struct {
	Keys       []merge.Key // at least one
	From, Size int         // the page: skip From lots and return Size
	Count      Counting
	After      *merge.After // position after which the page begins; nil for the start
	TiesByID   bool         // ranges break ties by id
	Truncated  bool         // ranges may stop before they have examined all their lots, so that no bounds follow from answers
	// Name identifies queries that match the same lots in the same order: two queries of the same name differ at most in
	// From, Size and Count. If it is empty, no bounds are learned or used.
	Name string
	// Clauses are the names of the clauses whose scores add up to the score of a lot; nil if the score is not such a sum.
	// They are used only if the first key is the score, descending.
	Clauses []string
	// Plain is set for a query that consists of a single clause, so that the clause's best score follows from the answers.
	Plain bool
	// Pins are the versions that ranges must answer from, by number of the range. Absent are the ranges that are excluded.
	Pins   map[int]int64
	Absent []int
	// SkipEmptyOnly is set if ranges return more than the page, so that only a range without matching lots may be skipped.
	SkipEmptyOnly bool
	// Extra is data of the host for encoding requests and decoding answers.
	Extra any
}

// page returns how many lots each range returns at most.
func (q *Query) page() int { return q.From + q.Size }

// byScore reports whether the first key is the score, descending.
func (q *Query) byScore() bool { return q.Keys[0].Field == merge.Score && q.Keys[0].Desc }

// View identifies the state of a range that an answer is based on. The zero View guarantees nothing.
type View struct {
	Boot      string  // id of the run of the lot store's process; empty if unknown
	Version   int64   // increases with every change of the range that is visible to searches
	StableFor float64 // seconds, from the request on, for which searches at this replica are guaranteed to see this version
}

// Answer is the answer of a range to the score phase.
type Answer struct {
	Hits     []merge.Hit // sorted, with ID and Sort set
	Total    int64       // lots of the range that match
	AtLeast  bool        // Total is a lower bound
	View     View
	Extremes map[string]Extremes // by field, over all lots of the range, if requested
	Bytes    int                 // size of the answer on the wire
	Extra    any                 // answer to Query.Extra, decoded by the host
}

// Extremes are the least and the greatest value of a field in a range.
type Extremes struct{ Least, Greatest merge.Value }

// Check returns what is wrong with an answer to a query, empty if it is valid. An answer must not have more hits than
// requested, duplicate ids, sort values that are missing or out of order, or a total that its hits contradict.
func (a *Answer) Check(q *Query) string {
	if merge.HasDuplicates(a.Hits) {
		return "two hits have the same id"
	}
	for i := range a.Hits {
		h := &a.Hits[i]
		if h.ID == "" {
			return "a hit has no id"
		}
		if len(h.Sort) != len(q.Keys) {
			return "a hit does not have one sort value per sort key"
		}
		for j, k := range q.Keys {
			if v := h.Sort[j]; math.IsNaN(v.Num) || k.Field == merge.Score && v.Kind != merge.Number {
				return "a hit has a score that is not a number"
			}
		}
		if i == 0 {
			continue
		}
		last := &a.Hits[i-1]
		if c := merge.Compare(q.Keys, last.Sort, h.Sort); c > 0 || c == 0 && q.TiesByID && last.ID >= h.ID {
			return "the hits are not sorted"
		}
	}
	switch {
	case len(a.Hits) > q.page():
		return "more hits than requested"
	case a.Total < 0 || q.Count != CountNone && a.Total < int64(len(a.Hits)):
		return "the total is less than the number of hits"
	case q.Count != CountNone && !a.AtLeast && q.After == nil && len(a.Hits) < q.page() && a.Total > int64(len(a.Hits)):
		return "fewer hits than requested, although the total is greater"
	}
	return ""
}
