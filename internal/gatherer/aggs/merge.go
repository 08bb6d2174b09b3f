package aggs

import (
	"cmp"
	"errors"
	"math"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"
)

// Bound says how a figure stands to the true one.
type Bound string

// The bounds. Exact figures do not name theirs.
const (
	Exact    Bound = "exact"
	Lower    Bound = "lower"    // the true one is this or more
	Upper    Bound = "upper"    // the true one is this or less
	Estimate Bound = "estimate" // either
)

// ErrTooMany is more buckets than one answer may have.
var ErrTooMany = errors.New("more buckets than an answer may have")

// keptMost bounds the buckets that are kept while ranges' answers come together.
const keptMost = 16 * MaxBuckets

// Merge makes one answer, as the value of aggregations, of ranges' answers. missing says that some range is not among
// them, so that counts are bounds.
func Merge(list []*Node, answers [][]Part, missing bool) ([]byte, error) {
	m := merger{missing: missing}
	b, err := m.list(nil, list, answers)
	if err != nil {
		return nil, err
	}
	return b, nil
}

type merger struct {
	missing bool
	buckets int // in the answer
	kept    int // while merging
}

// list words aggregations; answers are by range, then by aggregation.
func (m *merger) list(b []byte, list []*Node, answers [][]Part) ([]byte, error) {
	b = append(b, '{')
	for i, n := range list {
		if i > 0 {
			b = append(b, ',')
		}
		parts := make([]*Part, len(answers))
		for r := range answers {
			parts[r] = &answers[r][i]
		}
		b = append(append(b, quote(n.Name)...), ':')
		var err error
		if b, err = m.node(b, n, parts); err != nil {
			return nil, err
		}
	}
	return append(b, '}'), nil
}

// total is a sum whose error does not grow with the number of terms, nor depend on their order by more than a rounding:
// Neumaier's variant of Kahan's summation (1974).
type total struct{ sum, lost float64 }

func (t *total) add(x float64) {
	s := t.sum + x
	if math.Abs(t.sum) >= math.Abs(x) {
		t.lost += (t.sum - s) + x
	} else {
		t.lost += (x - s) + t.sum
	}
	t.sum = s
}

func (t total) value() float64 {
	if math.IsInf(t.sum, 0) || math.IsNaN(t.sum) {
		return t.sum
	}
	return t.sum + t.lost
}

func num(x float64) string {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return "null"
	}
	return strconv.FormatFloat(x, 'g', -1, 64)
}

func whole(n int64) string { return strconv.FormatInt(n, 10) }

// meta words a bound, and more beside it.
func meta(b Bound, more ...string) string {
	if b == Exact {
		return ""
	}
	return object(append([]string{"bound", quote(string(b))}, more...)...)
}

// if missing, a figure that is else exact is a bound of this kind.
func (m *merger) lacks(b Bound) Bound {
	if m.missing {
		return b
	}
	return Exact
}

func (m *merger) node(b []byte, n *Node, parts []*Part) ([]byte, error) {
	var sum total
	docs, least, greatest := int64(0), math.NaN(), math.NaN()
	for _, p := range parts {
		sum.add(p.sum)
		docs += p.count
		least, greatest = lesser(least, p.min), greater(greatest, p.max)
	}
	switch n.Kind {
	case Min:
		return append(b, object("value", num(least), "meta", meta(m.lacks(Upper)))...), nil
	case Max:
		return append(b, object("value", num(greatest), "meta", meta(m.lacks(Lower)))...), nil
	case Sum:
		return append(b, object("value", num(sum.value()), "meta", meta(m.lacks(Estimate)))...), nil
	case ValueCount:
		return append(b, object("value", whole(docs), "meta", meta(m.lacks(Lower)))...), nil
	case Avg, Stats:
		avg := math.NaN()
		if docs > 0 {
			avg = sum.value() / float64(docs)
		}
		if n.Kind == Avg {
			return append(b, object("value", num(avg), "meta", meta(m.lacks(Estimate)))...), nil
		}
		return append(b, object("count", whole(docs), "min", num(least), "max", num(greatest), "avg", num(avg),
			"sum", num(sum.value()), "meta", meta(m.lacks(Estimate)))...), nil
	case Cardinality:
		return append(b, m.cardinality(parts)...), nil
	case Percentiles:
		return append(b, n.percentiles(parts, docs)...), nil
	case TopHits:
		return append(b, m.topHits(n, parts, docs)...), nil
	case Terms:
		return m.terms(b, n, parts)
	case Histogram, DateHistogram:
		return m.histogram(b, n, parts)
	}
	return m.fixed(b, n, parts)
}

