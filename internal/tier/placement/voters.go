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
	view = withoutLeaving(current, view)
	next, replaced := replaceVoters(voters, view)
	grown := slices.Clone(next)
	for _, standby := range standbys(next, view) {
		if len(grown) < view.least() && predecessor(grown, standby) < 0 {
			grown = append(grown, standby)
		}
	}
	if len(grown)%2 == 0 && len(grown) > len(next) {
		grown = grown[:len(grown)-1]
	}
	if !replaced && len(grown) == len(voters) {
		return spreadVoters(voters, view)
	}
	return grown
}

// spreadVoters moves one vote out of a domain without which the rest would be no majority; nil where that cannot be
// done or is not called for.
func spreadVoters(voters []*tierpb.Node, view *View) []*tierpb.Node {
	bearable := (len(voters) - 1) / 2
	for place, voter := range voters {
		crowded := view.domain(voter)
		if crowded == "" || view.countIn(crowded, voters) <= bearable {
			continue
		}
		for _, standby := range standbys(voters, view) {
			into := view.domain(standby)
			if into != "" && view.countIn(into, voters) < bearable {
				next := slices.Clone(voters)
				next[place] = standby
				return next
			}
		}
	}
	return nil
}

// replaceVoters puts standbys in the places of voters that were wiped or are silent. A majority of the old voters
// stays, as the register demands.
func replaceVoters(voters []*tierpb.Node, view *View) (next []*tierpb.Node, replaced bool) {
	next = slices.Clone(voters)
	left := (len(voters) - 1) / 2
	for _, standby := range standbys(voters, view) {
		place := predecessor(next, standby)
		if place < 0 {
			place = longestSilent(next, view)
		}
		if place >= 0 && left > 0 {
			next[place], replaced = standby, true
			left--
		}
	}
	return next, replaced
}

// standbys are the coordinators that call, answer and do not vote, those of the domains with the fewest voters first.
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
	slices.SortStableFunc(nodes, func(a, b *tierpb.Node) int {
		return view.countIn(view.domain(a), voters) - view.countIn(view.domain(b), voters)
	})
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
