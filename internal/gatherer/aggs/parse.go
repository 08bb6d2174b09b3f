package aggs

import (
	"math"
	"strings"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/query"
)

// Parse parses an object of aggregations that is a member of a valid JSON text. V must come from an iteration over the
// parsed text: its Index is the position that errors report.
func Parse(text string, v gjson.Result) ([]*Node, *query.Error) {
	p := &parser{text: text}
	return p.aggregations(v, 1)
}

// parser parses the aggregations of one text.
type parser struct {
	text  string
	nodes int // aggregations parsed so far
}

// errorAt returns an error at the position of v.
func (p *parser) errorAt(v gjson.Result, format string, args ...any) *query.Error {
	return query.At(p.text, v.Index, format, args...)
}

// aggregations parses an object of aggregations by name, at a level of nesting.
func (p *parser) aggregations(v gjson.Result, depth int) (list []*Node, e *query.Error) {
	if depth > MaxDepth {
		return nil, p.errorAt(v, "aggregations nested deeper than %d", MaxDepth)
	}
	if !v.IsObject() {
		return nil, p.errorAt(v, "aggregations are not an object")
	}
	e = query.ForEachMember(p.text, v, func(k, x gjson.Result) *query.Error {
		if k.Str == "" || len(k.Str) > 128 || strings.ContainsAny(k.Str, "[]>\x00") || strings.Contains(k.Str, "::") {
			return p.errorAt(k, "not a name of an aggregation: [%.40s]", k.Str)
		}
		n, e := p.node(k, x, depth)
		if e == nil {
			list = append(list, n)
		}
		return e
	})
	return list, e
}

// node parses one aggregation, at a level of nesting.
func (p *parser) node(name, v gjson.Result, depth int) (n *Node, e *query.Error) {
	if p.nodes++; p.nodes > MaxNodes {
		return nil, p.errorAt(v, "more than %d aggregations", MaxNodes)
	}
	if !v.IsObject() {
		return nil, p.errorAt(v, "the aggregation is not an object")
	}
	n = &Node{Name: name.Str, MinDocCount: -1}
	v.ForEach(func(k, x gjson.Result) bool {
		switch read := bodyParsers[Kind(k.Str)]; {
		case k.Str == "aggs" || k.Str == "aggregations":
			if n.Subs != nil {
				e = p.errorAt(k, "[%s] stands twice", k.Str)
				break
			}
			n.Subs, e = p.aggregations(x, depth+1)
		case k.Str == "meta":
		case read == nil:
			e = p.errorAt(k, "not supported here: the aggregation [%.60s]", k.Str)
		case n.Kind != "":
			e = p.errorAt(k, "two kinds of aggregation in one: [%s] and [%s]", n.Kind, k.Str)
		case !x.IsObject():
			e = p.errorAt(x, "[%s] is not an object", k.Str)
		default:
			n.Kind = Kind(k.Str)
			e = read(p, n, x)
		}
		return e == nil
	})
	switch {
	case e != nil:
	case n.Kind == "":
		e = p.errorAt(v, "an aggregation without a kind")
	case n.Subs != nil && !n.hasBuckets():
		e = p.errorAt(v, "[%s] takes no aggregations below it", n.Kind)
	}
	return n, e
}

// bodyParser parses the body of an aggregation of one kind into its node.
type bodyParser func(*parser, *Node, gjson.Result) *query.Error

// bodyParsers are the parsers of the supported kinds.
var bodyParsers map[Kind]bodyParser

func init() { // an initializer of the map would refer to itself through the parsers
	metric := bodyParser(func(p *parser, n *Node, v gjson.Result) *query.Error { return p.members(n, v, true, nil) })
	bodyParsers = map[Kind]bodyParser{Min: metric, Max: metric, Sum: metric, Avg: metric, Stats: metric, ValueCount: metric, Missing: metric,
		Cardinality: (*parser).cardinality, Percentiles: (*parser).percentiles, Terms: (*parser).terms, Histogram: (*parser).histogram,
		DateHistogram: (*parser).dateHistogram, Range: (*parser).ranges, DateRange: (*parser).ranges, Filter: (*parser).filter,
		Filters: (*parser).filters, TopHits: (*parser).topHits}
}

// memberParser parses the value of one member of an object.
type memberParser func(gjson.Result) *query.Error

// members parses the body of an aggregation by the parsers of its known members. With ofField, the members field, which is
// required, and missing are known as well. Any other member is an error.
func (p *parser) members(n *Node, v gjson.Result, ofField bool, known map[string]memberParser) (e *query.Error) {
	e = query.ForEachMember(p.text, v, func(k, x gjson.Result) (e *query.Error) {
		read := known[k.Str]
		switch {
		case read != nil:
			e = read(x)
		case ofField && k.Str == "field":
			if n.Field = x.Str; x.Type != gjson.String || n.Field == "" || len(n.Field) > query.MaxFieldName {
				e = p.errorAt(x, "[field] is not a field's name of at most %d bytes", query.MaxFieldName)
			}
		case ofField && k.Str == "missing":
			if n.Missing = x.Raw; x.Type == gjson.JSON || x.Type == gjson.Null || len(x.Raw) > query.MaxFieldName {
				e = p.errorAt(x, "[missing] is not a short value")
			}
		default:
			e = p.errorAt(k, "not supported here: [%.60s] in [%s]", k.Str, n.Kind)
		}
		return e
	})
	if e == nil && ofField && n.Field == "" {
		e = p.errorAt(v, "[%s] lacks [field]", n.Kind)
	}
	return e
}

// integer returns a parser of integers within bounds.
func (p *parser) integer(to *int, minimum, maximum int) memberParser {
	return func(v gjson.Result) *query.Error {
		if v.Type != gjson.Number || v.Num != math.Trunc(v.Num) || v.Num < float64(minimum) || v.Num > float64(maximum) {
			return p.errorAt(v, "not a whole number from %d to %d", minimum, maximum)
		}
		*to = int(v.Num)
		return nil
	}
}

// number returns a parser of numbers that valid accepts. What describes those in errors.
func (p *parser) number(to *float64, valid func(float64) bool, what string) memberParser {
	return func(v gjson.Result) *query.Error {
		if v.Type != gjson.Number || math.IsInf(v.Num, 0) || !valid(v.Num) {
			return p.errorAt(v, "not %s", what)
		}
		*to = v.Num
		return nil
	}
}

// flag returns a parser of booleans.
func (p *parser) flag(to *bool) memberParser {
	return func(v gjson.Result) *query.Error {
		if !v.IsBool() {
			return p.errorAt(v, "neither true nor false")
		}
		*to = v.Bool()
		return nil
	}
}

// boundedString returns a parser of strings of at most query.MaxFieldName bytes.
func (p *parser) boundedString(to *string) memberParser {
	return func(v gjson.Result) *query.Error {
		if v.Type != gjson.String || len(v.Str) > query.MaxFieldName {
			return p.errorAt(v, "not a string of at most %d bytes", query.MaxFieldName)
		}
		*to = v.Str
		return nil
	}
}
