package gather

import (
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/mem"
	"pulleygw.example/pulleygw/internal/gatherer/search"
	"pulleygw.example/pulleygw/internal/gatherer/settings"
)

// Messages from fronts, the transport and discovery arrive through one channel and become events of the next step.

// The messages of the inbox, in addition to *Request, ServerList, Limits and countsRequest.
type (
	clientDisconnected struct{ r *Request }
	outcome            struct {
		a     *Attempt
		s     decision.Status
		value string
		score *float64 // nil if the value has no score
	}
	found struct {
		a      *Attempt
		answer *search.Answer
	}
	unanswerable struct {
		a   *Attempt
		why string
	}
	healthChecked struct {
		server decision.ServerID
		ok     bool
	}
	attachmentChange struct {
		name   string
		detach bool      // detach; otherwise attach
		at     time.Time // of an attach: when it happened
		done   chan bool // receives whether the name is known; buffered
	}
	endBy           struct{ at time.Time }
	closeQueue      struct{}
	snapshot        struct{ to chan Snapshot } // buffered for the reply
	restored        struct{ Snapshot }
	settingsChanged struct{ set settings.Settings }
)

// Detach stops sending to a server until Attach is called, whatever the server list says. It returns once that is in force;
// false for an unknown name.
func (c *Core) Detach(name string) bool {
	return c.changeAttachment(attachmentChange{name: name, detach: true})
}

// Attach reverts Detach. The server counts as one that started at the given time.
func (c *Core) Attach(name string, at time.Time) bool {
	return c.changeAttachment(attachmentChange{name: name, at: at})
}

// changeAttachment waits until the core has detached or attached a server.
func (c *Core) changeAttachment(change attachmentChange) bool {
	change.done = make(chan bool, 1)
	c.post(change)
	select {
	case ok := <-change.done:
		return ok
	case <-c.quit:
		return false
	}
}

// Snapshot is the state that a successor process takes over.
type Snapshot struct {
	Servers    []mem.Server               // the server list
	Detached   []string                   // names of detached servers
	AttachedAt map[string]time.Time       // by server name, when servers were attached again
	Records    map[string]decision.Record // by server name
	// PerSecond is how many subqueries per second all servers together answered.
	PerSecond float64
}

// Snapshot returns the state for a successor process.
func (c *Core) Snapshot() (s Snapshot) {
	to := make(chan Snapshot, 1)
	c.post(snapshot{to})
	select {
	case s = <-to:
	case <-c.quit:
	}
	return s
}

// Restore takes over a predecessor's snapshot.
func (c *Core) Restore(s Snapshot) { c.post(restored{s}) }

func (c *Core) snapshot() Snapshot {
	s := Snapshot{Servers: c.servers.Known(), Records: map[string]decision.Record{}, PerSecond: c.scheduler.PerSecond()}
	s.Detached, s.AttachedAt = c.servers.Bans()
	names := map[decision.ServerID]string{}
	for _, x := range s.Servers {
		names[x.ID] = x.Name
	}
	for _, r := range c.scheduler.Records() {
		if name := names[r.Server]; name != "" {
			s.Records[name] = r
		}
	}
	return s
}

func (c *Core) restore(s Snapshot) {
	c.servers.AdoptBans(s.Detached, s.AttachedAt)
	c.applyList(ServerList{Kind: decision.Cached, Servers: s.Servers})
	var records []decision.Record
	for _, x := range c.servers.Known() {
		if r, ok := s.Records[x.Name]; ok {
			r.Server = x.ID
			records = append(records, r)
		}
	}
	c.events = append(c.events, decision.Learned{Records: records, PerSecond: s.PerSecond})
}

// ChangeSettings applies settings to the requests that are submitted from then on. They must be the result of Settings.Over
// with the previous settings.
func (c *Core) ChangeSettings(set settings.Settings) { c.post(settingsChanged{set}) }

// EndBy gives every request its final answer by the given time at the latest, for shutdown. A request that is submitted later
// gets it at once.
func (c *Core) EndBy(at time.Time) { c.post(endBy{at}) }

// CloseQueue rejects all queued requests at once, for shutdown. No request is queued after that.
func (c *Core) CloseQueue() { c.post(closeQueue{}) }

// Submit submits a request. Its final answer is sent on Done.
func (c *Core) Submit(r *Request) { c.post(r) }

// ClientDisconnected reports that a request's client has disconnected. The request gets no answer, unless one has already
// been sent on Done.
func (c *Core) ClientDisconnected(r *Request) { c.post(clientDisconnected{r}) }

// UpdateServerList reports an update of the server list.
func (c *Core) UpdateServerList(l ServerList) { c.post(l) }

// Outcome implements Reporter.
func (c *Core) Outcome(a *Attempt, s decision.Status, value string) {
	c.post(outcome{a, s, value, nil})
}

