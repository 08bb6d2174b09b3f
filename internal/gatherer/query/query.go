// Package query is the typed tree of the supported part of the OpenSearch query language, within stated limits. Parse parses
// the JSON form, Short that of a q parameter, and JSON formats a tree in one canonical way, so that equivalent texts have
// the same form. The package executes no query.
package query

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Limits of a query: the API's defaults where it has any.
const (
	MaxDepth   = 20       // queries within queries
	MaxClauses = 1024     // queries in all
	MaxTerms   = 65536    // values of one terms or ids query
	MaxFields  = 64       // of one multi_match
	MaxField   = 256      // bytes of a field's name
	MaxText    = 32 << 10 // bytes of a text to match
)

// Query is one node of the tree. A Boost of 0 means 1.
type Query interface {
	// append formats the node as JSON.
	append(b []byte) []byte
}

// Value is a JSON value: a string, number, boolean or null, in canonical form.
type Value string

// All matches every lot.
type All struct{ Boost float64 }

// None matches no lot.
type None struct{}

// Match analyses its text and matches lots that have any of its terms, or with And all of them.
type Match struct {
	Field     string
	Text      Value
	And       bool
	MinShould string
	Fuzziness string
	Boost     float64
}

// Phrase matches the terms of the text in sequence, at most Slop positions apart; with Prefix the last of them as a prefix.
type Phrase struct {
	Field  string
	Text   Value
	Slop   int
	Prefix bool
	Boost  float64
}

// MultiMatch is a Match in several fields. Type says how their scores are combined.
type MultiMatch struct {
	Fields    []string // each with ^boost where it has one
	Text      Value
	Type      string
	And       bool
	MinShould string
	Boost     float64
}

// Terms matches lots that have one of the values exactly. A term query has one value.
type Terms struct {
	Field  string
	Values []Value
	Single bool // a term query, scored by the term, where terms scores 1
	Fold   bool // case-insensitive
	Boost  float64
}

// Range matches lots whose field is between bounds.
type Range struct {
	Field            string
	GT, GTE, LT, LTE Value // empty for none
	Format, TimeZone string
	Boost            float64
}

// IDs matches lots by their ids.
type IDs struct {
	Values []string
	Boost  float64
}

// Exists matches lots that have the field.
type Exists struct {
	Field string
	Boost float64
}

// Pattern matches by a prefix, or with Wild by the wildcards ? and *.
type Pattern struct {
	Field, Text string
	Wild, Fold  bool
	Boost       float64
}

// Constant gives every lot of a filter the same score.
type Constant struct {
	Filter Query
	Boost  float64
}

// Bool combines queries: lots match all of Must and Filter, none of MustNot, and MinShould of Should.
type Bool struct {
	Must, Filter, Should, MustNot []Query
	MinShould                     string // empty for the API's default
	Boost                         float64
}

// JSON formats a query canonically.
func JSON(q Query) []byte { return q.append(nil) }

// object formats {"kind":{...}} with members in the given order; those of empty value are left out.
func object(b []byte, kind string, boost float64, members ...string) []byte {
	b = append(append(append(b, `{"`...), kind...), `":{`...)
	b = appendMembers(b, boost, members...)
	return append(b, `}}`...)
}

// appendMembers formats members given in pairs, and the boost.
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

// appendString formats a string as JSON.
func appendString(b []byte, s string) []byte {
	text, err := json.Marshal(strings.ToValidUTF8(s, "\uFFFD")) // else invalid UTF-8 would be escaped, and not parse to the same form
	if err != nil {
		panic(err) // a string
	}
	return append(b, text...)
}

// quote formats a string as JSON, an empty one as nothing.
func quote(s string) string {
	if s == "" {
		return ""
	}
	return string(appendString(nil, s))
}

// flag is the value if set, else nothing.
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

// nodes formats a list of queries. Those that do not contribute to the score are sorted.
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

// list formats a list of strings.
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

// Clauses returns the canonical forms of the queries whose scores add up to a lot's score; nil where it is no such sum.
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

// Plain reports whether a query is one clause and nothing else.
func Plain(q Query) bool {
	_, ok := q.(Bool)
	return !ok
}

// TimeDependent reports whether what a query matches depends on the time of day.
func TimeDependent(q Query) bool {
	switch q := q.(type) {
	case Range:
		for _, v := range []Value{q.GT, q.GTE, q.LT, q.LTE} {
			if strings.HasPrefix(string(v), `"now`) {
				return true
			}
		}
	case Constant:
		return TimeDependent(q.Filter)
	case Bool:
		return slices.ContainsFunc(slices.Concat(q.Must, q.Filter, q.Should, q.MustNot), TimeDependent)
	}
	return false
}

// Count returns the number of queries in a tree.
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

// boosted reports whether a boost is valid: finite and not below 0.
func boosted(x float64) bool { return x >= 0 && !math.IsInf(x, 0) && cmp.Compare(x, x) == 0 }
