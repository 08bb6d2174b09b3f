package mem

import (
	"maps"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

// Server is one lot store as the server list last described it.
type Server struct {
	ID             decision.ServerID // assigned here, never used twice
	Name           string
	Addr           string
	Zone           int
	Cell           int
	State          decision.ServerState
	Weight         float64
	Started        time.Time // zero for long ago
	deregisteredAt time.Time
}

// Servers is the server list, with the bans that operators set. A banned server is shown as draining at best, whatever
// the list says meanwhile. Servers is not safe for concurrent use: one goroutine owns it.
type Servers struct {
	byName   map[string]*Server
	lastID   decision.ServerID
	banned   map[string]struct{}
	attached map[string]time.Time // when a ban was lifted: the server is in slow start from then
}

// NewServers returns an empty list.
func NewServers() *Servers {
	return &Servers{byName: map[string]*Server{}, banned: map[string]struct{}{}, attached: map[string]time.Time{}}
}

// keepDeregistered is how long a deregistered server keeps its ID, so that one listed again is recognised. It is longer
// than anything may be in flight there.
const keepDeregistered = 2 * time.Minute

// Apply applies an update of the list and returns the changed entries with their IDs. With a full list, they include an
// entry for each server that is missing from it and was not deregistered before.
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
		if s.State == decision.Deregistered && now.Sub(s.deregisteredAt) > keepDeregistered {
			delete(l.byName, name)
		}
	}
	maps.DeleteFunc(l.attached, func(name string, at time.Time) bool { return l.byName[name] == nil && now.Sub(at) > keepDeregistered })
	return changed
}

// visible is a server with its ban applied.
func (l *Servers) visible(s *Server) Server {
	x := *s
	if _, is := l.banned[s.Name]; is && x.State == decision.Ready {
		x.State = decision.Draining
	}
	if at := l.attached[s.Name]; at.After(x.Started) {
		x.Started = at
	}
	return x
}

// Ban bans a server until Unban, and returns the changed entries. It returns false for an unknown name. A second ban
// changes nothing.
func (l *Servers) Ban(name string) (changed []Server, ok bool) {
	s := l.byName[name]
	if _, is := l.banned[name]; is {
		return nil, true
	}
	if s == nil {
		return nil, false
	}
	l.banned[name] = struct{}{}
	return []Server{l.visible(s)}, true
}

// Unban ends the ban of a server, listed or not, and returns the changed entries. The server counts as started at that
// time and gets a new ID: what was learned of its old process, and what is still in flight there, is not the new one's.
func (l *Servers) Unban(name string, at time.Time) (changed []Server, ok bool) {
	s := l.byName[name]
	if _, is := l.banned[name]; !is {
		return nil, s != nil
	}
	delete(l.banned, name)
	l.attached[name] = at
	if s == nil {
		return nil, true
	}
	old := *s
	old.State = decision.Deregistered
	l.lastID++
	s.ID = l.lastID
	return []Server{old, l.visible(s)}, true
}

// Bans returns the banned names, and when the bans of others were lifted.
func (l *Servers) Bans() (out []string, back map[string]time.Time) {
	return slices.Sorted(maps.Keys(l.banned)), maps.Clone(l.attached)
}

// Inherit adopts another process's bans. The list must be applied afterwards.
func (l *Servers) Inherit(out []string, back map[string]time.Time) {
	for _, name := range out {
		l.banned[name] = struct{}{}
	}
	maps.Copy(l.attached, back)
}

// Listed returns every known server as discovery describes it, without bans, and those lately deregistered.
func (l *Servers) Listed() (all []Server) {
	for _, s := range l.byName {
		all = append(all, *s)
	}
	return all
}

// All returns every server that is not deregistered.
func (l *Servers) All() []Server {
	var all []Server
	for _, s := range l.byName {
		if s.State != decision.Deregistered {
			all = append(all, l.visible(s))
		}
	}
	return all
}
