package peers

import (
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

func TestViewsFillFromSeeds(t *testing.T) {
	n := newNetwork(300)
	n.run(40)
	assert.Equal(t, n.reachable(n.order[0]), 300)
	for _, view := range n.views {
		assert.Equal(t, view.Len(), viewSize)
		assert.Assert(t, len(view.Nodes(tierpb.Role_ROLE_COORDINATOR)) >= coordinatorsInTest-1)
	}
}

func TestInDegreesAreBalanced(t *testing.T) {
	n := newNetwork(300)
	n.run(100)
	degrees := n.inDegrees()
	for _, address := range n.order[coordinatorsInTest:] {
		assert.Assert(t, degrees[address] >= 1 && degrees[address] <= 5*viewSize, "%s: %d", address, degrees[address])
	}
}

func TestViewsStayConnectedAfterHalfOfTheProcessesFail(t *testing.T) {
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

func TestNewCoordinatorIsFoundWithoutSeeds(t *testing.T) {
	n := newNetwork(100)
	n.run(30)
	for _, seed := range n.seeds {
		n.kill(seed)
	}
	node := &tierpb.Node{Address: "10.9.9.9:7000", Role: tierpb.Role_ROLE_COORDINATOR}
	joined := NewView(node, rand.New(rand.NewPCG(1, 2)))
	joined.merge([]*tierpb.PeerEntry{{Node: &tierpb.Node{Address: n.order[0]}}}, nil)
	n.views[node.Address] = joined
	n.order = append(n.order, node.Address)
	n.run(100)
	for address, view := range n.views {
		if address == node.Address {
			continue
		}
		found := view.Nodes(tierpb.Role_ROLE_COORDINATOR)
		assert.Assert(t, len(found) > 0 && found[0].Address == node.Address, "%s does not know the new coordinator", address)
	}
}

func TestPartitionHeals(t *testing.T) {
	n := newNetwork(200)
	n.run(40)
	n.partitionOf = func(address string) int { return slices.Index(n.order, address) % 2 }
	n.run(150)
	n.partitionOf = nil
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

func TestNoShuffleWithoutKnownPeers(t *testing.T) {
	view := NewView(&tierpb.Node{Address: "a"}, rand.New(rand.NewPCG(1, 1)))
	assert.Assert(t, view.StartShuffle(nil) == nil)
	assert.Assert(t, view.StartShuffle([]string{"a"}) == nil)
}
