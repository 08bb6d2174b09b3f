package placement

import (
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Times for which joining turn stores are collected, so that one change of the membership has all of them.
const (
	initialQuietPeriod  = 700 * time.Millisecond  // no new turn store for so long: the initial members are complete
	initialMaxWait      = 1500 * time.Millisecond // the same, since the first turn store
	initialWaitIfFew    = 4 * time.Second         // the same, if they are too few to go on after Tolerance losses
	initialWaitIfFewest = 7 * time.Second         // the same, if Tolerance losses would leave none of them
	joinQuietPeriod     = 300 * time.Millisecond  // no new joining turn store for so long: those that wait become members
	joinMaxWait         = time.Second             // the same, since the first of them
)

// Reasons for a change of the turn stores.
const (
	ReasonInitialStores       = "initial turn stores"
	ReasonFewInitialStores    = "initial turn stores, fewer than the fault tolerance requires"
	ReasonStoresJoined        = "turn stores joined"
	ReasonStoreRemoved        = "unreachable turn store removed"
	ReasonMigrationCompleted  = "migration completed"
	ReasonDisksLost           = "migration completed, more disks lost than tolerated"
	ReasonRetirementCompleted = "retirement completed"
)

// NextStores computes the next membership of the turn stores. It alters and returns the state, with the reason of the
// change. The reason is empty, and the state unchanged, if there is nothing to do.
func NextStores(current *tierpb.ControlState, view *View) (next *tierpb.ControlState, reason string) {
	if current.Stores == nil {
		current.Stores = &tierpb.StoreMembership{}
	}
	if reason := finishMigration(current, view); reason != "" {
		return current, reason
	}
	if completeRetirements(current, view) {
		return current, ReasonRetirementCompleted
	}
	members, reason := nextMembers(current, view)
	if reason == "" {
		return current, ""
	}
	stores := current.Stores
	if migration := migrationProgressOf(stores, view); migration.isSufficient() {
		return current, endMigration(current, view, migration)
	}
	if len(stores.Previous) == 0 {
		stores.Previous = stores.Current
	}
	stores.Current = members
	stores.Epoch++
	return current, reason
}

// nextMembers returns the members that should follow the current ones, and the reason; the reason is empty if the current
// ones should stay.
func nextMembers(current *tierpb.ControlState, view *View) (members []*tierpb.Node, reason string) {
	present := current.Stores.Current
	joining := joiningStores(current, view)
	if len(present) == 0 {
		return initialMembers(joining, view)
	}
	if len(joining) > 0 && isBatchComplete(joining, view, joinQuietPeriod, joinMaxWait) {
		next, additional := replaceMembers(present, joining, view)
		if !isMigrating(current.Stores, view) {
			next = append(next, additional...)
		}
		if !slices.Equal(next, present) {
			return next, ReasonStoresJoined
		}
	}
	return removeUnreachable(present, view)
}

// initialMembers returns the first members of a deployment. Fewer than the tolerated losses require are accepted late, once
// no more have come for long: a deployment that has no more is served all the same, with as many copies as possible.
func initialMembers(joining []Join, view *View) (members []*tierpb.Node, reason string) {
	switch {
	case len(joining) == 0:
		return nil, ""
	case len(joining) >= view.requiredMembers():
		if isBatchComplete(joining, view, initialQuietPeriod, initialMaxWait) {
			return nodesOf(joining), ReasonInitialStores
		}
		return nil, ""
	}
	wait := initialWaitIfFew
	if len(joining) <= view.Tolerance {
		wait = initialWaitIfFewest
	}
	if isBatchComplete(joining, view, wait, wait) {
		return nodesOf(joining), ReasonFewInitialStores
	}
	return nil, ""
}

// joiningStores returns the turn stores that run, are no members and are not retired.
func joiningStores(current *tierpb.ControlState, view *View) []Join {
	var joining []Join
	for _, join := range view.Joins {
		node := join.Request.Node
		if node.Role != tierpb.Role_ROLE_TURN_STORE || !view.isRunning(join) || isExcluded(current, node) ||
			hasSuccessor(join, view) {
			continue
		}
		if indexOf(current.Stores.Current, node.Identity) < 0 {
			joining = append(joining, join)
		}
	}
	return joining
}

// hasSuccessor reports whether another turn store of the same name runs that was first seen later: it replaces this one.
func hasSuccessor(join Join, view *View) bool {
	node := join.Request.Node
	return slices.ContainsFunc(view.Joins, func(other Join) bool {
		successor := other.Request.Node
		return successor.Role == node.Role && successor.Identity != node.Identity && successor.Name == node.Name &&
			node.Name != "" && view.isRunning(other) && other.FirstSeen.After(join.FirstSeen)
	})
}

// isBatchComplete reports whether none of the joining nodes was first seen within the quiet period, or the first of them
// was seen maxWait ago.
func isBatchComplete(joining []Join, view *View, quietPeriod, maxWait time.Duration) bool {
	first, last := joining[0].FirstSeen, joining[0].FirstSeen
	for _, join := range joining {
		if join.FirstSeen.Before(first) {
			first = join.FirstSeen
		}
		if join.FirstSeen.After(last) {
			last = join.FirstSeen
		}
	}
	return view.Now.Sub(last) >= quietPeriod || view.Now.Sub(first) >= maxWait
}

// replaceMembers puts joining nodes in the places of members of their name or address, then of unreachable members. The
// remaining ones, which would make the membership larger, are returned separately.
func replaceMembers(present []*tierpb.Node, joining []Join, view *View) (next, additional []*tierpb.Node) {
	next = slices.Clone(present)
	var others []*tierpb.Node
	for _, join := range joining {
		if index := indexOfPredecessor(next, join.Request.Node); index >= 0 {
			next[index] = join.Request.Node
		} else {
			others = append(others, join.Request.Node)
		}
	}
	for _, node := range others {
		if index := longestUnreachableStore(next, view); index >= 0 {
			next[index] = node
		} else {
			additional = append(additional, node)
		}
	}
	return next, additional
}

// removeUnreachable removes members that have been unreachable for long, if enough stay. More unreachable ones than may be
// lost at once are a sign that this process is partitioned from them.
func removeUnreachable(present []*tierpb.Node, view *View) (members []*tierpb.Node, reason string) {
	next := slices.Clone(present)
	unreachable := 0
	for _, member := range present {
		duration := view.storeUnreachableFor(member.Identity)
		if duration > storeTimeout {
			unreachable++
		}
		if duration > view.storeRemovalTimeout() {
			next = withoutIdentity(next, member.Identity)
		}
	}
	if len(next) == len(present) || len(next) < view.requiredMembers() || unreachable > view.Tolerance {
		return nil, ""
	}
	return next, ReasonStoreRemoved
}

func withoutIdentity(nodes []*tierpb.Node, identity uint64) []*tierpb.Node {
	return slices.DeleteFunc(nodes, func(node *tierpb.Node) bool { return node.Identity == identity })
}

// longestUnreachableStore returns the index of the member that has been unreachable for the longest time, -1 if none has
// been for longer than storeTimeout.
func longestUnreachableStore(nodes []*tierpb.Node, view *View) int {
	index, longest := -1, storeTimeout
	for i, node := range nodes {
		if duration := view.storeUnreachableFor(node.Identity); duration > longest {
			index, longest = i, duration
		}
	}
	return index
}

func nodesOf(joins []Join) []*tierpb.Node {
	var nodes []*tierpb.Node
	for _, join := range joins {
		nodes = append(nodes, join.Request.Node)
	}
	return nodes
}
