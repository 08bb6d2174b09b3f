package cluster

import (
	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/spread"
)

// CollectCandidates sets Candidates to the replicas of the subqueries' shards for which able is true. It sets the Cover
// of each to the number of the subqueries that the replica could take in one call.
func (st *State) CollectCandidates(subs []*Subquery, able func(*Server) bool) {
	st.Choice, st.Candidates = st.Choice+1, st.Candidates[:0]
	for _, sub := range subs {
		for _, s := range st.Replicas[sub.Shard%st.Settings.Cells] {
			if s.Choice != st.Choice {
				s.Choice, s.Cover, s.Eligible = st.Choice, 0, able(s)
				if s.Eligible {
					st.Candidates = append(st.Candidates, s)
				}
			}
			if !InFlightAt(sub, s) {
				s.Cover = min(s.Cover+1, max(st.Settings.Batch, 1))
			}
		}
	}
}

// SelectSubset selects the servers that this scheduler uses and puts the others into reserve. Of each shard's replicas
// that are ready and warm it keeps a subset, ranked by the tie-break that each scheduler draws at random. Package
// spread derives the size of the subset from the host's connections, the number of instances and the permitted
// unevenness. Warmth returns the fraction of its capacity that a server has.
func (st *State) SelectSubset(uneven float64, warmth func(*Server) float64) {
	servers, replicas := 0, 1
	for _, list := range st.Replicas {
		replicas = max(replicas, len(list))
	}
	for _, s := range st.SortedServers {
		if s.Listed {
			servers++
		}
	}
	cells := (servers + replicas - 1) / replicas
	size, kept := spread.Size(st.Settings.Connections, cells, replicas, st.Settings.Instances, uneven), map[*Server]bool{}
	for _, list := range st.Replicas {
		cell := make([]spread.Replica, len(list))
		for i, s := range list {
			cell[i] = spread.Replica{Rank: s.TieBreak, Usable: s.State == decision.Ready && warmth(s) >= 1}
			s.InReserve = s.InReserve || cell[i].Usable
		}
		for i, keep := range spread.Select(cell, size) {
			kept[list[i]] = kept[list[i]] || keep
		}
	}
	for s := range kept {
		s.InReserve = s.InReserve && !kept[s]
	}
}
