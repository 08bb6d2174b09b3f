package search

import (
	"fmt"
	"testing"

	"pulleygw.example/pulleygw/internal/gatherer/merge"
)

// mapIndex is the simplest index, for comparison: a map by name and range.
type mapIndex map[mapIndexKey]Bound

type mapIndexKey struct {
	name   string
	number int
}

// BenchmarkIndex looks up the bounds of a query in 200 ranges with 100 and 10,000 bounds each, in an Index and in a map by
// name and range.
func BenchmarkIndex(b *testing.B) {
	for _, names := range []int{100, 10000} {
		x, plain := NewIndex(200, names*200), mapIndex{}
		for n := range names {
			for r := range 200 {
				q := &Query{Keys: byScore, Size: 1, Name: fmt.Sprint("a query of some length, number ", n)}
				a := &Answer{Hits: []merge.Hit{{ID: "a", Sort: []merge.Value{merge.Num(5)}}}, Total: 1, View: View{"b", 1, 100}}
				x.Learn(q, r, 1, a, sec)
				plain[mapIndexKey{q.Name, r}] = Bound{Best: a.Hits[0].Sort, Count: 1, Exact: true}
			}
		}
		q := &Query{Keys: byScore, Size: 1, Name: "a query of some length, number 50"}
		b.Run(fmt.Sprintf("table/names=%d", names), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				l := x.bounds(q, 2*sec)
				for r := range 200 {
					if _, ok := l.boundOf(r); !ok {
						b.Fatal("no bound")
					}
				}
			}
		})
		b.Run(fmt.Sprintf("map/names=%d", names), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				for r := range 200 {
					if _, ok := plain[mapIndexKey{q.Name, r}]; !ok {
						b.Fatal("no bound")
					}
				}
			}
		})
	}
}
