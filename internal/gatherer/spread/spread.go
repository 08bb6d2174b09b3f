// Package spread selects the subset of lot stores that one gatherer uses, so that many gatherers that share no state load
// the stores evenly. It does no I/O and has no clock.
//
// Each gatherer ranks the replicas of a cell by its own random numbers, as in rendezvous hashing (highest random weight), and
// selects the first k that are usable. A store that is added or removed changes the subsets only of the gatherers that rank
// it among their first k. See docs/design/spread.md.
package spread

import (
	"cmp"
	"slices"
)

// Replica is one store of a cell.
type Replica struct {
	Rank   float64 // random number that the caller keeps for the store; the highest is selected first
	Usable bool    // ready and healthy
}

// Size returns how many replicas of each cell a gatherer should select. With fewer replicas, it uses each one more often and
// has more measurements of it. But gatherers select independently, so that the number of gatherers per store is random: if n
// gatherers each select k of r replicas, its standard deviation is sqrt((r-k)/(k n)) of the mean. Size returns the smallest k
// for which that is at most maxDeviation. If the connections do not allow it, it returns the largest k that they allow, at
// least 1.
//
// Connections is the maximum number of connections to lot stores (0 for no limit), cells is the number of cells, and replicas
// is the largest number of replicas of any cell.
func Size(connections, cells, replicas, gatherers int, maxDeviation float64) int {
	limit := max(replicas, 1)
	if cells > 0 && connections > 0 {
		limit = min(max(connections/cells, 1), limit)
	}
	for k := 1; k < limit; k++ {
		if float64(replicas-k) <= maxDeviation*maxDeviation*float64(k*max(gatherers, 1)) {
			return k
		}
	}
	return limit
}

// Select selects the k usable replicas of a cell that have the highest ranks, or all usable ones if there are fewer. The
// result says for each replica of the cell whether it is selected. A replica that becomes unusable is replaced by the next
// one by rank, until it is usable again.
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
