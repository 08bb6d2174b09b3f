package query

import (
	"slices"

	"github.com/tidwall/gjson"
)

// term parses a term query.
func (p *parser) term(v gjson.Result, _ int) (Query, *Error) {
	q := Terms{TermQuery: true, Values: make([]Value, 1)}
	field, body, shorthand, e := p.field(v, "value")
	if q.Field = field; e != nil {
		return nil, e
	}
	if shorthand {
		e = p.value(&q.Values[0])(body)
		return q, e
	}
	e = p.members(body, &q.Boost, map[string]memberParser{"value": p.value(&q.Values[0]), "case_insensitive": p.flag(&q.CaseInsensitive)})
	if e == nil && q.Values[0] == "" {
		e = p.errorAt(body, "[term] lacks [value]")
	}
	return q, e
}

// terms parses a terms query.
func (p *parser) terms(v gjson.Result, _ int) (_ Query, e *Error) {
	q := Terms{}
	v.ForEach(func(k, x gjson.Result) bool {
		switch {
		case k.Str == "boost":
			if q.Boost = x.Num; x.Type != gjson.Number || !validBoost(x.Num) {
				e = p.errorAt(x, "[boost] is not a number from 0 on")
			}
		case q.Field != "":
			e = p.errorAt(k, "[terms] has several fields")
		case !x.IsArray():
			e = p.errorAt(x, "not a list of values")
		default:
			if e = p.fieldName(k); e != nil {
				return false
			}
			q.Field = k.Str
			x.ForEach(func(_, y gjson.Result) bool {
				var value Value
				if e = p.value(&value)(y); e == nil && len(q.Values) == MaxTerms {
					e = p.errorAt(y, "more than %d values", MaxTerms)
				}
				q.Values = append(q.Values, value)
				return e == nil
			})
		}
		return e == nil
	})
	if e == nil && q.Field == "" {
		e = p.errorAt(v, "[terms] lacks a field")
	}
	slices.Sort(q.Values)
	q.Values = slices.Compact(q.Values)
	return q, e
}

// rangeQuery parses a range query, which has a lower bound, an upper bound or both.
func (p *parser) rangeQuery(v gjson.Result, _ int) (Query, *Error) {
	q := Range{}
	field, body, _, e := p.field(v, "")
	if q.Field = field; e != nil {
		return nil, e
	}
	e = p.members(body, &q.Boost, map[string]memberParser{"gt": p.value(&q.GT), "gte": p.value(&q.GTE), "lt": p.value(&q.LT), "lte": p.value(&q.LTE),
		"format": p.boundedString(&q.Format, MaxFieldName), "time_zone": p.boundedString(&q.TimeZone, MaxFieldName)})
	switch {
	case e != nil:
	case q.GT != "" && q.GTE != "" || q.LT != "" && q.LTE != "":
		e = p.errorAt(body, "[range] has two bounds of one side")
	case q.GT+q.GTE+q.LT+q.LTE == "":
		e = p.errorAt(body, "[range] has no bound")
	}
	return q, e
}

// ids parses an ids query of at most MaxTerms ids of at most 512 bytes each.
func (p *parser) ids(v gjson.Result, _ int) (Query, *Error) {
	q := IDs{}
	e := p.members(v, &q.Boost, map[string]memberParser{"values": func(v gjson.Result) (e *Error) {
		if !v.IsArray() {
			return p.errorAt(v, "[values] is not a list")
		}
		v.ForEach(func(_, x gjson.Result) bool {
			if x.Type != gjson.String && x.Type != gjson.Number || len(x.Raw) > 512 || len(q.Values) == MaxTerms {
				e = p.errorAt(x, "[values] is not a list of at most %d ids", MaxTerms)
			}
			q.Values = append(q.Values, x.String())
			return e == nil
		})
		return e
	}})
	return q, e
}

// exists parses an exists query.
func (p *parser) exists(v gjson.Result, _ int) (Query, *Error) {
	q := Exists{}
	e := p.members(v, &q.Boost, map[string]memberParser{"field": p.boundedString(&q.Field, MaxFieldName)})
	if e == nil && q.Field == "" {
		e = p.errorAt(v, "[exists] lacks [field]")
	}
	return q, e
}

// prefix parses a prefix query.
func (p *parser) prefix(v gjson.Result, _ int) (Query, *Error) { return p.pattern(v, false) }

// wildcard parses a wildcard query.
func (p *parser) wildcard(v gjson.Result, _ int) (Query, *Error) { return p.pattern(v, true) }

// pattern parses a wildcard query or, if isWildcard is false, a prefix query.
func (p *parser) pattern(v gjson.Result, isWildcard bool) (Query, *Error) {
	q := Pattern{Wildcard: isWildcard}
	field, body, shorthand, e := p.field(v, "value")
	if q.Field = field; e != nil {
		return nil, e
	}
	hasValue := false
	text := func(v gjson.Result) *Error {
		hasValue = true
		return p.boundedString(&q.Text, MaxText)(v)
	}
	if shorthand {
		e = text(body)
		return q, e
	}
	known := map[string]memberParser{"value": text, "case_insensitive": p.flag(&q.CaseInsensitive)}
	if isWildcard {
		known["wildcard"] = text
	}
	e = p.members(body, &q.Boost, known)
	if e == nil && !hasValue {
		e = p.errorAt(body, "lacks [value]")
	}
	return q, e
}
