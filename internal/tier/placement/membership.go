package placement

import (
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Times for which joining turn stores are collected, so that a single change of the membership adds all of them. A batch is
// complete when no other turn store has joined for the quiet period, or at the latest after the maximum wait since the first.
const (
	initialQuietPeriod       = 700 * time.Millisecond  // for the initial members
	initialMaxWait           = 1500 * time.Millisecond // for the initial members
	initialWaitBelowRequired = 4 * time.Second         // both, for fewer initial members than View.requiredMembers
	initialWaitBelowQuorum   = 7 * time.Second         // both, if the tolerated losses would leave none of the initial members
	joinQuietPeriod          = 300 * time.Millisecond  // for turn stores that join later
	joinMaxWait              = time.Second             // for turn stores that join later
)

// Reasons for a change of the turn stores, as they appear in the log.
const (
	ReasonInitialStores       = "initial turn stores"
	ReasonFewInitialStores    = "initial turn stores, fewer than the fault tolerance requires"
	ReasonStoresJoined        = "turn stores joined"
	ReasonStoreRemoved        = "unreachable turn store removed"
	ReasonMigrationCompleted  = "migration completed"
	ReasonDisksLost           = "migration completed, more disks lost than tolerated"
	ReasonRetirementCompleted = "retirement completed"
)

// NextStores computes the next membership of the turn stores. It modifies the state and returns it with the reason of the
// change. If there is nothing to do, the reason is empty and the state is unchanged.
func NextStores(current *tierpb.ControlState, view *View) (next *tierpb.ControlState, reason string) {
	if current.Stores == nil {
		current.Stores = &tierpb.StoreMembership{}
	}
	if reason := endMigrationIfDone(current, view); reason != "" {
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

// nextMembers returns the members that should replace the current ones, and the reason. The reason is empty if the members
// should stay the same.
func nextMembers(current *tierpb.ControlState, view *View) (members []*tierpb.Node, reason string) {
	existing := current.Stores.Current
	joining := joiningStores(current, view)
	if len(existing) == 0 {
		return initialMembers(joining, view)
	}
	if len(joining) > 0 && isBatchComplete(joining, view, joinQuietPeriod, joinMaxWait) {
		next, additional := replaceMembers(existing, joining, view)
		if !isMigrating(current.Stores, view) {
			next = append(next, additional...)
		}
		if !slices.Equal(next, existing) {
			return next, ReasonStoresJoined
		}
	}
	return removeUnreachable(existing, view)
}

// initialMembers returns the first members of a deployment. Fewer members than the fault tolerance requires are accepted
// only after a longer wait for more. A deployment that has no more turn stores then works with as many copies as possible.
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
	wait := initialWaitBelowRequired
	if len(joining) <= view.Tolerance {
		wait = initialWaitBelowQuorum
	}
	if isBatchComplete(joining, view, wait, wait) {
		return nodesOf(joining), ReasonFewInitialStores
	}
	return nil, ""
}

// joiningStores returns the running turn stores that may become members: they are not members yet, not retired or draining,
// and not replaced by another turn store.
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

// hasSuccessor reports whether a turn store has been replaced: another one with the same name is running and was first seen
// later.
func hasSuccessor(join Join, view *View) bool {
	node := join.Request.Node
	return slices.ContainsFunc(view.Joins, func(other Join) bool {
		successor := other.Request.Node
		return successor.Role == node.Role && successor.Identity != node.Identity && successor.Name == node.Name &&
			node.Name != "" && view.isRunning(other) && other.FirstSeen.After(join.FirstSeen)
	})
}

// isBatchComplete reports whether the last of the joining nodes was first seen at least quietPeriod ago, or the first of
// them at least maxWait ago.
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

// replaceMembers replaces members by joining nodes: first members with the same name or address, then unreachable members.
// The remaining joining nodes, which would enlarge the membership, are returned separately.
func replaceMembers(existing []*tierpb.Node, joining []Join, view *View) (next, additional []*tierpb.Node) {
	next = slices.Clone(existing)
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

// removeUnreachable removes members that have been unreachable for longer than the removal timeout, if enough members
// remain. It removes none if more members are unreachable than may be lost at once, because it is then more likely that
// this process is partitioned from them.
func removeUnreachable(existing []*tierpb.Node, view *View) (members []*tierpb.Node, reason string) {
	next := slices.Clone(existing)
	unreachable := 0
	for _, member := range existing {
		duration := view.storeUnreachableFor(member.Identity)
		if duration > storeTimeout {
			unreachable++
		}
		if duration > view.storeRemovalTimeout() {
			next = withoutIdentity(next, member.Identity)
		}
	}
	if len(next) == len(existing) || len(next) < view.requiredMembers() || unreachable > view.Tolerance {
		return nil, ""
	}
	return next, ReasonStoreRemoved
}

func withoutIdentity(nodes []*tierpb.Node, identity uint64) []*tierpb.Node {
	return slices.DeleteFunc(nodes, func(node *tierpb.Node) bool { return node.Identity == identity })
}

// longestUnreachableStore returns the index of the member that has been unreachable for the longest time and for longer than
// storeTimeout, -1 if there is none.
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
