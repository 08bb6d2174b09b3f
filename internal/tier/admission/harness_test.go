package admission

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/invariant"
)

const testLatencyTarget = 300 * time.Millisecond

// fakeClock is a clock that advances only when a test calls advance.
type fakeClock struct {
	mu     sync.Mutex
	now    time.Time
	timers []*fakeTimer
}

type fakeTimer struct {
	at   time.Time
	fire func()
}

func newFakeClock() *fakeClock { return &fakeClock{now: time.Unix(1_000_000, 0)} }

func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) After(d time.Duration, f func()) func() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &fakeTimer{at: c.now.Add(d), fire: f}
	c.timers = append(c.timers, t)
	return func() bool { t.fire = nil; return true }
}

// advance advances the clock in steps of a millisecond and fires the timers that become due.
func (c *fakeClock) advance(d time.Duration) {
	for ; d > 0; d -= time.Millisecond {
		c.mu.Lock()
		c.now = c.now.Add(min(d, time.Millisecond))
		var due []func()
		kept := c.timers[:0]
		for _, t := range c.timers {
			switch {
			case t.fire == nil:
			case t.at.After(c.now):
				kept = append(kept, t)
			default:
				due = append(due, t.fire)
			}
		}
		c.timers = kept
		c.mu.Unlock()
		for _, fire := range due {
			fire()
		}
	}
}

// harness is a Dispatcher with a fake clock and a service named "s".
type harness struct {
	*Dispatcher
	clock *fakeClock
	t     *testing.T
}

// newHarness returns a harness whose service has the given stores.
func newHarness(t *testing.T, stores ...Store) *harness {
	t.Helper()
	c := newFakeClock()
	options := Options{Now: c.Now, After: c.After, Zone: "here", Rand: rand.New(rand.NewPCG(1, 2))}
	h := &harness{clock: c, t: t, Dispatcher: New(options)}
	h.SetStores("s", false, 0, stores)
	return h
}

// stores returns n stores in the proxy's zone, named "i-0" and up.
func stores(n, slots int) []Store {
	list := make([]Store, n)
	for i := range list {
		list[i] = Store{Instance: fmt.Sprint("i-", i), Address: fmt.Sprint("10.0.0.", i, ":80"), Zone: "here", Slots: slots}
	}
	return list
}

// Acquire calls Dispatcher.Acquire and returns its error as a *RejectedError, nil if the request is granted.
func (h *harness) Acquire(ctx context.Context, r Request) (*Grant, *RejectedError) {
	h.t.Helper()
	grant, err := h.Dispatcher.Acquire(ctx, r)
	var rejection *RejectedError
	assert.Check(h.t, err == nil || errors.As(err, &rejection), "%v", err)
	return grant, rejection
}

// request returns an idempotent request that arrives now.
func (h *harness) request() Request {
	now := h.clock.Now()
	return Request{Service: "s", Arrival: now, LatencyTarget: testLatencyTarget,
		Deadline: now.Add(10 * testLatencyTarget), Idempotent: true}
}

// acquireNow acquires a grant and fails the test unless it is given at once: the context is cancelled before the call, so
// that a request that would be queued is rejected.
func (h *harness) acquireNow(r Request) *Grant {
	h.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g, rejection := h.Acquire(ctx, r)
	assert.Assert(h.t, rejection == nil, "%v", rejection)
	return g
}

// queuedAcquire is a call of Acquire that is blocked in another goroutine. Its results are valid once done is closed.
type queuedAcquire struct {
	grant     *Grant
	rejection *RejectedError
	done      chan struct{}
	cancel    context.CancelFunc
}

// acquireQueued calls Acquire in another goroutine and returns once the request is queued.
func (h *harness) acquireQueued(r Request) *queuedAcquire {
	h.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	queued := &queuedAcquire{done: make(chan struct{}), cancel: cancel}
	before := h.queuedRequests()
	go func() {
		queued.grant, queued.rejection = h.Acquire(ctx, r)
		close(queued.done)
	}()
	for h.queuedRequests() == before {
		select {
		case <-queued.done:
			h.t.Fatalf("not queued: %v", queued.rejection)
		default:
		}
	}
	return queued
}

func (h *harness) queuedRequests() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.services["s"].queued
}

// serve sends a request that succeeds after the given latency.
func (h *harness) serve(r Request, latency time.Duration) {
	g := h.acquireNow(r)
	h.clock.advance(latency)
	g.Finish(Success)
}

// saturate acquires grants until no store has capacity, and returns them.
func (h *harness) saturate() []*Grant {
	var grants []*Grant
	for {
		h.mu.Lock()
		svc := h.core.services["s"]
		hasCapacity := false
		for _, s := range svc.stores {
			hasCapacity = hasCapacity || s.hasCapacity(h.sinceStart(h.clock.Now()))
		}
		h.mu.Unlock()
		if !hasCapacity {
			return grants
		}
		grants = append(grants, h.acquireNow(h.request()))
	}
}

func init() { invariant.PanicOnViolation() }
