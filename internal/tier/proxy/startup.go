package proxy

import (
	"context"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/ablation"
)

// Requests that come just after the start wait a little for what the proxy does not know yet.
const (
	startupPeriod         = 4 * time.Second // after the start, what is missing may only not have been told yet
	startupWaitShare      = 0.25            // of the time that a request has, which it may wait
	defaultRequestTimeout = 5 * time.Second // time of a request that names none
)

// updates wakes all that wait for a change of the configuration or the list of stores.
type updates struct {
	mu      sync.Mutex
	channel chan struct{}
}

// changed returns a channel that is closed at the changed change.
func (n *updates) changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.channel
}

func (n *updates) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.channel)
	n.channel = make(chan struct{})
}

// awaitConfiguration waits for the first configuration, as long as a request with this time may.
func (p *Proxy) awaitConfiguration(ctx context.Context, patience time.Duration) *snapshot {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(startupWaitShare*float64(patience)))
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

// startingUp says whether the proxy started so short a time ago that its list of stores may lack some.
func (p *Proxy) startingUp() bool { return time.Since(p.started) < startupPeriod }

// awaitTurnStores waits, just after the start, until any turn store is known, and says whether one is.
func (x *exchange) awaitTurnStores(ctx context.Context) bool {
	until := x.arrival.Add(time.Duration(startupWaitShare * float64(x.deadline.Sub(x.arrival))))
	ctx, cancel := context.WithDeadline(ctx, until)
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

// awaitStores waits, just after the start, for news of a service that no store is known of. It says whether there is
// reason to look again.
func (x *exchange) awaitStores(ctx context.Context, changed <-chan struct{}) bool {
	until := x.arrival.Add(time.Duration(startupWaitShare * float64(x.deadline.Sub(x.arrival))))
	wait := time.Until(until)
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
