package placement

import (
	"slices"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// NextVoters returns the set of voters that should replace the present one, nil where nothing is to be done. A change
// that is half done comes first: its new set is returned.
func NextVoters(current *tierpb.ControlState, view *View) []*tierpb.Node {
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
		if len(grown) < view.least() && find(grown, standby.Identity) < 0 && predecessor(grown, standby) < 0 {
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

// replaceVoters puts standbys in the places of voters that were wiped, which are lost for certain, then of those that are
// silent. A majority of the old voters stays, as the register demands.
func replaceVoters(voters []*tierpb.Node, view *View) (next []*tierpb.Node, replaced bool) {
	next = slices.Clone(voters)
	left := (len(voters) - 1) / 2
	waiting := standbys(voters, view)
	for _, placeOf := range []func(*tierpb.Node) int{
		func(standby *tierpb.Node) int { return predecessorOf(next, standby, view) },
		func(*tierpb.Node) int { return longestSilent(next, view) },
	} {
		for _, standby := range waiting {
			if left == 0 || find(next, standby.Identity) >= 0 {
				continue
			}
			if place := placeOf(standby); place >= 0 {
				next[place], replaced = standby, true
				left--
			}
		}
	}
	return next, replaced
}

// predecessorOf is the voter that a standby stands in for, -1 where there is none. One of the same name that answers
// from another address is no predecessor: both run.
func predecessorOf(voters []*tierpb.Node, standby *tierpb.Node, view *View) int {
	place := predecessor(voters, standby)
	if place >= 0 && voters[place].Address != standby.Address && view.VoterUnreachableFor(voters[place].Address) == 0 {
		return -1
	}
	return place
}

// ReplaceDrainingVoter returns the voters with a standby in the place of one that stops, nil where it has no vote or nobody stands
// by. It takes no other vote away.
func ReplaceDrainingVoter(current *tierpb.ControlState, view *View, leaver uint64) []*tierpb.Node {
	sets := current.GetVoters()
	if len(sets) != 1 {
		return nil
	}
	voters := sets[0].GetNodes()
	place := find(voters, leaver)
	waiting := standbys(voters, withoutLeaving(current, view))
	if place < 0 || len(waiting) == 0 {
		return nil
	}
	next := slices.Clone(voters)
	next[place] = waiting[0]
	return next
}

// standbys are the coordinators that call, answer and do not vote, those of the domains with the fewest voters first.
func standbys(voters []*tierpb.Node, view *View) []*tierpb.Node {
	var nodes []*tierpb.Node
	for _, join := range view.Joins {
		node := join.Request.Node
		if node.Role != tierpb.Role_ROLE_COORDINATOR || !view.fresh(join) || find(voters, node.Identity) >= 0 {
			continue
		}
		if view.VoterUnreachableFor(node.Address) == 0 {
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
		if silence := view.VoterUnreachableFor(voter.Address); silence > longest {
			place, longest = i, silence
		}
	}
	return place
}
