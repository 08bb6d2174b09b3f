package watch

import (
	"hash/fnv"
	"sort"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// CoordinatorEndpoints lists all coordinators known, without the process itself: those of its own zone first, and else
// in an order that differs from one process to another, so that followers spread over the coordinators. Voters, the
// coordinators that sources told of and peers come with their zones; the seeds are told without.
func CoordinatorEndpoints(self *tierpb.Node, state *State, peers []*tierpb.Node, seeds []string) []Endpoint {
	zones := make(map[string]string)
	for _, seed := range seeds {
		zones[seed] = ""
	}
	addNodes(zones, peers)
	addNodes(zones, state.Coordinators())
	for _, voters := range state.Control().GetVoters() {
		addNodes(zones, voters.Nodes)
	}
	delete(zones, self.GetAddress())
	return arrange(self, zones)
}

func addNodes(zones map[string]string, nodes []*tierpb.Node) {
	for _, node := range nodes {
		if node.Role != tierpb.Role_ROLE_COORDINATOR || node.Address == "" {
			continue
		}
		if _, known := zones[node.Address]; !known || node.Zone != "" { // the first voters are told without a zone
			zones[node.Address] = node.Zone
		}
	}
}

func arrange(self *tierpb.Node, zones map[string]string) []Endpoint {
	type ranked struct {
		target Endpoint
		own    bool
		hash   uint64
	}
	all := make([]ranked, 0, len(zones))
	for address, zone := range zones {
		target := Endpoint{Address: address, Zone: zone}
		all = append(all, ranked{target, zone != "" && zone == self.GetZone(), spreadHash(self.GetName(), address)})
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].own != all[j].own {
			return all[i].own
		}
		return all[i].hash < all[j].hash
	})
	targets := make([]Endpoint, len(all))
	for i := range all {
		targets[i] = all[i].target
	}
	return targets
}

func spreadHash(follower, address string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(follower))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(address))
	mixed := hash.Sum64()
	mixed ^= mixed >> 32
	mixed *= 0x9e3779b97f4a7c15
	return mixed ^ mixed>>29
}