func lesser(a, b float64) float64 {
	if math.IsNaN(a) || b < a {
		return b
	}
	return a
}

func greater(a, b float64) float64 {
	if math.IsNaN(a) || b > a {
		return b
	}
	return a
}

// cardinality is exact where no range cut its list of terms. Else the terms that are known are at least so many, and
// the ranges' own figures, each of which counts its terms once, together at most.
func (m *merger) cardinality(parts []*Part) string {
	seen, upper, cut := map[string]struct{}{}, int64(0), false
	for _, p := range parts {
		for _, x := range p.buckets {
			seen[x.key.raw] = struct{}{}
		}
		if p.other > 0 {
			cut = true
			upper += max(p.count, int64(len(p.buckets)))
		} else {
			upper += int64(len(p.buckets))
		}
	}
	if cut && !m.missing {
		return object("value", whole(int64(len(seen))), "meta", meta(Lower, "upper", whole(upper)))
	}
	return object("value", whole(int64(len(seen))), "meta", meta(m.lacks(Lower)))
}

// percentiles reads the mixture of the ranges' distributions, each weighing as many values as it has. A range's is
// known at each hundredth, so that a percentile's rank is off by one hundredth at the most, beside the range's own error.
func (n *Node) percentiles(parts []*Part, docs int64) string {
	lo, hi := math.Inf(1), math.Inf(-1)
	for _, p := range parts {
		if p.count > 0 {
			lo, hi = min(lo, p.dist[0]), max(hi, p.dist[points])
		}
	}
	below := func(x float64) float64 { // values that are x or less
		sum := 0.0
		for _, p := range parts {
			if p.count > 0 {
				sum += float64(p.count) * share(p.dist, x)
			}
		}
		return sum
	}
	values := make([]string, 0, len(n.Percents))
	for _, percent := range n.Percents {
		x := math.NaN()
		if docs > 0 {
			from, to := lo, hi
			for range 64 { // bisection, to the last bit or so
				mid := from + (to-from)/2
				if below(mid) >= percent/100*float64(docs) {
					to = mid
				} else {
					from = mid
				}
			}
			x = to
		}
		name := strconv.FormatFloat(percent, 'f', -1, 64)
		if !strings.Contains(name, ".") {
			name += ".0"
		}
		if n.Keyed {
			values = append(values, quote(name)+":"+num(x))
		} else {
			values = append(values, object("key", name, "value", num(x)))
		}
	}
	list := "[" + strings.Join(values, ",") + "]"
	if n.Keyed {
		list = "{" + strings.Join(values, ",") + "}"
	}
	return object("values", list, "meta", meta(Estimate, "rank_error", num(1.0/points)))
}

// share is which part of a distribution is x or less.
func share(dist []float64, x float64) float64 {
	i := sort.Search(len(dist), func(i int) bool { return dist[i] > x }) // the first point above
	switch {
	case i == 0:
		return 0
	case i == len(dist):
		return 1
	}
	return (float64(i-1) + (x-dist[i-1])/(dist[i]-dist[i-1])) / points
}

func (m *merger) topHits(n *Node, parts []*Part, docs int64) string {
	var all []hit
	for _, p := range parts {
		all = append(all, p.hits...)
	}
	desc := n.Sort == "" || strings.Contains(n.Sort, `"desc"`)
	slices.SortStableFunc(all, func(a, b hit) int { // lots without the field last
		if none, other := a.sort.Type == gjson.Null, b.sort.Type == gjson.Null; none || other {
			return map[bool]int{true: 1}[none] - map[bool]int{true: 1}[other]
		}
		c := cmp.Compare(a.sort.Num, b.sort.Num)
		if a.sort.Type == gjson.String {
			c = strings.Compare(a.sort.Str, b.sort.Str)
		}
		if desc {
			c = -c
		}
		return c
	})
	all = all[min(n.From, len(all)):]
	raws := make([]string, min(n.Size, len(all)))
	for i := range raws {
		raws[i] = all[i].raw
	}
	relation := `"eq"`
	if m.missing {
		relation = `"gte"`
	}
	return object("hits", object("total", object("value", whole(docs), "relation", relation), "max_score", "null",
		"hits", "["+strings.Join(raws, ",")+"]"), "meta", meta(m.lacks(Estimate)))
}

// merged is a bucket out of several ranges'.
type merged struct {
	bucket
	subs   [][]Part
	listed int64 // what the ranges that list it can at most have cut off of any other
}

