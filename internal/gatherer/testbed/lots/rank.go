package lots

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"
)

// The usual parameters of BM25 (Robertson and Zaragoza, 2009).
const (
	k1 = 1.2
	b  = 0.75
)

// matcher returns the score of a lot, and false if it does not match.
type matcher func(*Lot) (score float64, ok bool)

// errQuery is a query that the fake cannot answer: a 400 of the API.
var errQuery = errors.New("parsing_exception")

// compile parses a query.
func (c *Corpus) compile(q gjson.Result) (m matcher, err error) {
	err = fmt.Errorf("%w: no query: %.80s", errQuery, q.Raw)
	q.ForEach(func(kind, body gjson.Result) bool {
		m, err = c.compileKind(kind.Str, body)
		return false
	})
	return m, err
}

// compileKind parses a query of a kind.
func (c *Corpus) compileKind(kind string, body gjson.Result) (matcher, error) {
	field, value := "", gjson.Result{}
	body.ForEach(func(k, v gjson.Result) bool { field, value = k.Str, v; return false })
	switch kind {
	case "match_all":
		return func(*Lot) (float64, bool) { return 1, true }, nil
	case "match":
		return c.match(field, value)
	case "term", "terms":
		list := value.Array()
		if value.IsObject() {
			list = []gjson.Result{value.Get("value")}
		}
		return func(l *Lot) (float64, bool) {
			f := l.field(field)
			return 1, slices.ContainsFunc(list, func(v gjson.Result) bool { return f.Exists() && f.String() == v.String() })
		}, nil
	case "range":
		return func(l *Lot) (float64, bool) {
			f := l.field(field)
			ok := f.Exists()
			value.ForEach(func(op, v gjson.Result) bool {
				switch op.Str {
				case "gte":
					ok = ok && f.Num >= v.Num
				case "gt":
					ok = ok && f.Num > v.Num
				case "lte":
					ok = ok && f.Num <= v.Num
				case "lt":
					ok = ok && f.Num < v.Num
				}
				return true
			})
			return 1, ok
		}, nil
	case "ids":
		want := map[string]bool{}
		for _, id := range body.Get("values").Array() {
			want[id.String()] = true
		}
		return func(l *Lot) (float64, bool) { return 1, want[l.ID] }, nil
	case "exists":
		return func(l *Lot) (float64, bool) { return 1, l.field(body.Get("field").Str).Exists() }, nil
	case "bool":
		return c.compileBool(body)
	}
	return nil, fmt.Errorf("%w: unknown query [%s]", errQuery, kind)
}

// match scores the words of the title by BM25, with the counts of the complete corpus.
func (c *Corpus) match(field string, value gjson.Result) (matcher, error) {
	text, all := value.String(), false
	if value.IsObject() {
		text, all = value.Get("query").String(), value.Get("operator").String() == "and"
	}
	if field != "title" {
		return func(l *Lot) (float64, bool) { return 1, strings.EqualFold(l.field(field).String(), text) }, nil
	}
	words := c.words(text)
	return func(l *Lot) (score float64, ok bool) {
		hit := 0
		for _, w := range words {
			tf := float64(l.terms[w])
			if tf == 0 {
				continue
			}
			hit++
			df := float64(c.df[w])
			idf := math.Log(1 + (c.n-df+0.5)/(df+0.5))
			score += idf * tf * (k1 + 1) / (tf + k1*(1-b+b*float64(l.length)/c.mean))
		}
		return float64(float32(score)), hit > 0 && (!all || hit == len(words))
	}, nil
}

// compileBool compiles a bool query.
func (c *Corpus) compileBool(body gjson.Result) (matcher, error) {
	clauses := map[string][]matcher{}
	var err error
	body.ForEach(func(name, v gjson.Result) bool {
		list := []gjson.Result{v}
		if v.IsArray() {
			list = v.Array()
		}
		for _, q := range list {
			var m matcher
			if m, err = c.compile(q); err != nil {
				return false
			}
			clauses[name.Str] = append(clauses[name.Str], m)
		}
		return true
	})
	if err != nil {
		return nil, err
	}
	return func(l *Lot) (float64, bool) { return matchBool(clauses, l) }, nil
}

