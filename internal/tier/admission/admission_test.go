package admission

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testAim = 300 * time.Millisecond

// clock is a clock that moves only when told, and rings the timers that come due.
type clock struct {
	mu     sync.Mutex
	now    time.Time
	timers []*timer
}

type timer struct {
	at   time.Time
	ring func()
}

func newClock() *clock { return &clock{now: time.Unix(1_000_000, 0)} }

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) After(d time.Duration, f func()) func() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &timer{at: c.now.Add(d), ring: f}
	c.timers = append(c.timers, t)
	return func() bool { t.ring = nil; return true }
}

// pass moves the clock on, a millisecond at a time, and rings what comes due.
func (c *clock) pass(d time.Duration) {
	for ; d > 0; d -= time.Millisecond {
		c.mu.Lock()
		c.now = c.now.Add(min(d, time.Millisecond))
		var due []func()
		kept := c.timers[:0]
		for _, t := range c.timers {
			switch {
			case t.ring == nil:
			case t.at.After(c.now):
				kept = append(kept, t)
			default:
				due = append(due, t.ring)
			}
		}
		c.timers = kept
		c.mu.Unlock()
		for _, ring := range due {
			ring()
		}
	}
}

// bench is a dispatcher with a clock of its own.
type bench struct {
	*Dispatcher
	clock *clock
	t     *testing.T
	sent  int
}

func newBench(t *testing.T, stores ...Store) *bench {
	c := newClock()
	b := &bench{clock: c, t: t, Dispatcher: New(Options{Now: c.Now, After: c.After, Zone: "here",
		Rand: rand.New(rand.NewPCG(1, 2))})}
	b.SetStores("s", false, 0, stores)
	return b
}

func stores(n, slots int) []Store {
	list := make([]Store, n)
	for i := range list {
		list[i] = Store{Instance: fmt.Sprint("i-", i), Address: fmt.Sprint("10.0.0.", i, ":80"), Zone: "here", Slots: slots}
	}
	return list
}

func (b *bench) request() Request {
	b.sent++
	now := b.clock.Now()
	return Request{Service: "s", Arrival: now, LatencyTarget: testAim,
		Deadline: now.Add(10 * testAim), Idempotent: true}
}

// now acquires what must be granted at once.
func (b *bench) now(r Request) *Grant {
	b.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g, refusal := b.Acquire(ctx, r)
	assert.Assert(b.t, refusal == nil, "%v", refusal)
	return g
}

// held is a request that waits in another goroutine.
type held struct {
	grant   *Grant
	refusal *RejectedError
	done    chan struct{}
	cancel  context.CancelFunc
}

// hold acquires what must be held, and returns when it is.
func (b *bench) hold(r Request) *held {
	b.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	h := &held{done: make(chan struct{}), cancel: cancel}
	before := b.holding()
	go func() {
		h.grant, h.refusal = b.Acquire(ctx, r)
		close(h.done)
	}()
	for b.holding() == before {
		select {
		case <-h.done:
			b.t.Fatalf("not held: %v", h.refusal)
		default:
		}
	}
	return h
}

func (b *bench) holding() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.services["s"].held
}

// serve has a request answered after a time.
func (b *bench) serve(r Request, took time.Duration) {
	g := b.now(r)
	b.clock.pass(took)
	g.Finish(Success)
}

func TestStoresTakeTurns(t *testing.T) {
	b := newBench(t, stores(3, 8)...)
	seen := map[string]int{}
	for range 9 {
		g := b.now(b.request())
		seen[g.Store().Instance]++
	}
	assert.DeepEqual(t, seen, map[string]int{"i-0": 3, "i-1": 3, "i-2": 3})
}

func TestNoStoreIsRefused(t *testing.T) {
	b := newBench(t)
	g, refusal := b.Acquire(context.Background(), b.request())
	assert.Assert(t, g == nil)
	assert.Equal(t, refusal.Reason, NoStore)
	assert.Assert(t, refusal.RetryAfter > 0)
}

func TestStoreWithLateRequestIsSkipped(t *testing.T) {
	b := newBench(t, stores(2, 8)...)
	first := b.now(b.request())
	b.clock.pass(testAim) // past any start curve
	for range 4 {
		g := b.now(b.request())
		assert.Assert(t, g.Store().Instance != first.Store().Instance)
	}
	first.Finish(Success)
}

func TestHeldLeaveEarliestDeadlineFirst(t *testing.T) {
	b := newBench(t, stores(1, 1)...)
	out := b.fill()
	late := b.request()
	late.LatencyTarget = 2 * testAim
	last := b.hold(late)
	next := b.hold(b.request())
	out[0].Finish(Success)
	<-next.done
	assert.Assert(t, next.grant != nil)
	next.grant.Finish(Success)
	<-last.done
	assert.Assert(t, last.grant != nil)
}

