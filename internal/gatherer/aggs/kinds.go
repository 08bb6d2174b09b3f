package aggs

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"pulleygw.example/pulleygw/internal/gatherer/query"
)

// minDocs returns a parser of min_doc_count.
func (p *parser) minDocs(n *Node) memberParser {
	return func(v gjson.Result) *query.Error {
		i := 0
		e := p.integer(&i, 0, math.MaxInt32)(v)
		n.MinDocCount = int64(i)
		return e
	}
}

// cardinality parses the body of a cardinality aggregation. The precision_threshold is checked and otherwise ignored.
func (p *parser) cardinality(n *Node, v gjson.Result) *query.Error {
	precision := 0
	return p.members(n, v, true, map[string]memberParser{"precision_threshold": p.integer(&precision, 0, 40000)})
}

// percentiles parses the body of a percentiles aggregation.
func (p *parser) percentiles(n *Node, v gjson.Result) *query.Error {
	n.Keyed = true
	n.Percentiles = []float64{1, 5, 25, 50, 75, 95, 99}
	return p.members(n, v, true, map[string]memberParser{"keyed": p.flag(&n.Keyed), "percents": func(v gjson.Result) *query.Error {
		n.Percentiles = nil
		for _, x := range v.Array() {
			if x.Type != gjson.Number || x.Num < 0 || x.Num > 100 || len(n.Percentiles) == MaxRanges {
				return p.errorAt(v, "[percents] is not a list of at most %d numbers from 0 to 100", MaxRanges)
			}
			n.Percentiles = append(n.Percentiles, x.Num)
		}
		if n.Percentiles == nil {
			return p.errorAt(v, "[percents] is empty")
		}
		return nil
	}})
}

// terms parses the body of a terms aggregation.
func (p *parser) terms(n *Node, v gjson.Result) *query.Error {
	n.Size, n.Descending = 10, true
	e := p.members(n, v, true, map[string]memberParser{"size": p.integer(&n.Size, 1, MaxSize), "min_doc_count": p.minDocs(n),
		"shard_size": p.integer(&n.ShardSize, 1, MaxBuckets), "order": func(v gjson.Result) *query.Error {
			if v.IsArray() && len(v.Array()) > 0 { // further entries break ties, for which the bucket key is used here
				v = v.Array()[0]
			}
			ok := false
			v.ForEach(func(k, x gjson.Result) bool {
				n.OrderByKey = k.Str == "_key" || k.Str == "_term"
				n.Descending = x.Str == "desc"
				ok = (n.OrderByKey || k.Str == "_count") && (n.Descending || x.Str == "asc")
				return false
			})
			switch {
			case !ok:
				return p.errorAt(v, "not supported here: [order] other than by [_count] or [_key]")
			case !n.OrderByKey && !n.Descending:
				return p.errorAt(v, "not supported here: the rarest first, as no range can tell which are rare over all")
			}
			return nil
		}})
	if e == nil && n.MinDocCount == 0 {
		e = p.errorAt(v, "not supported here: [min_doc_count] of 0 in [terms]")
	}
	return e
}

// histogram parses the body of a histogram aggregation.
func (p *parser) histogram(n *Node, v gjson.Result) *query.Error {
	offset := 0.0
	return p.members(n, v, true, map[string]memberParser{"interval": p.number(&n.Interval, func(x float64) bool { return x > 0 }, "a number above 0"),
		"min_doc_count": p.minDocs(n), "keyed": p.flag(&n.Keyed), "extended_bounds": p.extendedBounds(n),
		"offset": func(v gjson.Result) *query.Error {
			n.Offset = v.Raw
			return p.number(&offset, func(x float64) bool { return x >= 0 }, "a number from 0 on")(v)
		}})
}

// extendedBounds returns a parser of extended_bounds.
func (p *parser) extendedBounds(n *Node) memberParser {
	return func(v gjson.Result) *query.Error {
		lo, hi := v.Get("min"), v.Get("max")
		if lo.Type != gjson.Number || hi.Type != gjson.Number || lo.Num > hi.Num || len(v.Map()) != 2 {
			return p.errorAt(v, "[extended_bounds] is not an object of two numbers, [min] and [max]")
		}
		n.ExtendedBounds = &[2]float64{lo.Num, hi.Num}
		return nil
	}
}

