// Package query is the typed tree of the query language that searches are asked in: what is known of it, within stated
// limits. It parses the JSON form and the short form of a q parameter, and formats a tree in one canonical way, so that
// two texts that mean the same are worded the same. It answers no query.
package query

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Limits of a query. The API's own defaults where it has any.
const (
	MaxDepth   = 20       // queries within queries
	MaxClauses = 1024     // queries in all
	MaxTerms   = 65536    // values of one terms or ids query
	MaxFields  = 64       // of one multi_match
	MaxField   = 256      // bytes of a field's name
	MaxText    = 32 << 10 // bytes of a text to match
)

// Query is one node of the tree. The zero Boost stands for 1.
type Query interface {
	// append formats the node as JSON.
	append(b []byte) []byte
}

// Value is a value as JSON has it: a string, number, boolean or null, worded canonically.
type Value string

type (
	// All matches every lot, None no lot.
	All  struct{ Boost float64 }
	None struct{}
	// Match analyses its text and matches lots that have any of its terms, or with And all of them.
	Match struct {
		Field     string
		Text      Value
		And       bool
		MinShould string
		Fuzziness string
		Boost     float64
	}
	// Phrase matches the text's terms in a row, at most Slop places apart; Prefix: the last of them as a prefix.
	Phrase struct {
		Field  string
		Text   Value
		Slop   int
		Prefix bool
		Boost  float64
	}
	// MultiMatch is a Match in several fields; Type says how their scores come together.
	MultiMatch struct {
		Fields    []string // each with ^boost where it has one
		Text      Value
		Type      string
		And       bool
		MinShould string
		Boost     float64
	}
	// Terms matches lots that have one of the values as it is; a term query has one.
	Terms struct {
		Field  string
		Values []Value
		Single bool // worded as term: scores by the term, where terms scores 1
		Fold   bool // whichever the case
		Boost  float64
	}
	// Range matches lots whose field is between bounds.
	Range struct {
		Field            string
		GT, GTE, LT, LTE Value // empty for none
		Format, TimeZone string
		Boost            float64
	}
	// IDs matches lots by their ids.
	IDs struct {
		Values []string
		Boost  float64
	}
	// Exists matches lots that have the field.
	Exists struct {
		Field string
		Boost float64
	}
	// Pattern matches by a prefix, or with Wild by ? and *.
	Pattern struct {
		Field, Text string
		Wild, Fold  bool
		Boost       float64
	}
	// Constant gives every lot of a filter the same score.
	Constant struct {
		Filter Query
		Boost  float64
	}
	// Bool brings queries together; lots match all of Must and Filter, none of MustNot, and so many of Should.
	Bool struct {
		Must, Filter, Should, MustNot []Query
		MinShould                     string // empty for the API's default
		Boost                         float64
	}
)

// JSON formats a query canonically.
func JSON(q Query) []byte { return q.append(nil) }

// object formats {"kind":{...}}, with members in the order given; those of empty value are left out.
func object(b []byte, kind string, boost float64, members ...string) []byte {
	b = append(append(append(b, `{"`...), kind...), `":{`...)
	b = appendMembers(b, boost, members...)
	return append(b, `}}`...)
}

func appendMembers(b []byte, boost float64, members ...string) []byte {
	first := true
	add := func(name, value string) {
		if value == "" {
			return
		}
		if !first {
			b = append(b, ',')
		}
		first = false
		b = append(append(appendString(b, name), ':'), value...)
	}
	for i := 0; i+1 < len(members); i += 2 {
		add(members[i], members[i+1])
	}
	if boost != 0 && boost != 1 {
		add("boost", strconv.FormatFloat(boost, 'g', -1, 64))
	}
	return b
}

// fielded formats {"kind":{"field":{...}}}.
func fielded(b []byte, kind, field string, boost float64, members ...string) []byte {
	b = append(append(append(b, `{"`...), kind...), `":{`...)
	b = append(appendString(b, field), `:{`...)
	return append(appendMembers(b, boost, members...), `}}}`...)
}

func appendString(b []byte, s string) []byte {
	text, err := json.Marshal(strings.ToValidUTF8(s, "\uFFFD")) // else what is not valid is escaped, and worded otherwise again
	if err != nil {
		panic(err) // a string
	}
	return append(b, text...)
}

func quote(s string) string {
	if s == "" {
		return ""
	}
	return string(appendString(nil, s))
}

func flag(set bool, value string) string {
	if set {
		return value
	}
	return ""
}

func (q All) append(b []byte) []byte  { return object(b, "match_all", q.Boost) }
func (q None) append(b []byte) []byte { return object(b, "match_none", 0) }

func (q Match) append(b []byte) []byte {
	return fielded(b, "match", q.Field, q.Boost, "query", string(q.Text), "operator", flag(q.And, `"and"`),
		"minimum_should_match", quote(q.MinShould), "fuzziness", quote(q.Fuzziness))
}

