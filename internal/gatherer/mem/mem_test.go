package mem

import (
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

// A full list deregisters each server that it does not contain. A server keeps its ID if it is listed again soon, and
// IDs are never reused.
func TestServersKeepIDs(t *testing.T) {
	l, now := NewServers(), time.Now()
	ready := func(names ...string) (list []Server) {
		for _, n := range names {
			list = append(list, Server{Name: n, State: decision.Ready})
		}
		return list
	}
	l.Apply(true, ready("a", "b"), now)
	changed := l.Apply(true, ready("b", "c"), now)
	if len(changed) != 3 || changed[0].ID != 2 || changed[1].ID != 3 || changed[2].Name != "a" || changed[2].ID != 1 || changed[2].State != decision.Deregistered {
		t.Errorf("full list without a: changed %+v, want b with ID 2, c with ID 3, and a with ID 1 deregistered", changed)
	}
	if changed = l.Apply(false, ready("a"), now.Add(time.Minute)); len(changed) != 1 || changed[0].ID != 1 {
		t.Errorf("a listed again after a minute: changed %+v, want ID 1", changed)
	}
	l.Apply(false, []Server{{Name: "a", State: decision.Deregistered}}, now)
	l.Apply(false, nil, now.Add(deregisteredRetention+time.Second))
	if changed = l.Apply(false, ready("a"), now); changed[0].ID != 4 || len(l.All()) != 3 {
		t.Errorf("a listed again after it was dropped: changed %+v, want ID 4", changed)
	}
}

// The in-flight table enforces its limit, and the name of an ended query stays in use for a short time.
func TestInFlight(t *testing.T) {
	f := NewInFlight[string, string](4)
	f.AddQuery(1, "q", "query")
	f.AddSubquery(2, "p2")
	f.AddSubquery(3, "p3")
	now := time.Now()
	if f.Fits(1) || !f.Fits(0) || !f.HasName("q", now) {
		t.Error("Fits or HasName is wrong for a query of one subquery beside one of two, with a limit of 4")
	}
	f.Remove(1, "q", []uint64{2, 3}, now)
	if q, p := f.Len(); q != 0 || p != 0 || !f.Fits(3) {
		t.Errorf("%d queries and %d subqueries are left", q, p)
	}
	// A query that was sent while another of its name was in flight may arrive just after the end of that one.
	if !f.HasName("q", now.Add(nameRetention)) || f.HasName("q", now.Add(nameRetention+1)) || len(f.endedNames)+len(f.names) > 0 {
		t.Errorf("the name was dropped before its time or kept beyond it: %v", f.endedNames)
	}
}

type conn struct{ capacity, load, ready int }

func (c *conn) Capacity() int { return c.capacity }
func (c *conn) Load() int     { return c.load }
func (c *conn) Ready() int    { return c.ready }

// Pick chooses the least loaded established connection with capacity, so that the fault of one connection affects few
// subqueries.
func TestPick(t *testing.T) {
	var p Pool[*conn]
	dialing, empty, full, busy, broken := &conn{9, 9, 1}, &conn{8, 0, 2}, &conn{0, 8, 2}, &conn{3, 5, 2}, &conn{9, 0, 0}
	for _, c := range []*conn{dialing, empty, full, busy, broken} {
		p.Add(c)
	}
	for n, want := range map[int]*conn{3: empty, 9: dialing} {
		if got, ok := p.Pick(n); !ok || got != want {
			t.Errorf("for %d subqueries: picked %+v, want %+v", n, got, want)
		}
	}
	if _, ok := p.Pick(10); ok {
		t.Error("picked a connection without capacity")
	}
	if !p.Remove(busy) || p.Remove(busy) || p.Len() != 4 {
		t.Errorf("Remove returned a wrong result, or left %d connections, want 4", p.Len())
	}
}

// A ban holds while the list has the server as ready, and a second ban changes nothing. When the ban is lifted, the
// server gets a new ID and is in slow start from then. The ban of a server that is no longer listed can be lifted.
func TestBan(t *testing.T) {
	l, now := NewServers(), time.Now()
	ready := []Server{{Name: "a", State: decision.Ready}}
	first := l.Apply(true, ready, now)[0].ID
	if _, ok := l.Ban("x"); ok {
		t.Error("Ban accepted an unknown name")
	}
	if changed, ok := l.Ban("a"); !ok || len(changed) != 1 || changed[0].State != decision.Draining {
		t.Errorf("first ban: changed %+v, want a draining", changed)
	}
	if changed, ok := l.Ban("a"); !ok || len(changed) != 0 || len(l.banned) != 1 {
		t.Errorf("second ban: changed %+v, want none", changed)
	}
	if changed := l.Apply(false, ready, now); changed[0].State != decision.Draining || l.All()[0].State != decision.Draining {
		t.Errorf("listed as ready while banned: changed %+v, want a draining", changed)
	}
	changed, ok := l.Unban("a", now)
	if !ok || len(changed) != 2 || changed[0].ID != first || changed[0].State != decision.Deregistered || changed[1].ID == first ||
		changed[1].State != decision.Ready || !changed[1].Started.Equal(now) {
		t.Errorf("unbanned: changed %+v, want the old ID deregistered and a new one ready, started now", changed)
	}
	if changed, ok := l.Unban("a", now); !ok || len(changed) != 0 {
		t.Errorf("unbanned without a ban: changed %+v, want none", changed)
	}
	later := now.Add(time.Second)
	if changed := l.Apply(false, []Server{{Name: "a", State: decision.Ready, Started: later}}, now); !changed[0].Started.Equal(later) {
		t.Errorf("restarted after the ban: changed %+v, want the time of the restart", changed)
	}
	l.Ban("a")
	l.Apply(true, nil, now)
	l.Apply(true, nil, now.Add(deregisteredRetention+1))
	if _, ok := l.Unban("a", now); !ok || len(l.banned) != 0 {
		t.Error("a server that is no longer listed stays banned")
	}
	if _, ok := l.Unban("a", now); ok {
		t.Error("Unban accepted an unknown name")
	}
}
