// Package query represents the supported part of the OpenSearch query language as typed trees, within stated limits. It
// parses the JSON form and the query strings of the q parameter, and formats a tree as canonical JSON, so that equivalent
// queries have the same text. It executes no query. The documents that queries match are called lots.
package query

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Limits of a query. They are OpenSearch's defaults where it has such a limit.
const (
	MaxDepth            = 20       // levels of nested queries
	MaxClauses          = 1024     // queries in one tree
	MaxTerms            = 65536    // values of one terms or ids query
	MaxMultiMatchFields = 64       // fields of one multi_match query
	MaxFieldName        = 256      // bytes of a field name
	MaxText             = 32 << 10 // bytes of a text or value to match
)

// Query is one node of the tree. A Boost of 0 means 1.
type Query interface {
	// append formats the node as JSON.
	append(b []byte) []byte
}

// Value is a JSON value: a string, number, boolean or null, in canonical form.
type Value string

// MatchAll matches every lot.
type MatchAll struct{ Boost float64 }

// MatchNone matches no lot.
type MatchNone struct{}

// Match splits its text into terms as the field does, and matches lots that have any of them, or with AllTerms all of them.
type Match struct {
	Field              string
	Text               Value
	AllTerms           bool
	MinimumShouldMatch string
	Fuzziness          string
	Boost              float64
}

// Phrase matches lots that have the terms of the text in order, at most Slop positions apart. With Prefix, the last term
// is matched as a prefix.
type Phrase struct {
	Field  string
	Text   Value
	Slop   int
	Prefix bool
	Boost  float64
}

// MultiMatch is a Match in several fields. Type says how their scores are combined.
type MultiMatch struct {
	Fields             []string // field names, each followed by ^ and its boost where it has one
	Text               Value
	Type               string
	AllTerms           bool
	MinimumShouldMatch string
	Boost              float64
}

// Terms is a term or a terms query: it matches lots whose field has one of the values exactly.
type Terms struct {
	Field           string
	Values          []Value
	TermQuery       bool // a term query, which has one value and scores by its term; a terms query scores 1
	CaseInsensitive bool
	Boost           float64
}

