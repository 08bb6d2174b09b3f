package admission

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Options of a Dispatcher. Zero values mean the real clock and a random seed.
type Options struct {
	Now   func() time.Time
	Rand  *rand.Rand
	Zone  string                                             // of the proxy
	After func(d time.Duration, f func()) (stop func() bool) // runs f once, later; time.AfterFunc where nil
}

// Dispatcher is the admission stage of one proxy. It is safe for concurrent use.
type Dispatcher struct {
	now   func() time.Time
	after func(time.Duration, func()) func() bool
	start time.Time

	mu      sync.Mutex
	core    core
	stop    func() bool // of the timer, nil when there is none
	timerAt time.Duration
	timerNo uint64
}

// New makes a Dispatcher that knows no stores yet.
func New(o Options) *Dispatcher {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.After == nil {
		o.After = func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop }
	}
	return &Dispatcher{now: o.Now, after: o.After, start: o.Now(),
		core: core{zone: o.Zone, random: o.Rand, services: map[string]*service{}}}
}

// Grant is leave to send a request to a store. Finish must be called once.
type Grant struct {
	d        *Dispatcher
	store    *store
	class    *class
	affinity uint64
	told     Store // the store as it was when the grant was given
	sentAt   time.Duration
	quiet    bool // the store was unloaded
	heard    bool // the first of the answer has come
	ended    bool
}

// SetStores tells all stores of a service. Engine says that they generate tokens, and slots how many requests each works on
// where it does not tell itself.
func (d *Dispatcher) SetStores(name string, engine bool, slots int, stores []Store) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.since(d.now())
	v := d.core.services[name]
	if v == nil {
		v = newService(name)
		d.core.services[name] = v
	}
	v.engine, v.slots = engine, slots
	for _, w := range v.set(now, d.since, stores) {
		d.core.replace(v, w, now)
	}
	d.core.release(v, now)
	d.arm(v, now)
}

// Acquire waits for leave to send a request, as long as it is held. A request whose ctx ends is let go at once.
func (d *Dispatcher) Acquire(ctx context.Context, r Request) (*Grant, *RejectedError) {
	d.mu.Lock()
	now := d.since(d.now())
	w := &waiter{Request: r, aimAt: d.since(r.Arrival.Add(r.LatencyTarget)), endAt: math.MaxInt64, index: -1}
	if !r.Deadline.IsZero() {
		w.endAt = d.since(r.Deadline)
	}
	d.core.arrive(now, w)
	if w.grant != nil || w.refusal != nil {
		d.mu.Unlock()
		return d.result(w)
	}
	d.arm(d.core.services[r.Service], now)
	d.mu.Unlock()
	select {
	case <-w.done:
	case <-ctx.Done():
		d.mu.Lock()
		d.core.leave(w)
		if w.grant != nil { // it was let go in the same moment
			d.core.finish(w.grant, d.since(d.now()), Cancelled)
			w.grant, w.refusal = nil, &RejectedError{Reason: ClientGone}
		}
		d.mu.Unlock()
	}
	return d.result(w)
}

func (d *Dispatcher) result(w *waiter) (*Grant, *RejectedError) {
	if w.grant == nil {
		return nil, w.refusal
	}
	w.grant.d = d
	return w.grant, nil
}

// Store is the store to send to.
func (g *Grant) Store() Store { return g.told }

// ReportFirstByte tells that a stream's first event has come.
func (g *Grant) ReportFirstByte() {
	g.d.mu.Lock()
	defer g.d.mu.Unlock()
	g.d.core.answered(g, g.d.since(g.d.now()))
}

// ReportLoad tells what the store said of its load: requests running and waiting, and its slots.
func (g *Grant) ReportLoad(running, waiting, slots int) {
	g.d.mu.Lock()
	defer g.d.mu.Unlock()
	g.store.told(g.d.since(g.d.now()), running, waiting, slots)
}

// Finish tells how the sending ended.
func (g *Grant) Finish(outcome Outcome) {
	d := g.d
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.since(d.now())
	d.core.finish(g, now, outcome)
	sends.Inc(outcomeNames[outcome])
	d.arm(g.store.service, now)
}

// since is a moment as the core counts it.
func (d *Dispatcher) since(t time.Time) time.Duration { return t.Sub(d.start) }

// arm sets the timer for what a service holds, where it would ring sooner than it does.
func (d *Dispatcher) arm(v *service, now time.Duration) {
	at := d.core.next(v, now)
	if at == math.MaxInt64 || d.stop != nil && d.timerAt <= at {
		return
	}
	if d.stop != nil {
		d.stop()
	}
	d.timerNo++
	number := d.timerNo
	d.timerAt, d.stop = at, d.after(at-now, func() { d.ring(number) })
}

// ring sweeps all services when the timer has come due.
func (d *Dispatcher) ring(number uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if number != d.timerNo {
		return
	}
	d.stop = nil
	now := d.since(d.now())
	for _, v := range d.core.services {
		if v.held > 0 {
			d.core.sweep(v, now)
			d.arm(v, now)
		}
	}
}