// Scored implements Reporter.
func (c *Core) Scored(a *Attempt, value string, score float64) {
	c.post(outcome{a, decision.OK, value, &score})
}

// Found implements Reporter.
func (c *Core) Found(a *Attempt, answer *search.Answer) { c.post(found{a, answer}) }

// Unanswerable implements Reporter.
func (c *Core) Unanswerable(a *Attempt, why string) { c.post(unanswerable{a, why}) }

// HealthChecked implements Reporter.
func (c *Core) HealthChecked(server decision.ServerID, ok bool) { c.post(healthChecked{server, ok}) }

// post sends a message to the core's goroutine. It drops the message if the core has stopped.
func (c *Core) post(m any) {
	select {
	case c.inbox <- m:
	case <-c.quit:
	}
}

// receive handles one message on the core's goroutine.
func (c *Core) receive(m any) {
	switch m := m.(type) {
	case *Request:
		c.arrive(m)
	case Limits:
		c.applyLimits(m)
	case countsRequest:
		m.to <- c.collectCounts()
	case clientDisconnected:
		c.endForClient(m.r)
	case outcome:
		c.failOnPanic(m.a.subquery.q, func() { c.recordOutcome(m.a, m.s, m.value, m.score) })
	case found:
		c.failOnPanic(m.a.subquery.q, func() { c.recordFound(m.a, m.answer) })
	case unanswerable:
		c.failOnPanic(m.a.subquery.q, func() { c.recordUnanswerable(m.a, m.why) })
	case healthChecked:
		c.events = append(c.events, decision.HealthChecked{Server: m.server, OK: m.ok})
	case ServerList:
		c.applyList(m)
	case attachmentChange:
		m.done <- c.applyAttachment(m)
	case snapshot:
		m.to <- c.snapshot()
	case restored:
		c.restore(m.Snapshot)
	case settingsChanged:
		c.applySettings(m.set)
	case endBy:
		c.endBy = m.at
	case closeQueue:
		c.closeQueue()
	}
}

// endForClient ends a request whose client has disconnected.
func (c *Core) endForClient(r *Request) {
	if c.dequeue(r) {
		c.recordFinal(r, "left", "")
		return
	}
	if q, ok := c.inFlight.Query(r.id); ok && q.Request == r {
		c.recordFinal(r, "left", "")
		c.events = append(c.events, decision.ClientDisconnected{Query: decision.QueryID(r.id)})
		q.withdraw()
		c.removeQuery(q)
	}
}

// applyAttachment detaches or attaches a server and reports whether its name is known.
func (c *Core) applyAttachment(change attachmentChange) bool {
	var changed []mem.Server
	var ok bool
	if change.detach {
		changed, ok = c.servers.Ban(change.name)
	} else {
		changed, ok = c.servers.Unban(change.name, change.at)
	}
	c.applyServers(decision.Delta, changed)
	return ok
}

func (c *Core) applySettings(set settings.Settings) {
	c.set = set
	c.inFlight.SetLimit(set.OpenCap)
	c.inFlightLimit.Store(int64(set.OpenCap))
	c.events = append(c.events, decision.SettingsChanged{Settings: set.Policy})
}

// applyList applies an update of the server list.
func (c *Core) applyList(l ServerList) {
	if l.Kind == decision.ListFailed {
		c.events = append(c.events, decision.ServerList{Kind: l.Kind})
		return
	}
	c.applyServers(l.Kind, c.servers.Apply(l.Kind != decision.Delta, l.Servers, time.Now()))
}

// applyServers passes changed entries of the server list to the transport and to the scheduler. The transport is told at
// once, so that attempts still to be written do not go to a server that is draining or deregistered.
func (c *Core) applyServers(kind decision.ListKind, changed []mem.Server) {
	c.transport.Servers(changed)
	for _, s := range changed {
		if c.search.index != nil { // the server may have restarted, and its bounds are valid for one process only
			c.search.index.Forget(uint32(s.ID))
		}
		c.log.Info("list", "store", s.ID, "name", s.Name, "addr", s.Addr, "cell", s.Cell, "state", stateNames[s.State])
	}
	c.events = append(c.events, decision.ServerList{Kind: kind, Servers: c.serverInfos(changed)})
}

var stateNames = map[decision.ServerState]string{decision.Ready: "ready", decision.Draining: "draining", decision.Deregistered: "gone"}

// serverInfos converts entries of the server list for the scheduler.
func (c *Core) serverInfos(list []mem.Server) []decision.ServerInfo {
	infos := make([]decision.ServerInfo, 0, len(list))
	for _, s := range list {
		i := decision.ServerInfo{ID: s.ID, Zone: s.Zone, Cell: s.Cell, State: s.State, Nominal: s.Weight}
		if !s.Started.IsZero() {
			i.Started = max(c.clockTime(s.Started), 0)
		}
		infos = append(infos, i)
	}
	return infos
}
