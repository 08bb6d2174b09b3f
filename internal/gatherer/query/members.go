package query

import (
	"cmp"
	"math"
	"strings"

	"github.com/tidwall/gjson"
)

// singleMember returns the key and the value of an object that has exactly one member. Errors describe the expected member
// by the text what.
func (p *parser) singleMember(v gjson.Result, what string) (key, value gjson.Result, e *Error) {
	if !v.IsObject() {
		return key, value, p.errorAt(v, "not an object, want one with %s", what)
	}
	n := 0
	v.ForEach(func(k, x gjson.Result) bool {
		if n++; n == 1 {
			key, value = k, x
		}
		return n < 2
	})
	if n != 1 {
		return key, value, p.errorAt(v, "an object of %s members, want just %s", map[int]string{0: "no", 2: "several"}[n], what)
	}
	return key, value, nil
}

// ForEachMember calls read for each member of v, an object within text, in order, up to the first error. A duplicate name is
// an error. V must come from an iteration over the parsed text, as errors report positions by the Index of its members.
func ForEachMember(text string, v gjson.Result, read func(key, value gjson.Result) *Error) (e *Error) {
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

// memberParser parses the value of one member of an object.
type memberParser func(v gjson.Result) *Error

// members parses an object by the parsers of its known members. Beside these it accepts boost, where the argument is not
// nil, and _name, which is ignored. Any other member is an error.
func (p *parser) members(v gjson.Result, boost *float64, known map[string]memberParser) *Error {
	return ForEachMember(p.text, v, func(k, x gjson.Result) *Error {
		read := known[k.Str]
		switch {
		case read != nil:
			return read(x)
		case k.Str == "boost" && boost != nil:
			return p.boost(boost, x)
		case k.Str == "_name":
			return nil
		}
		return p.errorAt(k, "not supported here: [%.60s]", k.Str)
	})
}

// boost parses a boost. A boost of 0 becomes the smallest number above 0, since a Boost field of 0 means that there is none.
func (p *parser) boost(to *float64, v gjson.Result) *Error {
	if v.Type != gjson.Number || !validBoost(v.Num) {
		return p.errorAt(v, "[boost] is not a number from 0 on")
	}
	*to = cmp.Or(v.Num, math.SmallestNonzeroFloat64)
	return nil
}

// boundedString returns a parser of strings of at most limit bytes.
func (p *parser) boundedString(to *string, limit int) memberParser {
	return func(v gjson.Result) *Error {
		if v.Type != gjson.String || len(v.Str) > limit {
			return p.errorAt(v, "not a string of at most %d bytes", limit)
		}
		*to = v.Str
		return nil
	}
}

// flag returns a parser of booleans.
func (p *parser) flag(to *bool) memberParser {
	return func(v gjson.Result) *Error {
		if v.Type != gjson.True && v.Type != gjson.False {
			return p.errorAt(v, "neither true nor false")
		}
		*to = v.Bool()
		return nil
	}
}

// value returns a parser of scalars. Numbers keep their digits: 64-bit integers beyond 2^53 are not rounded.
func (p *parser) value(to *Value) memberParser {
	return func(v gjson.Result) *Error {
		switch {
		case v.Type == gjson.JSON || v.Type == gjson.Null:
			return p.errorAt(v, "not a string, number or boolean")
		case len(v.Raw) > MaxText:
			return p.errorAt(v, "longer than %d bytes", MaxText)
		case v.Type == gjson.String:
			*to = Value(appendString(nil, v.Str))
		default:
			*to = Value(v.Raw)
		}
		return nil
	}
}

// numberOrString returns a parser of numbers and short strings, both of which are stored as strings.
func (p *parser) numberOrString(to *string) memberParser {
	return func(v gjson.Result) *Error {
		if v.Type != gjson.String && v.Type != gjson.Number || len(v.Raw) > MaxFieldName {
			return p.errorAt(v, "not a number or a short string")
		}
		*to = v.String()
		return nil
	}
}

// operator returns a parser of the operators "and" and "or". It stores whether the operator is "and".
func (p *parser) operator(to *bool) memberParser {
	return func(v gjson.Result) *Error {
		if *to = strings.EqualFold(v.Str, "and"); !*to && !strings.EqualFold(v.Str, "or") {
			return p.errorAt(v, "[operator] is neither [and] nor [or]")
		}
		return nil
	}
}

// field parses an object whose only member is a field. Its value is an object of members or, unless shorthand is empty, the
// scalar that stands for an object with only the member of that name: {"title":"x"} for {"title":{"query":"x"}}.
func (p *parser) field(v gjson.Result, shorthand string) (name string, members gjson.Result, isShorthand bool, e *Error) {
	k, x, e := p.singleMember(v, "a field")
	if e != nil {
		return "", x, false, e
	}
	if e := p.fieldName(k); e != nil {
		return "", x, false, e
	}
	if !x.IsObject() && shorthand == "" {
		return "", x, false, p.errorAt(x, "not an object")
	}
	return k.Str, x, !x.IsObject(), nil
}

// fieldName checks the name of a field.
func (p *parser) fieldName(k gjson.Result) *Error {
	if k.Str == "" || len(k.Str) > MaxFieldName || strings.ContainsAny(k.Str, "\x00\n") {
		return p.errorAt(k, "not a field's name of at most %d bytes", MaxFieldName)
	}
	return nil
}
