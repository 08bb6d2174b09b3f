package query

import (
	"math"
	"slices"

	"github.com/tidwall/gjson"
)

// match parses a match.
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

// phrase parses a match_phrase.
func (p *parser) phrase(v gjson.Result, _ int) (Query, *Error) { return p.phraseOf(v, false) }

// phrasePrefix parses a match_phrase_prefix.
func (p *parser) phrasePrefix(v gjson.Result, _ int) (Query, *Error) { return p.phraseOf(v, true) }

// phraseOf parses a phrase.
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

// multiTypes are the types of a multi_match.
var multiTypes = []string{"best_fields", "most_fields", "cross_fields", "phrase", "phrase_prefix", "bool_prefix"}

// multiMatch parses a multi_match.
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
