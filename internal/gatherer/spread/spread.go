// Package spread decides which lot stores one gatherer keeps to, so that many gatherers that share nothing load the
// stores evenly. It holds no I/O, clock or wire type: callers pass what they were told and what is set.
//
// Each gatherer ranks the replicas of a cell, by rendezvous hashing of its own seed and the store's name (highest
// random weight, Rank) or by a draw of its own such as policy's lead, and keeps the first k that are usable. A store that comes or goes moves only the gatherers that
// ranked it among their first k. See docs/design/spread.md.
package spread

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Replica is one store of a cell, as the caller sees it now.
type Replica struct {
	Rank   float64 // higher first: Rank's rendezvous weight, or any draw of the caller's that is its own
	Usable bool    // ready, not draining, not gone, not in doubt
}

// Size is how many replicas of each cell a gatherer keeps to. The fewer, the more often it meets each and the sooner it
// learns; but each of so many gatherers chooses alone, so that a store's share of them is drawn: k of r replicas kept by
// n gatherers give shares with a standard deviation of sqrt((r-k)/(k n)) of the mean. So it is the least k at which that
// is no more than uneven, and no more than the table of connections has room for, one at the least: room is the bound on
// connections to lot stores (0 for none stated), cells the number of cells listed, replicas the most of one cell.
func Size(room, cells, replicas, gatherers int, uneven float64) int {
	most := max(replicas, 1)
	if cells > 0 && room > 0 {
		most = min(max(room/cells, 1), most)
	}
	for k := 1; k < most; k++ {
		if float64(replicas-k) <= uneven*uneven*float64(k*max(gatherers, 1)) {
			return k
		}
	}
	return most
}

// Rank is the rendezvous weight of a store, by its name in the discovery list, for the gatherer of this seed: in
// [0, 1), the same for the same two, and independent between gatherers.
func Rank(seed uint64, name string) float64 {
	h := fnv.New64a()
	h.Write([]byte(name))
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

// Keep says which replicas of one cell are kept to: the k usable ones of highest rank. The result is in the order of
// cell, true for kept. Where fewer than k are usable, all usable ones are kept; an unusable replica is never kept, so
// that one gives way to the next by rank for as long as it is unusable.
func Keep(cell []Replica, k int) []bool {
	order := make([]int, 0, len(cell))
	for i, r := range cell {
		if r.Usable {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(cell[b].Rank, cell[a].Rank) })
	kept := make([]bool, len(cell))
	for _, i := range order[:min(k, len(order))] {
		kept[i] = true
	}
	return kept
}
