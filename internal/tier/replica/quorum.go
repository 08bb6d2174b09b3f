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

// allHaveQuorum reports whether each set has a quorum among the members that have acknowledged. It is true if there are no
// sets.
func (t *quorumTracker) allHaveQuorum(acked identities) bool {
	for _, set := range t.sets {
		if !t.hasQuorum(set, acked) {
			return false
		}
	}
	return true
}

// isReached reports whether at least one replica set is known and each has a quorum.
func (t *quorumTracker) isReached(acked identities) bool {
	return len(t.sets) > 0 && t.allHaveQuorum(acked)
}

// isNeeded reports whether an acknowledgement of the member could still contribute to a quorum: it is in a set that has none
// yet.
func (t *quorumTracker) isNeeded(member *tierpb.Node, acked identities) bool {
	for _, set := range t.sets {
		if Contains(set, member.Identity) && !t.hasQuorum(set, acked) {
			return true
		}
	}
	return false
}

// topRankedAcked reports whether there is a single set and its first members, as many as a quorum needs, have all acknowledged.
// A set is sorted by rank, with the highest first.
func (t *quorumTracker) topRankedAcked(acked identities) bool {
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