func (m *merger) keep(into map[string]*merged, name string, x *bucket) (*merged, error) {
	b := into[name]
	if b == nil {
		if m.kept++; m.kept > keptMost {
			return nil, ErrTooMany
		}
		b = &merged{bucket: *x}
		b.docs = 0
		into[name] = b
	}
	b.docs += x.docs
	if x.subs != nil {
		b.subs = append(b.subs, x.subs)
	}
	return b, nil
}

// words words a bucket after its key.
func (m *merger) words(b []byte, n *Node, x *merged, members ...string) ([]byte, error) {
	if m.buckets++; m.buckets > MaxBuckets {
		return nil, ErrTooMany
	}
	text := object(append(members, "doc_count", whole(x.docs))...)
	b = append(b, text[:len(text)-1]...)
	if len(n.Subs) > 0 {
		subs, err := m.list(nil, n.Subs, x.subs)
		if err != nil {
			return nil, err
		}
		if len(subs) > 2 {
			b = append(append(b, ','), subs[1:len(subs)-1]...)
		}
	}
	return append(b, '}'), nil
}

// terms ranks the terms that ranges listed. A range that cut its list may hold of any term that it did not list as many
// lots as its last bucket, no more: that is the error, of each bucket and of terms that are in no list. By key there is
// none: the first keys over all are among the first of each range.
func (m *merger) terms(b []byte, n *Node, parts []*Part) ([]byte, error) {
	all, other, caps := map[string]*merged{}, int64(0), int64(0)
	for _, p := range parts {
		limit := int64(0)
		if other += p.other; p.other > 0 && !n.ByKey && len(p.buckets) > 0 {
			limit = p.buckets[len(p.buckets)-1].docs
		}
		caps += limit
		for i := range p.buckets {
			x, err := m.keep(all, p.buckets[i].key.raw, &p.buckets[i])
			if err != nil {
				return nil, err
			}
			x.listed += limit
		}
	}
	list := make([]*merged, 0, len(all))
	for _, x := range all {
		list = append(list, x)
	}
	slices.SortFunc(list, func(x, y *merged) int {
		if c := cmp.Compare(y.docs, x.docs); c != 0 && !n.ByKey {
			return c
		}
		c := x.key.compare(y.key)
		if n.ByKey && n.Desc {
			c = -c
		}
		return c
	})
	least := max(n.MinDocs, 1)
	if n.MinDocs > 1 && caps > 0 { // a bucket under the least may reach it by what was cut off
		least = max(n.MinDocs-caps, 1)
	}
	b = append(b, `{"buckets":[`...)
	shown := 0
	for _, x := range list {
		if shown == n.Size || x.docs < least {
			other += x.docs
			continue
		}
		if shown > 0 {
			b = append(b, ',')
		}
		shown++
		var err error
		if b, err = m.words(b, n, x, "key", x.key.raw, "key_as_string", quoted(x.text), "doc_count_error_upper_bound", whole(caps-x.listed)); err != nil {
			return nil, err
		}
	}
	b = append(b, "],"...)
	return append(b, object("doc_count_error_upper_bound", whole(caps), "sum_other_doc_count", whole(other), "meta", meta(m.lacks(Lower)))[1:]...), nil
}

func (k key) compare(o key) int {
	if k.str || o.str {
		return strings.Compare(unquote(k.raw), unquote(o.raw))
	}
	x, err1 := strconv.ParseInt(k.raw, 10, 64)
	y, err2 := strconv.ParseInt(o.raw, 10, 64)
	if err1 == nil && err2 == nil { // exact past 2^53
		return cmp.Compare(x, y)
	}
	return cmp.Compare(k.num, o.num)
}

