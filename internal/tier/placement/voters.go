package placement

import (
	"slices"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// NextVoters returns the voters that should replace the current ones, nil if there is nothing to do. If a change of voters is
// incomplete, so that there are two voter sets, it returns the new set, because that change has to be completed first.
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
	if len(grown)%2 == 0 && len(grown) > len(next) { // an even number of voters tolerates no more losses than one voter less
		grown = grown[:len(grown)-1]
	}
	if !replaced && len(grown) == len(voters) {
		return spreadVoters(voters, view)
	}
	return grown
}

// spreadVoters replaces one voter by a standby in another failure domain, if the loss of the voter's failure domain would
// leave no majority. It returns nil if that is unnecessary or impossible.
func spreadVoters(voters []*tierpb.Node, view *View) []*tierpb.Node {
	maxPerDomain := minority(voters)
	for index, voter := range voters {
		domain := view.failureDomain(voter)
		if domain == "" || view.countInDomain(domain, voters) <= maxPerDomain {
			continue
		}
		for _, standby := range standbys(voters, view) {
			target := view.failureDomain(standby)
			if target != "" && view.countInDomain(target, voters) < maxPerDomain {
				next := slices.Clone(voters)
				next[index] = standby
				return next
			}
		}
	}
	return nil
}

// replaceVoters replaces voters by standbys: first voters whose disk was lost, because they cannot come back, then
// unreachable ones. A majority of the old voters remains, as the register requires.
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

// minority returns the largest number of voters that may be missing while the others are still a majority.
func minority(voters []*tierpb.Node) int { return (len(voters) - 1) / 2 }

// indexOfPredecessorVoter returns the index of the voter that a standby replaces, -1 if there is none. A voter with the same
// name that still replies at another address is not replaced, because both are running.
func indexOfPredecessorVoter(voters []*tierpb.Node, standby *tierpb.Node, view *View) int {
	index := indexOfPredecessor(voters, standby)
	if index >= 0 && voters[index].Address != standby.Address && view.VoterUnreachableFor(voters[index].Address) == 0 {
		return -1
	}
	return index
}

// ReplaceDrainingVoter returns the voters with a standby instead of the node that is shutting down. It returns nil if that
// node is not a voter, no standby is available, or a change of voters is incomplete. It replaces no other voter.
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

// standbys returns the coordinators that are running, reply and are not voters, sorted by the number of voters in their
// failure domain, lowest first.
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

// longestUnreachableVoter returns the index of the voter that has been unreachable for the longest time and for longer than
// voterTimeout, -1 if there is none.
func longestUnreachableVoter(voters []*tierpb.Node, view *View) int {
	index, longest := -1, voterTimeout
	for i, voter := range voters {
		if duration := view.VoterUnreachableFor(voter.Address); duration > longest {
			index, longest = i, duration
		}
	}
	return index
}
