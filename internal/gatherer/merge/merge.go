// Package merge merges the sorted answers of many ranges into a page of the best lots: by several sort keys, with missing
// values, in one total order. It does no I/O. Create a Top with NewTop, pass each answer to Offer, then call Sorted.
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
	IsInt bool // the number is exactly Int: 64-bit integers beyond 2^53 differ where their Num does not
	Int   int64
	Num   float64
	Str   string
}

// Kind is the kind of a Value.
type Kind uint8

// The kinds of values.
const (
	Missing Kind = iota // the lot has no such field
	Number
	String
)

// Num returns a number.
func Num(x float64) Value { return Value{Kind: Number, Num: x} }

// Int returns an integer.
func Int(n int64) Value { return Value{Kind: Number, IsInt: true, Int: n, Num: float64(n)} }

// Str returns a string.
func Str(s string) Value { return Value{Kind: String, Str: s} }

// JSON formats a value, a missing one as null.
func (v Value) JSON(quote func(string) string) string {
	switch {
	case v.Kind == String:
		return quote(v.Str)
	case v.Kind == Number && v.IsInt:
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
	Field        string // the constant Score for the score
	Desc         bool
	MissingFirst bool // lots without the field come first, whichever the direction
}

// Score is the field name of a lot's score.
const Score = "_score"

// Compare compares two values of a key: below 0 if the lot of a comes first.
func (k Key) Compare(a, b Value) int {
	if a.Kind == Missing || b.Kind == Missing {
		order := cmp.Compare(b.Kind, a.Kind) // Missing is the smallest kind, and its lot comes last
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
	case a.IsInt && b.IsInt:
		order = cmp.Compare(a.Int, b.Int)
	default:
		order = cmp.Compare(a.Num, b.Num)
	}
	if k.Desc {
		return -order
	}
	return order
}

// Compare compares two lists of sort values by the keys. Where there are fewer values than keys, only those are compared.
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

// Unchanged reports whether two lists of sort values are equal, scores up to Slip.
func Unchanged(keys []Key, a, b []Value) bool {
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
	Version int64   // of the lot, 0 if unknown
	Listing string  // as its range returned it; empty in the score phase
	// Rank is its index in the answer of its range, which has lots of equal sort values in the order of their ids.
	Range, Rank int
}

// Before is the total order of lots: by the keys, then by range, then by rank within the range.
func Before(keys []Key, a, b *Hit) int {
	if c := Compare(keys, a.Sort, b.Sort); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Range, b.Range); c != 0 {
		return c
	}
	return cmp.Compare(a.Rank, b.Rank)
}

// HasDuplicates reports whether two hits have the same id.
func HasDuplicates(hits []Hit) bool {
	if len(hits) <= maxPairwise {
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

// maxPairwise is up to how many hits ids are compared pairwise, which costs less than a table.
const maxPairwise = 32

// spare is how many lots are kept beyond the page, to replace duplicates on it.
const spare = 8

// Top keeps the best lots of many sorted answers, sorted: each answer is merged from the position of its first lot on, and
// most answers end at that comparison.
type Top struct {
	keys       []Key
	size       int
	hits, next []*Hit
	best       *Hit
	duplicates int
}

// NewTop returns a Top for a page of at most size lots.
func NewTop(keys []Key, size int) Top { return Top{keys: keys, size: size} }

// Last returns the last lot of a full page, nil while the page is not full.
func (t *Top) Last() *Hit {
	if t.size == 0 || len(t.hits) < t.size {
		return nil
	}
	return t.hits[t.size-1]
}

// Best returns the best lot of all that were offered, nil without any.
func (t *Top) Best() *Hit { return t.best }

// Offer merges a range's lots, best first, and reports whether the page has changed. It stops at the first lot that is not
// among the best, as no later one is.
func (t *Top) Offer(hits []Hit) (changed bool) {
	if len(hits) == 0 {
		return false
	}
	if t.best == nil || Before(t.keys, &hits[0], t.best) < 0 {
		t.best = &hits[0]
	}
	full := t.size + spare
	if t.size == 0 || len(t.hits) == full && Before(t.keys, &hits[0], t.hits[full-1]) >= 0 {
		return false
	}
	if t.next == nil {
		capacity := min(full, len(hits)+1024)
		both := make([]*Hit, 2*capacity)
		t.hits, t.next = both[:0:capacity], both[capacity:capacity]
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
	return first < t.size
}

// Sorted ends the Top and returns its lots, best first, without duplicates: of a lot that moved from one range to another
// while they answered, the better rank is kept.
func (t *Top) Sorted() []*Hit {
	if len(t.hits) <= maxPairwise { // no table is needed for the usual page
		for i := 1; i < len(t.hits); i++ {
			for j := range i {
				if t.hits[i].ID == t.hits[j].ID {
					t.hits = slices.Delete(t.hits, i, i+1)
					t.duplicates++
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
				t.duplicates++
			}
			return twice
		})
	}
	return t.hits[:min(t.size, len(t.hits))]
}

// Duplicates returns how many duplicates Sorted has removed. The page is right for up to spare of them.
func (t *Top) Duplicates() int { return t.duplicates }

// After is the position behind which a page begins: the sort values of a lot and, where Tied, its range and id.
type After struct {
	Values []Value
	Tied   bool
	Range  int
	ID     string
}

// Tie returns the id behind which the lots of a range with exactly these sort values begin: all lots of later ranges are
// behind the position, and none of earlier ones.
func (a *After) Tie(number int) string {
	switch {
	case a.Tied && number == a.Range:
		return a.ID
	case a.Tied && number > a.Range:
		return ""
	}
	return "\U0010FFFF" // greater than every id
}