// calendarIntervals maps the names of calendar intervals in OpenSearch to their short forms.
var calendarIntervals = map[string]string{"minute": "1m", "1m": "1m", "hour": "1h", "1h": "1h", "day": "1d", "1d": "1d", "week": "1w", "1w": "1w",
	"month": "1M", "1M": "1M", "quarter": "1q", "1q": "1q", "year": "1y", "1y": "1y"}

// dateHistogram parses the body of a date_histogram aggregation.
func (p *parser) dateHistogram(n *Node, v gjson.Result) *query.Error {
	e := p.members(n, v, true, map[string]memberParser{"min_doc_count": p.minDocs(n), "keyed": p.flag(&n.Keyed), "format": p.boundedString(&n.Format),
		"offset": p.boundedString(&n.Offset), "extended_bounds": p.extendedBounds(n),
		"time_zone": func(v gjson.Result) *query.Error {
			e := p.boundedString(&n.TimeZone)(v)
			if _, err := parseZone(n.TimeZone); e == nil && err != nil {
				e = p.errorAt(v, "[time_zone] is not known: [%.60s]", n.TimeZone)
			}
			return e
		},
		"fixed_interval": func(v gjson.Result) *query.Error {
			var ok bool
			if n.FixedInterval, ok = parseFixedInterval(v.Str); !ok {
				return p.errorAt(v, "[fixed_interval] is not a number of ms, s, m, h or d")
			}
			return nil
		},
		"calendar_interval": func(v gjson.Result) *query.Error {
			if n.CalendarInterval = calendarIntervals[v.Str]; n.CalendarInterval == "" {
				return p.errorAt(v, "[calendar_interval] is none of minute, hour, day, week, month, quarter and year")
			}
			return nil
		}})
	if _, ok := goTimeLayout(n.Format); e == nil && !ok && n.MinDocCount <= 0 {
		e = p.errorAt(v, "not supported here: the [format] %.40q where empty buckets are wanted; ask for [min_doc_count] of 1", n.Format)
	}
	if _, ok := parseFixedInterval(strings.TrimLeft(n.Offset, "+-")); e == nil && n.Offset != "" && !ok {
		e = p.errorAt(v, "[offset] is not a number of ms, s, m, h or d")
	}
	if e == nil && (n.FixedInterval == 0) == (n.CalendarInterval == "") {
		e = p.errorAt(v, "[date_histogram] wants [fixed_interval] or [calendar_interval]")
	}
	return e
}

// parseFixedInterval parses an interval such as 90s or 1d: a whole number above 0 and a unit. A day has 24 hours.
func parseFixedInterval(s string) (time.Duration, bool) {
	for _, u := range []struct {
		suffix string
		unit   time.Duration
	}{{"ms", time.Millisecond}, {"s", time.Second}, {"m", time.Minute}, {"h", time.Hour}, {"d", 24 * time.Hour}} {
		var n int
		if digits, ok := strings.CutSuffix(s, u.suffix); ok && len(digits) < 8 {
			if _, err := fmt.Sscanf(digits+"|", "%d|", &n); err == nil && n > 0 {
				return time.Duration(n) * u.unit, true
			}
		}
	}
	return 0, false
}

// parseZone parses a time zone: a name such as Europe/Berlin, or an offset such as +09:00.
func parseZone(s string) (*time.Location, error) {
	if t, err := time.Parse("-07:00", s); err == nil {
		_, off := t.Zone()
		return time.FixedZone(s, off), nil
	}
	return time.LoadLocation(s)
}

