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

// transport is a stand-in that hands calls over to the test.
type transport struct {
	calls   chan []*Attempt
	cancels chan *Attempt
	states  chan decision.ServerState
}

func (t *transport) Servers(news []mem.Server) {
	for _, s := range news {
		t.states <- s.State
	}
}
func (t *transport) Call(_ decision.ServerID, a []*Attempt) { t.calls <- a }
func (t *transport) Cancel(a *Attempt)                      { t.cancels <- a }
func (t *transport) Probe(decision.ServerID)                {}
func (t *transport) CloseIdle(decision.ServerID)            {}

// start runs a core with one cell of two servers.
func start(t *testing.T, change func(*Core)) (*Core, *transport) {
	set := settings.Settings{Classes: []string{"search", "bid"}, Zones: []string{"a"}, Shards: 100, OpenCap: 60, StreamsPerConn: 32}
	set.Policy = decision.Settings{Instances: 1, Tick: time.Millisecond, Cells: 1, Width: 1, Batch: 8, CallCost: time.Millisecond, MaxAttempts: 4,
		Cancel: true, MaxRetryAfter: 500 * time.Millisecond, Classes: []decision.Class{
			{LatencyTarget: 10 * time.Second, Deadline: 20 * time.Second, Need: 1, Floor: 0.7},
			{LatencyTarget: 10 * time.Second, Deadline: 20 * time.Second, Need: 1, Floor: 1, Effect: decision.Deduplicated, Window: 4 * time.Second}}}
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
	c.List(List{Kind: decision.Cached, Servers: []mem.Server{
		{Name: "s1", Addr: "x", State: decision.Ready}, {Name: "s2", Addr: "y", State: decision.Ready}}})
	return c, tr
}

var names int

func ask(class, parts int, wait time.Duration) *Request {
	names++
	r := &Request{Name: fmt.Sprint(names), Class: class, Deadline: time.Now().Add(wait), Done: make(chan Result, 1)}
	for i := range parts {
		r.Shards = append(r.Shards, Shard{i, 1 / float64(parts)})
	}
	return r
}

// collect takes calls until so many attempts are out.
func collect(t *testing.T, tr *transport, n int) (all []*Attempt) {
	for len(all) < n {
		call := <-tr.calls
		if len(call) > 8 {
			t.Errorf("a call of %d parts", len(call))
		}
		all = append(all, call...)
	}
	return all
}

// Parts go in calls of at most the batch, and the answer is whole once all are in.
func TestWhole(t *testing.T) {
	c, tr := start(t, nil)
	r := ask(0, 20, 20*time.Second)
	c.Submit(r)
	for n := 0; n < 20; {
		for _, a := range collect(t, tr, 1) {
			c.Outcome(a, decision.OK, fmt.Sprint("v", a.Shard))
			n++
		}
	}
	res := <-r.Done
	if res.Kind != Answered || !res.Whole || len(res.Parts) != 20 || res.Parts[7].Value != "v7" || res.Parts[7].Attempts != 1 {
		t.Errorf("%+v", res)
	}
}

// A full table refuses at once and says when to come back.
func TestFullTable(t *testing.T) {
	c, _ := start(t, nil)
	c.Submit(ask(0, 50, 20*time.Second))
	r := ask(0, 10, 20*time.Second)
	c.Submit(r)
	if res := <-r.Done; res.Kind != Refused || res.Reason != ReasonFull || res.RetryAfter <= 0 {
		t.Errorf("%+v", res)
	}
}

// Two requests of one name could not be told apart at the lot stores: the second fails.
func TestDuplicateName(t *testing.T) {
	c, _ := start(t, nil)
	first, second := ask(0, 1, 20*time.Second), ask(0, 1, 20*time.Second)
	second.Name = first.Name
	c.Submit(first)
	c.Submit(second)
	if res := <-second.Done; res.Kind != Failed || res.Reason != ReasonDuplicate {
		t.Errorf("%+v", res)
	}
}

// Silence everywhere still ends in one final answer before the client's time is up, and what is out is
// cancelled.
func TestSilence(t *testing.T) {
	c, tr := start(t, func(c *Core) { // its usual answers are quick, so that it is admitted
		c.set.Policy.Classes[1].LatencyTarget = 100 * time.Millisecond
		c.mixer, _ = policy.New(c.set.Policy, 1)
	})
	r := ask(1, 1, 2*time.Second)
	c.Submit(r)
	a := <-tr.calls
	res := <-r.Done
	if res.Kind != Failed || res.Reason != ReasonDeadline || res.Parts[0].OK {
		t.Errorf("%+v", res)
	}
	if got := <-tr.cancels; got != a[0] {
		t.Errorf("cancelled %+v", got)
	}
	c.Outcome(a[0], decision.OK, "late") // crosses the cancel, and changes nothing
	if len(r.Done) != 0 {
		t.Error("a second final answer")
	}
}

