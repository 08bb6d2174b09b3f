package search

import (
	"fmt"
	"testing"

	"pulleygw.example/pulleygw/internal/gatherer/merge"
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
				a := &Answer{Hits: []merge.Hit{{ID: "a", Sort: []merge.Value{merge.Num(5)}}}, Total: 1, View: View{"b", 1, 100}}
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
