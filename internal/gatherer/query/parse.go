package query

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tidwall/gjson"
)

// Error is what is wrong with a text, and where: line and column count from 1, columns in bytes.
type Error struct {
	Line, Column int
	Reason       string
}

func (e *Error) Error() string {
	return fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, e.Reason)
}

// At makes an error of a text's place.
func At(text string, offset int, format string, args ...any) *Error {
	offset = min(max(offset, 0), len(text))
	before := text[:offset]
	return &Error{Line: 1 + strings.Count(before, "\n"), Column: offset - strings.LastIndexByte(before, '\n'), Reason: fmt.Sprintf(format, args...)}
}

// Check says where a text is not one JSON object, and nil where it is one.
func Check(text string) *Error {
	if !utf8.ValidString(text) {
		for i, c := range text {
			if _, n := utf8.DecodeRuneInString(text[i:]); c == utf8.RuneError && n == 1 {
				return At(text, i, "not UTF-8")
			}
		}
	}
	if !gjson.Valid(text) {
		var syntax *json.SyntaxError
		if err := json.Unmarshal([]byte(text), new(any)); errors.As(err, &syntax) {
			return At(text, int(syntax.Offset)-1, "not JSON: %v", syntax)
		}
		return At(text, len(text), "not JSON") // the two differ: nested too deep for one of them
	}
	if root := gjson.Parse(text); !root.IsObject() {
		return At(text, 0, "not a JSON object")
	}
	return nil
}

// Parse reads a query from a member of a valid JSON text; v must come from a walk over text, so that its place is known.
func Parse(text string, v gjson.Result) (Query, *Error) {
	p := &parser{text: text}
	return p.query(v, 1)
}

type parser struct {
	text    string
	clauses int
}

func (p *parser) at(v gjson.Result, format string, args ...any) *Error {
	return At(p.text, v.Index, format, args...)
}

// kinds are the queries that are known, each with its reader.
var kinds map[string]func(*parser, gjson.Result, int) (Query, *Error)

func init() { // as the readers call each other
	kinds = map[string]func(*parser, gjson.Result, int) (Query, *Error){
		"match_all": (*parser).all, "match_none": (*parser).none, "match": (*parser).match, "match_phrase": (*parser).phrase,
		"match_phrase_prefix": (*parser).phrasePrefix, "multi_match": (*parser).multiMatch, "term": (*parser).term, "terms": (*parser).terms,
		"range": (*parser).rangeOf, "ids": (*parser).ids, "exists": (*parser).exists, "prefix": (*parser).prefix,
		"wildcard": (*parser).wildcard, "constant_score": (*parser).constant, "bool": (*parser).boolean,
	}
}

func (p *parser) query(v gjson.Result, depth int) (Query, *Error) {
	if p.clauses++; p.clauses > MaxClauses {
		return nil, p.at(v, "more than %d queries", MaxClauses)
	}
	if depth > MaxDepth {
		return nil, p.at(v, "queries nested deeper than %d", MaxDepth)
	}
	kind, body, e := p.only(v, "a kind of query")
	if e != nil {
		return nil, e
	}
	read := kinds[kind.Str]
	if read == nil {
		return nil, p.at(kind, "unknown query [%.60s]", kind.Str)
	}
	if !body.IsObject() {
		return nil, p.at(body, "[%s] is not an object", kind.Str)
	}
	return read(p, body, depth)
}

// only takes an object of one member.
func (p *parser) only(v gjson.Result, what string) (key, value gjson.Result, e *Error) {
	if !v.IsObject() {
		return key, value, p.at(v, "not an object, want one with %s", what)
	}
	n := 0
	v.ForEach(func(k, x gjson.Result) bool {
		if n++; n == 1 {
			key, value = k, x
		}
		return n < 2
	})
	if n != 1 {
		return key, value, p.at(v, "an object of %s members, want just %s", map[int]string{0: "no", 2: "several"}[n], what)
	}
	return key, value, nil
}

// member reads one member of an object.
type member func(v gjson.Result) *Error