// fill takes all places.
func (b *bench) fill() (out []*Grant) {
	for {
		b.mu.Lock()
		v := b.core.services["s"]
		room := false
		for _, s := range v.stores {
			room = room || s.room(b.since(b.clock.Now()))
		}
		b.mu.Unlock()
		if !room {
			return out
		}
		out = append(out, b.now(b.request()))
	}
}

func TestHeadlessGoFirstAndAreNoMisses(t *testing.T) {
	b := newBench(t, stores(1, 1)...)
	out := b.fill()
	behind := b.hold(b.request())
	old := b.request()
	old.Arrival = old.Arrival.Add(-testAim)
	ahead := b.hold(old)
	out[0].Finish(Success)
	<-ahead.done
	ahead.grant.Finish(Success)
	<-behind.done
	v := b.core.services["s"]
	assert.Equal(t, v.missed.Sum, 0.0)
}

func TestClientThatLeavesIsLetGo(t *testing.T) {
	b := newBench(t, stores(1, 1)...)
	out := b.fill()
	h := b.hold(b.request())
	h.cancel()
	<-h.done
	assert.Equal(t, h.refusal.Reason, ClientGone)
	assert.Equal(t, b.holding(), 0)
	out[0].Finish(Success)
	assert.Assert(t, b.now(b.request()) != nil)
}

func TestHopelessIsRefusedWhileHeld(t *testing.T) {
	b := newBench(t, stores(1, 1)...)
	b.fill()
	r := b.request()
	h := b.hold(r)
	b.clock.pass(10 * testAim)
	<-h.done
	assert.Equal(t, h.refusal.Reason, DeadlineUnreachable)
	assert.Assert(t, h.refusal.RetryAfter > 0)
}

func TestDeadlinesPassedWhileHeldBringRefusals(t *testing.T) {
	b := newBench(t, stores(1, 1)...)
	out := b.fill()
	var waiting []*held
	for range 8 {
		waiting = append(waiting, b.hold(b.request()))
	}
	b.clock.pass(testAim)
	refused := 0
	for range 20 {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if _, refusal := b.Acquire(ctx, b.request()); refusal.Reason == Overload {
			refused++
		}
	}
	assert.Assert(t, refused > 10, "%d refused", refused)
	out[0].Finish(Success)
	for _, h := range waiting {
		<-h.done
		assert.Assert(t, h.grant != nil)
		h.grant.Finish(Success)
	}
}

func TestNothingIsRefusedWhilePlacesAreFree(t *testing.T) {
	b := newBench(t, stores(2, 8)...)
	v := b.core.services["s"]
	v.missed.Add(0, 50)
	v.decided.Add(0, 50)
	for range 5 {
		b.serve(b.request(), time.Millisecond)
	}
	assert.Assert(t, v.refused > 0.5)
}

func TestUnheardStoreCountsAsTheOthersAverage(t *testing.T) {
	b := newBench(t, stores(1, 8)...)
	for range 50 {
		b.serve(b.request(), 20*time.Millisecond)
	}
	b.SetStores("s", false, 0, stores(2, 8))
	v := b.core.services["s"]
	now := b.since(b.clock.Now())
	class := v.classes[0]
	assert.Equal(t, v.known["i-1"].tailOf(class, now), class.tail)
	assert.Assert(t, class.tail < 0.025, "%v", class.tail)
}

func TestDrainingStoreGetsNothingAndItsHeldGoElsewhere(t *testing.T) {
	b := newBench(t, stores(1, 1)...)
	b.fill()
	h := b.hold(b.request())
	list := stores(2, 1)
	list[0].State = Draining
	b.SetStores("s", false, 0, list)
	<-h.done
	assert.Equal(t, h.grant.Store().Instance, "i-1")
}

func TestFullStoreIsLeftAloneForAMoment(t *testing.T) {
	b := newBench(t, stores(2, 8)...)
	g := b.now(b.request())
	g.Finish(Saturated)
	again := b.request()
	again.AttemptedInstances, again.ExecutedAttempts = []string{g.Store().Instance}, 1
	assert.Assert(t, b.now(again).Store().Instance != g.Store().Instance)
}

func TestFailingStoreGetsATrickle(t *testing.T) {
	b := newBench(t, stores(3, 8)...)
	bad, sent := 0, 300
	for range sent {
		g := b.now(b.request())
		b.clock.pass(10 * time.Millisecond)
		if g.Store().Instance == "i-1" {
			bad++
			g.Finish(StoreError)
			continue
		}
		g.Finish(Success)
	}
	assert.Assert(t, bad > 0 && bad < sent/8, "%d of %d", bad, sent)
}

