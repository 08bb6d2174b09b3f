package gather

import (
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync/atomic"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/mem"
	"pulleygw.example/pulleygw/internal/gatherer/record"
	"pulleygw.example/pulleygw/internal/gatherer/settings"
	"pulleygw.example/pulleygw/policy"
)

// epoch is what the Mixer's clock shows when the daemon starts. It leaves room before it for servers
// that started earlier, as the Mixer takes times of 0 and less for long ago.
const epoch = 5 * time.Minute

// inbox is how many messages may wait for the core before senders do.
const inbox = 4096

// Core owns the Mixer and all tables. Only Run's goroutine touches what stands below quit.
type Core struct {
	transport Transport
	log       *slog.Logger
	seed      uint64
	start     time.Time
	in        chan any
	quit      chan struct{}
	open      atomic.Int64 // queries and parts in hand after the last step
	openCap   atomic.Int64 // as set has it

	set       settings.Settings
	mixer     *policy.Scheduler
	servers   *mem.Servers
	flight    *mem.InFlight[*query, *part]
	out       map[*Attempt]struct{} // attempts that have not ended
	events    []decision.Event      // for the next step
	calls     []call                // of the step at hand
	lastID    uint64
	wakeAt    time.Duration // the Mixer's, 0 for none
	steppedAt time.Duration
	endBy     time.Time // when the last answer is due, zero for no such time
	searches
	gating
	recorder func(record.Entry) // nil for none
}

// query is a request in hand.
type query struct {
	*Request
	parts  []*part // of the first step
	second []*part // of the second, once it has begun
	bytes  int     // of the values that are in
	over   bool    // has its final answer, or its client is gone
	lead
}

// part is one shard's share of a query.
type part struct {
	id       uint64
	q        *query
	res      *PartResult
	attempts []*Attempt
	mayRun   time.Duration // when the first attempt that may have run was sent, 0 for none
	place    int           // of its shard in its query's request
	score    float64       // that came with its value
	closed   bool          // its step, the first of two, has ended
	cut      bool          // it was still to come then
	ask      *Ask          // of a search
	load     *Load         // of a plain second step
}

// New makes a core. The transport must not report before Run.
func New(set settings.Settings, seed uint64, t Transport, logger *slog.Logger) (*Core, error) {
	m, err := policy.New(set.Policy, seed)
	if err != nil {
		return nil, err
	}
	c := &Core{
		set: set, transport: t, log: logger, seed: seed, start: time.Now(), mixer: m,
		in: make(chan any, inbox), quit: make(chan struct{}),
		servers: mem.NewServers(), flight: mem.NewInFlight[*query, *part](set.OpenCap),
		out: map[*Attempt]struct{}{},
	}
	c.openCap.Store(int64(set.OpenCap))
	return c, nil
}

// now is the Mixer's clock: monotonic, from epoch.
func (c *Core) now() time.Duration { return epoch + time.Since(c.start) }

// at turns a time into the Mixer's clock; one fixed offset, so that a time always gives the same.
func (c *Core) at(t time.Time) time.Duration { return epoch + t.Sub(c.start) }

// Run serves until Stop. It returns when the core has stopped.
func (c *Core) Run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		due := c.due()
		for wait := due - c.now(); wait > 0; wait = due - c.now() {
			timer.Reset(wait)
			select {
			case m := <-c.in:
				c.receive(m)
				due = min(due, c.due())
			case <-timer.C:
			case <-c.quit:
				return
			}
		}
	drain:
		for range inbox {
			select {
			case m := <-c.in:
				c.receive(m)
			default:
				break drain
			}
		}
		c.step()
	}
}

// Stop ends Run.
func (c *Core) Stop() { close(c.quit) }

// due is when the next step is wanted: a tick after the last one if anything waits for it, else when the
// Mixer asked to be woken or an attempt's time is up.
func (c *Core) due() time.Duration {
	soonest := c.steppedAt + c.set.Policy.Tick
	if len(c.events) > 0 {
		return soonest
	}
	due := c.steppedAt + time.Minute
	if queries, _ := c.flight.Len(); queries > 0 && !c.endBy.IsZero() {
		due = c.at(c.endBy)
	}
	if c.wakeAt > 0 {
		due = min(due, c.wakeAt)
	}
	for a := range c.out {
		due = min(due, c.dueAt(a))
	}
	return max(min(c.waitingDue(due), c.searchDue(due)), soonest)
}

