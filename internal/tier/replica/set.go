// Package replica places keys on turn stores and calls quorums of their replica sets.
package replica

import (
	"slices"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Constants of the hashes (FNV-1a and the finalizer of SplitMix64).
const (
	hashOffset = 14695981039346656037
	hashPrime  = 1099511628211
	mixFirst   = 0xbf58476d1ce4e5b9
	mixSecond  = 0x94d049bb133111eb
)

// Size is the number of members that a replica set should have to bear the loss of tolerance of them.
func Size(tolerance int) int { return 2*tolerance + 1 }

// WriteQuorum is how many members of a replica set of this size must have synced a write.
func WriteQuorum(tolerance, size int) int { return min(tolerance+1, size) }

// ReadQuorum is how many members of a replica set share at least one with every write quorum.
func ReadQuorum(tolerance, size int) int { return size - WriteQuorum(tolerance, size) + 1 }

// Hash is the hash of a key that placement rests on. It is the same in all processes.
func Hash(key string) uint64 {
	hash := uint64(hashOffset)
	for i := 0; i < len(key); i++ {
		hash = (hash ^ uint64(key[i])) * hashPrime
	}
	return hash
}

// Score ranks a member for a key.
func Score(keyHash, identity uint64) uint64 {
	mixed := keyHash ^ (identity * hashPrime)
	mixed = (mixed ^ mixed>>30) * mixFirst
	mixed = (mixed ^ mixed>>27) * mixSecond
	return mixed ^ mixed>>31
}

// Set chooses the replica set of a key: by rendezvous hash, where no zone (or region, where regions may be lost)
// gets a second member while another has none. All processes with the same members get the same set in the same order.
func Set(members []*tierpb.Node, key string, size int) []*tierpb.Node {
	ranked := rank(members, Hash(key))
	if len(ranked) <= size {
		return ranked
	}
	return spread(ranked, size)
}

func rank(members []*tierpb.Node, keyHash uint64) []*tierpb.Node {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b *tierpb.Node) int {
		left, right := Score(keyHash, a.Identity), Score(keyHash, b.Identity)
		switch {
		case left > right:
			return -1
		case left < right:
			return 1
		}
		return 0
	})
	return ranked
}

// spread takes members in their order, in rounds in each of which a zone gives one.
func spread(ranked []*tierpb.Node, size int) []*tierpb.Node {
	chosen := make([]*tierpb.Node, 0, size)
	taken := make([]bool, len(ranked))
	for len(chosen) < size {
		first := len(chosen)
		for i, member := range ranked {
			if len(chosen) == size {
				break
			}
			if !taken[i] && !hasDomain(chosen[first:], domain(member)) {
				taken[i] = true
				chosen = append(chosen, member)
			}
		}
	}
	return chosen
}

// domain is what may be lost as a whole together with a member.
func domain(member *tierpb.Node) string {
	if member.Domain != "" {
		return member.Domain
	}
	return member.Zone
}

func hasDomain(nodes []*tierpb.Node, wanted string) bool {
	return slices.ContainsFunc(nodes, func(node *tierpb.Node) bool { return domain(node) == wanted })
}

// Contains says whether a set has the member with this identity.
func Contains(set []*tierpb.Node, identity uint64) bool {
	return slices.ContainsFunc(set, func(node *tierpb.Node) bool { return node.Identity == identity })
}

// SameMembers says whether two replica sets have the same members.
func SameMembers(a, b []*tierpb.Node) bool {
	if len(a) != len(b) {
		return false
	}
	for _, node := range a {
		if !Contains(b, node.Identity) {
			return false
		}
	}
	return true
}
