package mem

import (
	"time"

	"pulleygw.example/pulleygw/policy"
)

// Server is one lot store as the list last named it.
type Server struct {
	ID     policy.ServerID // given here, never used twice
	Name   string
	Addr   string
	Zone   int
	Cell   int
	State  policy.ServerState
	Weight float64
	Born   time.Time // when it last started; zero for long ago
	goneAt time.Time
}

// Servers is the server list. It is not safe for concurrent use: one goroutine owns it.
type Servers struct {
	byName map[string]*Server
	last   policy.ServerID
}

// NewServers makes an empty list.
func NewServers() *Servers {
	return &Servers{byName: map[string]*Server{}}
}

// keepGone is how long a server that is gone keeps its number, so that one listed again is known
// again. It is longer than anything may be out there.
const keepGone = 2 * time.Minute

// Apply takes in news and returns the lines that it brings, numbered; of a whole list, also a line
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
		if s.State == policy.Gone {
			s.goneAt = now
		}
		news = append(news, *s)
	}
	for name, s := range l.byName {
		if whole && !named[name] && s.State != policy.Gone {
			s.State, s.goneAt = policy.Gone, now
			news = append(news, *s)
		}
		if s.State == policy.Gone && now.Sub(s.goneAt) > keepGone {
			delete(l.byName, name)
		}
	}
	return news
}

// All lists every server not gone.
func (l *Servers) All() []Server {
	var all []Server
	for _, s := range l.byName {
		if s.State != policy.Gone {
			all = append(all, *s)
		}
	}
	return all
}