// step lets the Mixer decide on what came in, and carries out what it wants.
func (c *Core) step() {
	now := c.now()
	c.steppedAt = now
	c.expire(now)
	c.endAll(now)
	c.tickSearches(now)
	c.admitWaiting(now)
	if c.wakeAt > 0 && now >= c.wakeAt {
		c.wakeAt = 0
		c.events = append(c.events, decision.Wake{})
	}
	events := c.events
	c.events = nil // what carrying out brings is for the next step
	actions, err := c.decide(now, events)
	if err != nil {
		c.restart(err)
		return
	}
	for _, a := range actions {
		c.guard(c.concerned(a), func() { c.carryOut(a) })
	}
	c.sendCalls()
	queries, parts := c.flight.Len()
	c.open.Store(int64(queries + parts))
}

func (c *Core) carryOut(a decision.Action) {
	switch a := a.(type) {
	case decision.Send:
		c.route(a)
	case decision.Cancel:
		c.cancel(a)
	case decision.Answer:
		c.relayAnswer(a)
	case decision.Reject:
		c.relayRefusal(a)
	case decision.Fail:
		c.relayFailure(a)
	case decision.HealthCheck:
		c.transport.Probe(a.Server)
	case decision.CloseIdle:
		c.transport.CloseIdle(a.Server)
	case decision.WakeAt:
		c.wakeAt = a.At
	case decision.Log:
		c.log.Info("mixer", "state", a.Text)
	}
}

// concerned is the query that an action is about; nil for none that is in hand.
func (c *Core) concerned(a decision.Action) *query {
	id, part := uint64(0), uint64(0)
	switch a := a.(type) {
	case decision.Send:
		part = uint64(a.Subquery)
	case decision.Cancel:
		part = uint64(a.Subquery)
	case decision.Answer:
		id = uint64(a.Query)
	case decision.Reject:
		id = uint64(a.Query)
	case decision.Fail:
		id = uint64(a.Query)
	}
	if p, ok := c.flight.Part(part); ok {
		return p.q
	}
	q, _ := c.flight.Query(id)
	return q
}

// guard keeps a fault that one query brings out from taking down all that the daemon holds: it fails, and a line tells.
func (c *Core) guard(q *query, f func()) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		name := ""
		if q != nil {
			name = q.Name
		}
		c.log.Error("query panic", "request", name, "reason", p, "stack", string(debug.Stack()))
		if q == nil || q.over {
			return
		}
		c.forgetSearch(q)
		q.plan = nil // what broke must not be asked what came of it
		c.events = append(c.events, decision.ClientGone{Query: decision.QueryID(q.id)})
		c.tellFinal(q, Result{Kind: Failed, Reason: ReasonPanic, Parts: partResults(q.Request)})
	}()
	f()
}

// Load is the share of the in-flight table that is taken. Any goroutine may ask.
func (c *Core) Load() float64 { return float64(c.open.Load()) / float64(c.openCap.Load()) }

// decide runs one step of the Mixer. A panic there must not take down the daemon with all that it holds.
func (c *Core) decide(now time.Duration, events []decision.Event) (actions []decision.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%v\n%s", p, debug.Stack())
		}
	}()
	return c.mixer.Step(now, events), nil
}

// restart ends all that is in hand honestly and goes on with a fresh Mixer on the list as known.
func (c *Core) restart(err error) {
	c.log.Error("mixer panic", "reason", err)
	for a := range c.out {
		c.transport.Cancel(a)
		c.ended(a)
	}
	for _, q := range c.flight.Queries() {
		c.finish(q, Result{Kind: Failed, Reason: ReasonPanic})
	}
	c.seed++
	c.mixer, _ = policy.New(c.set.Policy, c.seed) // New took the same settings before
	c.events, c.calls, c.wakeAt = nil, nil, 0
	c.events = append(c.events, decision.ServerList{Kind: decision.Cached, Servers: c.infos(c.servers.All())})
}
