package query

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tidwall/gjson"
)

// Error is an error in a text, with its position: line and column count from 1, columns in bytes.
type Error struct {
	Line, Column int
	Reason       string
}

func (e *Error) Error() string {
	return fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, e.Reason)
}

// At returns an error at an offset of a text.
func At(text string, offset int, format string, args ...any) *Error {
	offset = min(max(offset, 0), len(text))
	before := text[:offset]
	return &Error{Line: 1 + strings.Count(before, "\n"), Column: offset - strings.LastIndexByte(before, '\n'), Reason: fmt.Sprintf(format, args...)}
}

// Check returns an error unless the text is one JSON object.
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

// Parse parses a query from a member of a valid JSON text. V must come from a walk over text, so that its position is known.
func Parse(text string, v gjson.Result) (Query, *Error) {
	p := &parser{text: text}
	return p.query(v, 1)
}

// parser parses the queries of one text.
type parser struct {
	text    string
	clauses int
}

// at returns an error at the position of v.
func (p *parser) at(v gjson.Result, format string, args ...any) *Error {
	return At(p.text, v.Index, format, args...)
}

// kinds are the parsers of the supported queries.
var kinds map[string]func(*parser, gjson.Result, int) (Query, *Error)

func init() { // the parsers refer to each other
	kinds = map[string]func(*parser, gjson.Result, int) (Query, *Error){
		"match_all": (*parser).all, "match_none": (*parser).none, "match": (*parser).match, "match_phrase": (*parser).phrase,
		"match_phrase_prefix": (*parser).phrasePrefix, "multi_match": (*parser).multiMatch, "term": (*parser).term, "terms": (*parser).terms,
		"range": (*parser).rangeOf, "ids": (*parser).ids, "exists": (*parser).exists, "prefix": (*parser).prefix,
		"wildcard": (*parser).wildcard, "constant_score": (*parser).constant, "bool": (*parser).boolean,
	}
}

// query parses a query of any kind.
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

// all parses a match_all.
func (p *parser) all(v gjson.Result, _ int) (Query, *Error) {
	q := All{}
	e := p.members(v, &q.Boost, nil)
	return q, e
}

// none parses a match_none.
func (p *parser) none(v gjson.Result, _ int) (Query, *Error) { return None{}, p.members(v, nil, nil) }

// constant parses a constant_score.
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

// boolean parses a bool.
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

// isMinShould reports whether s is like 2, -1, 75% or -25%. Combinations are not supported.
func isMinShould(s string) bool {
	n, err := strconv.Atoi(strings.TrimSuffix(s, "%"))
	return err == nil && n > -1000 && n < 1000
}
