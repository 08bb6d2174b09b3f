package placement

import (
	"slices"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// NextVoters returns the voters that should replace the present ones, nil if there is nothing to do. While voters are joint
// it returns the new ones, because an incomplete change has to be completed first.
func NextVoters(current *tierpb.ControlState, view *View) []*tierpb.Node {
	sets := current.GetVoters()
	if len(sets) == 0 {
		return nil
	}
	voters := sets[len(sets)-1].GetNodes()
	if len(sets) > 1 {
		return voters
	}
	view = withDrainingUnreachable(current, view)
	next, replaced := replaceVoters(voters, view)
	grown := slices.Clone(next)
	for _, standby := range standbys(next, view) {
		if len(grown) < view.requiredMembers() && indexOf(grown, standby.Identity) < 0 && indexOfPredecessor(grown, standby) < 0 {
			grown = append(grown, standby)
		}
	}
	if len(grown)%2 == 0 && len(grown) > len(next) { // an even number tolerates no more losses than one less
		grown = grown[:len(grown)-1]
	}
	if !replaced && len(grown) == len(voters) {
		return spreadVoters(voters, view)
	}
	return grown
}

// spreadVoters moves one vote out of a failure domain whose loss would leave no majority; nil if that is impossible or
// unnecessary.
func spreadVoters(voters []*tierpb.Node, view *View) []*tierpb.Node {
	tolerable := minority(voters)
	for index, voter := range voters {
		crowded := view.failureDomain(voter)
		if crowded == "" || view.countInDomain(crowded, voters) <= tolerable {
			continue
		}
		for _, standby := range standbys(voters, view) {
			target := view.failureDomain(standby)
			if target != "" && view.countInDomain(target, voters) < tolerable {
				next := slices.Clone(voters)
				next[index] = standby
				return next
			}
		}
	}
	return nil
}

// replaceVoters puts standbys in the places of voters whose disk is lost, which cannot come back, then of unreachable ones.
// A majority of the old voters stays, as the register requires.
func replaceVoters(voters []*tierpb.Node, view *View) (next []*tierpb.Node, replaced bool) {
	next = slices.Clone(voters)
	replaceable := minority(voters)
	available := standbys(voters, view)
	for _, indexFor := range []func(*tierpb.Node) int{
		func(standby *tierpb.Node) int { return indexOfPredecessorVoter(next, standby, view) },
		func(*tierpb.Node) int { return longestUnreachableVoter(next, view) },
	} {
		for _, standby := range available {
			if replaceable == 0 || indexOf(next, standby.Identity) >= 0 {
				continue
			}
			if index := indexFor(standby); index >= 0 {
				next[index], replaced = standby, true
				replaceable--
			}
		}
	}
	return next, replaced
}

// minority returns the largest number of voters without which the others are a majority.
func minority(voters []*tierpb.Node) int { return (len(voters) - 1) / 2 }

// indexOfPredecessorVoter returns the index of the voter that a standby replaces, -1 if there is none. A voter of the same
// name that replies at another address is no predecessor: both run.
func indexOfPredecessorVoter(voters []*tierpb.Node, standby *tierpb.Node, view *View) int {
	index := indexOfPredecessor(voters, standby)
	if index >= 0 && voters[index].Address != standby.Address && view.VoterUnreachableFor(voters[index].Address) == 0 {
		return -1
	}
	return index
}

// ReplaceDrainingVoter returns the voters with a standby in the place of one that shuts down, nil if that one has no vote,
// no standby is available, or a change of voters is incomplete. It replaces no other voter.
func ReplaceDrainingVoter(current *tierpb.ControlState, view *View, draining uint64) []*tierpb.Node {
	sets := current.GetVoters()
	if len(sets) != 1 {
		return nil
	}
	voters := sets[0].GetNodes()
	index := indexOf(voters, draining)
	available := standbys(voters, withDrainingUnreachable(current, view))
	if index < 0 || len(available) == 0 {
		return nil
	}
	next := slices.Clone(voters)
	next[index] = available[0]
	return next
}

// standbys returns the coordinators that run, reply and have no vote, those of the failure domains with the fewest voters
// first.
func standbys(voters []*tierpb.Node, view *View) []*tierpb.Node {
	var nodes []*tierpb.Node
	for _, join := range view.Joins {
		node := join.Request.Node
		if node.Role != tierpb.Role_ROLE_COORDINATOR || !view.isRunning(join) || indexOf(voters, node.Identity) >= 0 {
			continue
		}
		if view.VoterUnreachableFor(node.Address) == 0 {
			nodes = append(nodes, node)
		}
	}
	slices.SortStableFunc(nodes, func(a, b *tierpb.Node) int {
		return view.countInDomain(view.failureDomain(a), voters) - view.countInDomain(view.failureDomain(b), voters)
	})
	return nodes
}

// longestUnreachableVoter returns the index of the voter that has been unreachable for the longest time, -1 if none has
// been for longer than voterTimeout.
func longestUnreachableVoter(voters []*tierpb.Node, view *View) int {
	index, longest := -1, voterTimeout
	for i, voter := range voters {
		if duration := view.VoterUnreachableFor(voter.Address); duration > longest {
			index, longest = i, duration
		}
	}
	return index
}
