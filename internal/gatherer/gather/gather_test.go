package gather

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/mem"
	"pulleygw.example/pulleygw/internal/gatherer/settings"
	"pulleygw.example/pulleygw/policy"
)

// transport is a fake Transport that passes its calls to the test.
type transport struct {
	calls   chan []*Attempt
	cancels chan *Attempt
	states  chan decision.ServerState
}

func (t *transport) Servers(changed []mem.Server) {
	for _, s := range changed {
		t.states <- s.State
	}
}
func (t *transport) Call(_ decision.ServerID, a []*Attempt) { t.calls <- a }
func (t *transport) Cancel(a *Attempt)                      { t.cancels <- a }
func (t *transport) HealthCheck(decision.ServerID)          {}
func (t *transport) CloseIdle(decision.ServerID)            {}

// start runs a core with one cell of two servers. Change may reconfigure the core before it runs.
func start(t *testing.T, change func(*Core)) (*Core, *transport) {
	t.Helper()
	set := settings.Settings{Classes: []string{"search", "bid"}, Zones: []string{"a"}, Shards: 100, OpenCap: 60, StreamsPerConn: 32}
	set.Policy = decision.Settings{Instances: 1, Tick: time.Millisecond, Cells: 1, Width: 1, Batch: 8, CallCost: time.Millisecond, MaxAttempts: 4,
		Cancel: true, MaxRetryAfter: 500 * time.Millisecond, Classes: []decision.Class{
			{LatencyTarget: 10 * time.Second, Deadline: 20 * time.Second, CompleteFraction: 1, PartialFraction: 0.7},
			{LatencyTarget: 10 * time.Second, Deadline: 20 * time.Second, CompleteFraction: 1, PartialFraction: 1, Effect: decision.Deduplicated, DeduplicationWindow: 4 * time.Second}}}
	tr := &transport{make(chan []*Attempt, 100), make(chan *Attempt, 100), make(chan decision.ServerState, 100)}
	c, err := New(set, 1, tr, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(c)
	}
	go c.Run()
	t.Cleanup(c.Stop)
	c.UpdateServerList(ServerList{Kind: decision.Cached, Servers: []mem.Server{
		{Name: "s1", Addr: "x", State: decision.Ready}, {Name: "s2", Addr: "y", State: decision.Ready}}})
	return c, tr
}

var requestCount int

// newRequest returns a request to shards 0 to shards-1 whose client times out after wait.
func newRequest(class, shards int, wait time.Duration) *Request {
	requestCount++
	r := &Request{Name: fmt.Sprint(requestCount), Class: class, Deadline: time.Now().Add(wait), Done: make(chan Result, 1)}
	for i := range shards {
		r.Shards = append(r.Shards, Shard{i, 1 / float64(shards)})
	}
	return r
}

// collect receives calls until they have n attempts in all.
func collect(t *testing.T, tr *transport, n int) (all []*Attempt) {
	t.Helper()
	for len(all) < n {
		call := <-tr.calls
		if len(call) > 8 {
			t.Errorf("call has %d attempts, more than the batch size", len(call))
		}
		all = append(all, call...)
	}
	return all
}

// Subqueries are sent in calls of at most the batch size, and the answer is complete once all have been answered.
func TestCompleteAnswer(t *testing.T) {
	c, tr := start(t, nil)
	r := newRequest(0, 20, 20*time.Second)
	c.Submit(r)
	for n := 0; n < 20; {
		for _, a := range collect(t, tr, 1) {
			c.Outcome(a, decision.OK, fmt.Sprint("v", a.Shard))
			n++
		}
	}
	res := <-r.Done
	if res.Kind != Answered || !res.Complete || len(res.Shards) != 20 || res.Shards[7].Value != "v7" || res.Shards[7].Attempts != 1 {
		t.Errorf("%+v", res)
	}
}

// A full in-flight table rejects at once and says when to retry.
func TestFullInFlightTable(t *testing.T) {
	c, _ := start(t, nil)
	c.Submit(newRequest(0, 50, 20*time.Second))
	r := newRequest(0, 10, 20*time.Second)
	c.Submit(r)
	if res := <-r.Done; res.Kind != Rejected || res.Reason != ReasonFull || res.RetryAfter <= 0 {
		t.Errorf("%+v", res)
	}
}

// A request fails if one of the same name is in flight, as lot stores could not tell the two apart.
func TestDuplicateName(t *testing.T) {
	c, _ := start(t, nil)
	first, second := newRequest(0, 1, 20*time.Second), newRequest(0, 1, 20*time.Second)
	second.Name = first.Name
	c.Submit(first)
	c.Submit(second)
	if res := <-second.Done; res.Kind != Failed || res.Reason != ReasonDuplicate {
		t.Errorf("%+v", res)
	}
}

