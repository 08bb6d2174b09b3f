package query

import (
	"errors"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// MaxQueryString is the longest query string accepted, in bytes.
const MaxQueryString = 4 << 10

// The grammar of query strings, from the loosest binding to the tightest: adjacent clauses, OR, AND, signs, then the value
// of a field. The parser's error messages, which clients receive, contain the names of these types. An example:
//
//	make:deere AND year:[2015 TO *] -title:"for parts"^2 (cab OR gps~1)
type (
	shortRow struct {
		Alts []*shortAlt `parser:"@@+"`
	}
	shortAlt struct {
		Conjs []*shortConj `parser:"@@ ( ( 'OR' | OrOr ) @@ )*"`
	}
	shortConj struct {
		Signed []*shortSigned `parser:"@@ ( ( 'AND' | AndAnd ) @@ )*"`
	}
	shortSigned struct {
		Must  bool        `parser:"( @'+'"`
		Not   bool        `parser:"| @( 'NOT' | '-' | '!' ) )?"`
		Field string      `parser:"( @Word ':' )?"`
		Row   *shortRow   `parser:"( '(' @@ ')'"`
		Range *shortRange `parser:"| @@"`
		Than  *shortThan  `parser:"| @@"`
		Text  string      `parser:"| @Quoted"`
		Word  string      `parser:"| @Word )"`
		Fuzzy bool        `parser:"( @'~'"`
		Slop  string      `parser:"@Word? )?"`
		Boost string      `parser:"( '^' @Word )?"`
	}
	shortRange struct {
		Open  string     `parser:"@( '[' | '{' )"`
		From  shortBound `parser:"@@ 'TO'"`
		To    shortBound `parser:"@@"`
		Close string     `parser:"@( ']' | '}' )"`
	}
	shortThan struct {
		Op string     `parser:"@Compare"`
		To shortBound `parser:"@@"`
	}
	shortBound struct {
		Minus bool   `parser:"@'-'?"`
		Text  string `parser:"( @Quoted"`
		Word  string `parser:"| @Word )"`
	}
)

// queryStringParser has no state, so concurrent calls may share it.
var queryStringParser = participle.MustBuild[shortRow](participle.UseLookahead(2), participle.Elide("Space"),
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Space", Pattern: `\s+`},
		{Name: "Quoted", Pattern: `"(?:\\.|[^"\\])*"`},
		{Name: "Keyword", Pattern: `(?:AND|OR|NOT|TO)(?:\b)`},
		{Name: "AndAnd", Pattern: `&&`},
		{Name: "OrOr", Pattern: `\|\|`},
		{Name: "Compare", Pattern: `>=|<=|>|<`},
		{Name: "Word", Pattern: `(?:\\.|[^\s():"\[\]{}^~!+\-<>=&|\\])(?:\\.|[^\s():"\[\]{}^~<>=&|\\!])*`},
		{Name: "Punct", Pattern: `[():^~!+\-\[\]{}]`},
	})))

// ParseQueryString parses a query string. Words without a field are searched in defaultField, or in every field if that is
// empty. With requireAll, adjacent words must all match; else any of them is enough.
func ParseQueryString(text, defaultField string, requireAll bool) (Query, *Error) {
	if len(text) > MaxQueryString {
		return nil, At(text, MaxQueryString, "longer than %d bytes", MaxQueryString)
	}
	if strings.TrimSpace(text) == "" {
		return nil, At(text, 0, "no query")
	}
	depth := 0 // checked before parsing, as the parser recurses for each parenthesis
	for i, c := range text {
		switch c {
		case '(':
			depth++
		case ')':
			depth--
		}
		if depth >= MaxDepth {
			return nil, At(text, i, "queries nested deeper than %d", MaxDepth)
		}
	}
	row, err := queryStringParser.ParseString("", text)
	if err != nil {
		var at participle.Error
		if errors.As(err, &at) {
			return nil, At(text, at.Position().Offset, "%s", at.Message())
		}
		return nil, At(text, 0, "%v", err)
	}
	s := queryStringConverter{text: text, defaultField: defaultField, requireAll: requireAll}
	q, e := s.sequence(row, defaultField)
	if e == nil && CountQueries(q) > MaxClauses {
		e = At(text, 0, "more than %d queries", MaxClauses)
	}
	return q, e
}

