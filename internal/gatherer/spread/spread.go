// Package spread selects the subset of lot stores that one gatherer uses, so that many gatherers that share nothing load
// the stores evenly. It does no I/O and has no clock.
//
// Each gatherer ranks the replicas of a cell by random numbers of its own, as in rendezvous hashing (highest random weight), and
// selects the first k that are usable. A store that comes or goes moves only the gatherers that ranked it among their first
// k. See docs/design/spread.md.
package spread

import (
	"cmp"
	"slices"
)

// Replica is one store of a cell, as the caller sees it now.
type Replica struct {
	Rank   float64 // higher first: a random number that the caller keeps for the store
	Usable bool    // ready and healthy
}

// Size is how many replicas of each cell a gatherer selects. With fewer it uses each more often and learns more of it; but
// each gatherer selects alone, so that the number of gatherers per store is random: k of r replicas selected by n gatherers
// give a standard deviation of sqrt((r-k)/(k n)) of the mean. Size is the least k at which that is at most uneven, and no
// more than the connections allow, at least 1. Connections is the bound on connections to lot stores (0 for none), cells
// the number of cells listed, replicas the largest number of replicas of a cell.
func Size(connections, cells, replicas, gatherers int, uneven float64) int {
	limit := max(replicas, 1)
	if cells > 0 && connections > 0 {
		limit = min(max(connections/cells, 1), limit)
	}
	for k := 1; k < limit; k++ {
		if float64(replicas-k) <= uneven*uneven*float64(k*max(gatherers, 1)) {
			return k
		}
	}
	return limit
}

// Select selects the k usable replicas of highest rank of one cell. The result is in the order of cell, true for selected
// ones. Where fewer than k are usable, all of them are selected; an unusable replica is replaced by the next by rank for as
// long as it is unusable.
func Select(cell []Replica, k int) []bool {
	order := make([]int, 0, len(cell))
	for i, r := range cell {
		if r.Usable {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(cell[b].Rank, cell[a].Rank) })
	selected := make([]bool, len(cell))
	for _, i := range order[:min(k, len(order))] {
		selected[i] = true
	}
	return selected
}
