package query

import (
	"math"
	"slices"

	"github.com/tidwall/gjson"
)

// match parses a match query.
func (p *parser) match(v gjson.Result, _ int) (Query, *Error) {
	q := Match{}
	field, body, shorthand, e := p.field(v, "query")
	if q.Field = field; e != nil {
		return nil, e
	}
	if shorthand {
		e = p.value(&q.Text)(body)
		return q, e
	}
	e = p.members(body, &q.Boost, map[string]memberParser{"query": p.value(&q.Text), "operator": p.operator(&q.AllTerms),
		"minimum_should_match": p.numberOrString(&q.MinimumShouldMatch), "fuzziness": p.numberOrString(&q.Fuzziness)})
	if e == nil && q.Text == "" {
		e = p.errorAt(body, "[match] lacks [query]")
	}
	return q, e
}

// phrase parses a match_phrase query.
func (p *parser) phrase(v gjson.Result, _ int) (Query, *Error) { return p.phraseQuery(v, false) }

// phrasePrefix parses a match_phrase_prefix query.
func (p *parser) phrasePrefix(v gjson.Result, _ int) (Query, *Error) { return p.phraseQuery(v, true) }

// phraseQuery parses a match_phrase query or, with prefix, a match_phrase_prefix query.
func (p *parser) phraseQuery(v gjson.Result, prefix bool) (Query, *Error) {
	q := Phrase{Prefix: prefix}
	field, body, shorthand, e := p.field(v, "query")
	if q.Field = field; e != nil {
		return nil, e
	}
	if shorthand {
		e = p.value(&q.Text)(body)
		return q, e
	}
	e = p.members(body, &q.Boost, map[string]memberParser{"query": p.value(&q.Text), "slop": func(v gjson.Result) *Error {
		if q.Slop = int(v.Num); v.Type != gjson.Number || v.Num < 0 || v.Num > 1000 || v.Num != math.Trunc(v.Num) {
			return p.errorAt(v, "[slop] is not a whole number from 0 to 1000")
		}
		return nil
	}})
	if e == nil && q.Text == "" {
		e = p.errorAt(body, "the phrase lacks [query]")
	}
	return q, e
}

// multiMatchTypes are the supported values of type in a multi_match query.
var multiMatchTypes = []string{"best_fields", "most_fields", "cross_fields", "phrase", "phrase_prefix", "bool_prefix"}

// multiMatch parses a multi_match query.
func (p *parser) multiMatch(v gjson.Result, _ int) (Query, *Error) {
	q := MultiMatch{}
	e := p.members(v, &q.Boost, map[string]memberParser{"query": p.value(&q.Text), "operator": p.operator(&q.AllTerms),
		"minimum_should_match": p.numberOrString(&q.MinimumShouldMatch),
		"type": func(v gjson.Result) *Error {
			if q.Type = v.Str; !slices.Contains(multiMatchTypes, q.Type) {
				return p.errorAt(v, "[type] is none of %v", multiMatchTypes)
			}
			return nil
		},
		"fields": func(v gjson.Result) *Error {
			for _, f := range v.Array() {
				if f.Type != gjson.String || f.Str == "" || len(f.Str) > MaxFieldName || len(q.Fields) == MaxMultiMatchFields {
					return p.errorAt(v, "[fields] is not a list of at most %d field names", MaxMultiMatchFields)
				}
				q.Fields = append(q.Fields, f.Str)
			}
			return nil
		}})
	switch {
	case e == nil && q.Text == "":
		e = p.errorAt(v, "[multi_match] lacks [query]")
	case e == nil && len(q.Fields) == 0:
		e = p.errorAt(v, "[multi_match] lacks [fields]")
	}
	return q, e
}
