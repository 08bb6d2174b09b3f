package query

import (
	"cmp"
	"math"
	"strings"

	"github.com/tidwall/gjson"
)

// only parses an object of one member.
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

// Members calls read for each member of an object of text, in order, up to the first error. A duplicate name is an error. V
// must come from a walk over text, so that its position is known.
func Members(text string, v gjson.Result, read func(key, value gjson.Result) *Error) (e *Error) {
	seen := map[string]bool{}
	v.ForEach(func(key, value gjson.Result) bool {
		if seen[key.Str] {
			e = At(text, key.Index, "[%.60s] stands twice", key.Str)
		} else {
			e = read(key, value)
		}
		seen[key.Str] = true
		return e == nil
	})
	return e
}

// member parses one member of an object.
type member func(v gjson.Result) *Error

// members parses an object by its members. Unknown ones are errors; boost is accepted where it is not nil.
func (p *parser) members(v gjson.Result, boost *float64, known map[string]member) *Error {
	return Members(p.text, v, func(k, x gjson.Result) *Error {
		read := known[k.Str]
		switch {
		case read != nil:
			return read(x)
		case k.Str == "boost" && boost != nil:
			return p.boost(boost, x)
		case k.Str == "_name":
			return nil
		}
		return p.at(k, "not supported here: [%.60s]", k.Str)
	})
}

// boost parses a boost. As the zero of its field means none, a boost of 0 becomes the smallest number above 0.
func (p *parser) boost(to *float64, v gjson.Result) *Error {
	if v.Type != gjson.Number || !boosted(v.Num) {
		return p.at(v, "[boost] is not a number from 0 on")
	}
	*to = cmp.Or(v.Num, math.SmallestNonzeroFloat64)
	return nil
}

// str parses a string of at most limit bytes.
func (p *parser) str(to *string, limit int) member {
	return func(v gjson.Result) *Error {
		if v.Type != gjson.String || len(v.Str) > limit {
			return p.at(v, "not a string of at most %d bytes", limit)
		}
		*to = v.Str
		return nil
	}
}

// flag parses a boolean.
func (p *parser) flag(to *bool) member {
	return func(v gjson.Result) *Error {
		if v.Type != gjson.True && v.Type != gjson.False {
			return p.at(v, "neither true nor false")
		}
		*to = v.Bool()
		return nil
	}
}

// value parses a scalar. Numbers keep their digits: 64-bit integers beyond 2^53 are not rounded.
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

// short parses a number or a short string as a string.
func (p *parser) short(to *string) member {
	return func(v gjson.Result) *Error {
		if v.Type != gjson.String && v.Type != gjson.Number || len(v.Raw) > MaxField {
			return p.at(v, "not a number or a short string")
		}
		*to = v.String()
		return nil
	}
}

// operator parses an operator: and or or.
func (p *parser) operator(to *bool) member {
	return func(v gjson.Result) *Error {
		if *to = strings.EqualFold(v.Str, "and"); !*to && !strings.EqualFold(v.Str, "or") {
			return p.at(v, "[operator] is neither [and] nor [or]")
		}
		return nil
	}
}

// field parses an object of one field, whose value is that of the short form or an object of members.
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

// fieldName checks the name of a field.
func (p *parser) fieldName(k gjson.Result) *Error {
	if k.Str == "" || len(k.Str) > MaxField || strings.ContainsAny(k.Str, "\x00\n") {
		return p.at(k, "not a field's name of at most %d bytes", MaxField)
	}
	return nil
}
