package lots

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"
)

// aggregate answers aggregations over lots that matched, as one shard does. all are the range's lots, for global.
func (c *Corpus) aggregate(aggs gjson.Result, found []*scored, all []*Lot) (string, error) {
	var members []string
	var err error
	aggs.ForEach(func(name, a gjson.Result) bool {
		var text string
		if text, err = c.one(a, found, all); err != nil {
			return false
		}
		members = append(members, strconv.Quote(name.Str)+":"+text)
		return true
	})
	return "{" + strings.Join(members, ",") + "}", err
}

func (c *Corpus) one(a gjson.Result, found []*scored, all []*Lot) (text string, err error) {
	subs, kind, body := a.Get("aggs"), "", gjson.Result{}
	a.ForEach(func(k, v gjson.Result) bool {
		if k.Str != "aggs" {
			kind, body = k.Str, v
		}
		return true
	})
	bucket := func(head string, in []*scored) string {
		sub := ""
		if subs.Exists() {
			var e error
			if sub, e = c.aggregate(subs, in, all); e != nil {
				err = e
			} else if sub = "," + sub[1:len(sub)-1]; sub == "," {
				sub = ""
			}
		}
		return fmt.Sprintf(`{%s"doc_count":%d%s}`, head, len(in), sub)
	}
	var values []gjson.Result // of the lots that have the field, or count as having it
	var with []*scored
	for _, x := range found {
		v := x.lot.field(body.Get("field").Str)
		if !v.Exists() {
			v = body.Get("missing")
		}
		if v.Exists() {
			values, with = append(values, v), append(with, x)
		}
	}
	group := func(keyOf func(gjson.Result) string) (keys []string, in map[string][]*scored) {
		in = map[string][]*scored{}
		for i, v := range values {
			k := keyOf(v)
			if in[k] == nil {
				keys = append(keys, k)
			}
			in[k] = append(in[k], with[i])
		}
		return keys, in
	}
	number := func(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }
	least, greatest, sum := math.Inf(1), math.Inf(-1), 0.0
	for _, v := range values {
		least, greatest, sum = min(least, v.Num), max(greatest, v.Num), sum+v.Num
	}
	orNull := func(x float64) string {
		if len(values) == 0 {
			return "null"
		}
		return number(x)
	}
	switch kind {
	case "global":
		var every []*scored
		for _, l := range all {
			every = append(every, &scored{lot: l})
		}
		return bucket("", every), err
	case "min":
		return `{"value":` + orNull(least) + `}`, nil
	case "max":
		return `{"value":` + orNull(greatest) + `}`, nil
	case "sum":
		return `{"value":` + number(sum) + `}`, nil
	case "value_count":
		return fmt.Sprintf(`{"value":%d}`, len(values)), nil
	case "stats":
		return fmt.Sprintf(`{"count":%d,"min":%s,"max":%s,"avg":%s,"sum":%s}`, len(values), orNull(least), orNull(greatest),
			orNull(sum/float64(max(len(values), 1))), number(sum)), nil
	case "cardinality":
		keys, _ := group(func(v gjson.Result) string { return v.Raw })
		return fmt.Sprintf(`{"value":%d}`, len(keys)), nil
	case "percentiles":
		slices.SortFunc(values, func(a, b gjson.Result) int { return cmp.Compare(a.Num, b.Num) })
		var list []string
		for _, p := range body.Get("percents").Array() {
			v := "null"
			if n := len(values); n > 0 {
				at := p.Num / 100 * float64(n-1)
				lo := values[int(at)].Num
				v = number(lo + (at-math.Floor(at))*(values[min(int(at)+1, n-1)].Num-lo))
			}
			list = append(list, fmt.Sprintf(`{"key":%s,"value":%s}`, p.Raw, v))
		}
		return `{"values":[` + strings.Join(list, ",") + `]}`, nil
	case "terms":
		keys, in := group(func(v gjson.Result) string { return v.Raw })
		byKey, desc := body.Get("order._key").Exists(), body.Get("order._key").Str == "desc"
		slices.SortFunc(keys, func(a, b string) int {
			if d := len(in[b]) - len(in[a]); d != 0 && !byKey {
				return d
			}
			x, y := gjson.Parse(a), gjson.Parse(b)
			d := cmp.Or(cmp.Compare(x.Num, y.Num), strings.Compare(x.Str, y.Str))
			if desc {
				d = -d
			}
			return d
		})
		size := 10
		if s := body.Get("size"); s.Exists() {
			size = int(s.Int())
		}
		other := 0
		var list []string
		for i, k := range keys {
			if i >= size {
				other += len(in[k])
				continue
			}
			list = append(list, bucket(`"key":`+k+`,`, in[k]))
		}
		return fmt.Sprintf(`{"doc_count_error_upper_bound":0,"sum_other_doc_count":%d,"buckets":[%s]}`, other, strings.Join(list, ",")), err
	case "histogram", "date_histogram":
		step, off := body.Get("interval").Num, body.Get("offset").Num
		if f := body.Get("fixed_interval").Str; f != "" {
			d, err := time.ParseDuration(f)
			if err != nil {
				return "", fmt.Errorf("%w: %s", errQuery, f)
			}
			step = float64(d.Milliseconds())
		}
		keyOf := func(v gjson.Result) string { return number(math.Floor((v.Num-off)/step)*step + off) }
		if cal := body.Get("calendar_interval").Str; cal != "" {
			if cal != "1M" {
				return "", fmt.Errorf("%w: calendar %s", errQuery, cal)
			}
			keyOf = func(v gjson.Result) string {
				t := time.UnixMilli(int64(v.Num)).UTC()
				return number(float64(time.Date(t.Year(), t.Month(), 1, 0, 0, 0, 0, time.UTC).UnixMilli()))
			}
		}
		keys, in := group(keyOf)
		slices.SortFunc(keys, func(a, b string) int { return cmp.Compare(gjson.Parse(a).Num, gjson.Parse(b).Num) })
		var list []string
		for _, k := range keys {
			head := `"key":` + k + `,`
			if kind == "date_histogram" {
				head += `"key_as_string":"` + time.UnixMilli(int64(gjson.Parse(k).Num)).UTC().Format("2006-01-02T15:04:05.000Z07:00") + `",`
			}
			list = append(list, bucket(head, in[k]))
		}
		return `{"buckets":[` + strings.Join(list, ",") + `]}`, err
	case "range":
		var list []string
		for _, r := range body.Get("ranges").Array() {
			var in []*scored
			from, to := r.Get("from"), r.Get("to")
			for i, v := range values {
				if (!from.Exists() || v.Num >= from.Num) && (!to.Exists() || v.Num < to.Num) {
					in = append(in, with[i])
				}
			}
			head := `"key":` + r.Get("key").Raw + `,`
			if from.Exists() {
				head += `"from":` + from.Raw + `,`
			}
			if to.Exists() {
				head += `"to":` + to.Raw + `,`
			}
			list = append(list, bucket(head, in))
		}
		return `{"buckets":[` + strings.Join(list, ",") + `]}`, err
	case "missing":
		var in []*scored
		for _, x := range found {
			if !x.lot.field(body.Get("field").Str).Exists() {
				in = append(in, x)
			}
		}
		return bucket("", in), err
	case "filter", "filters":
		filters := []gjson.Result{body}
		if kind == "filters" {
			filters = body.Get("filters").Array()
		}
		var list []string
		seen := map[*scored]bool{}
		for _, f := range filters {
			m, e := c.compile(f)
			if e != nil {
				return "", e
			}
			var in []*scored
			for _, x := range found {
				if _, ok := m(x.lot); ok {
					in = append(in, x)
					seen[x] = true
				}
			}
			list = append(list, bucket("", in))
		}
		if kind == "filter" {
			return list[0], err
		}
		if body.Get("other_bucket").Bool() {
			list = append(list, bucket("", slices.DeleteFunc(slices.Clone(found), func(x *scored) bool { return seen[x] })))
		}
		return `{"buckets":[` + strings.Join(list, ",") + `]}`, err
	case "top_hits":
		keys := sortKeys(body.Get("sort"))
		if len(keys) == 0 {
			keys = []sortKey{{"_score", true, false}}
		}
		var mine []*scored
		for _, x := range found {
			y := &scored{lot: x.lot, score: x.score}
			for _, k := range keys {
				y.sort = append(y.sort, y.value(k))
			}
			mine = append(mine, y)
		}
		slices.SortStableFunc(mine, func(a, b *scored) int { return compareBy(keys, a, b) })
		out := fmt.Appendf(nil, `{"hits":{"total":{"value":%d,"relation":"eq"},"max_score":null,"hits":[`, len(mine))
		for i, x := range mine[:min(int(body.Get("size").Int()), len(mine))] {
			if i > 0 {
				out = append(out, ',')
			}
			out = x.append(out, body, !body.Get("sort").Exists())
		}
		return string(append(out, `]}}`...)), nil
	}
	return "", fmt.Errorf("%w: unknown aggregation [%s]", errQuery, kind)
}
