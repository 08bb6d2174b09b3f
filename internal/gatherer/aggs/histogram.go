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

// mergeHistogram merges the buckets of a histogram or date_histogram by key, and adds empty buckets where the client asked
// for them.
func (m *merger) mergeHistogram(b []byte, n *Node, parts []*Partial) ([]byte, error) {
	all := map[string]*mergedBucket{}
	for _, p := range parts {
		for i := range p.buckets {
			x := &p.buckets[i]
			if _, err := m.mergeBucket(all, strconv.FormatFloat(x.key.num, 'g', -1, 64), x); err != nil {
				return nil, err
			}
		}
	}
	list := make([]*mergedBucket, 0, len(all))
	for _, x := range all {
		list = append(list, x)
	}
	slices.SortFunc(list, func(x, y *mergedBucket) int { return cmp.Compare(x.key.num, y.key.num) })
	if n.MinDocCount <= 0 { // the default of OpenSearch is 0, which includes empty buckets
		var err error
		if list, err = n.addEmptyBuckets(list); err != nil {
			return nil, err
		}
	}
	opening, closing := byte('['), byte(']')
	if n.Keyed {
		opening, closing = '{', '}'
	}
	b = append(append(b, `{"buckets":`...), opening)
	shown := 0
	for _, x := range list {
		if x.docs < n.MinDocCount {
			continue
		}
		if shown > 0 {
			b = append(b, ',')
		}
		shown++
		if n.Keyed {
			b = append(append(b, quote(cmp.Or(x.keyAsString, formatNumber(x.key.num)))...), ':')
		}
		var err error
		if b, err = m.appendBucket(b, n, x, "key", formatNumber(x.key.num), "key_as_string", quoteUnlessEmpty(x.keyAsString)); err != nil {
			return nil, err
		}
	}
	b = append(b, closing)
	if text := formatMeta(m.boundIfMissing(Lower)); text != "" {
		b = append(append(b, `,"meta":`...), text...)
	}
	return append(b, '}'), nil
}

// addEmptyBuckets adds the missing buckets between the least and the greatest key, and those that the extended bounds cover.
// The list is sorted by key.
func (n *Node) addEmptyBuckets(list []*mergedBucket) ([]*mergedBucket, error) {
	lo, hi := math.NaN(), math.NaN()
	if len(list) > 0 {
		lo, hi = list[0].key.num, list[len(list)-1].key.num
	}
	if n.ExtendedBounds != nil {
		lo, hi = minIgnoringNaN(lo, n.floorKey(n.ExtendedBounds[0])), maxIgnoringNaN(hi, n.floorKey(n.ExtendedBounds[1]))
	}
	if math.IsNaN(lo) {
		return list, nil
	}
	var full []*mergedBucket
	for k, at := lo, 0; k <= hi || at < len(list); k = n.nextKey(k) {
		if len(full) > MaxBuckets {
			return nil, ErrTooManyBuckets
		}
		// Keys from ranges may lie just before the computed one, by rounding or because the time zone changed its offset. They are
		// kept as they are.
		for at < len(list) && list[at].key.num <= k+n.keyTolerance() {
			full = append(full, list[at])
			at++
		}
		if len(full) == 0 || full[len(full)-1].key.num < k-n.keyTolerance() {
			full = append(full, &mergedBucket{bucket: bucket{key: key{num: k}, keyAsString: n.keyAsString(k)}})
		}
	}
	return full, nil
}

// keyTolerance is how far apart two keys of the same bucket may be.
func (n *Node) keyTolerance() float64 {
	if n.Kind == Histogram {
		return n.Interval / 1e6
	}
	return 0.5
}

