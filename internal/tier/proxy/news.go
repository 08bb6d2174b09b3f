package proxy

import (
	"context"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/ablation"
)

// Requests that come just after the start wait a little for what the proxy does not know yet.
const (
	startSpan    = 4 * time.Second // after the start, what is missing may only not have been told yet
	startPart    = 0.25            // of the time that a request has, which it may wait
	startUnnamed = 5 * time.Second // time of a request that names none
)

// news wakes all that wait for a change of the configuration or the list of stores.
type news struct {
	mu      sync.Mutex
	channel chan struct{}
}

// next returns a channel that is closed at the next change.
func (n *news) next() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.channel
}

func (n *news) tell() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.channel)
	n.channel = make(chan struct{})
}

// awaitConfiguration waits for the first configuration, as long as a request with this time may.
func (p *Proxy) awaitConfiguration(ctx context.Context, patience time.Duration) *view {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(startPart*float64(patience)))
	defer cancel()
	for {
		changed := p.news.next()
		if current := p.views.get(); current.configuration != nil {
			return current
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return p.views.get()
		}
	}
}

// fresh says whether the proxy started so short a time ago that its list of stores may lack some.
func (p *Proxy) fresh() bool { return time.Since(p.started) < startSpan }

// awaitTurnStores waits, just after the start, until any turn store is known, and says whether one is.
func (x *exchange) awaitTurnStores(ctx context.Context) bool {
	until := x.arrival.Add(time.Duration(startPart * float64(x.deadline.Sub(x.arrival))))
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	for {
		changed := x.proxy.news.next()
		if x.proxy.turns.Ready() {
			return true
		}
		if !x.proxy.fresh() || ablation.Disabled(ablation.AwaitTurns) {
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
	until := x.arrival.Add(time.Duration(startPart * float64(x.deadline.Sub(x.arrival))))
	wait := time.Until(until)
	if wait <= 0 || !x.proxy.fresh() || ablation.Disabled(ablation.AwaitStores) {
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
