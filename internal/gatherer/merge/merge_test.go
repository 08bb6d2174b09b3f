package merge

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"pulleygw.example/pulleygw/internal/gatherer/proptest"
)

var byScore = []Key{{Field: Score, Desc: true}}

// answers returns sorted answers of ranges with so many hits each.
func answers(ranges, hitsPerRange int) (all [][]Hit) {
	for r := range ranges {
		var hits []Hit
		for i := range hitsPerRange {
			hits = append(hits, Hit{ID: fmt.Sprintf("lot-%d-%d", r, i), Sort: []Value{Num(1000 - float64((r*7919)%1000)/10 - float64(i)*3)}, Range: r, Rank: i})
		}
		all = append(all, hits)
	}
	return all
}

// In whichever order answers arrive, the page is the same as that of sorting all hits and removing duplicates.
func TestTopEqualsSortingAllHits(t *testing.T) {
	proptest.Seed(t, 500)
	rapid.Check(t, func(t *rapid.T) {
		keys := []Key{{Field: "a", Desc: rapid.Bool().Draw(t, "desc"), MissingFirst: rapid.Bool().Draw(t, "first")}, {Field: "b"}}
		value := rapid.Custom(func(t *rapid.T) Value {
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				return Value{}
			case 1:
				return Str(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "string"))
			case 2:
				return Int(1<<53 + int64(rapid.IntRange(0, 2).Draw(t, "int")))
			}
			return Num(float64(rapid.IntRange(0, 3).Draw(t, "number")))
		})
		moved := rapid.IntRange(0, 1).Draw(t, "moved") // number of ids that are in several ranges
		var all []*Hit
		var ranges [][]Hit
		for r := range rapid.IntRange(1, 8).Draw(t, "ranges") {
			var hits []Hit
			for i := range rapid.IntRange(0, 60).Draw(t, "hits") {
				id := fmt.Sprintf("%d-%d", r, i)
				if i < moved {
					id = fmt.Sprint("moved-", i)
				}
				hits = append(hits, Hit{ID: id, Sort: []Value{value.Draw(t, "a"), value.Draw(t, "b")}, Range: r})
			}
			slices.SortFunc(hits, func(x, y Hit) int {
				if c := Compare(keys, x.Sort, y.Sort); c != 0 {
					return c
				}
				return strings.Compare(x.ID, y.ID)
			})
			for i := range hits {
				hits[i].Rank = i
				all = append(all, &hits[i])
			}
			ranges = append(ranges, hits)
		}
		slices.SortFunc(all, func(x, y *Hit) int { return CompareHits(keys, x, y) })
		seen := map[string]bool{}
		var want []*Hit
		for _, h := range all {
			if !seen[h.ID] {
				want = append(want, h)
			}
			seen[h.ID] = true
		}
		top := NewTop(keys, rapid.IntRange(0, 100).Draw(t, "page"))
		for len(ranges) > 0 {
			i := rapid.IntRange(0, len(ranges)-1).Draw(t, "next")
			top.Offer(ranges[i])
			ranges = slices.Delete(ranges, i, i+1)
		}
		if len(want) > 0 && top.size > 0 && top.Best() != want[0] {
			t.Fatalf("best %v, want %v", top.Best(), want[0])
		}
		if got := top.Sorted(); !slices.Equal(got, want[:min(len(want), top.size)]) {
			t.Fatalf("page of %d hits differs from the first %d of all hits sorted", len(got), min(len(want), top.size))
		}
	})
}

// Integers beyond 2^53, which a float64 cannot represent exactly, are compared and encoded exactly.
func TestLargeIntegersAreExact(t *testing.T) {
	k := Key{Field: "n"}
	if a, b := Int(1<<53), Int(1<<53+1); k.Compare(a, b) >= 0 || b.JSON(nil) != "9007199254740993" {
		t.Errorf("%d and %d compare as %d, and the second is encoded as %s", a.Int, b.Int, k.Compare(a, b), b.JSON(nil))
	}
}

// BenchmarkMerge merges the answers of 24 and of 200 ranges into one page: with a Top ("page"), with a loser tree ("losers"), and
// by sorting all hits ("sort").
func BenchmarkMerge(b *testing.B) {
	for _, ranges := range []int{24, 200} {
		for _, page := range []int{10, 1000} {
			all := answers(ranges, page)
			name := fmt.Sprintf("ranges=%d/page=%d/", ranges, page)
			b.Run(name+"page", func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					t := NewTop(byScore, page)
					for r := range all {
						t.Offer(all[r])
					}
					t.Sorted()
				}
			})
			b.Run(name+"losers", func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					loserTree(byScore, all, page)
				}
			})
			b.Run(name+"sort", func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					var list []*Hit
					for r := range all {
						for i := range all[r] {
							list = append(list, &all[r][i])
						}
					}
					slices.SortFunc(list, func(x, y *Hit) int { return CompareHits(byScore, x, y) })
					_ = list[:page]
				}
			})
		}
	}
}

// loserTree merges sorted lists by a tree of losers over their heads (Knuth, The Art of Computer Programming, 5.4.1).
func loserTree(keys []Key, all [][]Hit, page int) []*Hit {
	n := len(all)
	heads, tree := make([]int, n), make([]int, n)
	less := func(a, b int) bool {
		switch {
		case heads[a] == len(all[a]):
			return false
		case heads[b] == len(all[b]):
			return true
		}
		return CompareHits(keys, &all[a][heads[a]], &all[b][heads[b]]) < 0
	}
	var build func(node int) int
	build = func(node int) int {
		if node >= n {
			return node - n
		}
		l, r := build(2*node), build(2*node+1)
		if less(r, l) {
			l, r = r, l
		}
		tree[node] = r
		return l
	}
	winner := build(1)
	out := make([]*Hit, 0, page)
	for len(out) < page && heads[winner] < len(all[winner]) {
		out = append(out, &all[winner][heads[winner]])
		heads[winner]++
		for node := (winner + n) / 2; node > 0; node /= 2 {
			if less(tree[node], winner) {
				tree[node], winner = winner, tree[node]
			}
		}
	}
	return out
}
