package admission

import "time"

// Grant is the permission to send one request to one store. Finish must be called exactly once, on every path.
type Grant struct {
	dispatcher *Dispatcher
	store      *store
	class      *latencyClass
	affinity   uint64
	snapshot   Store // the store as it was when the grant was given
	sentAt     time.Duration
	unloaded   bool          // the store was unloaded when the grant was given
	targetAt   time.Duration // end of the request's latency target
	// ignoreLateResponse says that a late response is not counted as a miss: the request already missed its deadline in the
	// queue, or had no budget on arrival.
	ignoreLateResponse bool
	firstByte          bool // the first byte of the response has arrived
	finished           bool
}

// Store returns the store to send the request to, as it was when the grant was given.
func (g *Grant) Store() Store { return g.snapshot }

// ReportFirstByte reports that the first event of a stream has arrived. Only the first call has an effect.
func (g *Grant) ReportFirstByte() {
	g.dispatcher.mu.Lock()
	defer g.dispatcher.unlock()
	g.dispatcher.core.recordFirstByte(g, g.dispatcher.sinceStart(g.dispatcher.now()))
}

// ReportLoad reports the load that the store stated in its response: its running requests, its waiting requests and its
// slots (0 if unknown). It must be called before Finish, as the store's counts include this request.
func (g *Grant) ReportLoad(running, waiting, slots int) {
	g.dispatcher.mu.Lock()
	defer g.dispatcher.unlock()
	g.store.recordLoadReport(g.dispatcher.sinceStart(g.dispatcher.now()), running, waiting, slots)
}

// Finish reports the outcome of the attempt and releases its slot. Further calls only count in the metric.
func (g *Grant) Finish(outcome Outcome) {
	d := g.dispatcher
	d.mu.Lock()
	defer d.unlock()
	now := d.sinceStart(d.now())
	d.core.finish(g, now, outcome)
	attemptOutcomes.Inc(outcome.String())
	d.armTimer(g.store.service, now)
}