// Range matches lots whose field is between bounds.
type Range struct {
	Field            string
	GT, GTE, LT, LTE Value // empty where there is no such bound
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

// Pattern matches lots whose field starts with Text or, with Wildcard, matches Text with the wildcards ? and *.
type Pattern struct {
	Field, Text               string
	Wildcard, CaseInsensitive bool
	Boost                     float64
}

// ConstantScore gives every lot that matches Filter the same score.
type ConstantScore struct {
	Filter Query
	Boost  float64
}

// Bool combines queries: a lot matches all of Must and Filter, none of MustNot, and as many of Should as MinimumShouldMatch
// says.
type Bool struct {
	Must, Filter, Should, MustNot []Query
	MinimumShouldMatch            string // empty for OpenSearch's default
	Boost                         float64
}

// JSON formats a query canonically.
func JSON(q Query) []byte { return q.append(nil) }

// appendQuery formats {"kind":{...}}. Members are given as name, value, name, value, and so on, and keep this order; those
// with an empty value are left out.
func appendQuery(b []byte, kind string, boost float64, members ...string) []byte {
	b = append(append(append(b, `{"`...), kind...), `":{`...)
	b = appendMembers(b, boost, members...)
	return append(b, `}}`...)
}

// appendMembers formats members, given as for appendQuery, and the boost unless it is 1.
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

// appendFieldQuery formats {"kind":{"field":{...}}}, with members as for appendQuery.
func appendFieldQuery(b []byte, kind, field string, boost float64, members ...string) []byte {
	b = append(append(append(b, `{"`...), kind...), `":{`...)
	b = append(appendString(b, field), `:{`...)
	return append(appendMembers(b, boost, members...), `}}}`...)
}

// appendString formats a string as JSON.
func appendString(b []byte, s string) []byte {
	// json.Marshal would escape invalid UTF-8, and the result would not parse to the same form.
	text, err := json.Marshal(strings.ToValidUTF8(s, "\uFFFD"))
	if err != nil {
		panic(err) // strings can always be marshaled
	}
	return append(b, text...)
}

// quoteUnlessEmpty formats a string as JSON, but leaves an empty one empty.
func quoteUnlessEmpty(s string) string {
	if s == "" {
		return ""
	}
	return string(appendString(nil, s))
}

// valueIf returns value if set is true, else an empty string.
func valueIf(set bool, value string) string {
	if set {
		return value
	}
	return ""
}

func (q MatchAll) append(b []byte) []byte  { return appendQuery(b, "match_all", q.Boost) }
func (q MatchNone) append(b []byte) []byte { return appendQuery(b, "match_none", 0) }

func (q Match) append(b []byte) []byte {
	return appendFieldQuery(b, "match", q.Field, q.Boost, "query", string(q.Text), "operator", valueIf(q.AllTerms, `"and"`),
		"minimum_should_match", quoteUnlessEmpty(q.MinimumShouldMatch), "fuzziness", quoteUnlessEmpty(q.Fuzziness))
}

func (q Phrase) append(b []byte) []byte {
	kind := "match_phrase"
	if q.Prefix {
		kind = "match_phrase_prefix"
	}
	return appendFieldQuery(b, kind, q.Field, q.Boost, "query", string(q.Text), "slop", valueIf(q.Slop > 0, strconv.Itoa(q.Slop)))
}

func (q MultiMatch) append(b []byte) []byte {
	return appendQuery(b, "multi_match", q.Boost, "query", string(q.Text), "fields", formatStrings(q.Fields), "type", quoteUnlessEmpty(q.Type),
		"operator", valueIf(q.AllTerms, `"and"`), "minimum_should_match", quoteUnlessEmpty(q.MinimumShouldMatch))
}

func (q Terms) append(b []byte) []byte {
	if q.TermQuery {
		return appendFieldQuery(b, "term", q.Field, q.Boost, "value", string(q.Values[0]), "case_insensitive", valueIf(q.CaseInsensitive, "true"))
	}
	values := make([]string, len(q.Values))
	for i, v := range q.Values {
		values[i] = string(v)
	}
	return appendQuery(b, "terms", q.Boost, q.Field, "["+strings.Join(values, ",")+"]")
}

func (q Range) append(b []byte) []byte {
	return appendFieldQuery(b, "range", q.Field, q.Boost, "gt", string(q.GT), "gte", string(q.GTE), "lt", string(q.LT), "lte", string(q.LTE),
		"format", quoteUnlessEmpty(q.Format), "time_zone", quoteUnlessEmpty(q.TimeZone))
}

func (q IDs) append(b []byte) []byte {
	values := slices.Clone(q.Values)
	slices.Sort(values)
	return appendQuery(b, "ids", q.Boost, "values", formatStrings(slices.Compact(values)))
}

func (q Exists) append(b []byte) []byte {
	return appendQuery(b, "exists", q.Boost, "field", quoteUnlessEmpty(q.Field))
}

func (q Pattern) append(b []byte) []byte {
	return appendFieldQuery(b, map[bool]string{false: "prefix", true: "wildcard"}[q.Wildcard], q.Field, q.Boost,
		"value", string(appendString(nil, q.Text)), "case_insensitive", valueIf(q.CaseInsensitive, "true"))
}

func (q ConstantScore) append(b []byte) []byte {
	return appendQuery(b, "constant_score", q.Boost, "filter", string(q.Filter.append(nil)))
}

func (q Bool) append(b []byte) []byte {
	return appendQuery(b, "bool", q.Boost, "must", formatQueries(q.Must, false), "filter", formatQueries(q.Filter, true), "should", formatQueries(q.Should, false),
		"must_not", formatQueries(q.MustNot, true), "minimum_should_match", quoteUnlessEmpty(q.MinimumShouldMatch))
}

// formatQueries formats a list of queries as JSON. With sorted, which is for queries that do not contribute to the score,
// they are sorted and deduplicated.
func formatQueries(list []Query, sorted bool) string {
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

// formatStrings formats a list of strings as JSON.
func formatStrings(values []string) string {
	b := []byte{'['}
	for i, v := range values {
		if i > 0 {
			b = append(b, ',')
		}
		b = appendString(b, v)
	}
	return string(append(b, ']'))
}

// ScoringClauses returns the canonical forms of the queries whose scores add up to a lot's score. It returns nil for a Bool
// with a boost, whose score is not such a sum.
func ScoringClauses(q Query) (clauses []string) {
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

// IsSingleClause reports whether a query is a single clause rather than a Bool.
func IsSingleClause(q Query) bool {
	_, ok := q.(Bool)
	return !ok
}

// TimeDependent reports whether the lots that a query matches depend on the current time, as with a range that has a bound
// starting with now.
func TimeDependent(q Query) bool {
	switch q := q.(type) {
	case Range:
		for _, v := range []Value{q.GT, q.GTE, q.LT, q.LTE} {
			if strings.HasPrefix(string(v), `"now`) {
				return true
			}
		}
	case ConstantScore:
		return TimeDependent(q.Filter)
	case Bool:
		return slices.ContainsFunc(slices.Concat(q.Must, q.Filter, q.Should, q.MustNot), TimeDependent)
	}
	return false
}

// CountQueries returns the number of queries in a tree.
func CountQueries(q Query) (n int) {
	n = 1
	switch q := q.(type) {
	case ConstantScore:
		n += CountQueries(q.Filter)
	case Bool:
		for _, c := range slices.Concat(q.Must, q.Filter, q.Should, q.MustNot) {
			n += CountQueries(c)
		}
	}
	return n
}

// validBoost reports whether a boost is valid: finite and not below 0.
func validBoost(x float64) bool { return x >= 0 && !math.IsInf(x, 0) && cmp.Compare(x, x) == 0 }
