package query

import (
	"errors"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// MaxShort is the longest short form accepted, in bytes.
const MaxShort = 4 << 10

// The grammar of the short form, from the loosest binding to the tightest: words in sequence, OR, AND, signs, then the value
// of a field. Its type names are part of the parser's messages.
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

// shortParser is stateless.
var shortParser = participle.MustBuild[shortRow](participle.UseLookahead(2), participle.Elide("Space"),
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

// Short parses the short form. Words without a field are searched in df, or in every field if that is empty. With and, words
// in sequence must all match, else any of them.
func Short(text, df string, and bool) (Query, *Error) {
	if len(text) > MaxShort {
		return nil, At(text, MaxShort, "longer than %d bytes", MaxShort)
	}
	if strings.TrimSpace(text) == "" {
		return nil, At(text, 0, "no query")
	}
	depth := 0 // the parser recurses for each
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
	row, err := shortParser.ParseString("", text)
	if err != nil {
		var at participle.Error
		if errors.As(err, &at) {
			return nil, At(text, at.Position().Offset, "%s", at.Message())
		}
		return nil, At(text, 0, "%v", err)
	}
	s := short{text: text, df: df, and: and}
	q, e := s.row(row, df)
	if e == nil && Count(q) > MaxClauses {
		e = At(text, 0, "more than %d queries", MaxClauses)
	}
	return q, e
}

// short converts a parsed short form to a query.
type short struct {
	text, df string
	and      bool
}

// unwrap returns the only clause of a bool that must or should match, and any other bool unchanged.
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

// row converts words in sequence.
func (s *short) row(r *shortRow, field string) (Query, *Error) {
	b := Bool{}
	for _, a := range r.Alts {
		var q Query
		var e *Error
		sign := &shortSigned{}
		if len(a.Conjs) == 1 && len(a.Conjs[0].Signed) == 1 { // a sign binds to the row
			sign = a.Conjs[0].Signed[0]
			q, e = s.value(sign, field)
		} else {
			q, e = s.alt(a, field)
		}
		if e != nil {
			return nil, e
		}
		switch {
		case sign.Not:
			b.MustNot = append(b.MustNot, q)
		case sign.Must || s.and:
			b.Must = append(b.Must, q)
		default:
			b.Should = append(b.Should, q)
		}
	}
	q := unwrap(b)
	return q, nil
}

// alt converts queries joined by OR.
func (s *short) alt(a *shortAlt, field string) (Query, *Error) {
	b := Bool{}
	for _, c := range a.Conjs {
		q, e := s.conj(c, field)
		if e != nil {
			return nil, e
		}
		b.Should = append(b.Should, q)
	}
	q := unwrap(b)
	return q, nil
}

// conj converts queries joined by AND.
func (s *short) conj(c *shortConj, field string) (Query, *Error) {
	b := Bool{}
	for _, one := range c.Signed {
		q, e := s.value(one, field)
		if e != nil {
			return nil, e
		}
		if one.Not {
			b.MustNot = append(b.MustNot, q)
		} else {
			b.Must = append(b.Must, q)
		}
	}
	q := unwrap(b)
	return q, nil
}

// value converts the value of a field to a query, without its sign.
func (s *short) value(one *shortSigned, field string) (Query, *Error) {
	if one.Field != "" {
		field = unescape(one.Field)
	}
	if len(field) > MaxField {
		return nil, At(s.text, 0, "a field's name is longer than %d bytes", MaxField)
	}
	boost := 0.0
	if one.Boost != "" {
		var err error
		if boost, err = strconv.ParseFloat(one.Boost, 64); err != nil || !boosted(boost) || boost == 0 {
			return nil, At(s.text, strings.Index(s.text, "^"+one.Boost), "the boost [%.40s] is not a number above 0", one.Boost)
		}
	}
	switch {
	case one.Row != nil:
		q, e := s.row(one.Row, field)
		if e != nil || boost == 0 {
			return q, e
		}
		return Bool{Must: []Query{q}, Boost: boost}, nil
	case field == "" && (one.Range != nil || one.Than != nil):
		return nil, At(s.text, 0, "a range wants a field")
	case one.Range != nil:
		return rangeBetween(one, field, boost), nil
	case one.Than != nil:
		return rangeBeyond(one, field, boost), nil
	case one.Text != "":
		return s.phrase(one, field, boost)
	}
	return s.word(one, field, boost)
}

// rangeBetween converts a range with two bounds. One without any is about the field's existence.
func rangeBetween(one *shortSigned, field string, boost float64) Query {
	r := Range{Field: field, Boost: boost}
	from, to := one.Range.From.value(), one.Range.To.value()
	if from+to == "" {
		return Exists{Field: field, Boost: boost}
	}
	if one.Range.Open == "{" {
		r.GT = from
	} else {
		r.GTE = from
	}
	if one.Range.Close == "}" {
		r.LT = to
	} else {
		r.LTE = to
	}
	return r
}

// rangeBeyond converts a range with one bound.
func rangeBeyond(one *shortSigned, field string, boost float64) Query {
	r, bound := Range{Field: field, Boost: boost}, one.Than.To.value()
	switch one.Than.Op {
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

// phrase converts a phrase.
func (s *short) phrase(one *shortSigned, field string, boost float64) (Query, *Error) {
	text := Value(appendString(nil, unescape(one.Text[1:len(one.Text)-1])))
	slop := 0
	if one.Fuzzy {
		var err error
		if slop, err = strconv.Atoi(one.Slop); err != nil || slop < 0 || slop > 1000 {
			return nil, At(s.text, strings.Index(s.text, "~"), "the slop [%.40s] is not a whole number from 0 to 1000", one.Slop)
		}
	}
	if field == "" {
		return MultiMatch{Fields: []string{"*"}, Text: text, Type: "phrase", Boost: boost}, nil
	}
	return Phrase{Field: field, Text: text, Slop: slop, Boost: boost}, nil
}

// word converts a word.
func (s *short) word(one *shortSigned, field string, boost float64) (Query, *Error) {
	wild := strings.ContainsAny(strings.ReplaceAll(strings.ReplaceAll(one.Word, `\*`, ""), `\?`, ""), "*?")
	switch {
	case one.Word == "*" && field == "":
		return All{Boost: boost}, nil
	case one.Word == "*":
		return Exists{Field: field, Boost: boost}, nil
	case wild && field == "":
		return nil, At(s.text, strings.Index(s.text, one.Word), "a pattern wants a field: [%.40s]", one.Word)
	case wild && strings.IndexAny(one.Word, "*?") == len(one.Word)-1 && strings.HasSuffix(one.Word, "*"):
		return Pattern{Field: field, Text: unescape(strings.TrimSuffix(one.Word, "*")), Boost: boost}, nil
	case wild:
		return Pattern{Field: field, Text: one.Word, Wild: true, Boost: boost}, nil
	}
	text := Value(appendString(nil, unescape(one.Word)))
	if field == "" {
		return MultiMatch{Fields: []string{"*"}, Text: text, Boost: boost}, nil
	}
	q := Match{Field: field, Text: text, Boost: boost}
	if one.Fuzzy {
		if q.Fuzziness = "AUTO"; one.Slop != "" {
			if q.Fuzziness = one.Slop; one.Slop != "0" && one.Slop != "1" && one.Slop != "2" {
				return nil, At(s.text, strings.Index(s.text, "~"), "the fuzziness [%.40s] is not 0, 1 or 2", one.Slop)
			}
		}
	}
	return q, nil
}

// value returns a bound as JSON, empty for an open one: a number if it is one, else a string.
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

// isNumber reports whether a text is a JSON number.
func isNumber(s string) bool {
	digits := strings.TrimPrefix(s, "-")
	whole, part, dot := strings.Cut(digits, ".")
	only := func(s string) bool { return s != "" && strings.Trim(s, "0123456789") == "" }
	return only(whole) && (len(whole) == 1 || whole[0] != '0') && (!dot || only(part))
}

// unescape removes the backslashes of a word or a phrase.
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
