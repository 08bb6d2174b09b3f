package query

import (
	"slices"

	"github.com/tidwall/gjson"
)

// term parses a term.
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

// terms parses a terms.
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

// rangeOf parses a range.
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

// ids parses an ids.
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

// exists parses an exists.
func (p *parser) exists(v gjson.Result, _ int) (Query, *Error) {
	q := Exists{}
	e := p.members(v, &q.Boost, map[string]member{"field": p.str(&q.Field, MaxField)})
	if e == nil && q.Field == "" {
		e = p.at(v, "[exists] lacks [field]")
	}
	return q, e
}

// prefix parses a prefix.
func (p *parser) prefix(v gjson.Result, _ int) (Query, *Error) { return p.pattern(v, false) }

// wildcard parses a wildcard.
func (p *parser) wildcard(v gjson.Result, _ int) (Query, *Error) { return p.pattern(v, true) }

// pattern parses a prefix or a wildcard.
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