// members reads an object by its members; those not named are refused, and boost is known everywhere.
func (p *parser) members(v gjson.Result, boost *float64, known map[string]member) (e *Error) {
	seen := map[string]bool{}
	v.ForEach(func(k, x gjson.Result) bool {
		read := known[k.Str]
		switch {
		case seen[k.Str]:
			e = p.at(k, "[%.60s] stands twice", k.Str)
		case read != nil:
			e = read(x)
		case k.Str == "boost" && boost != nil:
			if *boost = x.Num; x.Type != gjson.Number || !boosted(x.Num) {
				e = p.at(x, "[boost] is not a number from 0 on")
			}
			if *boost == 0 {
				*boost = math.SmallestNonzeroFloat64 // 0 stands for none
			}
		case k.Str == "_name":
		default:
			e = p.at(k, "not supported here: [%.60s]", k.Str)
		}
		seen[k.Str] = true
		return e == nil
	})
	return e
}

func (p *parser) str(to *string, most int) member {
	return func(v gjson.Result) *Error {
		if v.Type != gjson.String || len(v.Str) > most {
			return p.at(v, "not a string of at most %d bytes", most)
		}
		*to = v.Str
		return nil
	}
}

func (p *parser) flag(to *bool) member {
	return func(v gjson.Result) *Error {
		if v.Type != gjson.True && v.Type != gjson.False {
			return p.at(v, "neither true nor false")
		}
		*to = v.Bool()
		return nil
	}
}

// value reads a scalar. Numbers keep their digits: 64-bit integers past 2^53 are not rounded.
func (p *parser) value(to *Value) member {
	return func(v gjson.Result) *Error {
		switch {
		case v.Type == gjson.JSON || v.Type == gjson.Null:
			return p.at(v, "not a string, number or boolean")
		case len(v.Raw) > MaxText:
			return p.at(v, "longer than %d bytes", MaxText)
		case v.Type == gjson.String:
			*to = Value(appendString(nil, v.Str))
		default:
			*to = Value(v.Raw)
		}
		return nil
	}
}

// short reads a number or a short string, and keeps it as a string.
func (p *parser) short(to *string) member {
	return func(v gjson.Result) *Error {
		if v.Type != gjson.String && v.Type != gjson.Number || len(v.Raw) > MaxField {
			return p.at(v, "not a number or a short string")
		}
		*to = v.String()
		return nil
	}
}

func (p *parser) operator(to *bool) member {
	return func(v gjson.Result) *Error {
		if *to = strings.EqualFold(v.Str, "and"); !*to && !strings.EqualFold(v.Str, "or") {
			return p.at(v, "[operator] is neither [and] nor [or]")
		}
		return nil
	}
}

// field takes an object of one field, given as the short form's value or as an object of members.
func (p *parser) field(v gjson.Result, short string) (name string, members gjson.Result, shortened bool, e *Error) {
	k, x, e := p.only(v, "a field")
	if e != nil {
		return "", x, false, e
	}
	if e := p.fieldName(k); e != nil {
		return "", x, false, e
	}
	if !x.IsObject() && short == "" {
		return "", x, false, p.at(x, "not an object")
	}
	return k.Str, x, !x.IsObject(), nil
}

func (p *parser) fieldName(k gjson.Result) *Error {
	if k.Str == "" || len(k.Str) > MaxField || strings.ContainsAny(k.Str, "\x00\n") {
		return p.at(k, "not a field's name of at most %d bytes", MaxField)
	}
	return nil
}

func (p *parser) all(v gjson.Result, _ int) (Query, *Error) {
	q := All{}
	e := p.members(v, &q.Boost, nil)
	return q, e
}

func (p *parser) none(v gjson.Result, _ int) (Query, *Error) { return None{}, p.members(v, nil, nil) }

func (p *parser) match(v gjson.Result, _ int) (Query, *Error) {
	q := Match{}
	field, body, short, e := p.field(v, "query")
	if q.Field = field; e != nil {
		return nil, e
	}
	if short {
		e = p.value(&q.Text)(body)
		return q, e
	}
	e = p.members(body, &q.Boost, map[string]member{"query": p.value(&q.Text), "operator": p.operator(&q.And),
		"minimum_should_match": p.short(&q.MinShould), "fuzziness": p.short(&q.Fuzziness)})
	if e == nil && q.Text == "" {
		e = p.at(body, "[match] lacks [query]")
	}
	return q, e
}

func (p *parser) phrase(v gjson.Result, _ int) (Query, *Error)       { return p.phraseOf(v, false) }
func (p *parser) phrasePrefix(v gjson.Result, _ int) (Query, *Error) { return p.phraseOf(v, true) }