// ranges parses the body of a range or date_range aggregation.
func (p *parser) ranges(n *Node, v gjson.Result) *query.Error {
	e := p.members(n, v, true, map[string]memberParser{"keyed": p.flag(&n.Keyed), "format": p.boundedString(&n.Format), "time_zone": p.boundedString(&n.TimeZone),
		"ranges": func(v gjson.Result) (e *query.Error) {
			for _, r := range v.Array() {
				s := Span{}
				r.ForEach(func(k, x gjson.Result) bool {
					switch {
					case k.Str == "key" && x.Type == gjson.String && x.Str != "":
						s.Key = x.Str
					case k.Str == "from" && x.Type != gjson.JSON:
						s.From = x.Raw
					case k.Str == "to" && x.Type != gjson.JSON:
						s.To = x.Raw
					default:
						e = p.errorAt(v, "a range has [%.40s]", k.Str)
					}
					return e == nil
				})
				if n.Ranges = append(n.Ranges, s); e == nil && s.From+s.To == "" {
					e = p.errorAt(v, "a range has no end")
				}
			}
			if e == nil && (len(n.Ranges) == 0 || len(n.Ranges) > MaxRanges) {
				e = p.errorAt(v, "not 1 to %d ranges", MaxRanges)
			}
			return e
		}})
	if e == nil && n.Ranges == nil {
		e = p.errorAt(v, "[%s] lacks [ranges]", n.Kind)
	}
	return e
}

// filter parses the body of a filter aggregation.
func (p *parser) filter(n *Node, v gjson.Result) *query.Error {
	q, e := query.Parse(p.text, v)
	n.Filters = []NamedFilter{{Query: q}}
	return e
}

// filters parses the body of a filters aggregation.
func (p *parser) filters(n *Node, v gjson.Result) *query.Error {
	other := false
	e := p.members(n, v, false, map[string]memberParser{"filters": func(v gjson.Result) (e *query.Error) {
		v.ForEach(func(k, x gjson.Result) bool {
			f := NamedFilter{}
			if v.IsObject() {
				f.Name = k.Str
			}
			f.Query, e = query.Parse(p.text, x)
			n.Filters = append(n.Filters, f)
			return e == nil && len(n.Filters) <= MaxRanges
		})
		if e == nil && (len(n.Filters) == 0 || len(n.Filters) > MaxRanges) {
			e = p.errorAt(v, "not 1 to %d filters", MaxRanges)
		}
		n.Keyed = v.IsObject()
		return e
	}, "other_bucket": p.flag(&other), "other_bucket_key": p.boundedString(&n.OtherBucketKey)})
	if other && n.OtherBucketKey == "" {
		n.OtherBucketKey = "_other_"
	}
	if e == nil && n.Filters == nil {
		e = p.errorAt(v, "[filters] lacks [filters]")
	}
	return e
}

// topHits parses the body of a top_hits aggregation.
func (p *parser) topHits(n *Node, v gjson.Result) *query.Error {
	n.Size = 3
	e := p.members(n, v, false, map[string]memberParser{"size": p.integer(&n.Size, 0, MaxTopHits), "from": p.integer(&n.From, 0, MaxTopHits),
		"sort":    func(v gjson.Result) *query.Error { n.Sort = v.Raw; return nil },
		"_source": func(v gjson.Result) *query.Error { n.Source = v.Raw; return nil }})
	if e == nil && n.From+n.Size > MaxTopHits {
		e = p.errorAt(v, "[top_hits] goes past %d", MaxTopHits)
	}
	if e == nil && n.Sort != "" && !simpleSort(gjson.Parse(n.Sort)) {
		e = p.errorAt(v, "not supported here: a [sort] in [top_hits] of other than one field with asc or desc")
	}
	return e
}

// simpleSort reports whether a sort is by one field: "field", {"field":"asc"}, {"field":{"order":"desc"}}, or a list of one
// of these.
func simpleSort(v gjson.Result) bool {
	if v.IsArray() {
		if len(v.Array()) != 1 {
			return false
		}
		v = v.Array()[0]
	}
	if v.Type == gjson.String {
		return true
	}
	ok, fields := false, 0
	v.ForEach(func(_, x gjson.Result) bool {
		fields++
		order := x.Str
		if x.IsObject() {
			order = x.Get("order").Str
			if len(x.Map()) != 1 {
				order = ""
			}
		}
		ok = order == "asc" || order == "desc"
		return true
	})
	return ok && fields == 1
}
