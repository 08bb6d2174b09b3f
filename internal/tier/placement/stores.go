package placement

import (
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// NextStores computes the next membership of the turn stores. It alters and returns the state, and says what it did; the
// reason is empty, and the state as it was, where nothing is to be done.
func NextStores(current *tierpb.ControlState, view *View) (*tierpb.ControlState, string) {
	if current.Stores == nil {
		current.Stores = &tierpb.StoreMembership{}
	}
	if reason := finishMove(current, view); reason != "" {
		return current, reason
	}
	if completeRetirements(current, view) {
		return current, "retirement completed"
	}
	next, reason := members(current, view)
	if reason == "" {
		return current, ""
	}
	stores := current.Stores
	if move := progressOf(stores, view); move.isEnough() {
		return current, endMove(current, view, move)
	}
	if len(stores.Previous) == 0 {
		stores.Previous = stores.Current
	}
	stores.Current = next
	stores.Epoch++
	return current, reason
}

// members is the set that should follow the current one.
func members(current *tierpb.ControlState, view *View) ([]*tierpb.Node, string) {
	present := current.Stores.Current
	waiting := waitingStores(current, view)
	if len(present) == 0 {
		return firstMembers(waiting, view)
	}
	if len(waiting) > 0 && settled(waiting, view, batchQuiet, batchWait) {
		next, room := takeIn(present, waiting, view)
		if !isMoving(current.Stores, view) {
			next = append(next, room...)
		}
		if !slices.Equal(next, present) {
			return next, "turn stores joined"
		}
	}
	return abandon(present, view)
}

// firstMembers are the members to begin with. Fewer than bear the losses that are tolerated begin late, once no more
// have come for long: a deployment that has no more is served all the same, by as many copies as it can have.
func firstMembers(waiting []Join, view *View) ([]*tierpb.Node, string) {
	switch {
	case len(waiting) == 0:
		return nil, ""
	case len(waiting) >= view.least():
		if settled(waiting, view, firstQuiet, firstWait) {
			return nodesOf(waiting), "first turn stores"
		}
		return nil, ""
	}
	patience := fewWait
	if len(waiting) <= view.Tolerance {
		patience = fewerWait
	}
	if settled(waiting, view, patience, patience) {
		return nodesOf(waiting), "first turn stores, too few to bear all losses that are tolerated"
	}
	return nil, ""
}

// waitingStores are the turn stores that run, are no members and are not to be emptied.
func waitingStores(current *tierpb.ControlState, view *View) []Join {
	var waiting []Join
	for _, join := range view.Joins {
		node := join.Request.Node
		if node.Role != tierpb.Role_ROLE_TURN_STORE || !view.fresh(join) || retired(current, node) ||
			hasSuccessor(join, view) {
			continue
		}
		if find(current.Stores.Current, node.Identity) < 0 {
			waiting = append(waiting, join)
		}
	}
	return waiting
}

// hasSuccessor says that another turn store runs under a node's name that was heard of later: it stands in its place.
func hasSuccessor(join Join, view *View) bool {
	node := join.Request.Node
	return slices.ContainsFunc(view.Joins, func(other Join) bool {
		successor := other.Request.Node
		return successor.Role == node.Role && successor.Identity != node.Identity && successor.Name == node.Name &&
			node.Name != "" && view.fresh(other) && other.FirstSeen.After(join.FirstSeen)
	})
}

// retired says that a node was taken out on the operator's order, or that its machine is being emptied.
func retired(current *tierpb.ControlState, node *tierpb.Node) bool {
	for _, retirement := range current.Retirements {
		if retirement.Identity == node.Identity || retirement.Node == node.Name && !retirement.Completed {
			return true
		}
	}
	return false
}

// settled says that no new one of the nodes has come for quiet, or that the first of them came long ago.
func settled(waiting []Join, view *View, quiet, longest time.Duration) bool {
	first, last := waiting[0].FirstSeen, waiting[0].FirstSeen
	for _, join := range waiting {
		if join.FirstSeen.Before(first) {
			first = join.FirstSeen
		}
		if join.FirstSeen.After(last) {
			last = join.FirstSeen
		}
	}
	return view.Now.Sub(last) >= quiet || view.Now.Sub(first) >= longest
}

// takeIn puts those that wait in the place of a member with their name or address, or of one that is silent. The
// others, for which there is room besides, are returned apart.
func takeIn(present []*tierpb.Node, waiting []Join, view *View) (next, room []*tierpb.Node) {
	next = slices.Clone(present)
	var others []*tierpb.Node
	for _, join := range waiting {
		if place := predecessor(next, join.Request.Node); place >= 0 {
			next[place] = join.Request.Node
		} else {
			others = append(others, join.Request.Node)
		}
	}
	for _, joiner := range others {
		if place := silentStore(next, view, storeDead); place >= 0 {
			next[place] = joiner
		} else {
			room = append(room, joiner)
		}
	}
	return next, room
}

// abandon takes out the members that have been silent for long, where enough stay. More silent ones than may be lost at
// once are a sign that this process is cut off from them.
func abandon(present []*tierpb.Node, view *View) ([]*tierpb.Node, string) {
	next := slices.Clone(present)
	silent := 0
	for _, member := range present {
		silence := view.storeSilence(member.Identity)
		if silence > storeDead {
			silent++
		}
		if silence > view.abandonAfter() {
			next = without(next, member.Identity)
		}
	}
	if len(next) == len(present) || len(next) < view.least() || silent > view.Tolerance {
		return nil, ""
	}
	return next, "turn store abandoned"
}

func without(nodes []*tierpb.Node, identity uint64) []*tierpb.Node {
	return slices.DeleteFunc(nodes, func(node *tierpb.Node) bool { return node.Identity == identity })
}

// silentStore is the member that has been silent for the longest time and longer than the limit, -1 for none.
func silentStore(nodes []*tierpb.Node, view *View, limit time.Duration) int {
	place, longest := -1, limit
	for i, node := range nodes {
		if silence := view.storeSilence(node.Identity); silence > longest {
			place, longest = i, silence
		}
	}
	return place
}

func nodesOf(joins []Join) []*tierpb.Node {
	var nodes []*tierpb.Node
	for _, join := range joins {
		nodes = append(nodes, join.Request.Node)
	}
	return nodes
}