// If no server answers, there is still exactly one final answer before the client times out, and the attempt in flight is
// cancelled.
func TestNoServerAnswers(t *testing.T) {
	c, tr := start(t, func(c *Core) { // the short latency target makes the scheduler admit the request
		c.set.Policy.Classes[1].LatencyTarget = 100 * time.Millisecond
		c.scheduler, _ = policy.New(c.set.Policy, 1)
	})
	r := newRequest(1, 1, 2*time.Second)
	c.Submit(r)
	a := <-tr.calls
	res := <-r.Done
	if res.Kind != Failed || res.Reason != ReasonDeadline || res.Shards[0].OK {
		t.Errorf("%+v", res)
	}
	if got := <-tr.cancels; got != a[0] {
		t.Errorf("cancelled %+v, want %+v", got, a[0])
	}
	c.Outcome(a[0], decision.OK, "late") // an answer that was sent before the cancellation arrived is ignored
	if len(r.Done) != 0 {
		t.Error("a second final answer was sent")
	}
}

// A retry of a deduplicated subquery has the end of its deduplication window as NotAfter. The window starts with the first
// attempt that may have run; an attempt that never ran does not start it.
func TestDeduplicationWindow(t *testing.T) {
	c, tr := start(t, nil)
	r := newRequest(1, 1, 20*time.Second)
	c.Submit(r)
	first := (<-tr.calls)[0]
	c.Outcome(first, decision.Rejected, "")
	second := (<-tr.calls)[0]
	c.Outcome(second, decision.Error, "")
	third := (<-tr.calls)[0]
	if !first.NotAfter.IsZero() || !second.NotAfter.IsZero() {
		t.Errorf("NotAfter is %v and %v before any attempt may have run", first.NotAfter, second.NotAfter)
	}
	sent := second.Deadline.Add(-20 * time.Second) // roughly when it was sent
	if third.NotAfter.IsZero() || third.NotAfter.After(time.Now().Add(4*time.Second)) || third.NotAfter.Before(sent.Add(3*time.Second)) {
		t.Errorf("NotAfter is %v, want about 4 s after %v", third.NotAfter, sent)
	}
	c.Outcome(third, decision.OK, "v")
	if res := <-r.Done; !res.Complete || res.Shards[0].Attempts != 3 {
		t.Errorf("%+v", res)
	}
}

// A partial answer becomes a failure if the client accepts only complete ones.
func TestCompleteOnly(t *testing.T) {
	for _, completeOnly := range []bool{false, true} {
		c, tr := start(t, func(c *Core) { c.set.Policy.MaxAttempts = 1; c.scheduler, _ = policy.New(c.set.Policy, 1) })
		r := newRequest(0, 4, 20*time.Second)
		r.CompleteOnly = completeOnly
		c.Submit(r)
		for _, a := range collect(t, tr, 4) {
			s := decision.OK
			if a.Shard == 2 {
				s = decision.Error
			}
			c.Outcome(a, s, "v")
		}
		res := <-r.Done
		if !completeOnly && (res.Kind != Answered || res.Complete) || completeOnly && (res.Kind != Failed || res.Reason != ReasonPartial) {
			t.Errorf("complete only %v: %+v", completeOnly, res)
		}
		if res.Shards[2].OK || res.Shards[2].Last != decision.Error || res.Shards[2].Pending {
			t.Errorf("%+v", res.Shards[2])
		}
	}
}

// The transport is told of a draining server, and nothing more is sent to that server.
func TestDrainingServer(t *testing.T) {
	c, tr := start(t, nil)
	c.UpdateServerList(ServerList{Servers: []mem.Server{{Name: "s1", Addr: "x", State: decision.Draining}}})
	for _, want := range []decision.ServerState{decision.Ready, decision.Ready, decision.Draining} {
		if got := <-tr.states; got != want {
			t.Errorf("state %v, want %v", got, want)
		}
	}
	for range 3 {
		r := newRequest(1, 1, 20*time.Second)
		c.Submit(r)
		a := (<-tr.calls)[0]
		if a.Server != 2 {
			t.Errorf("sent to server %d", a.Server)
		}
		c.Outcome(a, decision.OK, "v")
		<-r.Done
	}
}

// A panic of the scheduler fails the requests in flight, and the next request is served by a new scheduler.
func TestSchedulerPanic(t *testing.T) {
	r := newRequest(0, 1, 20*time.Second)
	c, tr := start(t, func(c *Core) {
		c.scheduler = nil
		c.Submit(r) // before Run, so that it is in flight at the first step, which panics
	})
	if res := <-r.Done; res.Kind != Failed || res.Reason != ReasonPanic {
		t.Errorf("%+v", res)
	}
	r = newRequest(0, 1, 20*time.Second)
	c.Submit(r)
	c.Outcome((<-tr.calls)[0], decision.OK, "v")
	if res := <-r.Done; !res.Complete {
		t.Errorf("%+v", res)
	}
}

// A value that exceeds the maximum size of an answer counts as an error of the lot store and is not kept.
func TestValueTooLarge(t *testing.T) {
	c, tr := start(t, nil)
	r := newRequest(0, 1, 20*time.Second)
	c.Submit(r)
	for range 4 {
		c.Outcome((<-tr.calls)[0], decision.OK, string(make([]byte, maxValueBytes+1)))
	}
	if res := <-r.Done; res.Kind == Answered || res.Shards[0].Value != "" {
		t.Errorf("kind %v with a value of %d bytes", res.Kind, len(res.Shards[0].Value))
	}
}
