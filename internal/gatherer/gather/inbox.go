package gather

import (
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/mem"
	"pulleygw.example/pulleygw/internal/gatherer/search"
	"pulleygw.example/pulleygw/internal/gatherer/settings"
)

// What fronts, transport and discovery tell comes through one channel, and here becomes events of
// the next step here.

type (
	left    struct{ r *Request }
	outcome struct {
		a     *Attempt
		s     decision.Status
		value string
		score *float64 // nil for none
	}
	found struct {
		a      *Attempt
		answer *search.Answer
	}
	unanswerable struct {
		a   *Attempt
		why string
	}
	probed struct {
		server decision.ServerID
		ok     bool
	}
	ban struct {
		name string
		out  bool
		at   time.Time // since when it is back
		done chan bool // has room for the one answer
	}
	lastCall struct{ at time.Time }
	snapshot struct{ to chan Snapshot } // has room for the one answer
	restored struct{ Snapshot }
	retuned  struct{ set settings.Settings }
)

// Detach has nothing more sent to a server until Attach, whatever the list says. It returns when that is in
// force, and false for a name not known.
func (c *Core) Detach(name string) bool { return c.ban(ban{name: name, out: true}) }

// Attach puts a server back, as one that started then.
func (c *Core) Attach(name string, at time.Time) bool { return c.ban(ban{name: name, at: at}) }

func (c *Core) ban(b ban) bool {
	b.done = make(chan bool, 1)
	c.tell(b)
	select {
	case ok := <-b.done:
		return ok
	case <-c.quit:
		return false
	}
}

// Snapshot is what a successor goes on from.
type Snapshot struct {
	Servers []mem.Server // as listed
	Banned  []string
	Back    map[string]time.Time // servers put back, and when
	Records map[string]decision.Record
	// PerSecond is how many parts a second all servers together answered.
	PerSecond float64
}

// Snapshot tells what a successor is to go on from.
func (c *Core) Snapshot() (s Snapshot) {
	to := make(chan Snapshot, 1)
	c.tell(snapshot{to})
	select {
	case s = <-to:
	case <-c.quit:
	}
	return s
}

// Restore goes on from a predecessor's snapshot.
func (c *Core) Restore(s Snapshot) { c.tell(restored{s}) }

func (c *Core) snapshot() Snapshot {
	s := Snapshot{Servers: c.servers.Listed(), Records: map[string]decision.Record{}, PerSecond: c.mixer.PerSecond()}
	s.Banned, s.Back = c.servers.Bans()
	names := map[decision.ServerID]string{}
	for _, x := range s.Servers {
		names[x.ID] = x.Name
	}
	for _, r := range c.mixer.Records() {
		if name := names[r.Server]; name != "" {
			s.Records[name] = r
		}
	}
	return s
}

func (c *Core) restore(s Snapshot) {
	c.servers.Inherit(s.Banned, s.Back)
	c.list(List{Kind: decision.Cached, Servers: s.Servers})
	var records []decision.Record
	for _, x := range c.servers.Listed() {
		if r, ok := s.Records[x.Name]; ok {
			r.Server = x.ID
			records = append(records, r)
		}
	}
	c.events = append(c.events, decision.Learned{Records: records, PerSecond: s.PerSecond})
}

// Retune puts other settings in force for what is submitted from then on. They must be Over those before.
func (c *Core) Retune(set settings.Settings) { c.tell(retuned{set}) }

// EndBy gives every request its final answer by then, whatever time its client has left.
func (c *Core) EndBy(at time.Time) { c.tell(lastCall{at}) }

// Submit hands a request over. Its final answer comes on Done.
func (c *Core) Submit(r *Request) { c.tell(r) }

// Leave tells that a request's client has gone away. There is no answer then, unless one was under way.
func (c *Core) Leave(r *Request) { c.tell(left{r}) }

// List tells news of the server list.
func (c *Core) List(l List) { c.tell(l) }

// Outcome implements Reporter.
func (c *Core) Outcome(a *Attempt, s decision.Status, value string) {
	c.tell(outcome{a, s, value, nil})
}

