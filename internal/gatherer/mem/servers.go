package mem

import (
	"maps"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

// Server is one lot store as last described by the server list.
type Server struct {
	ID             decision.ServerID // assigned by Servers and never reused
	Name           string
	Addr           string
	Zone           int
	Cell           int
	State          decision.ServerState
	Weight         float64
	Started        time.Time // zero for long ago
	deregisteredAt time.Time
}

// Servers is the server list with the bans that operators set. A banned server that the list has as ready is returned
// as draining. Servers is not safe for concurrent use: one goroutine owns it.
type Servers struct {
	byName     map[string]*Server
	lastID     decision.ServerID
	banned     map[string]struct{}
	unbannedAt map[string]time.Time // when the ban of a server was lifted, from when on it is in slow start
}

// NewServers returns an empty list without bans.
func NewServers() *Servers {
	return &Servers{byName: map[string]*Server{}, banned: map[string]struct{}{}, unbannedAt: map[string]time.Time{}}
}

// deregisteredRetention is how long a deregistered server keeps its ID, which it gets back if it is listed again. It is
// longer than any attempt may be in flight.
const deregisteredRetention = 2 * time.Minute

// Apply applies an update of the list and returns the changed entries with their IDs. A full list deregisters each
// server that it does not contain; the result has an entry for each of these.
func (l *Servers) Apply(full bool, entries []Server, now time.Time) []Server {
	named := map[string]bool{}
	var changed []Server
	for _, e := range entries {
		named[e.Name] = true
		s := l.byName[e.Name]
		if s == nil {
			l.lastID++
			s = &Server{ID: l.lastID}
			l.byName[e.Name] = s
		}
		e.ID = s.ID
		*s = e
		if s.State == decision.Deregistered {
			s.deregisteredAt = now
		}
		changed = append(changed, l.visible(s))
	}
	for name, s := range l.byName {
		if full && !named[name] && s.State != decision.Deregistered {
			s.State, s.deregisteredAt = decision.Deregistered, now
			changed = append(changed, l.visible(s))
		}
		if s.State == decision.Deregistered && now.Sub(s.deregisteredAt) > deregisteredRetention {
			delete(l.byName, name)
		}
	}
	maps.DeleteFunc(l.unbannedAt, func(name string, at time.Time) bool {
		return l.byName[name] == nil && now.Sub(at) > deregisteredRetention
	})
	return changed
}

// visible returns a server as seen by the scheduler, with its ban or the end of its ban applied.
func (l *Servers) visible(s *Server) Server {
	x := *s
	if _, ok := l.banned[s.Name]; ok && x.State == decision.Ready {
		x.State = decision.Draining
	}
	if at := l.unbannedAt[s.Name]; at.After(x.Started) {
		x.Started = at
	}
	return x
}

// Ban bans a server until Unban and returns the changed entries, none if it is banned already. It returns false for an
// unknown name.
func (l *Servers) Ban(name string) (changed []Server, ok bool) {
	s := l.byName[name]
	if _, banned := l.banned[name]; banned {
		return nil, true
	}
	if s == nil {
		return nil, false
	}
	l.banned[name] = struct{}{}
	return []Server{l.visible(s)}, true
}

// Unban lifts the ban of a server, listed or not, and returns the changed entries. It returns false for a name that is
// neither banned nor known. The server counts as started at that time and gets a new ID, so that neither the records of
// its old process nor attempts still in flight there are taken for those of the new one.
func (l *Servers) Unban(name string, at time.Time) (changed []Server, ok bool) {
	s := l.byName[name]
	if _, banned := l.banned[name]; !banned {
		return nil, s != nil
	}
	delete(l.banned, name)
	l.unbannedAt[name] = at
	if s == nil {
		return nil, true
	}
	old := *s
	old.State = decision.Deregistered
	l.lastID++
	s.ID = l.lastID
	return []Server{old, l.visible(s)}, true
}

// Bans returns the names of the banned servers, and when the bans of others were lifted.
func (l *Servers) Bans() (banned []string, lifted map[string]time.Time) {
	return slices.Sorted(maps.Keys(l.banned)), maps.Clone(l.unbannedAt)
}

// AdoptBans adds the bans of another process. The server list must be applied afterwards for them to take effect.
func (l *Servers) AdoptBans(banned []string, lifted map[string]time.Time) {
	for _, name := range banned {
		l.banned[name] = struct{}{}
	}
	maps.Copy(l.unbannedAt, lifted)
}

// Known returns every known server as the server list describes it: bans are not applied, and lately deregistered
// servers are included.
func (l *Servers) Known() (all []Server) {
	for _, s := range l.byName {
		all = append(all, *s)
	}
	return all
}

// All returns every server that is not deregistered, with bans applied.
func (l *Servers) All() []Server {
	var all []Server
	for _, s := range l.byName {
		if s.State != decision.Deregistered {
			all = append(all, l.visible(s))
		}
	}
	return all
}