// matchBool matches a lot by the clauses of a bool query.
func matchBool(clauses map[string][]matcher, l *Lot) (score float64, ok bool) {
	for _, m := range clauses["filter"] {
		if _, ok := m(l); !ok {
			return 0, false
		}
	}
	for _, m := range clauses["must_not"] {
		if _, ok := m(l); ok {
			return 0, false
		}
	}
	for _, m := range clauses["must"] {
		s, ok := m(l)
		if !ok {
			return 0, false
		}
		score += s
	}
	should := 0
	for _, m := range clauses["should"] {
		if s, ok := m(l); ok {
			score += s
			should++
		}
	}
	if len(clauses["should"]) > 0 && should == 0 && len(clauses["must"])+len(clauses["filter"]) == 0 {
		return 0, false
	}
	return float64(float32(score)), true
}

// field is a field of the lot as JSON.
func (l *Lot) field(name string) gjson.Result {
	num := func(x float64) gjson.Result {
		return gjson.Result{Type: gjson.Number, Num: x, Raw: strconv.FormatFloat(x, 'f', -1, 64)}
	}
	str := func(s string) gjson.Result { return gjson.Result{Type: gjson.String, Str: s, Raw: strconv.Quote(s)} }
	switch name {
	case "_id":
		return str(l.ID)
	case "title":
		return str(l.Title)
	case "make":
		return str(l.Make)
	case "location":
		return str(l.Location)
	case "year":
		return num(float64(l.Year))
	case "closing":
		return num(float64(l.Closing))
	case "price":
		if l.Price > 0 {
			return num(l.Price)
		}
	}
	return gjson.Result{}
}

// scored is a lot that matched.
type scored struct {
	lot   *Lot
	score float64
	sort  []gjson.Result
}

// sortKey is one key of the sort of a request.
type sortKey struct {
	field              string
	desc, missingFirst bool // first1: lots without the field come first
}

// sortKeys parses the sort of a request.
func sortKeys(v gjson.Result) (keys []sortKey) {
	for _, k := range v.Array() {
		k.ForEach(func(field, o gjson.Result) bool {
			keys = append(keys, sortKey{field.Str, o.Str == "desc" || o.Get("order").Str == "desc", o.Get("missing").Str == "_first"})
			return false
		})
	}
	return keys
}

// value is the sort value of a key.
func (s *scored) value(k sortKey) gjson.Result {
	if k.field == "_score" {
		return gjson.Result{Type: gjson.Number, Num: s.score, Raw: strconv.FormatFloat(s.score, 'g', -1, 64)}
	}
	return s.lot.field(k.field)
}

// compareBy orders lots by the keys.
func compareBy(keys []sortKey, a, b *scored) int {
	for i, k := range keys {
		x, y := a.sort[i], b.sort[i]
		var c int
		switch {
		case x.Type == gjson.Null || y.Type == gjson.Null:
			c = boolInt(x.Type == gjson.Null) - boolInt(y.Type == gjson.Null)
			if k.missingFirst {
				c = -c
			}
			if c != 0 {
				return c
			}
			continue
		case x.Type == gjson.Number:
			c = cmp.Compare(x.Num, y.Num)
		default:
			c = strings.Compare(x.Str, y.Str)
		}
		if k.desc {
			c = -c
		}
		if c != 0 {
			return c
		}
	}
	return 0
}

