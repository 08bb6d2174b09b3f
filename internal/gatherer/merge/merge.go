// Package merge ranks lots out of many ranges' sorted answers: by several sort keys with missing values, in one total
// order, keeping a page of the best. It is pure.
package merge

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Value is one sort value of a lot. Numbers and strings do not mix under one sort key of an index; where they do,
// numbers come first.
type Value struct {
	Kind  Kind
	Whole bool // a number that is Int, to the last digit: 64-bit integers past 2^53 differ where their Num does not
	Int   int64
	Num   float64
	Str   string
}

// Kind says what a Value is.
type Kind uint8

// The kinds of values.
const (
	Missing Kind = iota // the lot has no such field
	Number
	String
)

// Num makes a number.
func Num(x float64) Value { return Value{Kind: Number, Num: x} }

// Int makes a whole number.
func Int(n int64) Value { return Value{Kind: Number, Whole: true, Int: n, Num: float64(n)} }

// Str makes a string.
func Str(s string) Value { return Value{Kind: String, Str: s} }

// JSON formats a value, a missing one as null.
func (v Value) JSON(quote func(string) string) string {
	switch {
	case v.Kind == String:
		return quote(v.Str)
	case v.Kind == Number && v.Whole:
		return strconv.FormatInt(v.Int, 10)
	case v.Kind == Number && !math.IsInf(v.Num, 0):
		return strconv.FormatFloat(v.Num, 'g', -1, 64)
	case v.Kind == Number:
		return quote(map[bool]string{true: "Infinity", false: "-Infinity"}[v.Num > 0])
	}
	return "null"
}

// Key is one key that lots are sorted by.
type Key struct {
	Field        string // Score for the score
	Desc         bool
	MissingFirst bool // lots without the field come first, whichever the direction
}

// Score is the field name of a lot's score.
const Score = "_score"

// Compare orders two values of a key: below 0 where a's lot comes first.
func (k Key) Compare(a, b Value) int {
	if a.Kind == Missing || b.Kind == Missing {
		order := cmp.Compare(b.Kind, a.Kind) // Missing is the least kind, and its lot comes last
		if a.Kind != Missing {
			order = -1
		} else if b.Kind != Missing {
			order = 1
		}
		if k.MissingFirst {
			order = -order
		}
		return order
	}
	order := cmp.Compare(a.Kind, b.Kind)
	switch {
	case order != 0:
	case a.Kind == String:
		order = strings.Compare(a.Str, b.Str)
	case a.Whole && b.Whole:
		order = cmp.Compare(a.Int, b.Int)
	default:
		order = cmp.Compare(a.Num, b.Num)
	}
	if k.Desc {
		return -order
	}
	return order
}

// Compare orders two lists of sort values by keys; where there are fewer values than keys, by those there are.
func Compare(keys []Key, a, b []Value) int {
	for i := range min(len(keys), len(a), len(b)) {
		if c := keys[i].Compare(a[i], b[i]); c != 0 {
			return c
		}
	}
	return 0
}

// Slip is the relative error of a score that adds up 32-bit terms in another order.
const Slip = 1e-6

// Same says whether two lists of sort values are the same, scores to the precision that a lot store has them.
func Same(keys []Key, a, b []Value) bool {
	if len(a) != len(keys) || len(b) != len(keys) {
		return false
	}
	for i, k := range keys {
		if k.Field == Score && a[i].Kind == Number && b[i].Kind == Number {
			if math.Abs(a[i].Num-b[i].Num) > Slip*math.Max(math.Abs(a[i].Num), math.Abs(b[i].Num)) {
				return false
			}
			continue
		}
		if k.Compare(a[i], b[i]) != 0 {
			return false
		}
	}
	return true
}

// Hit is a lot in a range's answer.
type Hit struct {
	ID      string
	Sort    []Value // by the search's keys
	Version int64   // of the lot, 0 where not told
	Listing string  // as its range has it; the score phase has none
	// Rank is its place in the answer of its range, which has lots of equal sort values in the order of their ids.
	Range, Rank int
}

// Before is the total order of lots: by the keys, then by range, then as the range gave them.
func Before(keys []Key, a, b *Hit) int {
	if c := Compare(keys, a.Sort, b.Sort); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Range, b.Range); c != 0 {
		return c
	}
	return cmp.Compare(a.Rank, b.Rank)
}

