package aggs

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"
)

// mergeHistogram merges buckets by key, and adds empty ones where they are wanted.
func (m *merger) mergeHistogram(b []byte, n *Node, parts []*Partial) ([]byte, error) {
	all := map[string]*merged{}
	for _, p := range parts {
		for i := range p.buckets {
			x := &p.buckets[i]
			if _, err := m.mergeBucket(all, strconv.FormatFloat(x.key.num, 'g', -1, 64), x); err != nil {
				return nil, err
			}
		}
	}
	list := make([]*merged, 0, len(all))
	for _, x := range all {
		list = append(list, x)
	}
	slices.SortFunc(list, func(x, y *merged) int { return cmp.Compare(x.key.num, y.key.num) })
	if n.MinDocs <= 0 { // 0 is the default of the API
		var err error
		if list, err = n.fill(list); err != nil {
			return nil, err
		}
	}
	open, end := byte('['), byte(']')
	if n.Keyed {
		open, end = '{', '}'
	}
	b = append(append(b, `{"buckets":`...), open)
	shown := 0
	for _, x := range list {
		if x.docs < n.MinDocs {
			continue
		}
		if shown > 0 {
			b = append(b, ',')
		}
		shown++
		if n.Keyed {
			b = append(append(b, quote(cmp.Or(x.text, num(x.key.num)))...), ':')
		}
		var err error
		if b, err = m.bucket(b, n, x, "key", num(x.key.num), "key_as_string", quoted(x.text)); err != nil {
			return nil, err
		}
	}
	b = append(b, end)
	if text := meta(m.boundIfMissing(Lower)); text != "" {
		b = append(append(b, `,"meta":`...), text...)
	}
	return append(b, '}'), nil
}

// fill adds empty buckets between the least and the greatest key, extended to the bounds of the client.
func (n *Node) fill(list []*merged) ([]*merged, error) {
	lo, hi := math.NaN(), math.NaN()
	if len(list) > 0 {
		lo, hi = list[0].key.num, list[len(list)-1].key.num
	}
	if n.Bounds != nil {
		lo, hi = lesser(lo, n.floor(n.Bounds[0])), greater(hi, n.floor(n.Bounds[1]))
	}
	if math.IsNaN(lo) {
		return list, nil
	}
	var full []*merged
	for k, at := lo, 0; k <= hi || at < len(list); k = n.next(k) {
		if len(full) > MaxBuckets {
			return nil, ErrTooMany
		}
		// A key of a range just before the computed one, by rounding or a change of the zone, is kept as it is.
		for at < len(list) && list[at].key.num <= k+n.slip() {
			full = append(full, list[at])
			at++
		}
		if len(full) == 0 || full[len(full)-1].key.num < k-n.slip() {
			full = append(full, &merged{bucket: bucket{key: key{num: k}, text: n.text(k)}})
		}
	}
	return full, nil
}

// slip is how far apart two equal keys may be.
func (n *Node) slip() float64 {
	if n.Kind == Histogram {
		return n.Interval / 1e6
	}
	return 0.5
}

// floor is the key of the bucket of a value.
func (n *Node) floor(x float64) float64 {
	if n.Kind == Histogram {
		off := gjson.Parse(n.Offset).Num
		return math.Floor((x-off)/n.Interval)*n.Interval + off
	}
	at := n.local(x)
	switch n.Calendar {
	case "":
		_, z := at.Zone()
		wall := at.UnixMilli() + int64(z)*1000
		step := n.Fixed.Milliseconds()
		return float64(wall-((wall%step)+step)%step-int64(z)*1000) + n.shift()
	case "1m":
		at = at.Truncate(time.Minute)
	case "1h":
		at = time.Date(at.Year(), at.Month(), at.Day(), at.Hour(), 0, 0, 0, at.Location())
	case "1w":
		at = time.Date(at.Year(), at.Month(), at.Day()-(int(at.Weekday())+6)%7, 0, 0, 0, 0, at.Location()) // from Monday on
	case "1M":
		at = time.Date(at.Year(), at.Month(), 1, 0, 0, 0, 0, at.Location())
	case "1q":
		at = time.Date(at.Year(), (at.Month()-1)/3*3+1, 1, 0, 0, 0, 0, at.Location())
	case "1y":
		at = time.Date(at.Year(), 1, 1, 0, 0, 0, 0, at.Location())
	default:
		at = time.Date(at.Year(), at.Month(), at.Day(), 0, 0, 0, 0, at.Location())
	}
	return float64(at.UnixMilli()) + n.shift()
}

// next is the key of the following bucket.
func (n *Node) next(k float64) float64 {
	if n.Kind == Histogram {
		off := gjson.Parse(n.Offset).Num
		return (math.Round((k-off)/n.Interval)+1)*n.Interval + off
	}
	at := n.local(k)
	switch n.Calendar {
	case "":
		_, before := at.Zone()
		then := at.Add(n.Fixed)
		if _, after := then.Zone(); n.Fixed >= 24*time.Hour { // by the wall clock
			then = then.Add(time.Duration(before-after) * time.Second)
		}
		at = then
	case "1m":
		at = at.Add(time.Minute)
	case "1h":
		at = at.Add(time.Hour)
	case "1w":
		at = at.AddDate(0, 0, 7)
	case "1M":
		at = at.AddDate(0, 1, 0)
	case "1q":
		at = at.AddDate(0, 3, 0)
	case "1y":
		at = at.AddDate(1, 0, 0)
	default:
		at = at.AddDate(0, 0, 1)
	}
	return float64(at.UnixMilli()) + n.shift()
}

// shift is the offset of a date_histogram in milliseconds.
func (n *Node) shift() float64 {
	sign, s := 1.0, strings.TrimPrefix(n.Offset, "+")
	if strings.HasPrefix(s, "-") {
		sign, s = -1, s[1:]
	}
	d, _ := parseFixedInterval(s)
	return sign * float64(d.Milliseconds())
}

// local is a time, in Unix milliseconds, in the zone of the aggregation.
func (n *Node) local(ms float64) time.Time {
	where := time.UTC
	if n.Zone != "" {
		if l, err := parseZone(n.Zone); err == nil { // it was checked by Parse
			where = l
		}
	}
	return time.UnixMilli(int64(ms - n.shift())).In(where)
}

// text is the key_as_string of an added bucket.
func (n *Node) text(k float64) string {
	if n.Kind == Histogram {
		return ""
	}
	layout, ok := layoutOf(n.Format)
	if !ok {
		return ""
	}
	where := n.local(k).Location()
	return time.UnixMilli(int64(k)).In(where).Format(layout)
}

// layoutOf converts a date format of the API to a Go layout; false if it is not supported.
func layoutOf(format string) (string, bool) {
	if format == "" || format == "strict_date_time" || format == "date_time" {
		return "2006-01-02T15:04:05.000Z07:00", true
	}
	layout := strings.NewReplacer("yyyy", "2006", "uuuu", "2006", "MM", "01", "dd", "02", "HH", "15", "mm", "04", "SSS", "000",
		"ss", "05", "XXX", "Z07:00", "'T'", "T", "'", "").Replace(format)
	return layout, !strings.ContainsAny(layout, "yuMdHmsSXeEaGwYDkKhnAzVOq")
}
