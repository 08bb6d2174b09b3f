package placement

import (
	"slices"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Voters returns the set of voters that should replace the present one, nil where nothing is to be done. A change
// that is half done comes first: its new set is returned.
func Voters(current *tierpb.ControlState, view *View) []*tierpb.Node {
	sets := current.GetVoters()
	if len(sets) == 0 {
		return nil
	}
	voters := sets[len(sets)-1].GetNodes()
	if len(sets) > 1 {
		return voters
	}
	next := slices.Clone(voters)
	changed := false
	for _, standby := range standbys(voters, view) {
		if place := predecessor(next, standby); place >= 0 {
			next[place], changed = standby, true
			continue
		}
		if place := longestSilent(next, view); place >= 0 {
			next[place], changed = standby, true
			continue
		}
		if len(next) < view.least() {
			next, changed = append(next, standby), true
		}
	}
	if !changed {
		return nil
	}
	return next
}

// standbys are the coordinators that call, answer and do not vote.
func standbys(voters []*tierpb.Node, view *View) []*tierpb.Node {
	var nodes []*tierpb.Node
	for _, join := range view.Joins {
		node := join.Request.Node
		if node.Role != tierpb.Role_ROLE_COORDINATOR || !view.fresh(join) || find(voters, node.Identity) >= 0 {
			continue
		}
		if view.VoterSilence(node.Address) == 0 {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// longestSilent is the voter that has not answered for the longest time, -1 where all answered lately.
func longestSilent(voters []*tierpb.Node, view *View) int {
	place, longest := -1, voterDead
	for i, voter := range voters {
		if silence := view.VoterSilence(voter.Address); silence > longest {
			place, longest = i, silence
		}
	}
	return place
}
