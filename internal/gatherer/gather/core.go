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

// epoch is the time on the scheduler's clock when the daemon starts. It is above 0 so that servers that started shortly
// before the daemon have a positive start time: the scheduler takes 0 and less as long ago.
const epoch = 5 * time.Minute

// inboxSize is how many messages may be queued for the core before senders block.
const inboxSize = 4096

// Core executes requests. It owns the scheduler and all tables. Create it with New, configure it, then call Run in a
// goroutine.
type Core struct {
	transport     Transport
	log           *slog.Logger
	seed          uint64
	start         time.Time
	inbox         chan any
	quit          chan struct{}
	inFlightCount atomic.Int64 // queries and subqueries in flight after the last step
	inFlightLimit atomic.Int64 // copy of set.OpenCap that any goroutine may read

	// Only the goroutine of Run accesses the fields below.

	set       settings.Settings
	scheduler *policy.Scheduler
	servers   *mem.Servers
	inFlight  *mem.InFlight[*query, *subquery]
	attempts  map[*Attempt]struct{} // attempts that have not ended
	events    []decision.Event      // for the next step
	calls     []call                // of the current step
	lastID    uint64
	wakeAt    time.Duration // when the scheduler asked to be woken, 0 for never
	steppedAt time.Duration // time of the last step
	endBy     time.Time     // at shutdown: when every request must have its final answer; zero before that
	search    searchState
	admission admission
	recorder  func(record.Entry) // nil for none
}

// query is a request in flight.
type query struct {
	*Request
	subqueries       []*subquery // of the first step
	secondSubqueries []*subquery // of the second step, once it has begun
	bytes            int         // total size of the values and answers received
	ended            bool        // it has its final answer, or its client has disconnected

	plan      *search.Plan  // of a search, else nil
	startedAt time.Duration // when the plan was started
}

// subquery is the part of a query that one shard answers.
type subquery struct {
	id               uint64
	q                *query
	res              *ShardResult
	attempts         []*Attempt
	mayHaveRunAt     time.Duration // when the first attempt that may have run was sent, 0 for none
	index            int           // of its shard in Request.Shards
	score            float64       // score reported with the value
	stepEnded        bool          // the first step has ended, so that later answers to it are ignored
	pendingAtStepEnd bool          // it was still pending when the first step ended
	search           *ShardSearch  // of a search, else nil
	firstStep        *FirstStep    // of a second step by score, else nil
}

// New returns a core. The transport must not report anything before Run is called.
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
	c.inFlightLimit.Store(int64(set.OpenCap))
	return c, nil
}

// now returns the time on the scheduler's clock, which is monotonic and starts at epoch.
func (c *Core) now() time.Duration { return epoch + time.Since(c.start) }

// clockTime converts a time to the scheduler's clock by a fixed offset, so that equal times give equal results.
func (c *Core) clockTime(t time.Time) time.Duration { return epoch + t.Sub(c.start) }

// Run handles messages and makes steps until Stop is called.
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

// Stop makes Run return. It must be called once only.
func (c *Core) Stop() { close(c.quit) }

// due returns when the next step is due: a tick after the last one if events are pending, otherwise at the first time at
// which the scheduler asked to be woken, an attempt ends, a wait in a queue is over, a plan must continue, or all requests
// must end.
func (c *Core) due() time.Duration {
	soonest := c.steppedAt + c.set.Policy.Tick
	if len(c.events) > 0 {
		return soonest
	}
	due := c.steppedAt + time.Minute
	if queries, _ := c.inFlight.Len(); queries+len(c.admission.queued) > 0 && !c.endBy.IsZero() {
		due = c.clockTime(c.endBy)
	}
	if c.wakeAt > 0 {
		due = min(due, c.wakeAt)
	}
	for a := range c.attempts {
		due = min(due, c.dueAt(a))
	}
	return max(min(c.queueDue(due), c.searchDue(due)), soonest)
}

// step passes the pending events to the scheduler and carries out the actions that it returns.
func (c *Core) step() {
	now := c.now()
	c.steppedAt = now
	c.expire(now)
	c.endAllIfDue(now)
	c.tickSearches(now)
	c.admitQueued(now)
	if c.wakeAt > 0 && now >= c.wakeAt {
		c.wakeAt = 0
		c.events = append(c.events, decision.Wake{})
	}
	events := c.events
	c.events = nil // events caused by executing the actions are for the next step
	actions, err := c.decide(now, events)
	if err != nil {
		c.restart(err)
		return
	}
	for _, a := range actions {
		c.failOnPanic(c.queryOf(a), func() { c.execute(a) })
	}
	c.sendCalls()
	queries, subqueries := c.inFlight.Len()
	c.inFlightCount.Store(int64(queries + subqueries))
}

// execute executes one action of the scheduler.
func (c *Core) execute(a decision.Action) {
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

// queryOf returns the query in flight that an action refers to, nil if there is none.
func (c *Core) queryOf(a decision.Action) *query {
	id, subqueryID := uint64(0), uint64(0)
	switch a := a.(type) {
	case decision.Send:
		subqueryID = uint64(a.Subquery)
	case decision.Cancel:
		subqueryID = uint64(a.Subquery)
	case decision.Answer:
		id = uint64(a.Query)
	case decision.Reject:
		id = uint64(a.Query)
	case decision.Fail:
		id = uint64(a.Query)
	}
	if p, ok := c.inFlight.Subquery(subqueryID); ok {
		return p.q
	}
	q, _ := c.inFlight.Query(id)
	return q
}

// failOnPanic runs f on behalf of a query, which may be nil. A panic is logged and fails only that query.
func (c *Core) failOnPanic(q *query, f func()) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		name := ""
		if q != nil {
			name = q.Name
		}
		c.log.Error("panic while handling a query", "request", name, "reason", p, "stack", string(debug.Stack()))
		if q == nil || q.ended {
			return
		}
		c.releaseSearch(q)
		q.plan = nil // a plan that panicked must not be used for the result
		c.events = append(c.events, decision.ClientDisconnected{Query: decision.QueryID(q.id)})
		c.deliver(q, Result{Kind: Failed, Reason: ReasonPanic, Shards: emptyShardResults(q.Request)})
	}()
	f()
}

// Utilization returns the fraction of the in-flight table that is in use. It is safe for concurrent use.
func (c *Core) Utilization() float64 {
	return float64(c.inFlightCount.Load()) / float64(c.inFlightLimit.Load())
}

// decide runs one step of the scheduler. It returns a panic as an error, as it must not stop the daemon.
func (c *Core) decide(now time.Duration, events []decision.Event) (actions []decision.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%v\n%s", p, debug.Stack())
		}
	}()
	return c.scheduler.Step(now, events), nil
}

// restart replaces a scheduler that panicked by a new one with the known server list, and fails all requests in flight.
func (c *Core) restart(err error) {
	c.log.Error("scheduler panic; restarting it", "reason", err)
	for a := range c.attempts {
		c.transport.Cancel(a)
		c.removeAttempt(a)
	}
	for _, q := range c.inFlight.Queries() {
		c.finish(q, Result{Kind: Failed, Reason: ReasonPanic})
	}
	c.seed++
	c.scheduler, _ = policy.New(c.set.Policy, c.seed) // no error: the settings have been checked before
	c.events, c.calls, c.wakeAt = nil, nil, 0
	c.events = append(c.events, decision.ServerList{Kind: decision.Cached, Servers: c.serverInfos(c.servers.All())})
}
