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

// fakeClock is a clock that a test advances; it fires the timers that come due.
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

// advance moves the clock on, a millisecond at a time, and fires the timers that come due.
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

// harness is a Dispatcher with a fake clock and the service "s".
type harness struct {
	*Dispatcher
	clock *fakeClock
	t     *testing.T
}

// newHarness returns a harness whose service has these stores.
func newHarness(t *testing.T, stores ...Store) *harness {
	t.Helper()
	c := newFakeClock()
	options := Options{Now: c.Now, After: c.After, Zone: "here", Rand: rand.New(rand.NewPCG(1, 2))}
	h := &harness{clock: c, t: t, Dispatcher: New(options)}
	h.SetStores("s", false, 0, stores)
	return h
}

// stores returns n stores in the proxy's zone.
func stores(n, slots int) []Store {
	list := make([]Store, n)
	for i := range list {
		list[i] = Store{Instance: fmt.Sprint("i-", i), Address: fmt.Sprint("10.0.0.", i, ":80"), Zone: "here", Slots: slots}
	}
	return list
}

// Acquire is that of the Dispatcher, with its error as the rejection that it must be; nil for a grant.
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

// acquireNow acquires a grant that must be given at once.
func (h *harness) acquireNow(r Request) *Grant {
	h.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g, rejection := h.Acquire(ctx, r)
	assert.Assert(h.t, rejection == nil, "%v", rejection)
	return g
}

// queuedAcquire is an Acquire that waits in another goroutine.
type queuedAcquire struct {
	grant     *Grant
	rejection *RejectedError
	done      chan struct{}
	cancel    context.CancelFunc
}

// acquireQueued begins an Acquire that must be queued, and returns when it is.
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

// queuedRequests returns the number of queued requests.
func (h *harness) queuedRequests() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.services["s"].queued
}

// serve has a request succeed after a time.
func (h *harness) serve(r Request, took time.Duration) {
	g := h.acquireNow(r)
	h.clock.advance(took)
	g.Finish(Success)
}

// saturate sends requests until no store has capacity, and returns their grants.
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

// init makes a violated invariant fail the tests.
func init() { invariant.FailTests() }
