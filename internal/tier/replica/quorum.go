package replica

import "pulleygw.example/pulleygw/internal/tier/tierpb"

// Size returns the size of a replica set of which tolerance members may be lost.
func Size(tolerance int) int { return 2*tolerance + 1 }

// WriteQuorum returns the number of members of a replica set of this size that must have synced a write.
func WriteQuorum(tolerance, size int) int { return min(tolerance+1, size) }

// ReadQuorum returns the number of members of a replica set of this size that must reply to a read, so that at least one
// of them is in every write quorum.
func ReadQuorum(tolerance, size int) int { return size - WriteQuorum(tolerance, size) + 1 }

// Quorum is WriteQuorum or ReadQuorum: it returns the number of members of a replica set that an operation needs.
type Quorum func(tolerance, size int) int

// identities is a set of members, represented by their identities.
type identities map[uint64]bool

// quorumTracker computes which replica sets of a key have a quorum, without I/O. There are two sets while the membership
// changes, and none while no membership is known.
type quorumTracker struct {
	sets      [][]*tierpb.Node
	tolerance int
	quorum    Quorum
}

// required returns the number of members that a quorum of a set needs.
func (t *quorumTracker) required(set []*tierpb.Node) int { return t.quorum(t.tolerance, len(set)) }

func (t *quorumTracker) hasQuorum(set []*tierpb.Node, acked identities) bool {
	count := 0
	for _, member := range set {
		if acked[member.Identity] {
			count++
		}
	}
	return count >= t.required(set)
}

// allHaveQuorum reports whether each set has a quorum among the members that have acknowledged.
func (t *quorumTracker) allHaveQuorum(acked identities) bool {
	for _, set := range t.sets {
		if !t.hasQuorum(set, acked) {
			return false
		}
	}
	return true
}

// complete reports whether there is at least one replica set and each of them has a quorum.
func (t *quorumTracker) complete(acked identities) bool {
	return len(t.sets) > 0 && t.allHaveQuorum(acked)
}

// isUseful reports whether a member is in a set that has no quorum yet.
func (t *quorumTracker) isUseful(member *tierpb.Node, acked identities) bool {
	for _, set := range t.sets {
		if Contains(set, member.Identity) && !t.hasQuorum(set, acked) {
			return true
		}
	}
	return false
}

// isTopRanked reports whether there is a single set and its highest-ranked members, as many as a quorum needs, have all
// acknowledged.
func (t *quorumTracker) isTopRanked(acked identities) bool {
	if len(t.sets) != 1 {
		return false
	}
	set := t.sets[0]
	for _, member := range set[:t.required(set)] {
		if !acked[member.Identity] {
			return false
		}
	}
	return true
}