// Twice says whether two hits have the same id.
func Twice(hits []Hit) bool {
	if len(hits) <= fewHits {
		for i := range hits {
			for j := range i {
				if hits[i].ID == hits[j].ID {
					return true
				}
			}
		}
		return false
	}
	seen := make(map[string]struct{}, len(hits))
	for i := range hits {
		seen[hits[i].ID] = struct{}{}
	}
	return len(seen) < len(hits)
}

// fewHits is up to how many hits ids are compared one by one: a table costs more than that.
const fewHits = 32

// spare is how many lots are kept past the page, to move up where a lot stands on it twice.
const spare = 8

// Top keeps the best lots of many sorted answers, themselves sorted: each answer is merged with what is kept, from the
// place of its first lot on, and most answers end at that look.
type Top struct {
	keys       []Key
	most       int
	hits, next []*Hit
	best       *Hit
	twins      int
}

// NewTop keeps a page of up to so many lots.
func NewTop(keys []Key, most int) Top { return Top{keys: keys, most: most} }

// Last is the last lot of a full page, nil while it is not full.
func (t *Top) Last() *Hit {
	if t.most == 0 || len(t.hits) < t.most {
		return nil
	}
	return t.hits[t.most-1]
}

// Best is the best lot of all that were offered, nil without any.
func (t *Top) Best() *Hit { return t.best }

// Offer takes a range's lots in, best first, and says whether the page has changed. It looks no further than the first
// that is not among the best, as none behind it is.
func (t *Top) Offer(hits []Hit) (changed bool) {
	if len(hits) == 0 {
		return false
	}
	if t.best == nil || Before(t.keys, &hits[0], t.best) < 0 {
		t.best = &hits[0]
	}
	full := t.most + spare
	if t.most == 0 || len(t.hits) == full && Before(t.keys, &hits[0], t.hits[full-1]) >= 0 {
		return false
	}
	if t.next == nil {
		room := min(full, len(hits)+1024)
		both := make([]*Hit, 2*room)
		t.hits, t.next = both[:0:room], both[room:room]
	}
	out, rest, first := t.next[:0], t.hits, -1
	for j := 0; j < len(hits) && len(out) < full; j++ {
		n, _ := slices.BinarySearchFunc(rest, &hits[j], func(a, b *Hit) int { return Before(t.keys, a, b) })
		n = min(n, full-len(out))
		out, rest = append(out, rest[:n]...), rest[n:]
		if first < 0 {
			first = len(out)
		}
		if len(out) < full {
			out = append(out, &hits[j])
		}
	}
	out = append(out, rest[:min(len(rest), full-len(out))]...)
	t.hits, t.next = out, t.hits
	return first < t.most
}

// Sorted ends the Top and gives its lots, best first, each once: of a lot that moved from one range to another while
// they answered, the better rank stays.
func (t *Top) Sorted() []*Hit {
	if len(t.hits) <= fewHits { // no table for the usual page
		for i := 1; i < len(t.hits); i++ {
			for j := range i {
				if t.hits[i].ID == t.hits[j].ID {
					t.hits = slices.Delete(t.hits, i, i+1)
					t.twins++
					i--
					break
				}
			}
		}
	} else {
		seen := make(map[string]struct{}, len(t.hits))
		t.hits = slices.DeleteFunc(t.hits, func(h *Hit) bool {
			_, twice := seen[h.ID]
			seen[h.ID] = struct{}{}
			if twice {
				t.twins++
			}
			return twice
		})
	}
	return t.hits[:min(t.most, len(t.hits))]
}

// Twins is how many lots were found to stand twice, once the Top is Sorted. The page is right up to spare of them.
func (t *Top) Twins() int { return t.twins }

// After is the lot behind which a page begins: its sort values and, where Tied, its range and id.
type After struct {
	Values []Value
	Tied   bool
	Range  int
	ID     string
}

// Tie is the id behind which a range's lots begin that have the very sort values: all of a later range's lots do, none
// of an earlier one's.
func (a *After) Tie(number int) string {
	switch {
	case a.Tied && number == a.Range:
		return a.ID
	case a.Tied && number > a.Range:
		return ""
	}
	return "\U0010FFFF" // behind every id
}
