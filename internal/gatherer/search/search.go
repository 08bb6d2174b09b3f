// Package search decides how a search is put to many ranges of lots: which range is asked for scores and when,
// which need not be asked, which lots make the page, what listings to fetch, and what the answer may claim.
//
// It does no input or output, keeps no clock and knows no wire: its host hands it answers and the time, as a
// duration since some fixed moment, and carries out its orders. It never chooses lot stores, further attempts or
// refusals, which are package policy's.
package search

import (
	"math"

	"pulleygw.example/pulleygw/internal/gatherer/merge"
)

// Counting says what a client wants to know of the number of lots.
type Counting int

// The countings that are not a number of lots. A number above 0 asks for a count that is exact up to it.
const (
	CountNone   Counting = 0
	CountAll    Counting = -1 // exact
	CountAnyhow Counting = -2 // what comes without asking more ranges; the usual
)

// Query is what one client asks for.
type Query struct {
	Keys       []merge.Key // at least one
	From, Size int
	Count      Counting
	After      *merge.After // the page begins behind it; nil for at the start
	Ties       bool         // ranges are asked to break ties by id
	Cut        bool         // ranges may end before they have looked at all their lots, so that answers bound nothing
	// Name tells queries that the same lots answer in the same order: two of one name differ in From, Size and
	// Count at most. Empty where nothing may be learnt or used.
	Name string
	// Clauses are the parts whose scores add up to a lot's, by name; nil where its score is not such a sum. They
	// matter only where the first key is the score, best first.
	Clauses []string
	// Plain queries consist of their one clause and nothing else, so that their answers teach its best score.
	Plain bool
	// Pins are the versions that ranges must answer from, by number, and Absent the ranges that stay out of the search;
	// nil for as they come.
	Pins   map[int]int64
	Absent []int
	// Every says that more is asked of each range than the page, so that only one without a lot may be left out.
	Every bool
	// Extra is the host's own, for formatting questions and reading answers.
	Extra any
}

// page is how many lots a range may have to name.
func (q *Query) page() int { return q.From + q.Size }

// byScore says whether the best score is the first key.
func (q *Query) byScore() bool { return q.Keys[0].Field == merge.Score && q.Keys[0].Desc }

// View is what a range's answer was made from. The zero View promises nothing.
type View struct {
	Boot    string  // tells one start of a lot store's process from another; empty where it did not say
	Version int64   // grows with every change to the range that a search can see
	Holds   float64 // seconds from the question on for which the copy's searches see this very version
}

// Answer is what a range said to the score phase.
type Answer struct {
	Hits     []merge.Hit // sorted, with ID and Sort set
	Total    int64       // lots of the range that match
	AtLeast  bool        // Total is a lower bound
	View     View
	Extremes map[string]Extremes // of fields over all lots of the range, where asked for
	Bytes    int                 // of the answer on its wire, to be measured by
	Extra    any                 // what the host makes of the query's Extra
}

// Extremes are a field's least and greatest value in a range.
type Extremes struct{ Least, Greatest merge.Value }

// Check says what is wrong with an answer to a query, and nothing where it can be used: more hits than were
// asked for, an id twice, sort values that are lacking or not in order, a total that its own hits refute.
func (a *Answer) Check(q *Query) string {
	if merge.Twice(a.Hits) {
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
