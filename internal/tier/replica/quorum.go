package replica

import "pulleygw.example/pulleygw/internal/tier/tierpb"

// Size returns how many members a replica set has so that tolerance of them may be lost.
func Size(tolerance int) int { return 2*tolerance + 1 }

// WriteQuorum returns how many members of a replica set of this size must have synced a write.
func WriteQuorum(tolerance, size int) int { return min(tolerance+1, size) }

// ReadQuorum returns how many members of a replica set must answer a read so that at least one of them is in every write
// quorum.
func ReadQuorum(tolerance, size int) int { return size - WriteQuorum(tolerance, size) + 1 }

// Quorum returns how many members of a replica set of this size an operation needs: WriteQuorum or ReadQuorum.
type Quorum func(tolerance, size int) int

// identities is a set of members, by identity.
type identities map[uint64]bool

// quorumTracker tells which replica sets of a key have a quorum. There are two sets while the membership changes, and none
// while no membership is known. It does no I/O.
type quorumTracker struct {
	sets      [][]*tierpb.Node
	tolerance int
	quorum    Quorum
}

// required returns how many members of a set make a quorum.
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

// allHaveQuorum returns whether each set has a quorum among the members that have acknowledged.
func (t *quorumTracker) allHaveQuorum(acked identities) bool {
	for _, set := range t.sets {
		if !t.hasQuorum(set, acked) {
			return false
		}
	}
	return true
}

// complete returns whether there is a replica set and each has a quorum.
func (t *quorumTracker) complete(acked identities) bool {
	return len(t.sets) > 0 && t.allHaveQuorum(acked)
}

// isUseful returns whether a member belongs to a set that has no quorum yet.
func (t *quorumTracker) isUseful(member *tierpb.Node, acked identities) bool {
	for _, set := range t.sets {
		if Contains(set, member.Identity) && !t.hasQuorum(set, acked) {
			return true
		}
	}
	return false
}

// isTopRanked returns whether there is a single set and the quorum contains its members of the highest rank.
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
