package replica

import (
	"cmp"
	"slices"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Constants of the hash functions, FNV-1a and the finalizer of SplitMix64. All processes must compute the same hashes, so
// the constants must not change.
const (
	fnvOffset           = 14695981039346656037
	fnvPrime            = 1099511628211
	splitMixMultiplier1 = 0xbf58476d1ce4e5b9
	splitMixMultiplier2 = 0x94d049bb133111eb
)

// Hash returns the hash of a key, from which Score is computed. It is the same in all processes.
func Hash(key string) uint64 {
	hash := uint64(fnvOffset)
	for i := 0; i < len(key); i++ {
		hash = (hash ^ uint64(key[i])) * fnvPrime
	}
	return hash
}

// Score returns the score of a member for a key. Members rank by score, and the highest-ranked ones form the replica set.
func Score(keyHash, identity uint64) uint64 {
	mixed := keyHash ^ (identity * fnvPrime)
	mixed = (mixed ^ mixed>>30) * splitMixMultiplier1
	mixed = (mixed ^ mixed>>27) * splitMixMultiplier2
	return mixed ^ mixed>>31
}

// Sets returns the replica sets of a key: the one among the current members and, while the membership changes, the one among
// the previous members. It returns nil if no members are known.
func Sets(membership *tierpb.StoreMembership, key string, tolerance int) [][]*tierpb.Node {
	if len(membership.GetCurrent()) == 0 {
		return nil
	}
	sets := [][]*tierpb.Node{Set(membership.Current, key, Size(tolerance))}
	if len(membership.Previous) > 0 {
		sets = append(sets, Set(membership.Previous, key, Size(tolerance)))
	}
	return sets
}

// Members returns the members of the replica sets of a key, each once.
func Members(membership *tierpb.StoreMembership, key string, tolerance int) []*tierpb.Node {
	return Union(Sets(membership, key, tolerance)...)
}

// Union returns the members of all sets, each once.
func Union(sets ...[]*tierpb.Node) []*tierpb.Node {
	var members []*tierpb.Node
	for _, set := range sets {
		for _, member := range set {
			if !Contains(members, member.Identity) {
				members = append(members, member)
			}
		}
	}
	return members
}

// Set returns the replica set of a key among the given members, by rendezvous hashing, with the highest-ranked member first.
// A failure domain (a zone, or a region if whole regions may be lost) has a second member in the set only if every domain
// has one. The result does not depend on the order of the members.
func Set(members []*tierpb.Node, key string, size int) []*tierpb.Node {
	ranked := rank(members, Hash(key))
	if len(ranked) <= size {
		return ranked
	}
	return spreadOverDomains(ranked, size)
}

// rank returns the members sorted by descending score.
func rank(members []*tierpb.Node, keyHash uint64) []*tierpb.Node {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b *tierpb.Node) int {
		return cmp.Compare(Score(keyHash, b.Identity), Score(keyHash, a.Identity))
	})
	return ranked
}

// spreadOverDomains chooses members in the order of their rank, in rounds. In each round at most one member per failure
// domain is chosen.
func spreadOverDomains(ranked []*tierpb.Node, size int) []*tierpb.Node {
	chosen := make([]*tierpb.Node, 0, size)
	isChosen := make([]bool, len(ranked))
	for len(chosen) < size {
		roundStart := len(chosen)
		for i, member := range ranked {
			if len(chosen) == size {
				break
			}
			if !isChosen[i] && !hasDomain(chosen[roundStart:], domainOf(member)) {
				isChosen[i] = true
				chosen = append(chosen, member)
			}
		}
	}
	return chosen
}

// domainOf returns the failure domain of a member, which is its zone unless a domain is set.
func domainOf(member *tierpb.Node) string {
	if member.Domain != "" {
		return member.Domain
	}
	return member.Zone
}

func hasDomain(nodes []*tierpb.Node, domain string) bool {
	return slices.ContainsFunc(nodes, func(node *tierpb.Node) bool { return domainOf(node) == domain })
}

// Contains reports whether a set contains the member with this identity.
func Contains(set []*tierpb.Node, identity uint64) bool {
	return slices.ContainsFunc(set, func(node *tierpb.Node) bool { return node.Identity == identity })
}

// SameMembers reports whether two replica sets have the same members, in any order.
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
