package proxy

import (
	"context"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/ablation"
)

// Requests that arrive just after the start of the process wait for control state that has not been received yet.
const (
	startupPeriod         = 4 * time.Second // how long after the start control state may still be missing
	startupWaitFraction   = 0.25            // fraction of a request's timeout for which it may wait
	defaultRequestTimeout = 5 * time.Second // timeout of a request whose route is not known
)

// changeBroadcaster wakes all goroutines that wait for a change of the control state or the endpoint list.
type changeBroadcaster struct {
	mu      sync.Mutex
	channel chan struct{} // closed and replaced at each change
}

// changed returns a channel that is closed at the next change.
func (b *changeBroadcaster) changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.channel
}

// notify wakes all waiting goroutines.
func (b *changeBroadcaster) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.channel)
	b.channel = make(chan struct{})
}

// awaitConfiguration waits for the first configuration for up to startupWaitFraction of the request's timeout and returns
// the latest snapshot.
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

// startingUp reports whether the proxy started so recently that its control state and endpoint list may be incomplete.
func (p *Proxy) startingUp() bool { return time.Since(p.started) < startupPeriod }

// awaitTurnStores reports whether a turn store is known. During startup it waits for one.
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

// awaitStores waits during startup for a change of the endpoint list when the service has no known store. It reports
// whether to ask admission again.
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
