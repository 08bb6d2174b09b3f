package peers

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// network is a simulated set of processes that exchange in rounds.
type network struct {
	views map[string]*View
	order []string
	seeds []string
	// side splits the network where it is set: exchanges across sides fail.
	side func(address string) int
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
	return n.views[to] != nil && (n.side == nil || n.side(from) == n.side(to))
}

func (n *network) run(rounds int) {
	for range rounds {
		for _, address := range n.order {
			view := n.views[address]
			exchange := view.Begin(n.seeds)
			switch {
			case exchange == nil:
			case n.reaches(address, exchange.Address):
				view.Finish(exchange, n.views[exchange.Address].Answer(exchange.Request))
			default:
				view.Fail(exchange)
			}
		}
	}
}

// reachable counts the living processes that can be got to from one over views, in either direction.
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
	seen := map[string]bool{from: true}
	for queue := []string{from}; len(queue) > 0; queue = queue[1:] {
		for _, other := range neighbours[queue[0]] {
			if !seen[other] {
				seen[other] = true
				queue = append(queue, other)
			}
		}
	}
	return len(seen)
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

func TestViewsFillFromSeedsAlone(t *testing.T) {
	n := newNetwork(300)
	n.run(40)
	assert.Equal(t, n.reachable(n.order[0]), 300)
	for _, view := range n.views {
		assert.Equal(t, view.Len(), viewSize)
		assert.Assert(t, len(view.Nodes(tierpb.Role_ROLE_COORDINATOR)) >= coordinatorsInTest-1)
	}
}

func TestInDegreesAreEven(t *testing.T) {
	n := newNetwork(300)
	n.run(100)
	degrees := n.inDegrees()
	for _, address := range n.order[coordinatorsInTest:] {
		assert.Assert(t, degrees[address] >= 1 && degrees[address] <= 5*viewSize, "%s: %d", address, degrees[address])
	}
}

func TestHalfDieAndTheRestStayConnectedWithoutThem(t *testing.T) {
	n := newNetwork(300)
	n.run(40)
	dead := make(map[string]bool)
	for _, i := range rand.New(rand.NewPCG(3, 4)).Perm(300)[:150] {
		dead[n.order[i]] = true
	}
	for address := range dead {
		n.kill(address)
	}
	n.run(60)
	assert.Equal(t, n.reachable(n.order[0]), len(n.order))
	for _, view := range n.views {
		for _, entry := range view.entries {
			assert.Assert(t, !dead[entry.Node.Address], "a dead peer is still in a view")
		}
	}
}

func TestSeedsAreGoneAndANewCoordinatorIsFound(t *testing.T) {
	n := newNetwork(100)
	n.run(30)
	for _, seed := range n.seeds {
		n.kill(seed)
	}
	node := &tierpb.Node{Address: "10.9.9.9:7000", Role: tierpb.Role_ROLE_COORDINATOR}
	joined := NewView(node, rand.New(rand.NewPCG(1, 2)))
	joined.take([]*tierpb.PeerEntry{{Node: &tierpb.Node{Address: n.order[0]}}}, nil)
	n.views[node.Address] = joined
	n.order = append(n.order, node.Address)
	n.run(100)
	for address, view := range n.views {
		if address == node.Address {
			continue
		}
		found := view.Nodes(tierpb.Role_ROLE_COORDINATOR)
		assert.Assert(t, len(found) > 0 && found[0].Address == node.Address, "not found by %s", address)
	}
}

func TestPartitionHeals(t *testing.T) {
	n := newNetwork(200)
	n.run(40)
	n.side = func(address string) int { return slices.Index(n.order, address) % 2 }
	n.run(150)
	n.side = nil
	n.run(40)
	assert.Equal(t, n.reachable(n.order[0]), 200)
	across := 0
	for i, address := range n.order {
		for _, entry := range n.views[address].entries {
			if slices.Index(n.order, entry.Node.Address)%2 != i%2 {
				across++
			}
		}
	}
	assert.Assert(t, across > 200)
}

func TestNobodyKnownMeansNoExchange(t *testing.T) {
	view := NewView(&tierpb.Node{Address: "a"}, rand.New(rand.NewPCG(1, 1)))
	assert.Assert(t, view.Begin(nil) == nil)
	assert.Assert(t, view.Begin([]string{"a"}) == nil)
}
