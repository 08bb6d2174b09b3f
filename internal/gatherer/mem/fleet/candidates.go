package fleet

import (
	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/spread"
)

// Gather makes the candidates of a choice: the replicas of the parts' shards that are able to take one, each with how many
// of the parts it could take in a call.
func (m *State) Gather(parts []*Part, able func(*Server) bool) {
	m.Round, m.Candidates = m.Round+1, m.Candidates[:0]
	for _, p := range parts {
		for _, s := range m.Replicas[p.Shard%m.Set.Cells] {
			if s.Round != m.Round {
				s.Round, s.Cover, s.Able = m.Round, 0, able(s)
				if s.Able {
					m.Candidates = append(m.Candidates, s)
				}
			}
			if !OutAt(p, s) {
				s.Cover = min(s.Cover+1, max(m.Set.Batch, 1))
			}
		}
	}
}

// KeepSubset makes a reserve of the servers that this mixer needs least: of each shard's ready and warm ones those past
// the size that the host's connections and the number of mixers allow, by a lead that each draws for itself.
func (m *State) KeepSubset(uneven float64, warmth func(*Server) float64) {
	servers, replicas := 0, 1
	for _, list := range m.Replicas {
		replicas = max(replicas, len(list))
	}
	for _, s := range m.Order {
		if s.Listed {
			servers++
		}
	}
	cells := (servers + replicas - 1) / replicas
	size, kept := spread.Size(m.Set.Connections, cells, replicas, m.Set.Siblings, uneven), map[*Server]bool{}
	for _, list := range m.Replicas {
		cell := make([]spread.Replica, len(list))
		for i, s := range list {
			cell[i] = spread.Replica{Rank: s.Lead, Usable: s.State == decision.Ready && warmth(s) >= 1}
			s.Reserve = s.Reserve || cell[i].Usable
		}
		for i, keep := range spread.Keep(cell, size) {
			kept[list[i]] = kept[list[i]] || keep
		}
	}
	for s := range kept {
		s.Reserve = s.Reserve && !kept[s]
	}
}
