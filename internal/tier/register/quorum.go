package register

import (
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// identitySet is a set of node identities.
type identitySet map[uint64]struct{}

func (set identitySet) add(identity uint64)      { set[identity] = struct{}{} }
func (set identitySet) has(identity uint64) bool { _, found := set[identity]; return found }

// HasQuorum reports whether the identities for which has returns true are a majority of each voter set. It is false if
// there are no voter sets.
func HasQuorum(voters []*tierpb.VoterSet, has func(identity uint64) bool) bool {
	if len(voters) == 0 {
		return false
	}
	for _, set := range voters {
		count := 0
		for _, node := range set.GetNodes() {
			if has(node.GetIdentity()) {
				count++
			}
		}
		if count <= len(set.GetNodes())/2 {
			return false
		}
	}
	return true
}

// VoterNodes returns the nodes in all voter sets of a state, each identity once, in the order of the sets.
func VoterNodes(state *tierpb.ControlState) []*tierpb.Node {
	var nodes []*tierpb.Node
	seen := identitySet{}
	for _, set := range state.GetVoters() {
		for _, node := range set.GetNodes() {
			if !seen.has(node.GetIdentity()) {
				seen.add(node.GetIdentity())
				nodes = append(nodes, node)
			}
		}
	}
	return nodes
}

// IsVoter reports whether one of the voter sets of a state contains an identity.
func IsVoter(state *tierpb.ControlState, identity uint64) bool {
	for _, node := range VoterNodes(state) {
		if node.GetIdentity() == identity {
			return true
		}
	}
	return false
}

// sameMembers reports whether two voter sets contain the same identities.
func sameMembers(one, other *tierpb.VoterSet) bool {
	members := identitiesOf(one)
	others := identitySet{}
	for _, node := range other.GetNodes() {
		if !members.has(node.GetIdentity()) {
			return false
		}
		others.add(node.GetIdentity())
	}
	return len(members) == len(others)
}

func identitiesOf(set *tierpb.VoterSet) identitySet {
	identities := identitySet{}
	for _, node := range set.GetNodes() {
		identities.add(node.GetIdentity())
	}
	return identities
}
