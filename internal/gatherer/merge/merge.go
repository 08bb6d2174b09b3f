// Package merge merges the sorted answers of many ranges into a page of the best lots. Lots have a total order by several
// sort keys, whose values may be missing. It does no I/O. Create a Top with NewTop, pass each answer to Offer, then call
// Sorted.
package merge

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Value is one sort value of a lot. The values of one sort key are normally all numbers or all strings; if they are mixed,
// numbers come first.
type Value struct {
	Kind  Kind
	IsInt bool // the number is exactly Int: two integers beyond 2^53 may differ although their Num is equal
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

// Num returns the value of a number.
func Num(x float64) Value { return Value{Kind: Number, Num: x} }

// Int returns the value of an integer.
func Int(n int64) Value { return Value{Kind: Number, IsInt: true, Int: n, Num: float64(n)} }

// Str returns the value of a string.
func Str(s string) Value { return Value{Kind: String, Str: s} }

// JSON encodes a value as JSON: a missing one as null, and an infinite number as a string. Quote encodes strings.
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
	Field        string // name of a field, or Score
	Desc         bool
	MissingFirst bool // lots without the field come first, whatever Desc is
}

// Score is the field name of a lot's score.
const Score = "_score"

// Compare compares two values of a key. It returns a negative number if the lot with a comes first, 0 for a tie.
func (k Key) Compare(a, b Value) int {
	if a.Kind == Missing || b.Kind == Missing {
		order := cmp.Compare(b.Kind, a.Kind) // 0 if both are missing
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

// Compare compares two lists of sort values by the keys. If a list has fewer values than there are keys, the remaining keys
// are ignored.
func Compare(keys []Key, a, b []Value) int {
	for i := range min(len(keys), len(a), len(b)) {
		if c := keys[i].Compare(a[i], b[i]); c != 0 {
			return c
		}
	}
	return 0
}

// ScoreTolerance is the relative difference that two scores of the same lot may have, as the sum of 32-bit terms depends on
// their order.
const ScoreTolerance = 1e-6

// Unchanged reports whether two lists of sort values are equal, for scores within ScoreTolerance.
func Unchanged(keys []Key, a, b []Value) bool {
	if len(a) != len(keys) || len(b) != len(keys) {
		return false
	}
	for i, k := range keys {
		if k.Field == Score && a[i].Kind == Number && b[i].Kind == Number {
			if math.Abs(a[i].Num-b[i].Num) > ScoreTolerance*math.Max(math.Abs(a[i].Num), math.Abs(b[i].Num)) {
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
	Sort    []Value // one per sort key
	Version int64   // of the lot, 0 if unknown
	Listing string  // as returned by the range; empty in the score phase
	// Range is the number of the range, and Rank the index in its answer. Lots of a range with equal sort values are in the
	// order of their ids.
	Range, Rank int
}

// CompareHits is the total order of lots: by the keys, then by range, then by rank within the range. It returns a negative
// number if a comes first.
func CompareHits(keys []Key, a, b *Hit) int {
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

// maxPairwise is the number of hits up to which ids are compared pairwise, which is faster than a map.
const maxPairwise = 32

// spare is how many lots are kept in addition to the page, to replace duplicates that Sorted removes.
const spare = 8

// Top keeps the best lots of many sorted answers in a sorted list. An answer is merged into the list from the position of its
// first lot on. For most answers, that position is beyond the end, so that one comparison suffices.
type Top struct {
	keys         []Key
	size         int    // of the page
	hits, buffer []*Hit // the list, and a buffer for the next one
	best         *Hit
	duplicates   int
}

// NewTop returns a Top for a page of at most size lots.
func NewTop(keys []Key, size int) Top { return Top{keys: keys, size: size} }

// Last returns the last lot of the page, nil while the page is not full.
func (t *Top) Last() *Hit {
	if t.size == 0 || len(t.hits) < t.size {
		return nil
	}
	return t.hits[t.size-1]
}

// Best returns the best lot of all that were offered, nil if there were none.
func (t *Top) Best() *Hit { return t.best }

// Offer merges a range's lots, which must be sorted, and reports whether the page has changed. It stops at the first lot that
// is not among the best, as the later ones are not either.
func (t *Top) Offer(hits []Hit) (changed bool) {
	if len(hits) == 0 {
		return false
	}
	if t.best == nil || CompareHits(t.keys, &hits[0], t.best) < 0 {
		t.best = &hits[0]
	}
	full := t.size + spare
	if t.size == 0 || len(t.hits) == full && CompareHits(t.keys, &hits[0], t.hits[full-1]) >= 0 {
		return false
	}
	if t.buffer == nil {
		capacity := min(full, len(hits)+1024)
		both := make([]*Hit, 2*capacity)
		t.hits, t.buffer = both[:0:capacity], both[capacity:capacity]
	}
	out, rest, first := t.buffer[:0], t.hits, -1
	for j := 0; j < len(hits) && len(out) < full; j++ {
		n, _ := slices.BinarySearchFunc(rest, &hits[j], func(a, b *Hit) int { return CompareHits(t.keys, a, b) })
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
	t.hits, t.buffer = out, t.hits
	return first < t.size
}

// Sorted returns the page, best lot first, without duplicates: a lot that moved from one range to another during the search
// may be in the answers of both, and its better position is kept. Offer must not be called afterwards.
func (t *Top) Sorted() []*Hit {
	if len(t.hits) <= maxPairwise {
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
			_, duplicate := seen[h.ID]
			seen[h.ID] = struct{}{}
			if duplicate {
				t.duplicates++
			}
			return duplicate
		})
	}
	return t.hits[:min(t.size, len(t.hits))]
}

// Duplicates returns how many duplicates Sorted has removed. With more than spare of them, the page may lack lots.
func (t *Top) Duplicates() int { return t.duplicates }

// After is the position after which a page begins: the sort values of a lot and, if Tied is set, its range and id.
type After struct {
	Values []Value
	Tied   bool
	Range  int
	ID     string
}

// TieBreakID returns the id after which the page begins among the lots of a range that have exactly these sort values. In
// ranges after that of the position all such lots follow it, and in ranges before it none do.
func (a *After) TieBreakID(number int) string {
	switch {
	case a.Tied && number == a.Range:
		return a.ID
	case a.Tied && number > a.Range:
		return ""
	}
	return "\U0010FFFF" // greater than every id
}