// queryStringConverter converts the syntax tree of a query string to a query.
type queryStringConverter struct {
	text, defaultField string
	requireAll         bool
}

// unwrap returns the clause of a Bool that has just one, in Must or Should, and any other Bool unchanged.
func unwrap(b Bool) Query {
	switch {
	case len(b.MustNot) > 0 || len(b.Filter) > 0:
	case len(b.Must) == 1 && len(b.Should) == 0:
		return b.Must[0]
	case len(b.Should) == 1 && len(b.Must) == 0:
		return b.Should[0]
	}
	return b
}

// sequence converts adjacent clauses, which requireAll combines by AND, else by OR.
func (s *queryStringConverter) sequence(r *shortRow, field string) (Query, *Error) {
	b := Bool{}
	for _, a := range r.Alts {
		var q Query
		var e *Error
		clause := &shortSigned{}
		// The sign of a single clause selects MustNot, Must or Should below. Joined clauses have no sign in common:
		// conjunction handles the sign of each.
		if len(a.Conjs) == 1 && len(a.Conjs[0].Signed) == 1 {
			clause = a.Conjs[0].Signed[0]
			q, e = s.value(clause, field)
		} else {
			q, e = s.disjunction(a, field)
		}
		if e != nil {
			return nil, e
		}
		switch {
		case clause.Not:
			b.MustNot = append(b.MustNot, q)
		case clause.Must || s.requireAll:
			b.Must = append(b.Must, q)
		default:
			b.Should = append(b.Should, q)
		}
	}
	q := unwrap(b)
	return q, nil
}

// disjunction converts clauses joined by OR.
func (s *queryStringConverter) disjunction(a *shortAlt, field string) (Query, *Error) {
	b := Bool{}
	for _, c := range a.Conjs {
		q, e := s.conjunction(c, field)
		if e != nil {
			return nil, e
		}
		b.Should = append(b.Should, q)
	}
	q := unwrap(b)
	return q, nil
}

// conjunction converts clauses joined by AND.
func (s *queryStringConverter) conjunction(c *shortConj, field string) (Query, *Error) {
	b := Bool{}
	for _, clause := range c.Signed {
		q, e := s.value(clause, field)
		if e != nil {
			return nil, e
		}
		if clause.Not {
			b.MustNot = append(b.MustNot, q)
		} else {
			b.Must = append(b.Must, q)
		}
	}
	q := unwrap(b)
	return q, nil
}

// value converts the value of a field to a query. It leaves the sign to the caller.
func (s *queryStringConverter) value(clause *shortSigned, field string) (Query, *Error) {
	if clause.Field != "" {
		field = unescape(clause.Field)
	}
	if len(field) > MaxFieldName {
		return nil, At(s.text, 0, "a field's name is longer than %d bytes", MaxFieldName)
	}
	boost := 0.0
	if clause.Boost != "" {
		var err error
		if boost, err = strconv.ParseFloat(clause.Boost, 64); err != nil || !validBoost(boost) || boost == 0 {
			return nil, At(s.text, strings.Index(s.text, "^"+clause.Boost), "the boost [%.40s] is not a number above 0", clause.Boost)
		}
	}
	switch {
	case clause.Row != nil:
		q, e := s.sequence(clause.Row, field)
		if e != nil || boost == 0 {
			return q, e
		}
		return Bool{Must: []Query{q}, Boost: boost}, nil
	case field == "" && (clause.Range != nil || clause.Than != nil):
		return nil, At(s.text, 0, "a range wants a field")
	case clause.Range != nil:
		return twoSidedRange(clause, field, boost), nil
	case clause.Than != nil:
		return oneSidedRange(clause, field, boost), nil
	case clause.Text != "":
		return s.phrase(clause, field, boost)
	}
	return s.word(clause, field, boost)
}

// twoSidedRange converts a range in brackets, which has two bounds. If both are open, the field only has to exist.
func twoSidedRange(clause *shortSigned, field string, boost float64) Query {
	r := Range{Field: field, Boost: boost}
	from, to := clause.Range.From.value(), clause.Range.To.value()
	if from+to == "" {
		return Exists{Field: field, Boost: boost}
	}
	if clause.Range.Open == "{" {
		r.GT = from
	} else {
		r.GTE = from
	}
	if clause.Range.Close == "}" {
		r.LT = to
	} else {
		r.LTE = to
	}
	return r
}

