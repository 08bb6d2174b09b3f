package cluster

import (
	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/spread"
)

// CollectCandidates collects the candidates of a choice: the replicas of the subqueries' shards that are able to take
// one, each with how many of the subqueries it could take in a call.
func (st *State) CollectCandidates(subs []*Subquery, able func(*Server) bool) {
	st.Choice, st.Candidates = st.Choice+1, st.Candidates[:0]
	for _, sub := range subs {
		for _, s := range st.Replicas[sub.Shard%st.Settings.Cells] {
			if s.Choice != st.Choice {
				s.Choice, s.Cover, s.Able = st.Choice, 0, able(s)
				if s.Able {
					st.Candidates = append(st.Candidates, s)
				}
			}
			if !InFlightAt(sub, s) {
				s.Cover = min(s.Cover+1, max(st.Settings.Batch, 1))
			}
		}
	}
}

// SelectSubset puts into reserve the servers that this scheduler needs least: of each shard's ready and warm replicas
// those beyond the subset size that the host's connections and the number of instances allow, ranked by the random
// tie-break that each scheduler draws for itself. Warmth is the fraction of its capacity that a server has.
func (st *State) SelectSubset(uneven float64, warmth func(*Server) float64) {
	servers, replicas := 0, 1
	for _, list := range st.Replicas {
		replicas = max(replicas, len(list))
	}
	for _, s := range st.Order {
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
			s.Reserve = s.Reserve || cell[i].Usable
		}
		for i, keep := range spread.Select(cell, size) {
			kept[list[i]] = kept[list[i]] || keep
		}
	}
	for s := range kept {
		s.Reserve = s.Reserve && !kept[s]
	}
}
