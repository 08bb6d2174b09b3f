package peers

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// network is a simulated set of processes that shuffle in rounds.
type network struct {
	views map[string]*View
	order []string // addresses, in the order in which processes shuffle
	seeds []string
	// partitionOf, if not nil, partitions the network: shuffles between different partitions fail.
	partitionOf func(address string) int
}

const coordinatorsInTest = 3

func newNetwork(count int) *network {
	n := &network{views: make(map[string]*View)}
	for i := range count {
		n.add(i)
	}
	n.seeds = slices.Clone(n.order[:coordinatorsInTest])
	return n
}

func (n *network) add(i int) string {
	node := &tierpb.Node{Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), Role: tierpb.Role_ROLE_AGENT}
	if i < coordinatorsInTest {
		node.Role = tierpb.Role_ROLE_COORDINATOR
	}
	n.views[node.Address] = NewView(node, rand.New(rand.NewPCG(uint64(i), 7)))
	n.order = append(n.order, node.Address)
	return node.Address
}

func (n *network) kill(address string) {
	delete(n.views, address)
	n.order = slices.DeleteFunc(n.order, func(other string) bool { return other == address })
}

func (n *network) reaches(from, to string) bool {
	return n.views[to] != nil && (n.partitionOf == nil || n.partitionOf(from) == n.partitionOf(to))
}

func (n *network) run(rounds int) {
	for range rounds {
		for _, address := range n.order {
			view := n.views[address]
			shuffle := view.StartShuffle(n.seeds)
			switch {
			case shuffle == nil:
			case n.reaches(address, shuffle.Address):
				view.CompleteShuffle(shuffle, n.views[shuffle.Address].HandleShuffle(shuffle.Request))
			default:
				view.AbortShuffle(shuffle)
			}
		}
	}
}

// reachable returns the number of live processes that are connected to the given one by entries of views, in either
// direction.
func (n *network) reachable(from string) int {
	neighbours := make(map[string][]string)
	for address, view := range n.views {
		for _, entry := range view.entries {
			other := entry.Node.Address
			if n.reaches(address, other) {
				neighbours[address] = append(neighbours[address], other)
				neighbours[other] = append(neighbours[other], address)
			}
		}
	}
	visited := map[string]bool{from: true}
	for queue := []string{from}; len(queue) > 0; queue = queue[1:] {
		for _, other := range neighbours[queue[0]] {
			if !visited[other] {
				visited[other] = true
				queue = append(queue, other)
			}
		}
	}
	return len(visited)
}

func (n *network) inDegrees() map[string]int {
	degrees := make(map[string]int)
	for _, view := range n.views {
		for _, entry := range view.entries {
			degrees[entry.Node.Address]++
		}
	}
	return degrees
}
