package gather

import (
	"time"

	"pulleygw.example/pulleygw/internal/mem"
	"pulleygw.example/pulleygw/policy"
)

// Take in: what fronts, transport and discovery tell comes through one channel, and becomes events of
// the next step here.

type (
	left    struct{ r *Request }
	outcome struct {
		a     *Attempt
		s     policy.Status
		value string
	}
	probed struct {
		server policy.ServerID
		ok     bool
	}
)

// Submit hands a request over. Its final answer comes on Done.
func (c *Core) Submit(r *Request) { c.tell(r) }

// Leave tells that a request's client has gone away. There is no answer then, unless one was under way.
func (c *Core) Leave(r *Request) { c.tell(left{r}) }

// List tells news of the server list.
func (c *Core) List(l List) { c.tell(l) }

// Outcome implements Reporter.
func (c *Core) Outcome(a *Attempt, s policy.Status, value string) { c.tell(outcome{a, s, value}) }

// Probed implements Reporter.
func (c *Core) Probed(server policy.ServerID, ok bool) { c.tell(probed{server, ok}) }

func (c *Core) tell(m any) {
	select {
	case c.in <- m:
	case <-c.quit:
	}
}

func (c *Core) take(m any) {
	switch m := m.(type) {
	case *Request:
		c.admit(m)
	case left:
		if q, ok := c.flight.Query(m.r.id); ok && q.Request == m.r {
			c.events = append(c.events, policy.ClientLeft{Query: policy.QueryID(m.r.id)})
			c.forget(q)
		}
	case outcome:
		c.book(m.a, m.s, m.value)
	case probed:
		c.events = append(c.events, policy.Probed{Server: m.server, OK: m.ok})
	case List:
		c.list(m)
	}
}

// list brings the list up to date. The transport hears of it first, so that nothing that waits to be
// written goes to a server that drains or is gone.
func (c *Core) list(l List) {
	if l.Kind == policy.ListFailed {
		c.events = append(c.events, policy.ServerList{Kind: l.Kind})
		return
	}
	news := c.servers.Apply(l.Kind != policy.Delta, l.Servers, time.Now())
	c.transport.Servers(news)
	for _, s := range news {
		c.log.Printf("list: server=%d name=%s addr=%s cell=%d state=%s", s.ID, s.Name, s.Addr, s.Cell, stateNames[s.State])
	}
	c.events = append(c.events, policy.ServerList{Kind: l.Kind, Servers: c.infos(news)})
}

var stateNames = map[policy.ServerState]string{policy.Ready: "ready", policy.Draining: "draining", policy.Gone: "gone"}

// infos gives lines of the list the Mixer's form.
func (c *Core) infos(list []mem.Server) []policy.ServerInfo {
	infos := make([]policy.ServerInfo, 0, len(list))
	for _, s := range list {
		i := policy.ServerInfo{ID: s.ID, Zone: s.Zone, Cell: s.Cell, State: s.State, Nominal: s.Weight}
		if !s.Born.IsZero() {
			i.Started = max(c.at(s.Born), 0)
		}
		infos = append(infos, i)
	}
	return infos
}
