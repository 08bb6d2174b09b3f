package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

func testNodes(count, zones int) []*tierpb.Node {
	nodes := make([]*tierpb.Node, count)
	for i := range nodes {
		nodes[i] = &tierpb.Node{Identity: uint64(1000 + i*77), Zone: fmt.Sprintf("zone%d", i%zones)}
	}
	return nodes
}

func TestSetSpreadsOverZones(t *testing.T) {
	nodes := testNodes(9, 3)
	for i := range 200 {
		set := Set(nodes, fmt.Sprintf("key%d", i), 3)
		zones := map[string]bool{}
		for _, node := range set {
			zones[node.Zone] = true
		}
		assert.Equal(t, len(zones), 3)
	}
}

func TestSetHasSecondMembersInZonesIfZonesAreFew(t *testing.T) {
	nodes := testNodes(9, 2)
	for i := range 200 {
		set := Set(nodes, fmt.Sprintf("key%d", i), 5)
		count := map[string]int{}
		for _, node := range set {
			count[node.Zone]++
		}
		assert.Equal(t, len(set), 5)
		assert.Assert(t, count["zone0"] >= 2 && count["zone1"] >= 2, "%v", count)
	}
}

func TestSetSpreadsOverFailureDomains(t *testing.T) {
	var nodes []*tierpb.Node
	for i := range 9 {
		nodes = append(nodes, &tierpb.Node{
			Identity: uint64(1000 + i*77), Zone: fmt.Sprintf("zone%d", i), Domain: fmt.Sprintf("region%d", i%3),
		})
	}
	for key := range 200 {
		regions := map[string]bool{}
		for _, node := range Set(nodes, fmt.Sprint(key), 3) {
			regions[node.Domain] = true
		}
		assert.Equal(t, len(regions), 3)
	}
}

func TestSetIsIndependentOfTheOrderOfMembers(t *testing.T) {
	nodes := testNodes(7, 3)
	shuffled := testNodes(7, 3)
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 100 {
		random.Shuffle(len(shuffled), func(a, b int) { shuffled[a], shuffled[b] = shuffled[b], shuffled[a] })
		key := fmt.Sprintf("key%d", i)
		one, other := Set(nodes, key, 3), Set(shuffled, key, 3)
		for position := range one {
			assert.Equal(t, one[position].Identity, other[position].Identity)
		}
	}
}

func TestSetOfFewMembersHasAllOfThem(t *testing.T) {
	assert.Equal(t, len(Set(testNodes(2, 1), "key", 3)), 2)
	assert.Equal(t, len(Set(nil, "key", 3)), 0)
}

func TestKeysSpreadEvenlyOverMembers(t *testing.T) {
	nodes := testNodes(6, 3)
	count := map[uint64]int{}
	for i := range 6000 {
		for _, node := range Set(nodes, fmt.Sprintf("%016x", i), 3) {
			count[node.Identity]++
		}
	}
	for identity, keys := range count {
		assert.Assert(t, keys > 2500 && keys < 3500, "member %d has %d of 18000 replicas", identity, keys)
	}
}
