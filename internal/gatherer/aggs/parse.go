package aggs

import (
	"math"
	"strings"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/query"
)

// Parse parses the aggregations of a valid JSON text. V must come from a walk over text, so that its position is known.
func Parse(text string, v gjson.Result) ([]*Node, *query.Error) {
	p := &parser{text: text}
	return p.list(v, 1)
}

// parser parses the aggregations of one text.
type parser struct {
	text  string
	nodes int
}

// at returns an error at the position of v.
func (p *parser) at(v gjson.Result, format string, args ...any) *query.Error {
	return query.At(p.text, v.Index, format, args...)
}

// list parses an object of aggregations by name.
func (p *parser) list(v gjson.Result, depth int) (list []*Node, e *query.Error) {
	if depth > MaxDepth {
		return nil, p.at(v, "aggregations nested deeper than %d", MaxDepth)
	}
	if !v.IsObject() {
		return nil, p.at(v, "aggregations are not an object")
	}
	e = query.Members(p.text, v, func(k, x gjson.Result) *query.Error {
		if k.Str == "" || len(k.Str) > 128 || strings.ContainsAny(k.Str, "[]>\x00") || strings.Contains(k.Str, "::") {
			return p.at(k, "not a name of an aggregation: [%.40s]", k.Str)
		}
		n, e := p.node(k, x, depth)
		if e == nil {
			list = append(list, n)
		}
		return e
	})
	return list, e
}

// node parses one aggregation.
func (p *parser) node(name, v gjson.Result, depth int) (n *Node, e *query.Error) {
	if p.nodes++; p.nodes > MaxNodes {
		return nil, p.at(v, "more than %d aggregations", MaxNodes)
	}
	if !v.IsObject() {
		return nil, p.at(v, "the aggregation is not an object")
	}
	n = &Node{Name: name.Str, MinDocs: -1}
	v.ForEach(func(k, x gjson.Result) bool {
		switch read := kinds[Kind(k.Str)]; {
		case k.Str == "aggs" || k.Str == "aggregations":
			if n.Subs != nil {
				e = p.at(k, "[%s] stands twice", k.Str)
				break
			}
			n.Subs, e = p.list(x, depth+1)
		case k.Str == "meta":
		case read == nil:
			e = p.at(k, "not supported here: the aggregation [%.60s]", k.Str)
		case n.Kind != "":
			e = p.at(k, "two kinds of aggregation in one: [%s] and [%s]", n.Kind, k.Str)
		case !x.IsObject():
			e = p.at(x, "[%s] is not an object", k.Str)
		default:
			n.Kind = Kind(k.Str)
			e = read(p, n, x)
		}
		return e == nil
	})
	switch {
	case e != nil:
	case n.Kind == "":
		e = p.at(v, "an aggregation without a kind")
	case n.Subs != nil && !n.buckets():
		e = p.at(v, "[%s] takes no aggregations below it", n.Kind)
	}
	return n, e
}

// reader parses the body of one kind.
type reader func(*parser, *Node, gjson.Result) *query.Error

// kinds are the readers of the supported kinds.
var kinds map[Kind]reader

func init() { // the readers refer to each other
	metric := reader(func(p *parser, n *Node, v gjson.Result) *query.Error { return p.members(n, v, true, nil) })
	kinds = map[Kind]reader{Min: metric, Max: metric, Sum: metric, Avg: metric, Stats: metric, ValueCount: metric, Missing: metric,
		Cardinality: (*parser).cardinality, Percentiles: (*parser).percentiles, Terms: (*parser).terms, Histogram: (*parser).histogram,
		DateHistogram: (*parser).dateHistogram, Range: (*parser).ranges, DateRange: (*parser).ranges, Filter: (*parser).filter,
		Filters: (*parser).filters, TopHits: (*parser).topHits}
}

// member parses one member of an object.
type member func(gjson.Result) *query.Error

// members parses an object by its members. An aggregation of a field has the members field and missing as well.
func (p *parser) members(n *Node, v gjson.Result, ofField bool, known map[string]member) (e *query.Error) {
	e = query.Members(p.text, v, func(k, x gjson.Result) (e *query.Error) {
		read := known[k.Str]
		switch {
		case read != nil:
			e = read(x)
		case ofField && k.Str == "field":
			if n.Field = x.Str; x.Type != gjson.String || n.Field == "" || len(n.Field) > query.MaxField {
				e = p.at(x, "[field] is not a field's name of at most %d bytes", query.MaxField)
			}
		case ofField && k.Str == "missing":
			if n.Missing = x.Raw; x.Type == gjson.JSON || x.Type == gjson.Null || len(x.Raw) > query.MaxField {
				e = p.at(x, "[missing] is not a short value")
			}
		default:
			e = p.at(k, "not supported here: [%.60s] in [%s]", k.Str, n.Kind)
		}
		return e
	})
	if e == nil && ofField && n.Field == "" {
		e = p.at(v, "[%s] lacks [field]", n.Kind)
	}
	return e
}

// integer parses an integer within bounds.
func (p *parser) integer(to *int, least, most int) member {
	return func(v gjson.Result) *query.Error {
		if v.Type != gjson.Number || v.Num != math.Trunc(v.Num) || v.Num < float64(least) || v.Num > float64(most) {
			return p.at(v, "not a whole number from %d to %d", least, most)
		}
		*to = int(v.Num)
		return nil
	}
}

// number parses a number that is ok; what describes those.
func (p *parser) number(to *float64, ok func(float64) bool, what string) member {
	return func(v gjson.Result) *query.Error {
		if v.Type != gjson.Number || math.IsInf(v.Num, 0) || !ok(v.Num) {
			return p.at(v, "not %s", what)
		}
		*to = v.Num
		return nil
	}
}

// flag parses a boolean.
func (p *parser) flag(to *bool) member {
	return func(v gjson.Result) *query.Error {
		if !v.IsBool() {
			return p.at(v, "neither true nor false")
		}
		*to = v.Bool()
		return nil
	}
}

// str parses a string.
func (p *parser) str(to *string) member {
	return func(v gjson.Result) *query.Error {
		if v.Type != gjson.String || len(v.Str) > query.MaxField {
			return p.at(v, "not a string of at most %d bytes", query.MaxField)
		}
		*to = v.Str
		return nil
	}
}
