package spread

import (
	"fmt"
	"hash/fnv"
	"testing"

	"pgregory.net/rapid"
)

// cluster is cells of so many replicas, named by cell and replica.
func cluster(cells, replicas int) [][]string {
	all := make([][]string, cells)
	for c := range all {
		for r := range replicas {
			all[c] = append(all[c], fmt.Sprintf("store-%d-%d", c, r))
		}
	}
	return all
}

// rankOf is the rendezvous weight, in [0, 1), of a store by its name, for the gatherer of this seed. It stands for the random
// numbers that gatherers keep: deterministic, and independent between them.
func rankOf(seed uint64, name string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // a hash does not fail
	return float64(mix(h.Sum64()^seed)>>11) / (1 << 53)
}

// mix is SplitMix64's finaliser: FNV alone leaves weights of names that differ in their last byte close together.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// ranked is one cell as the gatherer of this seed ranks it, all usable.
func ranked(seed uint64, names []string) []Replica {
	cell := make([]Replica, len(names))
	for i, name := range names {
		cell[i] = Replica{Rank: rankOf(seed, name), Usable: true}
	}
	return cell
}

// selections counts, for each store, the gatherers that select it.
func selections(gatherers int, cells [][]string, k int) map[string]int {
	n := map[string]int{}
	for g := range gatherers {
		seed := mix(uint64(g) + 1)
		for _, names := range cells {
			for i, on := range Select(ranked(seed, names), k) {
				if on {
					n[names[i]]++
				}
			}
		}
	}
	return n
}

// 300 gatherers over 200 stores, each selecting one replica a cell: no store has more than 1.25 of the mean, none
// under 0.25 of it. Binomial(300, 1/2) gives about 1.15 at the largest of 100 cells.
func TestEvenAmongMany(t *testing.T) {
	cells := cluster(100, 2)
	n := selections(300, cells, 1)
	mean := 300.0 / 2
	for _, names := range cells {
		for _, name := range names {
			if got := float64(n[name]); got > 1.25*mean || got < 0.25*mean {
				t.Errorf("%s is kept by %v gatherers, mean %v", name, got, mean)
			}
		}
	}
}

// A store that is removed moves only its own gatherers, each to a usable one; when it is added again they return.
func TestRemovalMovesOnlyItsOwn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := rapid.IntRange(2, 5).Draw(t, "replicas")
		k := rapid.IntRange(1, replicas).Draw(t, "k")
		seed := rapid.Uint64().Draw(t, "seed")
		cell := ranked(seed, cluster(1, replicas)[0])
		gone := rapid.IntRange(0, replicas-1).Draw(t, "gone")
		before := Select(cell, k)
		cell[gone].Usable = false
		after := Select(cell, k)
		if after[gone] {
			t.Fatalf("an unusable store is kept")
		}
		moved, spare := 0, 0 // taken up now; usable and not kept before
		for i := range cell {
			if before[i] && !after[i] && i != gone {
				t.Fatalf("store %d left though %d went", i, gone)
			}
			if !before[i] && after[i] {
				moved++
			}
			if !before[i] && i != gone {
				spare++
			}
		}
		want := 0
		if before[gone] {
			want = min(spare, 1)
		}
		if moved != want {
			t.Fatalf("%d stores taken up for one that went, want %d (it was kept: %v)", moved, want, before[gone])
		}
		cell[gone].Usable = true
		if back := Select(cell, k); fmt.Sprint(back) != fmt.Sprint(before) {
			t.Fatalf("after the return %v, before %v", back, before)
		}
	})
}

// The subset never has more stores than connections, once each cell has one, and it is as small as
// keeps the load of the stores even.
func TestSizeWithinConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		room := rapid.IntRange(1, 2000).Draw(t, "room")
		cells := rapid.IntRange(1, 300).Draw(t, "cells")
		replicas := rapid.IntRange(1, 5).Draw(t, "replicas")
		gatherers := rapid.IntRange(1, 500).Draw(t, "gatherers")
		k := Size(room, cells, replicas, gatherers, 0.1)
		if k < 1 || k > replicas {
			t.Fatalf("size %d of %d replicas", k, replicas)
		}
		if k > 1 && k*cells > room {
			t.Fatalf("size %d at %d cells needs %d places of %d", k, cells, k*cells, room)
		}
	})
	for _, x := range []struct{ room, cells, replicas, gatherers, want int }{
		{182, 100, 2, 3, 1}, // the table holds no more
		{172, 61, 2, 300, 1},
		{172, 20, 3, 80, 2},
		{115, 8, 3, 36, 3}, // of so few, chance would give one store twice the share of another
		{115, 6, 3, 2, 3},
		{0, 6, 3, 2, 3},
	} {
		if k := Size(x.room, x.cells, x.replicas, x.gatherers, 0.1); k != x.want {
			t.Errorf("%+v: %d replicas a cell are kept", x, k)
		}
	}
}