func TestAffinityKeepsToOneStoreUntilItIsOverItsShare(t *testing.T) {
	b := newBench(t, stores(4, 32)...)
	b.SetStores("s", true, 32, stores(4, 32))
	r := b.request()
	r.Affinity = 77
	home := b.now(r).Store().Instance
	assert.Equal(t, b.now(r).Store().Instance, home)
	elsewhere := 0
	for range 20 {
		if b.now(r).Store().Instance != home {
			elsewhere++
		}
	}
	assert.Assert(t, elsewhere > 8, "%d", elsewhere)
}

func TestLessUrgentAreRefusedFirst(t *testing.T) {
	v := newService("s")
	for range 500 {
		v.count(0)
		v.count(1)
	}
	assert.Assert(t, v.refusedShare(1, 0.3) > 0.5)
	assert.Equal(t, v.refusedShare(0, 0.3), 0.0)
	assert.Assert(t, v.refusedShare(0, 0.8) > 0.5)
}

func TestLoadToldByTheStoreTakesItsPlaces(t *testing.T) {
	b := newBench(t, stores(2, 4)...)
	g := b.now(b.request())
	g.ReportLoad(4, 2, 4)
	for range 3 {
		assert.Assert(t, b.now(b.request()).Store().Instance != g.Store().Instance)
	}
}

func TestFinishTwiceChangesNothing(t *testing.T) {
	b := newBench(t, stores(1, 4)...)
	g := b.now(b.request())
	g.Finish(Success)
	g.Finish(Success)
	assert.Equal(t, b.core.services["s"].out, 0)
}

func TestWhatCannotBeRepeatedKeepsAwayFromAStoreThatFailed(t *testing.T) {
	b := newBench(t, stores(3, 8)...)
	g := b.now(b.request())
	g.Finish(ResponseLost)
	for range 6 {
		r := b.request()
		r.Idempotent = false
		assert.Assert(t, b.now(r).Store().Instance != g.Store().Instance)
	}
	seen := false
	for range 6 {
		seen = seen || b.now(b.request()).Store().Instance == g.Store().Instance
	}
	assert.Assert(t, seen, "no request tried it")
}

func TestProgramKeepsAwayFromTheStoreThatFailedIt(t *testing.T) {
	b := newBench(t, stores(4, 32)...)
	b.SetStores("s", true, 32, stores(4, 32))
	r := b.request()
	r.Affinity = 77
	home := b.now(r)
	home.Finish(Success)
	broken := b.now(r)
	assert.Equal(t, broken.Store().Instance, home.Store().Instance)
	broken.Finish(ResponseLost)
	next := b.now(r)
	assert.Assert(t, next.Store().Instance != home.Store().Instance)
	next.Finish(Success)
	b.clock.pass(2 * shunSpan)
	later := b.request()
	later.Affinity = 77
	assert.Equal(t, b.now(later).Store().Instance, home.Store().Instance)
}

func TestProgramsThatBeginAreRefusedBeforeThoseThatGoOn(t *testing.T) {
	v := newService("s")
	for range 200 {
		v.count(priorities) // begins, most urgent
		for range 5 {
			v.count(1)
		}
	}
	assert.Assert(t, v.refusedShare(priorities, 0.4) > 0.3)
	assert.Equal(t, v.refusedShare(1, 0.4), 0.0)
}

func TestProgramBeginsOnce(t *testing.T) {
	b := newBench(t, stores(2, 8)...)
	r := b.request()
	r.Affinity, r.FirstTurn = 5, true
	v := b.core.services["s"]
	assert.Assert(t, v.begins(&r))
	b.now(r)
	assert.Assert(t, !v.begins(&r))
}

func TestRecentForgets(t *testing.T) {
	var r recent
	r.add(1, 0)
	r.add(2, recentSpan)
	assert.Assert(t, r.has(1))
	r.add(3, 2*recentSpan)
	assert.Assert(t, !r.has(1) && r.has(2) && r.has(3))
}

// Under a load that slows all stores alike none is a suspect, and none is skipped for being late.
func TestLoadThatAllHaveMakesNoSuspects(t *testing.T) {
	b := newBench(t, stores(3, 32)...)
	for range 60 {
		b.serve(b.request(), 10*time.Millisecond)
	}
	for range 120 {
		b.serve(b.request(), 80*time.Millisecond)
	}
	out := b.now(b.request())
	b.clock.pass(40 * time.Millisecond)
	v, now := b.core.services["s"], b.since(b.clock.Now())
	for _, s := range v.stores {
		assert.Assert(t, s.sound(now), "trust %v", s.trust(now))
		assert.Assert(t, !s.late(now))
	}
	b.clock.pass(80 * time.Millisecond)
	assert.Assert(t, v.known[out.Store().Instance].late(b.since(b.clock.Now())))
}