func (p *parser) phraseOf(v gjson.Result, prefix bool) (Query, *Error) {
	q := Phrase{Prefix: prefix}
	field, body, short, e := p.field(v, "query")
	if q.Field = field; e != nil {
		return nil, e
	}
	if short {
		e = p.value(&q.Text)(body)
		return q, e
	}
	e = p.members(body, &q.Boost, map[string]member{"query": p.value(&q.Text), "slop": func(v gjson.Result) *Error {
		if q.Slop = int(v.Num); v.Type != gjson.Number || v.Num < 0 || v.Num > 1000 || v.Num != math.Trunc(v.Num) {
			return p.at(v, "[slop] is not a whole number from 0 to 1000")
		}
		return nil
	}})
	if e == nil && q.Text == "" {
		e = p.at(body, "the phrase lacks [query]")
	}
	return q, e
}

var multiTypes = []string{"best_fields", "most_fields", "cross_fields", "phrase", "phrase_prefix", "bool_prefix"}

func (p *parser) multiMatch(v gjson.Result, _ int) (Query, *Error) {
	q := MultiMatch{}
	e := p.members(v, &q.Boost, map[string]member{"query": p.value(&q.Text), "operator": p.operator(&q.And),
		"minimum_should_match": p.short(&q.MinShould),
		"type": func(v gjson.Result) *Error {
			if q.Type = v.Str; !slices.Contains(multiTypes, q.Type) {
				return p.at(v, "[type] is none of %v", multiTypes)
			}
			return nil
		},
		"fields": func(v gjson.Result) *Error {
			for _, f := range v.Array() {
				if f.Type != gjson.String || f.Str == "" || len(f.Str) > MaxField || len(q.Fields) == MaxFields {
					return p.at(v, "[fields] is not a list of at most %d field names", MaxFields)
				}
				q.Fields = append(q.Fields, f.Str)
			}
			return nil
		}})
	switch {
	case e == nil && q.Text == "":
		e = p.at(v, "[multi_match] lacks [query]")
	case e == nil && len(q.Fields) == 0:
		e = p.at(v, "[multi_match] lacks [fields]")
	}
	return q, e
}

func (p *parser) term(v gjson.Result, _ int) (Query, *Error) {
	q := Terms{Single: true, Values: make([]Value, 1)}
	field, body, short, e := p.field(v, "value")
	if q.Field = field; e != nil {
		return nil, e
	}
	if short {
		e = p.value(&q.Values[0])(body)
		return q, e
	}
	e = p.members(body, &q.Boost, map[string]member{"value": p.value(&q.Values[0]), "case_insensitive": p.flag(&q.Fold)})
	if e == nil && q.Values[0] == "" {
		e = p.at(body, "[term] lacks [value]")
	}
	return q, e
}

func (p *parser) terms(v gjson.Result, _ int) (_ Query, e *Error) {
	q := Terms{}
	v.ForEach(func(k, x gjson.Result) bool {
		switch {
		case k.Str == "boost":
			if q.Boost = x.Num; x.Type != gjson.Number || !boosted(x.Num) {
				e = p.at(x, "[boost] is not a number from 0 on")
			}
		case q.Field != "":
			e = p.at(k, "[terms] has several fields")
		case !x.IsArray():
			e = p.at(x, "not a list of values")
		default:
			if e = p.fieldName(k); e != nil {
				return false
			}
			q.Field = k.Str
			x.ForEach(func(_, y gjson.Result) bool {
				var one Value
				if e = p.value(&one)(y); e == nil && len(q.Values) == MaxTerms {
					e = p.at(y, "more than %d values", MaxTerms)
				}
				q.Values = append(q.Values, one)
				return e == nil
			})
		}
		return e == nil
	})
	if e == nil && q.Field == "" {
		e = p.at(v, "[terms] lacks a field")
	}
	slices.Sort(q.Values)
	q.Values = slices.Compact(q.Values)
	return q, e
}

