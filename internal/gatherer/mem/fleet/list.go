package fleet

import (
	"maps"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/shared/curve"
)

// Times of list calls, where the list has to be asked for.
const (
	askFirst = 500 * time.Millisecond // back-off of failed ones, doubled up to askMost
	askMost  = 4 * time.Second
)

// ListCame records the outcome of a list call, and says whether it brings lines.
func (m *State) ListCame(kind decision.ListKind) bool {
	if kind == decision.ListFailed {
		m.Subscribed, m.AskWait = false, min(2*m.AskWait, askMost)
		m.AskAt = m.Now + curve.Duration(curve.Seconds(m.AskWait)*(0.5+m.RNG.Float64()/2))
		m.Flip(&m.ListBad, true, "list failing=%v")
		return false
	}
	if kind != decision.Cached {
		m.Subscribed, m.AskWait = true, askFirst
		m.Flip(&m.ListBad, false, "list failing=%v")
	}
	return true
}

// KeepList keeps a list that has to be asked for subscribed.
func (m *State) KeepList() {
	if !m.Asking() || m.Now < m.AskAt {
		return
	}
	m.Do(decision.Subscribe{})
	m.AskAt = m.Now + askMost
	if w := m.Set.Rules.AskWithin / 2; w > 0 {
		m.AskAt = min(m.AskAt, m.Now+w) // asked too seldom, we count as told what we were not
	}
}

// Holds says whether a server holds a shard.
func (m *State) Holds(s *Server, shard int) bool {
	return (s.Cell-shard%m.Set.Cells+m.Set.Cells)%m.Set.Cells < m.Set.Width
}

// Apply brings the list up to date; change is told of each line before it takes effect.
func (m *State) Apply(e decision.ServerList, change func(*Server, decision.ServerInfo)) {
	old := map[decision.ServerID]bool{}
	if e.Kind != decision.Delta {
		for _, s := range m.Order {
			old[s.ID], s.Listed = s.Listed, false
		}
	}
	for _, i := range e.Servers {
		if i.Cell < 0 || i.Cell >= m.Set.Cells || i.Zone < 0 {
			continue
		}
		if i.Nominal <= 0 {
			i.Nominal = 1
		}
		s := m.Servers[i.ID]
		if s == nil {
			s = &Server{Record: curve.NewRecord()}
			m.Servers[i.ID] = s
			m.Order = append(m.Order, s)
			s.Started = -1
		}
		s.Listed = s.Listed || old[i.ID]
		change(s, i)
		s.GoneAt = m.Now
		s.ServerInfo, s.Listed = i, i.State != decision.Gone
	}
	m.Index()
	for _, s := range m.Order {
		if !s.Listed || s.State != decision.Ready { // nothing new at once: held parts go elsewhere
			for len(s.Held) > 0 {
				p := s.Next()
				p.Server = nil
			}
		}
	}
}

// Index sorts the servers and lists, for each cell, those that hold the shards that begin there.
func (m *State) Index() {
	slices.SortFunc(m.Order, func(a, b *Server) int { return int(int64(a.ID) - int64(b.ID)) })
	for i := range m.Replicas {
		m.Replicas[i] = m.Replicas[i][:0]
	}
	for i := range m.Zones {
		m.Zones[i].Servers = m.Zones[i].Servers[:0]
	}
	for _, s := range m.Order {
		for len(m.Zones) <= s.Zone {
			m.Zones = append(m.Zones, Zone{Number: len(m.Zones)})
		}
		if z := &m.Zones[s.Zone]; s.Listed && s.State == decision.Ready {
			z.Servers = append(z.Servers, s)
		}
		s.Reserve = false
		for j := 0; s.Listed && j < m.Set.Width; j++ {
			first := (s.Cell - j + m.Set.Cells) % m.Set.Cells
			m.Replicas[first] = append(m.Replicas[first], s)
		}
	}
}

// Asking says whether the list is still to be subscribed to.
func (m *State) Asking() bool { return m.Set.AskMode && !m.Subscribed }

// Prune keeps a long life bounded: servers off the list and suspects not heard of since gone are dropped,
// and what was taken before taken.
func (m *State) Prune(gone, taken time.Duration) {
	m.Taken.Since(taken)
	maps.DeleteFunc(m.Suspects, func(_ uint64, at time.Duration) bool { return at < gone })
	m.Order = slices.DeleteFunc(m.Order, func(s *Server) bool {
		old := !s.Listed && len(s.Out) == 0 && len(s.Held) == 0 && s.LatAt < gone && s.DiedAt < gone && s.GoneAt < gone
		if old {
			delete(m.Servers, s.ID)
		}
		return old
	})
}
