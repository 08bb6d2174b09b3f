package mem

import (
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

// A full list deregisters each server that is missing from it; IDs are kept, and never used twice.
func TestServersKeepIDs(t *testing.T) {
	l, now := NewServers(), time.Now()
	ready := func(names ...string) (list []Server) {
		for _, n := range names {
			list = append(list, Server{Name: n, State: decision.Ready})
		}
		return list
	}
	l.Apply(true, ready("a", "b"), now)
	news := l.Apply(true, ready("b", "c"), now)
	if len(news) != 3 || news[0].ID != 2 || news[1].ID != 3 || news[2].Name != "a" || news[2].ID != 1 || news[2].State != decision.Deregistered {
		t.Errorf("%+v", news)
	}
	if news = l.Apply(false, ready("a"), now.Add(time.Minute)); len(news) != 1 || news[0].ID != 1 {
		t.Errorf("back: %+v", news)
	}
	l.Apply(false, []Server{{Name: "a", State: decision.Deregistered}}, now)
	l.Apply(false, nil, now.Add(keepDeregistered+time.Second))
	if news = l.Apply(false, ready("a"), now); news[0].ID != 4 || len(l.All()) != 3 {
		t.Errorf("%+v", news)
	}
}

func TestInFlight(t *testing.T) {
	f := NewInFlight[string, string](4)
	f.AddQuery(1, "q", "query")
	f.AddSubquery(2, "p2")
	f.AddSubquery(3, "p3")
	now := time.Now()
	if f.Fits(1) || !f.Fits(0) || !f.HasName("q", now) {
		t.Error("a query that does not fit is accepted, or a name is not known")
	}
	f.Remove(1, "q", []uint64{2, 3}, now)
	if q, p := f.Len(); q != 0 || p != 0 || !f.Fits(3) {
		t.Errorf("%d queries and %d subqueries are left", q, p)
	}
	// One sent under the name of another while that was open may come just after its end.
	if !f.HasName("q", now.Add(keepNames)) || f.HasName("q", now.Add(keepNames+1)) || len(f.endedNames)+len(f.names) > 0 {
		t.Errorf("the name is forgotten too soon or kept: %v", f.endedNames)
	}
}

type conn struct{ capacity, load, ready int }

func (c *conn) Capacity() int { return c.capacity }
func (c *conn) Load() int     { return c.load }
func (c *conn) Ready() int    { return c.ready }

// The least loaded established connection with capacity is chosen: a fault of one affects all that is on it.
func TestPick(t *testing.T) {
	var p Pool[*conn]
	dialing, empty, full, busy, broken := &conn{9, 9, 1}, &conn{8, 0, 2}, &conn{0, 8, 2}, &conn{3, 5, 2}, &conn{9, 0, 0}
	for _, c := range []*conn{dialing, empty, full, busy, broken} {
		p.Add(c)
	}
	for n, want := range map[int]*conn{3: empty, 9: dialing} {
		if got, ok := p.Pick(n); !ok || got != want {
			t.Errorf("for %d subqueries: %+v", n, got)
		}
	}
	if _, ok := p.Pick(10); ok {
		t.Error("picked a connection without capacity")
	}
	if !p.Remove(busy) || p.Remove(busy) || p.Len() != 4 {
		t.Error("removing went wrong")
	}
}

// A ban holds whatever the list says, a second one changes nothing, and a lifted ban makes it a new server, in slow start
// from then. The ban of a name that is no longer listed can be lifted.
func TestBan(t *testing.T) {
	l, now := NewServers(), time.Now()
	ready := []Server{{Name: "a", State: decision.Ready}}
	first := l.Apply(true, ready, now)[0].ID
	if _, ok := l.Ban("x"); ok {
		t.Error("banned an unknown name")
	}
	if news, ok := l.Ban("a"); !ok || len(news) != 1 || news[0].State != decision.Draining {
		t.Errorf("%+v", news)
	}
	if news, ok := l.Ban("a"); !ok || len(news) != 0 || len(l.banned) != 1 {
		t.Errorf("the second time: %+v", news)
	}
	if news := l.Apply(false, ready, now); news[0].State != decision.Draining || l.All()[0].State != decision.Draining {
		t.Errorf("listed meanwhile: %+v", news)
	}
	news, ok := l.Unban("a", now)
	if !ok || len(news) != 2 || news[0].ID != first || news[0].State != decision.Deregistered || news[1].ID == first ||
		news[1].State != decision.Ready || !news[1].Started.Equal(now) {
		t.Errorf("%+v", news)
	}
	if news, ok := l.Unban("a", now); !ok || len(news) != 0 {
		t.Errorf("not banned: %+v", news)
	}
	later := now.Add(time.Second)
	if news := l.Apply(false, []Server{{Name: "a", State: decision.Ready, Started: later}}, now); !news[0].Started.Equal(later) {
		t.Errorf("started after that: %+v", news)
	}
	l.Ban("a")
	l.Apply(true, nil, now)
	l.Apply(true, nil, now.Add(keepDeregistered+1))
	if _, ok := l.Unban("a", now); !ok || len(l.banned) != 0 {
		t.Error("a name no longer listed stays banned")
	}
	if _, ok := l.Unban("a", now); ok {
		t.Error("an unknown name is unbanned")
	}
}