func (q Phrase) append(b []byte) []byte {
	kind := "match_phrase"
	if q.Prefix {
		kind = "match_phrase_prefix"
	}
	return fielded(b, kind, q.Field, q.Boost, "query", string(q.Text), "slop", flag(q.Slop > 0, strconv.Itoa(q.Slop)))
}

func (q MultiMatch) append(b []byte) []byte {
	return object(b, "multi_match", q.Boost, "query", string(q.Text), "fields", list(q.Fields), "type", quote(q.Type),
		"operator", flag(q.And, `"and"`), "minimum_should_match", quote(q.MinShould))
}

func (q Terms) append(b []byte) []byte {
	if q.Single {
		return fielded(b, "term", q.Field, q.Boost, "value", string(q.Values[0]), "case_insensitive", flag(q.Fold, "true"))
	}
	values := make([]string, len(q.Values))
	for i, v := range q.Values {
		values[i] = string(v)
	}
	return object(b, "terms", q.Boost, q.Field, "["+strings.Join(values, ",")+"]")
}

func (q Range) append(b []byte) []byte {
	return fielded(b, "range", q.Field, q.Boost, "gt", string(q.GT), "gte", string(q.GTE), "lt", string(q.LT), "lte", string(q.LTE),
		"format", quote(q.Format), "time_zone", quote(q.TimeZone))
}

func (q IDs) append(b []byte) []byte {
	values := slices.Clone(q.Values)
	slices.Sort(values)
	return object(b, "ids", q.Boost, "values", list(slices.Compact(values)))
}

func (q Exists) append(b []byte) []byte { return object(b, "exists", q.Boost, "field", quote(q.Field)) }

func (q Pattern) append(b []byte) []byte {
	return fielded(b, map[bool]string{false: "prefix", true: "wildcard"}[q.Wild], q.Field, q.Boost,
		"value", string(appendString(nil, q.Text)), "case_insensitive", flag(q.Fold, "true"))
}

func (q Constant) append(b []byte) []byte {
	return object(b, "constant_score", q.Boost, "filter", string(q.Filter.append(nil)))
}

func (q Bool) append(b []byte) []byte {
	return object(b, "bool", q.Boost, "must", nodes(q.Must, false), "filter", nodes(q.Filter, true), "should", nodes(q.Should, false),
		"must_not", nodes(q.MustNot, true), "minimum_should_match", quote(q.MinShould))
}

// nodes formats a list of queries; those whose order does not show in a score stand in one order.
func nodes(list []Query, sorted bool) string {
	if len(list) == 0 {
		return ""
	}
	texts := make([]string, len(list))
	for i, q := range list {
		texts[i] = string(q.append(nil))
	}
	if sorted {
		slices.Sort(texts)
		texts = slices.Compact(texts)
	}
	return "[" + strings.Join(texts, ",") + "]"
}

func list(values []string) string {
	b := []byte{'['}
	for i, v := range values {
		if i > 0 {
			b = append(b, ',')
		}
		b = appendString(b, v)
	}
	return string(append(b, ']'))
}

// Clauses are the queries whose scores add up to a lot's score, worded; nil where it is no such sum.
func Clauses(q Query) (clauses []string) {
	b, ok := q.(Bool)
	if !ok {
		return []string{string(JSON(q))}
	}
	if b.Boost != 0 && b.Boost != 1 {
		return nil
	}
	for _, c := range slices.Concat(b.Must, b.Should) {
		clauses = append(clauses, string(JSON(c)))
	}
	return clauses
}

// Plain says whether a query is its one clause and nothing else.
func Plain(q Query) bool {
	_, ok := q.(Bool)
	return !ok
}

// Moves says whether what a query matches depends on the time of day, whichever lots there are.
func Moves(q Query) bool {
	switch q := q.(type) {
	case Range:
		for _, v := range []Value{q.GT, q.GTE, q.LT, q.LTE} {
			if strings.HasPrefix(string(v), `"now`) {
				return true
			}
		}
	case Constant:
		return Moves(q.Filter)
	case Bool:
		return slices.ContainsFunc(slices.Concat(q.Must, q.Filter, q.Should, q.MustNot), Moves)
	}
	return false
}

// Count is the number of queries in a tree.
func Count(q Query) (n int) {
	n = 1
	switch q := q.(type) {
	case Constant:
		n += Count(q.Filter)
	case Bool:
		for _, c := range slices.Concat(q.Must, q.Filter, q.Should, q.MustNot) {
			n += Count(c)
		}
	}
	return n
}

// boosted is a boost that the API takes: finite and not below 0.
func boosted(x float64) bool { return x >= 0 && !math.IsInf(x, 0) && cmp.Compare(x, x) == 0 }
