package admission

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/metrics"
)

var attemptOutcomes = metrics.NewCounterVec("proxy_sends_total", "Attempts at stores by outcome.", "outcome")

// Options configure a Dispatcher.
type Options struct {
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Rand decides which requests are shed; nil means a random seed.
	Rand *rand.Rand
	// Zone is the proxy's own zone, whose stores are preferred. Empty matches stores without a zone.
	Zone string
	// After runs f once after d, and returns a function that stops it; nil means time.AfterFunc.
	After func(d time.Duration, f func()) (stop func() bool)
	// OnHealthChange is called after a store was ejected or has returned; it may be nil. It is called without a lock held,
	// possibly by several goroutines at once.
	OnHealthChange func(HealthChange)
}

// Dispatcher is the admission stage of one proxy. It is safe for concurrent use.
type Dispatcher struct {
	now   func() time.Time
	after func(time.Duration, func()) func() bool
	start time.Time

	onHealthChange func(HealthChange)

	mu              sync.Mutex
	core            core
	stop            func() bool   // stops the timer; nil if no timer is set
	timerAt         time.Duration // when the timer fires
	timerGeneration uint64        // of the current timer, as a replaced timer may still fire
}

// New returns a Dispatcher without stores.
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
	if o.OnHealthChange == nil {
		o.OnHealthChange = func(HealthChange) {}
	}
	return &Dispatcher{
		now: o.Now, after: o.After, start: o.Now(), onHealthChange: o.OnHealthChange,
		core: core{zone: o.Zone, random: o.Rand, services: map[string]*service{}},
	}
}

// SetStores replaces the list of stores of a service, which is created if it does not exist. The state of instances that
// remain is kept. Engine says that the stores generate tokens. Slots is the number of requests that a store runs
// concurrently, for stores that do not report it; 0 means 8. Requests queued for a removed store are reassigned.
func (d *Dispatcher) SetStores(name string, engine bool, slots int, stores []Store) {
	d.mu.Lock()
	defer d.unlock()
	now := d.sinceStart(d.now())
	svc := d.core.services[name]
	if svc == nil {
		svc = newService(name)
		d.core.services[name] = svc
	}
	svc.engine, svc.defaultSlots = engine, slots
	for _, p := range svc.update(now, d.sinceStart, stores) {
		d.core.reassign(svc, p, now)
	}
	d.core.releaseQueued(svc, now)
	d.armTimer(svc, now)
}

// unlock releases the lock and then reports the health changes that were recorded while it was held.
func (d *Dispatcher) unlock() {
	changes := d.core.takeHealthChanges()
	d.mu.Unlock()
	for _, change := range changes {
		d.onHealthChange(change)
	}
}

// Acquire waits until the request may be sent and returns a Grant. If the request is rejected or ctx ends first, the error is
// a *RejectedError.
func (d *Dispatcher) Acquire(ctx context.Context, r Request) (*Grant, error) {
	d.mu.Lock()
	now := d.sinceStart(d.now())
	p := &pendingRequest{
		Request: r, targetAt: d.sinceStart(r.Arrival.Add(r.LatencyTarget)), timeoutAt: math.MaxInt64, index: -1,
	}
	if !r.Deadline.IsZero() {
		p.timeoutAt = d.sinceStart(r.Deadline)
	}
	d.core.submit(now, p)
	if p.grant != nil || p.rejection != nil {
		d.unlock()
		return d.result(p)
	}
	d.armTimer(d.core.services[r.Service], now)
	d.unlock()
	select {
	case <-p.done:
	case <-ctx.Done():
		d.abandon(p)
	}
	return d.result(p)
}

// abandon rejects a request whose context has ended, and gives back a grant that it got at the same time.
func (d *Dispatcher) abandon(p *pendingRequest) {
	d.mu.Lock()
	defer d.unlock()
	d.core.abandon(p)
	if p.grant != nil {
		d.core.finish(p.grant, d.sinceStart(d.now()), Cancelled)
		p.grant, p.rejection = nil, &RejectedError{Reason: ContextEnded}
	}
}

func (d *Dispatcher) result(p *pendingRequest) (*Grant, error) {
	if p.grant == nil {
		return nil, p.rejection
	}
	p.grant.dispatcher = d
	return p.grant, nil
}

// sinceStart converts a time to the time scale of core: the duration since the Dispatcher was created.
func (d *Dispatcher) sinceStart(t time.Time) time.Duration { return t.Sub(d.start) }

// armTimer sets the timer to the next wake-up of a service, unless it already fires earlier.
func (d *Dispatcher) armTimer(svc *service, now time.Duration) {
	at := d.core.nextWakeup(svc, now)
	if at == math.MaxInt64 || d.stop != nil && d.timerAt <= at {
		return
	}
	if d.stop != nil {
		d.stop()
	}
	d.timerGeneration++
	generation := d.timerGeneration
	d.timerAt, d.stop = at, d.after(at-now, func() { d.onTimer(generation) })
}

// onTimer sweeps the queues of all services, unless the timer that fired has been replaced.
func (d *Dispatcher) onTimer(generation uint64) {
	d.mu.Lock()
	defer d.unlock()
	if generation != d.timerGeneration {
		return
	}
	d.stop = nil
	now := d.sinceStart(d.now())
	for _, svc := range d.core.services {
		if svc.queued > 0 {
			d.core.sweep(svc, now)
			d.armTimer(svc, now)
		}
	}
}
