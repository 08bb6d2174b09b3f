package spread

import (
	"fmt"
	"hash/fnv"
	"testing"

	"pgregory.net/rapid"
)

// storeNames returns the names of the stores of each cell.
func storeNames(cells, replicas int) [][]string {
	names := make([][]string, cells)
	for c := range names {
		for r := range replicas {
			names[c] = append(names[c], fmt.Sprintf("store-%d-%d", c, r))
		}
	}
	return names
}

// rankOf returns the rank of a store for a gatherer, in [0, 1): a hash of both that is used in place of the random number
// that the gatherer would keep, to make tests deterministic.
func rankOf(seed uint64, name string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // a hash.Hash never returns an error
	return float64(mix(h.Sum64()^seed)>>11) / (1 << 53)
}

// mix is the finaliser of SplitMix64. It is needed because FNV hashes of names that differ only in the last byte are close.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// ranked returns the stores of a cell as ranked by the gatherer with this seed, all usable.
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
			for i, selected := range Select(ranked(seed, names), k) {
				if selected {
					n[names[i]]++
				}
			}
		}
	}
	return n
}

// If 300 gatherers select one of two replicas in each of 100 cells, every store is selected by 0.25 to 1.25 times the mean
// number of gatherers. The expected maximum of Binomial(300, 1/2) over 100 cells is about 1.15 times the mean.
func TestSelectionIsEven(t *testing.T) {
	cells := storeNames(100, 2)
	n := selections(300, cells, 1)
	mean := 300.0 / 2
	for _, names := range cells {
		for _, name := range names {
			if got := float64(n[name]); got > 1.25*mean || got < 0.25*mean {
				t.Errorf("%s is selected by %v gatherers, mean %v", name, got, mean)
			}
		}
	}
}

// When a store becomes unusable, a gatherer that has selected it selects one usable store in its place and keeps the others.
// When it is usable again, the gatherer selects the same stores as before.
func TestUnusableStoreIsReplaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := rapid.IntRange(2, 5).Draw(t, "replicas")
		k := rapid.IntRange(1, replicas).Draw(t, "k")
		seed := rapid.Uint64().Draw(t, "seed")
		cell := ranked(seed, storeNames(1, replicas)[0])
		unusable := rapid.IntRange(0, replicas-1).Draw(t, "unusable")
		before := Select(cell, k)
		cell[unusable].Usable = false
		after := Select(cell, k)
		if after[unusable] {
			t.Fatalf("unusable store %d is selected", unusable)
		}
		added, available := 0, 0 // newly selected stores; usable stores that were not selected before
		for i := range cell {
			if before[i] && !after[i] && i != unusable {
				t.Fatalf("store %d is no longer selected because store %d is unusable", i, unusable)
			}
			if !before[i] && after[i] {
				added++
			}
			if !before[i] && i != unusable {
				available++
			}
		}
		want := 0
		if before[unusable] {
			want = min(available, 1)
		}
		if added != want {
			t.Fatalf("%d stores added in place of the unusable one, want %d (it was selected: %v)", added, want, before[unusable])
		}
		cell[unusable].Usable = true
		if again := Select(cell, k); fmt.Sprint(again) != fmt.Sprint(before) {
			t.Fatalf("selection %v once all stores are usable again, %v before", again, before)
		}
	})
}

// The subset needs no more connections than allowed, unless it has one store per cell, and is the smallest that keeps the
// load of the stores even.
func TestSizeWithinConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		connections := rapid.IntRange(1, 2000).Draw(t, "connections")
		cells := rapid.IntRange(1, 300).Draw(t, "cells")
		replicas := rapid.IntRange(1, 5).Draw(t, "replicas")
		gatherers := rapid.IntRange(1, 500).Draw(t, "gatherers")
		k := Size(connections, cells, replicas, gatherers, 0.1)
		if k < 1 || k > replicas {
			t.Fatalf("size %d of %d replicas", k, replicas)
		}
		if k > 1 && k*cells > connections {
			t.Fatalf("size %d with %d cells needs %d connections of %d", k, cells, k*cells, connections)
		}
	})
	for _, x := range []struct{ connections, cells, replicas, gatherers, want int }{
		{182, 100, 2, 3, 1}, // limited by the connections
		{172, 61, 2, 300, 1},
		{172, 20, 3, 80, 2},
		{115, 8, 3, 36, 3}, // with so few gatherers, one store could get twice the load of another by chance
		{115, 6, 3, 2, 3},
		{0, 6, 3, 2, 3},
	} {
		if k := Size(x.connections, x.cells, x.replicas, x.gatherers, 0.1); k != x.want {
			t.Errorf("%+v: size %d", x, k)
		}
	}
}
