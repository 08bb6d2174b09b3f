package search

import (
	"fmt"
	"slices"
	"testing"
)

// plainIndex is the index as one would write it first: a map by name and range.
type plainIndex map[plainKey]Bound

type plainKey struct {
	name   string
	number int
}

// BenchmarkIndex looks up the bounds of a query in 200 ranges among 100 and 10,000 bounds a range, in the table by name
// and in a plain map by name and range.
func BenchmarkIndex(b *testing.B) {
	for _, names := range []int{100, 10000} {
		x, plain := NewIndex(200, names*200), plainIndex{}
		for n := range names {
			for r := range 200 {
				q := &Query{Keys: byScore, Size: 1, Name: fmt.Sprint("a query of some length, number ", n)}
				a := &Answer{Hits: []Hit{{ID: "a", Sort: []Value{Num(5)}}}, Total: 1, View: View{"b", 1, 100}}
				x.Learn(q, r, 1, a, sec)
				plain[plainKey{q.Name, r}] = Bound{Best: a.Hits[0].Sort, Count: 1, Exact: true}
			}
		}
		q := &Query{Keys: byScore, Size: 1, Name: "a query of some length, number 50"}
		b.Run(fmt.Sprintf("table/names=%d", names), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				l := x.bounds(q, 2*sec)
				for r := range 200 {
					if _, ok := l.of(r); !ok {
						b.Fatal("no bound")
					}
				}
			}
		})
		b.Run(fmt.Sprintf("map/names=%d", names), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				for r := range 200 {
					if _, ok := plain[plainKey{q.Name, r}]; !ok {
						b.Fatal("no bound")
					}
				}
			}
		})
	}
}

// BenchmarkTop keeps the best 10 and 10,000 of 200 sorted answers, by the heap that the plan has and by sorting all.
func BenchmarkTop(b *testing.B) {
	for _, page := range []int{10, 10000} {
		w := falling(200)
		for r := range w.lots { // answers of a whole page each
			lots := w.lots[r]
			for i := len(lots); i < page; i++ {
				lots = append(lots, Hit{ID: fmt.Sprint(r, i), Sort: []Value{Num(lots[len(lots)-1].Sort[0].Num - 1)}})
			}
			w.lots[r] = lots
		}
		b.Run(fmt.Sprintf("heap/page=%d", page), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				t := topHits{keys: byScore, most: page}
				for r := range w.lots {
					for i := range w.lots[r] {
						h := &w.lots[r][i]
						h.Range, h.Rank = r, i
						if !t.offer(h) {
							break
						}
					}
				}
				t.sorted()
			}
		})
		b.Run(fmt.Sprintf("sort/page=%d", page), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				var all []*Hit
				for r := range w.lots {
					for i := range w.lots[r] {
						all = append(all, &w.lots[r][i])
					}
				}
				slices.SortFunc(all, func(x, y *Hit) int { return before(byScore, x, y) })
			}
		})
	}
}