// boolInt is 1 for true.
func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Search answers one request about a range, as one item of a multi-search.
func (k *Replica) Search(r int, question gjson.Result) string {
	v, holds := k.current(r)
	if want := question.Get("view.version"); want.Exists() && want.Int() != v.version {
		if old := k.earlierView(r, want.Int()); old != nil {
			v, holds = old, 0
		}
	}
	query := question.Get("query")
	if !query.Exists() {
		query = gjson.Parse(`{"match_all":{}}`)
	}
	match, err := k.corpus.compile(query)
	if err != nil {
		return fmt.Sprintf(`{"error":{"type":"parsing_exception","reason":%q},"status":400}`, err)
	}
	keys := sortKeys(question.Get("sort"))
	plain := len(keys) == 0
	if plain {
		keys = []sortKey{{"_score", true, false}}
	}
	matched, early := findLots(v.lots, question, match, keys)
	total, found := len(matched), matched
	if after := question.Get("search_after"); after.Exists() {
		found = behind(matched, after, keys)
	}
	size := 10
	if s := question.Get("size"); s.Exists() {
		size = int(s.Int())
	}
	out := appendHits(nil, question, found[:min(size, len(found))], total, plain)
	if a := question.Get("aggs"); a.Exists() {
		text, err := k.corpus.aggregate(a, matched, v.lots)
		if err != nil {
			return fmt.Sprintf(`{"error":{"type":"parsing_exception","reason":%q},"status":400}`, err)
		}
		out = append(append(out, `,"aggregations":`...), text...)
	}
	if early {
		out = append(out, `,"terminated_early":true`...)
	}
	if k.every > 0 {
		out = fmt.Appendf(out, `,"view":{"boot":%q,"version":%d,"holds_ms":%d}`, k.boot, v.version, holds.Milliseconds())
	}
	return string(append(out, `,"status":200}`...))
}

// appendHits appends the head of an answer and its hits.
func appendHits(out []byte, question gjson.Result, page []*scored, total int, plain bool) []byte {
	out = append(out, `{"took":1,"timed_out":false,"_shards":{"total":1,"successful":1,"skipped":0,"failed":0},"hits":{`...)
	if t := question.Get("track_total_hits"); t.Type != gjson.False {
		out = fmt.Appendf(out, `"total":{"value":%d,"relation":"eq"},`, total)
	}
	out = append(out, `"max_score":null,"hits":[`...)
	for i, x := range page {
		if i > 0 {
			out = append(out, ',')
		}
		out = x.append(out, question, plain)
	}
	return append(out, `]}`...)
}

// findLots returns the lots that match, sorted, and whether it terminated early.
func findLots(lots []*Lot, question gjson.Result, match matcher, keys []sortKey) (found []*scored, early bool) {
	least, hasLeast := question.Get("min_score").Num, question.Get("min_score").Exists()
	limit := int(question.Get("terminate_after").Int())
	for _, l := range lots {
		if early = limit > 0 && len(found) == limit; early {
			break
		}
		if s, ok := match(l); ok && (!hasLeast || s >= least) {
			x := &scored{lot: l, score: s}
			for _, key := range keys {
				x.sort = append(x.sort, x.value(key))
			}
			found = append(found, x)
		}
	}
	slices.SortStableFunc(found, func(a, b *scored) int { return compareBy(keys, a, b) })
	return found, early
}

// behind returns the lots behind a position.
func behind(found []*scored, after gjson.Result, keys []sortKey) []*scored {
	anchor := &scored{sort: after.Array()}
	rest := found[:0:0]
	for _, x := range found {
		if compareBy(keys, x, anchor) > 0 {
			rest = append(rest, x)
		}
	}
	return rest
}

// append formats a hit.
func (s *scored) append(out []byte, question gjson.Result, plain bool) []byte {
	out = fmt.Appendf(out, `{"_index":"lots","_id":%q`, s.lot.ID)
	if question.Get("version").Bool() {
		out = fmt.Appendf(out, `,"_version":%d`, s.lot.version)
	}
	if plain || strings.Contains(question.Get("sort").Raw, `"_score"`) {
		out = strconv.AppendFloat(append(out, `,"_score":`...), s.score, 'g', -1, 64)
	} else {
		out = append(out, `,"_score":null`...)
	}
	if src := question.Get("_source"); src.Type != gjson.False {
		out = append(out, `,"_source":`...)
		all, err := json.Marshal(s.lot)
		if err != nil {
			panic(err) // plain values
		}
		if src.IsArray() {
			var some []string
			for _, f := range src.Array() {
				if v := gjson.GetBytes(all, f.Str); v.Exists() {
					some = append(some, strconv.Quote(f.Str)+":"+v.Raw)
				}
			}
			all = []byte("{" + strings.Join(some, ",") + "}")
		}
		out = append(out, all...)
	}
	if !plain {
		out = append(out, `,"sort":[`...)
		for i, v := range s.sort {
			if i > 0 {
				out = append(out, ',')
			}
			out = append(out, cmp.Or(v.Raw, "null")...)
		}
		out = append(out, ']')
	}
	return append(out, '}')
}