// A keyed part's repeat carries the end of its window, counted from the first attempt that may have run;
// one that never ran starts no window.
func TestKeyedWindow(t *testing.T) {
	c, tr := start(t, nil)
	r := ask(1, 1, 20*time.Second)
	c.Submit(r)
	first := (<-tr.calls)[0]
	c.Outcome(first, decision.Rejected, "")
	second := (<-tr.calls)[0]
	c.Outcome(second, decision.Error, "")
	third := (<-tr.calls)[0]
	if !first.NotAfter.IsZero() || !second.NotAfter.IsZero() {
		t.Errorf("windows %v, %v before anything ran", first.NotAfter, second.NotAfter)
	}
	sent := second.Until.Add(-20 * time.Second) // within the clock's reading of the submit
	if third.NotAfter.IsZero() || third.NotAfter.After(time.Now().Add(4*time.Second)) || third.NotAfter.Before(sent.Add(3*time.Second)) {
		t.Errorf("window ends %v", third.NotAfter)
	}
	c.Outcome(third, decision.OK, "v")
	if res := <-r.Done; !res.Whole || res.Parts[0].Attempts != 3 {
		t.Errorf("%+v", res)
	}
}

// An answer from part of the weight fails where the client allows none.
func TestWholeOnly(t *testing.T) {
	for _, whole := range []bool{false, true} {
		c, tr := start(t, func(c *Core) { c.set.Policy.MaxAttempts = 1; c.mixer, _ = policy.New(c.set.Policy, 1) })
		r := ask(0, 4, 20*time.Second)
		r.WholeOnly = whole
		c.Submit(r)
		for _, a := range collect(t, tr, 4) {
			s := decision.OK
			if a.Shard == 2 {
				s = decision.Error
			}
			c.Outcome(a, s, "v")
		}
		res := <-r.Done
		if !whole && (res.Kind != Answered || res.Whole) || whole && (res.Kind != Failed || res.Reason != ReasonPartial) {
			t.Errorf("whole only %v: %+v", whole, res)
		}
		if res.Parts[2].OK || res.Parts[2].Last != decision.Error || res.Parts[2].Waiting {
			t.Errorf("%+v", res.Parts[2])
		}
	}
}

// The transport hears of a drain, and nothing goes to that server afterwards.
func TestDrainingServer(t *testing.T) {
	c, tr := start(t, nil)
	c.List(List{Servers: []mem.Server{{Name: "s1", Addr: "x", State: decision.Draining}}})
	for _, want := range []decision.ServerState{decision.Ready, decision.Ready, decision.Draining} {
		if got := <-tr.states; got != want {
			t.Errorf("state %v, want %v", got, want)
		}
	}
	for range 3 {
		r := ask(1, 1, 20*time.Second)
		c.Submit(r)
		a := (<-tr.calls)[0]
		if a.Server != 2 {
			t.Errorf("sent to server %d", a.Server)
		}
		c.Outcome(a, decision.OK, "v")
		<-r.Done
	}
}

// A panic of the Mixer ends what is in hand honestly, and the next request is served.
func TestMixerPanic(t *testing.T) {
	r := ask(0, 1, 20*time.Second)
	c, tr := start(t, func(c *Core) {
		c.mixer = nil
		c.Submit(r) // before Run, so that it is in hand at the first step, the one that panics
	})
	if res := <-r.Done; res.Kind != Failed || res.Reason != ReasonPanic {
		t.Errorf("%+v", res)
	}
	r = ask(0, 1, 20*time.Second)
	c.Submit(r)
	c.Outcome((<-tr.calls)[0], decision.OK, "v")
	if res := <-r.Done; !res.Whole {
		t.Errorf("%+v", res)
	}
}

// Values of more than an answer can hold are not kept.
func TestTooManyBytes(t *testing.T) {
	c, tr := start(t, nil)
	r := ask(0, 1, 20*time.Second)
	c.Submit(r)
	for range 4 {
		c.Outcome((<-tr.calls)[0], decision.OK, string(make([]byte, valuesMost+1)))
	}
	if res := <-r.Done; res.Kind == Answered || res.Parts[0].Value != "" {
		t.Errorf("kind %v", res.Kind)
	}
}
