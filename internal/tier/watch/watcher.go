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

// Backoff of a worker between two sources. It grows while no source answers.
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
	// Endpoints returns the sources in order of preference. It is called again for each poll, so it may change its
	// result. Required.
	Endpoints func() []Endpoint
	// MaxSources is how many sources are watched at the same time. 0 means all of them.
	MaxSources int
	// PollWait is how long a source may hold a poll. 0 means DefaultPollWait.
	PollWait time.Duration
	// Self is the process that watches; sources send what its role needs. Nil means a role that needs everything but
	// the committed changes.
	Self *tierpb.Node
	// Heartbeats also asks for updates in which only an instance's sequence rose. Coordinators need them to detect
	// failures.
	Heartbeats bool
	// Reconcile compares the lists with a source from time to time and times out instances that the source has
	// forgotten.
	Reconcile bool
	// OnReply is called after a reply was merged, with the time at which the poll was sent, by Now. It precedes
	// OnSourceChange for the same source. Nil means no call.
	OnReply func(address string, reply *tierpb.WatchReply, sentAt time.Time)
	// Now is the clock for OnReply. Nil means time.Now.
	Now func() time.Time
	// OnSourceChange is called when a source starts or stops responding. Nil means no call.
	OnSourceChange func(address string, responding bool)
}

// Watcher keeps a State up to date by long polls to several sources at a time, so that one that does not answer or lags
// delays nothing. When a source fails, another is asked at once, and the failed one is avoided with backoff. It is safe
// for concurrent use.
type Watcher struct {
	options Options

	mu           sync.Mutex
	sources      map[string]*sourceState // by address
	primary      string                  // address of the source that sends everything; the others send digests only
	workers      int
	readyReplyAt time.Time // of the last reply of a source that is ready; at first the time of the start
	done         sync.WaitGroup
}

// sourceState is what a Watcher knows of a source.
type sourceState struct {
	position     position
	watched      bool // by a worker
	responding   bool // answered its last poll
	failures     int  // in a row
	backoffUntil time.Time
}

// NewWatcher returns a Watcher; Run starts it.
func NewWatcher(options Options) *Watcher {
	if options.PollWait == 0 {
		options.PollWait = DefaultPollWait
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Self.GetRole() != tierpb.Role_ROLE_COORDINATOR {
		// Sources need no more of other roles, and there are many polls.
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
	w.done.Wait()
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

// startWorkers starts workers until there are as many as sources to watch, and at least one.
func (w *Watcher) startWorkers(ctx context.Context, endpoints []Endpoint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.workers < w.wantedWorkers(endpoints) && ctx.Err() == nil {
		w.workers++
		w.done.Add(1)
		go w.work(ctx)
	}
}

func (w *Watcher) wantedWorkers(endpoints []Endpoint) int {
	wanted := len(endpoints)
	if w.options.MaxSources > 0 {
		wanted = min(wanted, w.options.MaxSources)
	}
	return max(wanted, 1)
}

// work watches one source at a time until ctx ends or there are too many workers.
func (w *Watcher) work(ctx context.Context) {
	defer w.done.Done()
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

// watchSource polls a source until it fails, is no longer an endpoint or a better one is free. It reports whether the
// source ever answered.
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