// floorKey returns the key of the bucket that holds a value.
func (n *Node) floorKey(x float64) float64 {
	if n.Kind == Histogram {
		off := gjson.Parse(n.Offset).Num
		return math.Floor((x-off)/n.Interval)*n.Interval + off
	}
	at := n.localTime(x)
	switch n.CalendarInterval {
	case "":
		_, z := at.Zone()
		wall := at.UnixMilli() + int64(z)*1000
		step := n.FixedInterval.Milliseconds()
		return float64(wall-((wall%step)+step)%step-int64(z)*1000) + n.offsetMillis()
	case "1m":
		at = at.Truncate(time.Minute)
	case "1h":
		at = time.Date(at.Year(), at.Month(), at.Day(), at.Hour(), 0, 0, 0, at.Location())
	case "1w":
		at = time.Date(at.Year(), at.Month(), at.Day()-(int(at.Weekday())+6)%7, 0, 0, 0, 0, at.Location()) // weeks start on Monday
	case "1M":
		at = time.Date(at.Year(), at.Month(), 1, 0, 0, 0, 0, at.Location())
	case "1q":
		at = time.Date(at.Year(), (at.Month()-1)/3*3+1, 1, 0, 0, 0, 0, at.Location())
	case "1y":
		at = time.Date(at.Year(), 1, 1, 0, 0, 0, 0, at.Location())
	default:
		at = time.Date(at.Year(), at.Month(), at.Day(), 0, 0, 0, 0, at.Location())
	}
	return float64(at.UnixMilli()) + n.offsetMillis()
}

// nextKey returns the key of the bucket that follows the one with key k.
func (n *Node) nextKey(k float64) float64 {
	if n.Kind == Histogram {
		off := gjson.Parse(n.Offset).Num
		return (math.Round((k-off)/n.Interval)+1)*n.Interval + off
	}
	at := n.localTime(k)
	switch n.CalendarInterval {
	case "":
		_, before := at.Zone()
		next := at.Add(n.FixedInterval)
		if _, after := next.Zone(); n.FixedInterval >= 24*time.Hour { // whole days follow the local clock
			next = next.Add(time.Duration(before-after) * time.Second)
		}
		at = next
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
	return float64(at.UnixMilli()) + n.offsetMillis()
}

// offsetMillis returns the offset of a date_histogram in milliseconds.
func (n *Node) offsetMillis() float64 {
	sign, s := 1.0, strings.TrimPrefix(n.Offset, "+")
	if strings.HasPrefix(s, "-") {
		sign, s = -1, s[1:]
	}
	d, _ := parseFixedInterval(s)
	return sign * float64(d.Milliseconds())
}

// localTime converts Unix milliseconds, less the offset, to a time in the time zone of the aggregation.
func (n *Node) localTime(ms float64) time.Time {
	location := time.UTC
	if n.TimeZone != "" {
		if named, err := parseZone(n.TimeZone); err == nil { // Parse has checked it
			location = named
		}
	}
	return time.UnixMilli(int64(ms - n.offsetMillis())).In(location)
}

// keyAsString returns the key_as_string of an empty bucket that is added.
func (n *Node) keyAsString(k float64) string {
	if n.Kind == Histogram {
		return ""
	}
	layout, ok := goTimeLayout(n.Format)
	if !ok {
		return ""
	}
	location := n.localTime(k).Location()
	return time.UnixMilli(int64(k)).In(location).Format(layout)
}

// goTimeLayout converts a date format of OpenSearch to a layout of package time. It returns false if the format has a part
// that is not supported.
func goTimeLayout(format string) (string, bool) {
	if format == "" || format == "strict_date_time" || format == "date_time" {
		return "2006-01-02T15:04:05.000Z07:00", true
	}
	layout := strings.NewReplacer("yyyy", "2006", "uuuu", "2006", "MM", "01", "dd", "02", "HH", "15", "mm", "04", "SSS", "000",
		"ss", "05", "XXX", "Z07:00", "'T'", "T", "'", "").Replace(format)
	return layout, !strings.ContainsAny(layout, "yuMdHmsSXeEaGwYDkKhnAzVOq")
}
