package proxy

import (
	"context"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/ablation"
)

// Requests that arrive just after the start wait a little for what the proxy has not received yet.
const (
	startupPeriod         = 4 * time.Second // what is missing within it may just not have been received yet
	startupWaitFraction   = 0.25            // of a request's time-out that it may wait
	defaultRequestTimeout = 5 * time.Second // of a request whose route is not known
)

// updates wakes all goroutines that wait for a change of the configuration or the endpoint list.
type updates struct {
	mu      sync.Mutex
	channel chan struct{}
}

// changed returns a channel that is closed at the next change.
func (u *updates) changed() <-chan struct{} {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.channel
}

// notify wakes all that wait.
func (u *updates) notify() {
	u.mu.Lock()
	defer u.mu.Unlock()
	close(u.channel)
	u.channel = make(chan struct{})
}

// awaitConfiguration waits for the first configuration, for a share of the request's time-out.
func (p *Proxy) awaitConfiguration(ctx context.Context, timeout time.Duration) *snapshot {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(startupWaitFraction*float64(timeout)))
	defer cancel()
	for {
		changed := p.updates.changed()
		if current := p.snapshots.load(); current.configuration != nil {
			return current
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return p.snapshots.load()
		}
	}
}

// startingUp reports whether the proxy started so recently that its endpoint list may be incomplete.
func (p *Proxy) startingUp() bool { return time.Since(p.started) < startupPeriod }

// awaitTurnStores waits, just after the start, until a turn store is known, and reports whether one is.
func (x *exchange) awaitTurnStores(ctx context.Context) bool {
	deadline := x.arrival.Add(time.Duration(startupWaitFraction * float64(x.deadline.Sub(x.arrival))))
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for {
		changed := x.proxy.updates.changed()
		if x.proxy.turns.Ready() {
			return true
		}
		if !x.proxy.startingUp() || ablation.Disabled(ablation.AwaitTurns) {
			return false
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// awaitStores waits, just after the start, for a change while the service has no known store. It reports whether
// admission should be asked again.
func (x *exchange) awaitStores(ctx context.Context, changed <-chan struct{}) bool {
	deadline := x.arrival.Add(time.Duration(startupWaitFraction * float64(x.deadline.Sub(x.arrival))))
	wait := time.Until(deadline)
	if wait <= 0 || !x.proxy.startingUp() || ablation.Disabled(ablation.AwaitStores) {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
