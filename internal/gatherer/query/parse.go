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

// Error is an error at a position of a JSON text or a query string. Lines and columns count from 1, columns in bytes.
type Error struct {
	Line, Column int
	Reason       string
}

func (e *Error) Error() string {
	return fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, e.Reason)
}

// At returns an error at a byte offset of a text.
func At(text string, offset int, format string, args ...any) *Error {
	offset = min(max(offset, 0), len(text))
	before := text[:offset]
	return &Error{Line: 1 + strings.Count(before, "\n"), Column: offset - strings.LastIndexByte(before, '\n'), Reason: fmt.Sprintf(format, args...)}
}

// CheckObject returns an error unless the text is one JSON object in UTF-8.
func CheckObject(text string) *Error {
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
		return At(text, len(text), "not JSON") // the parsers differ on it: the nesting is too deep for one of them
	}
	if root := gjson.Parse(text); !root.IsObject() {
		return At(text, 0, "not a JSON object")
	}
	return nil
}

// Parse parses a query that is a member of a valid JSON text. V must come from an iteration over the parsed text: its Index
// is the position that errors report.
func Parse(text string, v gjson.Result) (Query, *Error) {
	p := &parser{text: text}
	return p.query(v, 1)
}

// parser parses the queries of one text.
type parser struct {
	text    string
	queries int // parsed so far, including nested ones
}

// errorAt returns an error at the position of v.
func (p *parser) errorAt(v gjson.Result, format string, args ...any) *Error {
	return At(p.text, v.Index, format, args...)
}

// queryParsers are the parsers of the supported queries by kind. They take the level of nesting as well.
var queryParsers map[string]func(*parser, gjson.Result, int) (Query, *Error)

func init() { // an initializer of the map would refer to itself through the parsers
	queryParsers = map[string]func(*parser, gjson.Result, int) (Query, *Error){
		"match_all": (*parser).matchAll, "match_none": (*parser).matchNone, "match": (*parser).match, "match_phrase": (*parser).phrase,
		"match_phrase_prefix": (*parser).phrasePrefix, "multi_match": (*parser).multiMatch, "term": (*parser).term, "terms": (*parser).terms,
		"range": (*parser).rangeQuery, "ids": (*parser).ids, "exists": (*parser).exists, "prefix": (*parser).prefix,
		"wildcard": (*parser).wildcard, "constant_score": (*parser).constantScore, "bool": (*parser).boolean,
	}
}

// query parses a query of any kind, at a level of nesting.
func (p *parser) query(v gjson.Result, depth int) (Query, *Error) {
	if p.queries++; p.queries > MaxClauses {
		return nil, p.errorAt(v, "more than %d queries", MaxClauses)
	}
	if depth > MaxDepth {
		return nil, p.errorAt(v, "queries nested deeper than %d", MaxDepth)
	}
	kind, body, e := p.singleMember(v, "a kind of query")
	if e != nil {
		return nil, e
	}
	read := queryParsers[kind.Str]
	if read == nil {
		return nil, p.errorAt(kind, "unknown query [%.60s]", kind.Str)
	}
	if !body.IsObject() {
		return nil, p.errorAt(body, "[%s] is not an object", kind.Str)
	}
	return read(p, body, depth)
}

// matchAll parses a match_all query.
func (p *parser) matchAll(v gjson.Result, _ int) (Query, *Error) {
	q := MatchAll{}
	e := p.members(v, &q.Boost, nil)
	return q, e
}

// matchNone parses a match_none query.
func (p *parser) matchNone(v gjson.Result, _ int) (Query, *Error) {
	return MatchNone{}, p.members(v, nil, nil)
}

// constantScore parses a constant_score query.
func (p *parser) constantScore(v gjson.Result, depth int) (Query, *Error) {
	q := ConstantScore{}
	e := p.members(v, &q.Boost, map[string]memberParser{"filter": func(v gjson.Result) (e *Error) {
		q.Filter, e = p.query(v, depth+1)
		return e
	}})
	if e == nil && q.Filter == nil {
		e = p.errorAt(v, "[constant_score] lacks [filter]")
	}
	return q, e
}

// boolean parses a bool query.
func (p *parser) boolean(v gjson.Result, depth int) (Query, *Error) {
	q := Bool{}
	clauseList := func(to *[]Query) memberParser {
		return func(v gjson.Result) (e *Error) {
			parseClause := func(v gjson.Result) bool {
				var c Query
				if c, e = p.query(v, depth+1); e == nil {
					*to = append(*to, c)
				}
				return e == nil
			}
			if v.IsArray() {
				v.ForEach(func(_, x gjson.Result) bool { return parseClause(x) })
			} else {
				parseClause(v)
			}
			return e
		}
	}
	ignored := false
	e := p.members(v, &q.Boost, map[string]memberParser{"must": clauseList(&q.Must), "filter": clauseList(&q.Filter), "should": clauseList(&q.Should),
		"must_not": clauseList(&q.MustNot), "minimum_should_match": p.numberOrString(&q.MinimumShouldMatch), "adjust_pure_negative": p.flag(&ignored)})
	if e == nil && q.MinimumShouldMatch != "" && !validMinimumShouldMatch(q.MinimumShouldMatch) {
		e = p.errorAt(v, "[minimum_should_match] is neither a number nor a percentage: [%.40s]", q.MinimumShouldMatch)
	}
	return q, e
}

// validMinimumShouldMatch reports whether s is a number or a percentage such as 2, -1, 75% or -25%. Combinations such as
// 2<75% are not supported.
func validMinimumShouldMatch(s string) bool {
	n, err := strconv.Atoi(strings.TrimSuffix(s, "%"))
	return err == nil && n > -1000 && n < 1000
}
