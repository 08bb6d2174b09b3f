package cluster

import (
	"maps"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/shared/curve"
)

// Back-off from the server list after failed calls, if the list has to be polled.
const (
	initialPollBackoff = 500 * time.Millisecond // doubled by each failure, including the first
	maxPollBackoff     = 4 * time.Second
)

// ListReceived records whether a call for the server list succeeded, and reports whether there are entries to apply.
func (st *State) ListReceived(kind decision.ListKind) bool {
	if kind == decision.ListFailed {
		st.Subscribed, st.PollBackoff = false, min(2*st.PollBackoff, maxPollBackoff)
		st.PollAt = st.Now + curve.Duration(curve.Seconds(st.PollBackoff)*(0.5+st.RNG.Float64()/2))
		st.SetFlag(&st.ListFailing, true, "list failing=%v")
		return false
	}
	if kind != decision.Cached {
		st.Subscribed, st.PollBackoff = true, initialPollBackoff
		st.SetFlag(&st.ListFailing, false, "list failing=%v")
	}
	return true
}

// RenewSubscription subscribes to the server list if that is due.
func (st *State) RenewSubscription() {
	if !st.NeedsSubscription() || st.Now < st.PollAt {
		return
	}
	st.Emit(decision.Subscribe{})
	st.PollAt = st.Now + maxPollBackoff
	if w := st.Settings.Rules.PollWithin / 2; w > 0 {
		st.PollAt = min(st.PollAt, st.Now+w) // the operator takes the list as known here after PollWithin
	}
}

// Serves reports whether a server is a replica of a shard.
func (st *State) Serves(s *Server, shard int) bool {
	return (s.Cell-shard%st.Settings.Cells+st.Settings.Cells)%st.Settings.Cells < st.Settings.Width
}

// ApplyServerList applies an update of the server list. It calls change for each entry with the server as it was
// before.
func (st *State) ApplyServerList(e decision.ServerList, change func(*Server, decision.ServerInfo)) {
	old := map[decision.ServerID]bool{}
	if e.Kind != decision.Delta {
		for _, s := range st.SortedServers {
			old[s.ID], s.Listed = s.Listed, false
		}
	}
	for _, i := range e.Servers {
		if i.Cell < 0 || i.Cell >= st.Settings.Cells || i.Zone < 0 {
			continue
		}
		if i.Nominal <= 0 {
			i.Nominal = 1
		}
		s := st.Servers[i.ID]
		if s == nil {
			s = &Server{Latencies: curve.NewLatencyHistogram()}
			st.Servers[i.ID] = s
			st.SortedServers = append(st.SortedServers, s)
			s.Started = -1
		}
		s.Listed = s.Listed || old[i.ID]
		change(s, i)
		s.ListedAt = st.Now
		s.ServerInfo, s.Listed = i, i.State != decision.Deregistered
	}
	st.Reindex()
	for _, s := range st.SortedServers {
		if !s.Listed || s.State != decision.Ready { // it is sent nothing new, so its queue is reassigned
			for len(s.Queue) > 0 {
				sub := s.Dequeue()
				sub.Server = nil
			}
		}
	}
}

// Reindex sorts the servers by ID and rebuilds the lists of replicas by cell and of servers by zone.
func (st *State) Reindex() {
	slices.SortFunc(st.SortedServers, func(a, b *Server) int { return int(int64(a.ID) - int64(b.ID)) })
	for i := range st.Replicas {
		st.Replicas[i] = st.Replicas[i][:0]
	}
	for i := range st.Zones {
		st.Zones[i].Servers = st.Zones[i].Servers[:0]
	}
	for _, s := range st.SortedServers {
		for len(st.Zones) <= s.Zone {
			st.Zones = append(st.Zones, Zone{Number: len(st.Zones)})
		}
		if z := &st.Zones[s.Zone]; s.Listed && s.State == decision.Ready {
			z.Servers = append(z.Servers, s)
		}
		s.InReserve = false
		for j := 0; s.Listed && j < st.Settings.Width; j++ {
			first := (s.Cell - j + st.Settings.Cells) % st.Settings.Cells
			st.Replicas[first] = append(st.Replicas[first], s)
		}
	}
}

// NeedsSubscription reports whether the server list has to be subscribed to and is not.
func (st *State) NeedsSubscription() bool { return st.Settings.Polling && !st.Subscribed }

// Prune bounds the memory of a long-lived process. It drops unlisted servers and fingerprints without activity since
// unusedSince, and the counts of queries received before receivedFrom.
func (st *State) Prune(unusedSince, receivedFrom time.Duration) {
	st.Received.SumSince(receivedFrom)
	maps.DeleteFunc(st.Poisoned, func(_ uint64, at time.Duration) bool { return at < unusedSince })
	st.SortedServers = slices.DeleteFunc(st.SortedServers, func(s *Server) bool {
		old := !s.Listed && len(s.InFlight) == 0 && len(s.Queue) == 0 &&
			s.LatencyAt < unusedSince && s.CrashedAt < unusedSince && s.ListedAt < unusedSince
		if old {
			delete(st.Servers, s.ID)
		}
		return old
	})
}