func (p *parser) rangeOf(v gjson.Result, _ int) (Query, *Error) {
	q := Range{}
	field, body, _, e := p.field(v, "")
	if q.Field = field; e != nil {
		return nil, e
	}
	e = p.members(body, &q.Boost, map[string]member{"gt": p.value(&q.GT), "gte": p.value(&q.GTE), "lt": p.value(&q.LT), "lte": p.value(&q.LTE),
		"format": p.str(&q.Format, MaxField), "time_zone": p.str(&q.TimeZone, MaxField)})
	switch {
	case e != nil:
	case q.GT != "" && q.GTE != "" || q.LT != "" && q.LTE != "":
		e = p.at(body, "[range] has two bounds of one side")
	case q.GT+q.GTE+q.LT+q.LTE == "":
		e = p.at(body, "[range] has no bound")
	}
	return q, e
}

func (p *parser) ids(v gjson.Result, _ int) (Query, *Error) {
	q := IDs{}
	e := p.members(v, &q.Boost, map[string]member{"values": func(v gjson.Result) (e *Error) {
		if !v.IsArray() {
			return p.at(v, "[values] is not a list")
		}
		v.ForEach(func(_, x gjson.Result) bool {
			if x.Type != gjson.String && x.Type != gjson.Number || len(x.Raw) > 512 || len(q.Values) == MaxTerms {
				e = p.at(x, "[values] is not a list of at most %d ids", MaxTerms)
			}
			q.Values = append(q.Values, x.String())
			return e == nil
		})
		return e
	}})
	return q, e
}

func (p *parser) exists(v gjson.Result, _ int) (Query, *Error) {
	q := Exists{}
	e := p.members(v, &q.Boost, map[string]member{"field": p.str(&q.Field, MaxField)})
	if e == nil && q.Field == "" {
		e = p.at(v, "[exists] lacks [field]")
	}
	return q, e
}

func (p *parser) prefix(v gjson.Result, _ int) (Query, *Error)   { return p.pattern(v, false) }
func (p *parser) wildcard(v gjson.Result, _ int) (Query, *Error) { return p.pattern(v, true) }

func (p *parser) pattern(v gjson.Result, wild bool) (Query, *Error) {
	q := Pattern{Wild: wild}
	field, body, short, e := p.field(v, "value")
	if q.Field = field; e != nil {
		return nil, e
	}
	given := false
	text := func(v gjson.Result) *Error {
		given = true
		return p.str(&q.Text, MaxText)(v)
	}
	if short {
		e = text(body)
		return q, e
	}
	known := map[string]member{"value": text, "case_insensitive": p.flag(&q.Fold)}
	if wild {
		known["wildcard"] = text
	}
	e = p.members(body, &q.Boost, known)
	if e == nil && !given {
		e = p.at(body, "lacks [value]")
	}
	return q, e
}

func (p *parser) constant(v gjson.Result, depth int) (Query, *Error) {
	q := Constant{}
	e := p.members(v, &q.Boost, map[string]member{"filter": func(v gjson.Result) (e *Error) {
		q.Filter, e = p.query(v, depth+1)
		return e
	}})
	if e == nil && q.Filter == nil {
		e = p.at(v, "[constant_score] lacks [filter]")
	}
	return q, e
}

func (p *parser) boolean(v gjson.Result, depth int) (Query, *Error) {
	q := Bool{}
	several := func(to *[]Query) member {
		return func(v gjson.Result) (e *Error) {
			one := func(v gjson.Result) bool {
				var c Query
				if c, e = p.query(v, depth+1); e == nil {
					*to = append(*to, c)
				}
				return e == nil
			}
			if v.IsArray() {
				v.ForEach(func(_, x gjson.Result) bool { return one(x) })
			} else {
				one(v)
			}
			return e
		}
	}
	ignored := false
	e := p.members(v, &q.Boost, map[string]member{"must": several(&q.Must), "filter": several(&q.Filter), "should": several(&q.Should),
		"must_not": several(&q.MustNot), "minimum_should_match": p.short(&q.MinShould), "adjust_pure_negative": p.flag(&ignored)})
	if e == nil && q.MinShould != "" && !isMinShould(q.MinShould) {
		e = p.at(v, "[minimum_should_match] is neither a number nor a percentage: [%.40s]", q.MinShould)
	}
	return q, e
}

// isMinShould takes 2, -1, 75% and -25%; combinations are not supported here.
func isMinShould(s string) bool {
	n, err := strconv.Atoi(strings.TrimSuffix(s, "%"))
	return err == nil && n > -1000 && n < 1000
}
