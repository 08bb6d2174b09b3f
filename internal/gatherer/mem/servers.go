package mem

import (
	"maps"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

// Server is one lot store as the list last named it.
type Server struct {
	ID     decision.ServerID // given here, never used twice
	Name   string
	Addr   string
	Zone   int
	Cell   int
	State  decision.ServerState
	Weight float64
	Born   time.Time // when it last started; zero for long ago
	goneAt time.Time
}

// Servers is the server list, with the bans that operators set. A ban is kept apart from what the list says: a
// banned server is shown as draining at the best, whatever is listed meanwhile. It is not safe for concurrent
// use: one goroutine owns it.
type Servers struct {
	byName   map[string]*Server
	last     decision.ServerID
	banned   map[string]struct{}
	attached map[string]time.Time // when a ban was lifted: the server counts as cold from then
}

// NewServers makes an empty list.
func NewServers() *Servers {
	return &Servers{byName: map[string]*Server{}, banned: map[string]struct{}{}, attached: map[string]time.Time{}}
}

// keepGone is how long a server that is gone keeps its number, so that one listed again is known
// again. It is longer than anything may be out there.
const keepGone = 2 * time.Minute

// Apply applies changes of the list and returns the lines that it brings, numbered; of a whole list, also a line
// for each server that it lacks and that was not gone before.
func (l *Servers) Apply(whole bool, entries []Server, now time.Time) []Server {
	named := map[string]bool{}
	var news []Server
	for _, e := range entries {
		named[e.Name] = true
		s := l.byName[e.Name]
		if s == nil {
			l.last++
			s = &Server{ID: l.last}
			l.byName[e.Name] = s
		}
		e.ID = s.ID
		*s = e
		if s.State == decision.Deregistered {
			s.goneAt = now
		}
		news = append(news, l.shown(s))
	}
	for name, s := range l.byName {
		if whole && !named[name] && s.State != decision.Deregistered {
			s.State, s.goneAt = decision.Deregistered, now
			news = append(news, l.shown(s))
		}
		if s.State == decision.Deregistered && now.Sub(s.goneAt) > keepGone {
			delete(l.byName, name)
		}
	}
	maps.DeleteFunc(l.attached, func(name string, at time.Time) bool { return l.byName[name] == nil && now.Sub(at) > keepGone })
	return news
}

// shown is a server as all others are to see it.
func (l *Servers) shown(s *Server) Server {
	x := *s
	if _, is := l.banned[s.Name]; is && x.State == decision.Ready {
		x.State = decision.Draining
	}
	if at := l.attached[s.Name]; at.After(x.Born) {
		x.Born = at
	}
	return x
}

// Ban takes a server out until Unban, and returns the lines that this brings. A second ban changes nothing.
func (l *Servers) Ban(name string) (news []Server, ok bool) {
	s := l.byName[name]
	if _, is := l.banned[name]; is {
		return nil, true
	}
	if s == nil {
		return nil, false
	}
	l.banned[name] = struct{}{}
	return []Server{l.shown(s)}, true
}

// Unban puts a server back, listed or not, and returns the lines that this brings. It counts as started at that
// time and gets a new number: what was seen of its old process, and what is still out there, is not the new one's.
func (l *Servers) Unban(name string, at time.Time) (news []Server, ok bool) {
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
	l.last++
	s.ID = l.last
	return []Server{old, l.shown(s)}, true
}

// Bans tells which names are out, and since when others are back.
func (l *Servers) Bans() (out []string, back map[string]time.Time) {
	return slices.Sorted(maps.Keys(l.banned)), maps.Clone(l.attached)
}

// Inherit takes over another process's bans. The list is to follow.
func (l *Servers) Inherit(out []string, back map[string]time.Time) {
	for _, name := range out {
		l.banned[name] = struct{}{}
	}
	maps.Copy(l.attached, back)
}

// Listed lists every server known as discovery has it, bans or not, and those lately gone.
func (l *Servers) Listed() (all []Server) {
	for _, s := range l.byName {
		all = append(all, *s)
	}
	return all
}

// All lists every server not gone.
func (l *Servers) All() []Server {
	var all []Server
	for _, s := range l.byName {
		if s.State != decision.Deregistered {
			all = append(all, l.shown(s))
		}
	}
	return all
}