// Scored implements Reporter.
func (c *Core) Scored(a *Attempt, value string, score float64) {
	c.tell(outcome{a, decision.OK, value, &score})
}

// Found implements Reporter.
func (c *Core) Found(a *Attempt, answer *search.Answer) { c.tell(found{a, answer}) }

// Unanswerable implements Reporter.
func (c *Core) Unanswerable(a *Attempt, why string) { c.tell(unanswerable{a, why}) }

// Probed implements Reporter.
func (c *Core) Probed(server decision.ServerID, ok bool) { c.tell(probed{server, ok}) }

func (c *Core) tell(m any) {
	select {
	case c.in <- m:
	case <-c.quit:
	}
}

// receive handles one message on the core's goroutine.
func (c *Core) receive(m any) {
	switch m := m.(type) {
	case *Request:
		c.arrive(m)
	case Limits:
		c.limit(m)
	case gateCounts:
		m.to <- c.countGates()
	case left:
		if c.leaveQueue(m.r) {
			c.recordFinal(m.r, "left", "")
			return
		}
		if q, ok := c.flight.Query(m.r.id); ok && q.Request == m.r {
			c.recordFinal(m.r, "left", "")
			c.events = append(c.events, decision.ClientGone{Query: decision.QueryID(m.r.id)})
			c.forget(q)
		}
	case outcome:
		c.guard(m.a.part.q, func() { c.book(m.a, m.s, m.value, m.score) })
	case found:
		c.guard(m.a.part.q, func() { c.bookFound(m.a, m.answer) })
	case unanswerable:
		c.guard(m.a.part.q, func() { c.bookUnanswerable(m.a, m.why) })
	case probed:
		c.events = append(c.events, decision.HealthChecked{Server: m.server, OK: m.ok})
	case List:
		c.list(m)
	case ban:
		var news []mem.Server
		ok := false
		if m.out {
			news, ok = c.servers.Ban(m.name)
		} else {
			news, ok = c.servers.Unban(m.name, m.at)
		}
		c.news(decision.Delta, news)
		m.done <- ok
	case snapshot:
		m.to <- c.snapshot()
	case restored:
		c.restore(m.Snapshot)
	case retuned:
		c.set = m.set
		c.flight.SetCap(m.set.OpenCap)
		c.openCap.Store(int64(m.set.OpenCap))
		c.events = append(c.events, decision.SettingsChanged{Settings: m.set.Policy})
	case lastCall:
		c.endBy = m.at
		c.refuseWaiting()
	}
}

// list brings the list up to date. The transport hears of it first, so that nothing that waits to be
// written goes to a server that drains or is gone.
func (c *Core) list(l List) {
	if l.Kind == decision.ListFailed {
		c.events = append(c.events, decision.ServerList{Kind: l.Kind})
		return
	}
	c.news(l.Kind, c.servers.Apply(l.Kind != decision.Delta, l.Servers, time.Now()))
}

func (c *Core) news(kind decision.ListKind, news []mem.Server) {
	c.transport.Servers(news)
	for _, s := range news {
		if c.index != nil { // what a process promised ends with it
			c.index.Forget(uint32(s.ID))
		}
		c.log.Info("list", "store", s.ID, "name", s.Name, "addr", s.Addr, "cell", s.Cell, "state", stateNames[s.State])
	}
	c.events = append(c.events, decision.ServerList{Kind: kind, Servers: c.infos(news)})
}

var stateNames = map[decision.ServerState]string{decision.Ready: "ready", decision.Draining: "draining", decision.Deregistered: "gone"}

// infos gives lines of the list the Mixer's form.
func (c *Core) infos(list []mem.Server) []decision.ServerInfo {
	infos := make([]decision.ServerInfo, 0, len(list))
	for _, s := range list {
		i := decision.ServerInfo{ID: s.ID, Zone: s.Zone, Cell: s.Cell, State: s.State, Nominal: s.Weight}
		if !s.Born.IsZero() {
			i.Started = max(c.at(s.Born), 0)
		}
		infos = append(infos, i)
	}
	return infos
}
