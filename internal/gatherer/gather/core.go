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
	"pulleygw.example/pulleygw/internal/gatherer/search"
	"pulleygw.example/pulleygw/internal/gatherer/settings"
	"pulleygw.example/pulleygw/policy"
)

// epoch is the time on the scheduler's clock when the daemon starts. It leaves room before it for servers that started
// earlier, as the scheduler takes times of 0 and less for long ago.
const epoch = 5 * time.Minute

// inboxSize is how many messages may be queued for the core before senders block.
const inboxSize = 4096

// Core owns the scheduler and all tables. Create it with New, configure it, then call Run in a goroutine.
type Core struct {
	transport Transport
	log       *slog.Logger
	seed      uint64
	start     time.Time
	inbox     chan any
	quit      chan struct{}
	open      atomic.Int64 // queries and subqueries in flight after the last step
	openCap   atomic.Int64 // as set has it

	// The goroutine of Run owns the fields below.

	set       settings.Settings
	scheduler *policy.Scheduler
	servers   *mem.Servers
	inFlight  *mem.InFlight[*query, *subquery]
	attempts  map[*Attempt]struct{} // attempts that have not ended
	events    []decision.Event      // for the next step
	calls     []call                // of the current step
	lastID    uint64
	wakeAt    time.Duration // as the scheduler asked, 0 for none
	steppedAt time.Duration
	endBy     time.Time // every request gets its final answer by then; zero for no such time
	search    searchState
	admission admission
	recorder  func(record.Entry) // nil for none
}

// query is a request in flight.
type query struct {
	*Request
	subqueries []*subquery // of the first step
	second     []*subquery // of the second, once it has begun
	bytes      int         // of the values received
	over       bool        // has its final answer, or its client has disconnected

	plan      *search.Plan  // of a search; nil for any other
	startedAt time.Duration // of the plan
}

// subquery is one shard's part of a query.
type subquery struct {
	id         uint64
	q          *query
	res        *ShardResult
	attempts   []*Attempt
	mayRun     time.Duration // when the first attempt that may have run was sent, 0 for none
	index      int           // of its shard in its query's request
	score      float64       // that came with its value
	closed     bool          // its step, the first of two, has ended
	unfinished bool          // it was still pending then
	search     *ShardSearch  // of a search
	load       *Load         // of a plain second step
}

// New makes a core. The transport must not report before Run.
func New(set settings.Settings, seed uint64, t Transport, logger *slog.Logger) (*Core, error) {
	scheduler, err := policy.New(set.Policy, seed)
	if err != nil {
		return nil, err
	}
	c := &Core{
		set: set, transport: t, log: logger, seed: seed, start: time.Now(), scheduler: scheduler,
		inbox: make(chan any, inboxSize), quit: make(chan struct{}),
		servers: mem.NewServers(), inFlight: mem.NewInFlight[*query, *subquery](set.OpenCap),
		attempts: map[*Attempt]struct{}{},
	}
	c.openCap.Store(int64(set.OpenCap))
	return c, nil
}

// now is the time on the scheduler's clock: monotonic, from epoch.
func (c *Core) now() time.Duration { return epoch + time.Since(c.start) }

// at converts a time to the scheduler's clock by a fixed offset, so that a time always gives the same result.
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
			case m := <-c.inbox:
				c.receive(m)
				due = min(due, c.due())
			case <-timer.C:
			case <-c.quit:
				return
			}
		}
	drain:
		for range inboxSize {
			select {
			case m := <-c.inbox:
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

// due is when the next step is due: a tick after the last one if events are pending, else when the scheduler asked to
// be woken or an attempt times out.
func (c *Core) due() time.Duration {
	soonest := c.steppedAt + c.set.Policy.Tick
	if len(c.events) > 0 {
		return soonest
	}
	due := c.steppedAt + time.Minute
	if queries, _ := c.inFlight.Len(); queries > 0 && !c.endBy.IsZero() {
		due = c.at(c.endBy)
	}
	if c.wakeAt > 0 {
		due = min(due, c.wakeAt)
	}
	for a := range c.attempts {
		due = min(due, c.dueAt(a))
	}
	return max(min(c.waitingDue(due), c.searchDue(due)), soonest)
}

// step passes the pending events to the scheduler and carries out the actions that it returns.
func (c *Core) step() {
	now := c.now()
	c.steppedAt = now
	c.expire(now)
	c.endAllDue(now)
	c.tickSearches(now)
	c.admitWaiting(now)
	if c.wakeAt > 0 && now >= c.wakeAt {
		c.wakeAt = 0
		c.events = append(c.events, decision.Wake{})
	}
	events := c.events
	c.events = nil // events of carrying out the actions are for the next step
	actions, err := c.decide(now, events)
	if err != nil {
		c.restart(err)
		return
	}
	for _, a := range actions {
		c.guard(c.queryOf(a), func() { c.carryOut(a) })
	}
	c.sendCalls()
	queries, parts := c.inFlight.Len()
	c.open.Store(int64(queries + parts))
}

// carryOut carries out one action of the scheduler.
func (c *Core) carryOut(a decision.Action) {
	switch a := a.(type) {
	case decision.Send:
		c.addSend(a)
	case decision.Cancel:
		c.cancel(a)
	case decision.Answer:
		c.relayAnswer(a)
	case decision.Reject:
		c.relayRejection(a)
	case decision.Fail:
		c.relayFailure(a)
	case decision.HealthCheck:
		c.transport.HealthCheck(a.Server)
	case decision.CloseIdle:
		c.transport.CloseIdle(a.Server)
	case decision.WakeAt:
		c.wakeAt = a.At
	case decision.Log:
		c.log.Info("mixer", "state", a.Text)
	}
}

// queryOf is the query that an action is about; nil for none that is in flight.
func (c *Core) queryOf(a decision.Action) *query {
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
	if p, ok := c.inFlight.Subquery(part); ok {
		return p.q
	}
	q, _ := c.inFlight.Query(id)
	return q
}

// guard recovers a panic that one query causes: the query fails and the panic is logged, while all others go on.
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
		q.plan = nil // a plan that panicked must not be asked for its result
		c.events = append(c.events, decision.ClientDisconnected{Query: decision.QueryID(q.id)})
		c.deliver(q, Result{Kind: Failed, Reason: ReasonPanic, Shards: shardResults(q.Request)})
	}()
	f()
}

// Load is the fraction of the in-flight table that is in use. Any goroutine may call it.
func (c *Core) Load() float64 { return float64(c.open.Load()) / float64(c.openCap.Load()) }

// decide runs one step of the scheduler. A panic there is returned as an error: it must not stop the daemon.
func (c *Core) decide(now time.Duration, events []decision.Event) (actions []decision.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%v\n%s", p, debug.Stack())
		}
	}()
	return c.scheduler.Step(now, events), nil
}

// restart fails all requests in flight and continues with a new scheduler and the known server list.
func (c *Core) restart(err error) {
	c.log.Error("mixer panic", "reason", err)
	for a := range c.attempts {
		c.transport.Cancel(a)
		c.removeAttempt(a)
	}
	for _, q := range c.inFlight.Queries() {
		c.finish(q, Result{Kind: Failed, Reason: ReasonPanic})
	}
	c.seed++
	c.scheduler, _ = policy.New(c.set.Policy, c.seed) // New has accepted the same settings before
	c.events, c.calls, c.wakeAt = nil, nil, 0
	c.events = append(c.events, decision.ServerList{Kind: decision.Cached, Servers: c.serverInfos(c.servers.All())})
}
