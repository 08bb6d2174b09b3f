package gather

import (
	"log/slog"
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/audit"
	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/limits"
	"pulleygw.example/pulleygw/internal/gatherer/mem"
	"pulleygw.example/pulleygw/internal/gatherer/record"
)

// stepDelay is the delay that a busy machine may cause between two operations of the core in one step.
const stepDelay = 3 * time.Millisecond

// stepsToSend is enough steps for the scheduler to send everything that it can.
const stepsToSend = 5

// busyWait keeps the goroutine running for a span of time.
func busyWait(span time.Duration) {
	for started := time.Now(); time.Since(started) < span; {
	}
}

// manualCore returns a core without a running goroutine: the test calls receive and step itself.
func manualCore(t *testing.T) (*Core, *transport) {
	t.Helper()
	running, tr := start(t, nil)
	c, err := New(running.set, 1, tr, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	c.UpdateServerList(ServerList{Kind: decision.Cached, Servers: []mem.Server{
		{Name: "s1", Addr: "x", State: decision.Ready}, {Name: "s2", Addr: "y", State: decision.Ready}}})
	receiveAll(c)
	return c, tr
}

// receiveAll handles all queued messages.
func receiveAll(c *Core) {
	for len(c.inbox) > 0 {
		c.receive(<-c.inbox)
	}
}

// sentAttempts returns the attempts that have been sent since the last call.
func sentAttempts(tr *transport) (attempts []*Attempt) {
	for len(tr.calls) > 0 {
		attempts = append(attempts, <-tr.calls...)
	}
	return attempts
}

// When one step ends an attempt and sends the next one of the same subquery, the record has the second sent after the end
// of the first, however long the step takes. Recording the time of the step for both would make them seem to overlap.
func TestRecordedAttemptsOfOneStepDoNotOverlap(t *testing.T) {
	c, tr := manualCore(t)
	log := audit.New()
	c.SetRecorder(func(e record.Entry) {
		log.Add(e)
		if e.Kind == record.Attempt {
			busyWait(stepDelay)
		}
	})
	const shards = 4
	c.Submit(newRequest(0, shards, 20*time.Second))
	receiveAll(c)
	var first, again []*Attempt
	for range stepsToSend {
		c.step()
		first = append(first, sentAttempts(tr)...)
	}
	if len(first) != shards {
		t.Fatalf("%d attempts sent of %d", len(first), shards)
	}
	for _, a := range first { // confirm the cancellations, so that the subqueries may be sent elsewhere
		a.cancelDueAt = c.now()
	}
	for range stepsToSend {
		c.step()
		again = append(again, sentAttempts(tr)...)
	}
	for _, a := range again {
		c.Outcome(a, decision.OK, "v")
	}
	receiveAll(c)
	if r := log.Report(); len(r.Violations) > 0 || r.Attempts != 2*shards {
		t.Errorf("%d attempts, violations %v", r.Attempts, r.Violations)
	}
}

// The rate limit is applied at the recorded time of arrival, however long the core takes to decide. Reading the clock again
// would admit a request that the record shows as too early.
func TestRateLimitUsesRecordedArrivalTime(t *testing.T) {
	c, _ := manualCore(t)
	log := audit.New()
	c.SetRecorder(log.Add)
	const span = 4 * stepDelay // between two requests
	rate := limits.Rate{PerSecond: float64(time.Second) / float64(span), Burst: 1}
	table, conflicts := limits.NewTable([]*limits.Route{{Name: "slow", Limits: limits.Limits{Rate: rate}}})
	if conflicts != nil {
		t.Fatal(conflicts[0])
	}
	delayed := false
	c.applyLimits(Limits{Table: table, Class: func(_ *limits.Route, class int) int {
		if delayed {
			busyWait(stepDelay)
		}
		return class
	}})
	const rounds = 10
	for range rounds { // the second request of each round is too early on arrival, but no longer after the delay
		for _, delayed = range []bool{false, true} {
			r := newRequest(0, 1, 20*time.Second)
			r.Origin = &limits.Request{}
			c.arrive(r)
			busyWait(span - stepDelay + stepDelay/8)
		}
		busyWait(span)
	}
	if r := log.Report(); len(r.Violations) > 0 || r.Requests != 2*rounds {
		t.Errorf("recorded %d requests (%d rejected), violations %v", r.Requests, r.Rejected, r.Violations)
	}
}