// fixed adds up buckets that are the same at every range.
func (m *merger) fixed(b []byte, n *Node, parts []*Part) ([]byte, error) {
	one := n.Kind == Filter || n.Kind == Missing
	size := 1
	if len(n.Ranges) > 0 {
		size = len(n.Ranges)
	} else if n.Kind == Filters {
		size = len(n.Filters)
		if n.Other != "" {
			size++
		}
	}
	all := make([]merged, size)
	for _, p := range parts {
		for i := range p.buckets {
			x := &p.buckets[i]
			at := i
			if len(n.Ranges) > 0 {
				at, _ = strconv.Atoi(unquote(x.key.raw)) // as decoded
			}
			y := &all[at]
			if !y.from.Exists() {
				y.from, y.to = x.from, x.to
			}
			y.docs += x.docs
			if x.subs != nil {
				y.subs = append(y.subs, x.subs)
			}
		}
	}
	if one {
		words, err := m.words(nil, n, &all[0])
		if err != nil || m.lacks(Lower) == Exact {
			return append(b, words...), err
		}
		return append(append(b, words[:len(words)-1]...), `,"meta":`+meta(Lower)+"}"...), nil
	}
	open, end := byte('['), byte(']')
	if n.Keyed {
		open, end = '{', '}'
	}
	b = append(append(b, `{"buckets":`...), open)
	for i := range all {
		if i > 0 {
			b = append(b, ',')
		}
		name, from, to := "", "", ""
		switch {
		case len(n.Ranges) > 0:
			name, from, to = n.Ranges[i].name(), all[i].from.Raw, all[i].to.Raw
			from, to = cmp.Or(from, n.Ranges[i].From), cmp.Or(to, n.Ranges[i].To)
		case i < len(n.Filters):
			name = n.Filters[i].Name
		default:
			name = n.Other
		}
		key := quoted(name)
		if n.Keyed {
			b = append(append(b, quote(name)...), ':')
			key = ""
		} else if n.Kind == Filters {
			key = ""
		}
		var err error
		if b, err = m.words(b, n, &all[i], "key", key, "from", from, "to", to); err != nil {
			return nil, err
		}
	}
	b = append(b, end)
	if text := meta(m.lacks(Lower)); text != "" {
		b = append(append(b, `,"meta":`...), text...)
	}
	return append(b, '}'), nil
}

// name is a range's key, as the API makes it where none is given.
func (s Span) name() string {
	if s.Key != "" {
		return s.Key
	}
	end := func(raw string) string {
		if raw == "" {
			return "*"
		}
		v := gjson.Parse(raw)
		if v.Type == gjson.Number {
			text := strconv.FormatFloat(v.Num, 'f', -1, 64)
			if !strings.Contains(text, ".") {
				text += ".0"
			}
			return text
		}
		return v.String()
	}
	return end(s.From) + "-" + end(s.To)
}

// histogram adds up buckets by key, and fills the gaps where empty buckets are wanted.
func (m *merger) histogram(b []byte, n *Node, parts []*Part) ([]byte, error) {
	all := map[string]*merged{}
	for _, p := range parts {
		for i := range p.buckets {
			x := &p.buckets[i]
			if _, err := m.keep(all, strconv.FormatFloat(x.key.num, 'g', -1, 64), x); err != nil {
				return nil, err
			}
		}
	}
	list := make([]*merged, 0, len(all))
	for _, x := range all {
		list = append(list, x)
	}
	slices.SortFunc(list, func(x, y *merged) int { return cmp.Compare(x.key.num, y.key.num) })
	if n.MinDocs <= 0 { // 0 is the API's default
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
		if b, err = m.words(b, n, x, "key", num(x.key.num), "key_as_string", quoted(x.text)); err != nil {
			return nil, err
		}
	}
	b = append(b, end)
	if text := meta(m.lacks(Lower)); text != "" {
		b = append(append(b, `,"meta":`...), text...)
	}
	return append(b, '}'), nil
}

// fill puts empty buckets between the least and the greatest key, and out to the bounds that the client extends to.
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
		// A key of the ranges' that lies before the one reckoned here, by a rounding or a zone's change, is kept as it is.
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

// slip is how far apart two keys may be that are one.
func (n *Node) slip() float64 {
	if n.Kind == Histogram {
		return n.Interval / 1e6
	}
	return 0.5
}

// floor is the key of the bucket that a value falls into.
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

// next is the key after one.
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

// shift is a date_histogram's offset in milliseconds.
func (n *Node) shift() float64 {
	sign, s := 1.0, strings.TrimPrefix(n.Offset, "+")
	if strings.HasPrefix(s, "-") {
		sign, s = -1, s[1:]
	}
	d, _ := fixed(s)
	return sign * float64(d.Milliseconds())
}

func (n *Node) local(ms float64) time.Time {
	where := time.UTC
	if n.Zone != "" {
		if l, err := zone(n.Zone); err == nil { // as parsed
			where = l
		}
	}
	return time.UnixMilli(int64(ms - n.shift())).In(where)
}

// text is a filled bucket's key_as_string.
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

// layoutOf turns a date format of the API into this language's; false where it has what is not known.
func layoutOf(format string) (string, bool) {
	if format == "" || format == "strict_date_time" || format == "date_time" {
		return "2006-01-02T15:04:05.000Z07:00", true
	}
	layout := strings.NewReplacer("yyyy", "2006", "uuuu", "2006", "MM", "01", "dd", "02", "HH", "15", "mm", "04", "SSS", "000",
		"ss", "05", "XXX", "Z07:00", "'T'", "T", "'", "").Replace(format)
	return layout, !strings.ContainsAny(layout, "yuMdHmsSXeEaGwYDkKhnAzVOq")
}