// oneSidedRange converts a range with a comparison operator, which has one bound.
func oneSidedRange(clause *shortSigned, field string, boost float64) Query {
	r, bound := Range{Field: field, Boost: boost}, clause.Than.To.value()
	switch clause.Than.Op {
	case ">":
		r.GT = bound
	case ">=":
		r.GTE = bound
	case "<":
		r.LT = bound
	default:
		r.LTE = bound
	}
	return r
}

// phrase converts a quoted phrase.
func (s *queryStringConverter) phrase(clause *shortSigned, field string, boost float64) (Query, *Error) {
	text := Value(appendString(nil, unescape(clause.Text[1:len(clause.Text)-1])))
	slop := 0
	if clause.Fuzzy {
		var err error
		if slop, err = strconv.Atoi(clause.Slop); err != nil || slop < 0 || slop > 1000 {
			return nil, At(s.text, strings.Index(s.text, "~"), "the slop [%.40s] is not a whole number from 0 to 1000", clause.Slop)
		}
	}
	if field == "" {
		return MultiMatch{Fields: []string{"*"}, Text: text, Type: "phrase", Boost: boost}, nil
	}
	return Phrase{Field: field, Text: text, Slop: slop, Boost: boost}, nil
}

// word converts an unquoted word, which may be a prefix or a pattern with wildcards.
func (s *queryStringConverter) word(clause *shortSigned, field string, boost float64) (Query, *Error) {
	hasWildcard := strings.ContainsAny(strings.ReplaceAll(strings.ReplaceAll(clause.Word, `\*`, ""), `\?`, ""), "*?")
	switch {
	case clause.Word == "*" && field == "":
		return MatchAll{Boost: boost}, nil
	case clause.Word == "*":
		return Exists{Field: field, Boost: boost}, nil
	case hasWildcard && field == "":
		return nil, At(s.text, strings.Index(s.text, clause.Word), "a pattern wants a field: [%.40s]", clause.Word)
	case hasWildcard && strings.IndexAny(clause.Word, "*?") == len(clause.Word)-1 && strings.HasSuffix(clause.Word, "*"):
		return Pattern{Field: field, Text: unescape(strings.TrimSuffix(clause.Word, "*")), Boost: boost}, nil
	case hasWildcard:
		return Pattern{Field: field, Text: clause.Word, Wildcard: true, Boost: boost}, nil
	}
	text := Value(appendString(nil, unescape(clause.Word)))
	if field == "" {
		return MultiMatch{Fields: []string{"*"}, Text: text, Boost: boost}, nil
	}
	q := Match{Field: field, Text: text, Boost: boost}
	if clause.Fuzzy {
		if q.Fuzziness = "AUTO"; clause.Slop != "" {
			if q.Fuzziness = clause.Slop; clause.Slop != "0" && clause.Slop != "1" && clause.Slop != "2" {
				return nil, At(s.text, strings.Index(s.text, "~"), "the fuzziness [%.40s] is not 0, 1 or 2", clause.Slop)
			}
		}
	}
	return q, nil
}

// value returns the bound as JSON: a number if it is written as one, else a string. It is empty for an open bound.
func (b shortBound) value() Value {
	if b.Word == "*" && !b.Minus {
		return ""
	}
	text := unescape(b.Word)
	if b.Text != "" {
		text = unescape(b.Text[1 : len(b.Text)-1])
	}
	if b.Minus {
		text = "-" + text
	}
	if b.Text == "" && isNumber(text) {
		return Value(text)
	}
	return Value(appendString(nil, text))
}

// isNumber reports whether a text is a JSON number without an exponent.
func isNumber(s string) bool {
	digits := strings.TrimPrefix(s, "-")
	whole, fraction, hasFraction := strings.Cut(digits, ".")
	isDigits := func(s string) bool { return s != "" && strings.Trim(s, "0123456789") == "" }
	return isDigits(whole) && (len(whole) == 1 || whole[0] != '0') && (!hasFraction || isDigits(fraction))
}

// unescape removes the backslashes that escape characters of a word or a phrase.
func unescape(s string) string {
	if !strings.ContainsRune(s, '\\') {
		return s
	}
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		if s[i] == '\\' && i+1 < len(s) {
			i++
		}
		b.WriteByte(s[i])
	}
	return b.String()
}
