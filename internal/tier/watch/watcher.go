package watch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/clock"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Backoff of a worker before it claims its next source. It doubles while no source answers.
const (
	minRetryBackoff = 50 * time.Millisecond
	maxRetryBackoff = 500 * time.Millisecond
)

// Options configures a Watcher.
type Options struct {
	// Caller sends the polls. Required.
	Caller rpc.Caller
	// State is what replies are merged into. Required.
	State *State
	// Endpoints returns the sources in order of preference. It is called again after each poll, so its result may
	// change over time. Required.
	Endpoints func() []Endpoint
	// MaxSources is how many sources are watched at the same time. 0 means all of them.
	MaxSources int
	// PollWait is how long a source may hold a poll. 0 means DefaultPollWait.
	PollWait time.Duration
	// Self describes the watching process. Sources send only what its role needs; for nil, everything except the
	// committed changes.
	Self *tierpb.Node
	// Heartbeats also requests the updates that only increase the sequence of an instance. Coordinators need them to
	// detect failures.
	Heartbeats bool
	// Reconcile compares the list of instances periodically with that of a source and times out instances that the
	// source does not know.
	Reconcile bool
	// OnReply is called after a reply was merged. The time sentAt is that of Now when the poll was sent. If the poll also
	// changes whether the source responds, OnSourceChange is called afterwards. Nil means no call.
	OnReply func(address string, reply *tierpb.WatchReply, sentAt time.Time)
	// Now is the clock for OnReply. Nil means time.Now.
	Now func() time.Time
	// OnSourceChange is called when a source starts or stops responding. Nil means no call.
	OnSourceChange func(address string, responding bool)
}

// Watcher keeps a State up to date by long polls. It polls several sources concurrently, so that a source that lags or
// does not answer delays no updates. A source that fails is replaced by another and avoided with backoff. A Watcher is
// safe for concurrent use.
type Watcher struct {
	options Options

	mu           sync.Mutex
	sources      map[string]*sourceState // by address
	primary      string                  // address of the source that sends full updates; the others send digests only
	workers      int                     // running workers, each of which watches one source at a time
	readyReplyAt time.Time               // last reply of a source that is ready; initially when the Watcher was created
	workersDone  sync.WaitGroup
}

// sourceState is a Watcher's state for one source.
type sourceState struct {
	position     position
	watched      bool // by a worker
	responding   bool // answered its last poll
	failures     int  // consecutive
	backoffUntil time.Time
}

// NewWatcher returns a Watcher that does nothing before Run is called.
func NewWatcher(options Options) *Watcher {
	if options.PollWait == 0 {
		options.PollWait = DefaultPollWait
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Self.GetRole() != tierpb.Role_ROLE_COORDINATOR {
		// For other roles, sources use only the role. Omitting the rest keeps polls small.
		options.Self = &tierpb.Node{Role: options.Self.GetRole()}
	}
	return &Watcher{options: options, sources: make(map[string]*sourceState), readyReplyAt: time.Now()}
}

// Run keeps the State up to date until ctx ends.
func Run(ctx context.Context, options Options) { NewWatcher(options).Run(ctx) }

// Run watches until ctx ends and all polls have returned.
func (w *Watcher) Run(ctx context.Context) {
	w.startWorkers(ctx, w.options.Endpoints())
	<-ctx.Done()
	w.workersDone.Wait()
}

// RespondingSources returns the addresses of the sources that answered their last poll, in no particular order.
func (w *Watcher) RespondingSources() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.respondingSources()
}

func (w *Watcher) respondingSources() []string {
	var addresses []string
	for address, s := range w.sources {
		if s.responding {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// startWorkers starts the workers that are missing: one for each source to watch, and at least one.
func (w *Watcher) startWorkers(ctx context.Context, endpoints []Endpoint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.workers < w.wantedWorkers(endpoints) && ctx.Err() == nil {
		w.workers++
		w.workersDone.Add(1)
		go w.runWorker(ctx)
	}
}

func (w *Watcher) wantedWorkers(endpoints []Endpoint) int {
	wanted := len(endpoints)
	if w.options.MaxSources > 0 {
		wanted = min(wanted, w.options.MaxSources)
	}
	return max(wanted, 1)
}

// runWorker watches one source after another until ctx ends or there are more workers than sources to watch.
func (w *Watcher) runWorker(ctx context.Context) {
	defer w.workersDone.Done()
	backoff := minRetryBackoff
	for ctx.Err() == nil {
		address, needed := w.claimSource()
		if !needed {
			return
		}
		if address != "" && w.watchSource(ctx, address) {
			backoff = minRetryBackoff
		}
		w.startWorkers(ctx, w.options.Endpoints())
		if !clock.Sleep(ctx, jittered(backoff)) {
			return
		}
		backoff = min(2*backoff, maxRetryBackoff)
	}
}

// watchSource polls a source until it fails, is no longer an endpoint, or a better source has no worker. It reports
// whether the source answered any poll.
func (w *Watcher) watchSource(ctx context.Context, address string) bool {
	answered := false
	reselectAt := nextReselect()
	for {
		err := w.poll(ctx, address, !answered)
		if err != nil || ctx.Err() != nil {
			w.markFailed(ctx, address)
			return answered
		}
		if !answered {
			answered = true
			w.markResponding(address)
		}
		endpoints := w.options.Endpoints()
		w.startWorkers(ctx, endpoints)
		if w.shouldSwitch(address, endpoints, &reselectAt) {
			w.release(address)
			return true
		}
	}
}

func (w *Watcher) markResponding(address string) {
	w.mu.Lock()
	s := w.sources[address]
	wasResponding := s.responding
	s.responding, s.failures, s.backoffUntil = true, 0, time.Time{}
	w.mu.Unlock()
	if !wasResponding {
		w.notifySourceChange(address, true)
	}
}

func (w *Watcher) markFailed(ctx context.Context, address string) {
	w.mu.Lock()
	s := w.sources[address]
	wasResponding := s.responding
	s.watched, s.responding = false, false
	s.position.undoRewind()
	s.failures++
	s.backoffUntil = time.Now().Add(jittered(sourceBackoff(s.failures)))
	if wasResponding && w.options.Heartbeats {
		w.rewindOthers()
	}
	w.resignPrimary(address)
	w.mu.Unlock()
	if wasResponding && ctx.Err() == nil {
		w.notifySourceChange(address, false)
	}
}

// release stops watching a source that did not fail.
func (w *Watcher) release(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.sources[address]
	s.watched, s.responding = false, false
	w.resignPrimary(address)
}

func (w *Watcher) notifySourceChange(address string, responding bool) {
	if w.options.OnSourceChange != nil {
		w.options.OnSourceChange(address, responding)
	}
}

// jittered returns a random duration between half and one and a half of the given one.
func jittered(duration time.Duration) time.Duration { return duration/2 + rand.N(duration) }
