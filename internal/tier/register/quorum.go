// Package register is a compare-and-swap register after CASPaxos that holds the whole control state. The value names
// its own voters; a proposer changes it in two quorum rounds; there is no log and no leader.
package register

import (
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// identities is a set of nodes.
type identities map[uint64]struct{}

func (set identities) add(identity uint64)      { set[identity] = struct{}{} }
func (set identities) has(identity uint64) bool { _, found := set[identity]; return found }

// HasQuorum says whether those for which has is true are a majority of each voter set.
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

// VoterNodes returns the members of all voter sets of a state, each once.
func VoterNodes(state *tierpb.ControlState) []*tierpb.Node {
	var nodes []*tierpb.Node
	seen := identities{}
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

// IsVoter says whether a state names an identity among its voters.
func IsVoter(state *tierpb.ControlState, identity uint64) bool {
	for _, node := range VoterNodes(state) {
		if node.GetIdentity() == identity {
			return true
		}
	}
	return false
}

// sameMembers says whether two sets have the same identities.
func sameMembers(one, other *tierpb.VoterSet) bool {
	members := identities{}
	for _, node := range one.GetNodes() {
		members.add(node.GetIdentity())
	}
	others := identities{}
	for _, node := range other.GetNodes() {
		if !members.has(node.GetIdentity()) {
			return false
		}
		others.add(node.GetIdentity())
	}
	return len(members) == len(others)
}

// higher says whether a ballot is above another; nil is the lowest.
func higher(ballot, than *tierpb.ProposalNumber) bool {
	if ballot.GetCounter() != than.GetCounter() {
		return ballot.GetCounter() > than.GetCounter()
	}
	return ballot.GetProposer() > than.GetProposer()
}

func sameBallot(one, other *tierpb.ProposalNumber) bool {
	return one.GetCounter() == other.GetCounter() && one.GetProposer() == other.GetProposer()
}
