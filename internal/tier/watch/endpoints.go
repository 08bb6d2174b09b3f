package watch

import (
	"hash/fnv"
	"sort"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Endpoint is a source that may be watched.
type Endpoint struct {
	Address string // ip:port
	Zone    string // failure domain; empty if unknown
}

// CoordinatorEndpoints returns all known coordinators except the process itself. Those of its own zone come first;
// within and outside the zone they are ordered by rendezvous hashing, so that watchers spread over the coordinators.
// Voters, peers and the coordinators that sources advertise have a zone, seeds have none.
func CoordinatorEndpoints(self *tierpb.Node, state *State, peers []*tierpb.Node, seeds []string) []Endpoint {
	zones := make(map[string]string) // by address
	for _, seed := range seeds {
		zones[seed] = ""
	}
	addCoordinators(zones, peers)
	addCoordinators(zones, state.Coordinators())
	for _, voters := range state.Control().GetVoters() {
		addCoordinators(zones, voters.Nodes)
	}
	delete(zones, self.GetAddress())
	return sortByPreference(self, zones)
}

func addCoordinators(zones map[string]string, nodes []*tierpb.Node) {
	for _, node := range nodes {
		if node.Role != tierpb.Role_ROLE_COORDINATOR || node.Address == "" {
			continue
		}
		if _, known := zones[node.Address]; !known || node.Zone != "" { // the initial voters have no zone
			zones[node.Address] = node.Zone
		}
	}
}

func sortByPreference(self *tierpb.Node, zones map[string]string) []Endpoint {
	type candidate struct {
		endpoint Endpoint
		ownZone  bool
		hash     uint64
	}
	candidates := make([]candidate, 0, len(zones))
	for address, zone := range zones {
		candidates = append(candidates, candidate{
			endpoint: Endpoint{Address: address, Zone: zone},
			ownZone:  zone != "" && zone == self.GetZone(),
			hash:     rendezvousHash(self.GetName(), address),
		})
	}
	sort.Slice(candidates, func(i, j int) bool {
		if candidates[i].ownZone != candidates[j].ownZone {
			return candidates[i].ownZone
		}
		return candidates[i].hash < candidates[j].hash
	})
	endpoints := make([]Endpoint, len(candidates))
	for i := range candidates {
		endpoints[i] = candidates[i].endpoint
	}
	return endpoints
}

func rendezvousHash(watcher, address string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(watcher))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(address))
	// The last bytes of the input hardly affect the high bits of FNV-1a, which decide the order, so mix the bits.
	mixed := hash.Sum64()
	mixed ^= mixed >> 32
	mixed *= 0x9e3779b97f4a7c15
	return mixed ^ mixed>>29
}
