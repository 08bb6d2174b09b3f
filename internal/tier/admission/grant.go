package admission

import "time"

// Grant is the permission to send one request to one store. Finish must be called once, whatever happens to the request.
type Grant struct {
	dispatcher *Dispatcher
	store      *store
	class      *latencyClass
	affinity   uint64
	snapshot   Store // the store as it was when the grant was given
	sentAt     time.Duration
	unloaded   bool          // the store was unloaded when the grant was given
	targetAt   time.Duration // end of the request's latency target
	counted    bool          // the request missed its deadline in the queue, or had no budget: its response counts no more
	firstByte  bool          // the first byte of the response has arrived
	finished   bool
}

// Store returns the store to send the request to, as it was when the grant was given.
func (g *Grant) Store() Store { return g.snapshot }

// ReportFirstByte reports that the first event of a stream has arrived. Later calls change nothing.
func (g *Grant) ReportFirstByte() {
	g.dispatcher.mu.Lock()
	defer g.dispatcher.unlock()
	g.dispatcher.core.recordFirstByte(g, g.dispatcher.sinceStart(g.dispatcher.now()))
}

// ReportLoad reports the load that the store put into its response: the requests that it works on, those that wait there, and
// its slots, of which 0 means that they are unknown. It is called before Finish, as the request itself is still counted.
func (g *Grant) ReportLoad(running, waiting, slots int) {
	g.dispatcher.mu.Lock()
	defer g.dispatcher.unlock()
	g.store.recordReport(g.dispatcher.sinceStart(g.dispatcher.now()), running, waiting, slots)
}

// Finish reports the outcome of the attempt and releases its slot. Later calls are counted in the metric only.
func (g *Grant) Finish(outcome Outcome) {
	d := g.dispatcher
	d.mu.Lock()
	defer d.unlock()
	now := d.sinceStart(d.now())
	d.core.finish(g, now, outcome)
	attemptOutcomes.Inc(outcome.String())
	d.armTimer(g.store.service, now)
}
