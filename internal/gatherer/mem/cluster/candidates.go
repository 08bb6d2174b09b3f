package cluster

import (
	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/spread"
)

// CollectCandidates sets Candidates to the replicas of the subqueries' shards for which able is true. It sets the BatchSize
// of each to the number of these subqueries that one call to the replica could carry: those that are not in flight there,
// at most Settings.Batch.
func (st *State) CollectCandidates(subs []*Subquery, able func(*Server) bool) {
	st.SelectionSeq, st.Candidates = st.SelectionSeq+1, st.Candidates[:0]
	for _, sub := range subs {
		for _, s := range st.Replicas[sub.Shard%st.Settings.Cells] {
			if s.SelectionSeq != st.SelectionSeq {
				s.SelectionSeq, s.BatchSize, s.Eligible = st.SelectionSeq, 0, able(s)
				if s.Eligible {
					st.Candidates = append(st.Candidates, s)
				}
			}
			if !InFlightAt(sub, s) {
				s.BatchSize = min(s.BatchSize+1, max(st.Settings.Batch, 1))
			}
		}
	}
}

// SelectSubset selects the servers that this scheduler uses and puts the others into reserve. Of each shard's replicas
// that are ready and past their slow start it keeps a subset, ranked by TieBreak, which each scheduler draws at random for
// each server. Package spread derives the size of the subset from the host's connections, the number of instances and
// maxDeviation, the permitted relative standard deviation of the number of schedulers per server. SlowStartShare returns
// the share of its capacity that a server has, 1 when its slow start is over.
func (st *State) SelectSubset(maxDeviation float64, slowStartShare func(*Server) float64) {
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
	size, kept := spread.Size(st.Settings.Connections, cells, replicas, st.Settings.Instances, maxDeviation), map[*Server]bool{}
	for _, list := range st.Replicas {
		cell := make([]spread.Replica, len(list))
		for i, s := range list {
			cell[i] = spread.Replica{Rank: s.TieBreak, Usable: s.State == decision.Ready && slowStartShare(s) >= 1}
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
