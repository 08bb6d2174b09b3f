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

// Times of a Watcher.
const (
	DefaultPollWait = 700 * time.Millisecond       // for which a source may hold a poll
	replySlack      = 400 * time.Millisecond       // after which a poll that should have been answered has failed
	MaxPollDuration = DefaultPollWait + replySlack // that a poll held for DefaultPollWait may take until it has failed
	retryFirst      = 50 * time.Millisecond
	retryMost       = 500 * time.Millisecond
	avoidFirst      = 2 * time.Second // for which a source that failed comes last
	avoidMost       = 15 * time.Second
	rewindTime      = 2 * time.Second
	catchUpWait     = 100 * time.Millisecond  // for which the primary may lag behind another source
	staleAfter      = 1500 * time.Millisecond // without a source that is ready, after which a first state may be old
	reconsiderMost  = 8 * time.Second         // after which a slot looks whether a better source is back
)

// Endpoint is a source that may be followed.
type Endpoint struct {
	Address string
	Zone    string
}

// Options of a Watcher.
type Options struct {
	Caller     rpc.Caller
	State      *State
	Endpoints  func() []Endpoint // sources in order of preference; asked again for each poll
	MaxSources int               // sources followed at a time; 0 means all
	PollWait   time.Duration     // for which a poll may be held; DefaultPollWait where it is 0
	Self       *tierpb.Node
	Heartbeats bool
	// Reconcile has the Watcher find stores that it knows and that its sources have forgotten.
	Reconcile bool
	// OnReply is called with each reply that was taken in, and the time at which the poll was sent, before State.Changed;
	// it may be nil.
	OnReply func(address string, reply *tierpb.WatchReply, asked time.Time)
	// Now is the clock of the times that OnReply is told; time.Now where it is nil.
	Now func() time.Time
	// OnSourceChange is called when a source begins or stops to answer; it may be nil.
	OnSourceChange func(address string, answers bool)
}

// Watcher keeps a State up to date by long polls to several sources at a time, so that one which is silent or lags
// delays nothing. A source that fails comes last for a while, and another is asked at once.
type Watcher struct {
	options Options

	mu      sync.Mutex
	sources map[string]*source
	primary string // source that tells all; the others are asked for marks only, empty for none
	running int
	readyAt time.Time // of the last answer of a source that is ready, at first of the start
	done    sync.WaitGroup
}

// source is what a Follower knows of a target.
type source struct {
	place      place
	followed   bool
	answers    bool
	failures   int
	avoidUntil time.Time
}

// NewWatcher makes a Follower; Run sets it to work.
func NewWatcher(options Options) *Watcher {
	if options.PollWait == 0 {
		options.PollWait = DefaultPollWait
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Self.GetRole() != tierpb.Role_ROLE_COORDINATOR {
		options.Self = &tierpb.Node{Role: options.Self.GetRole()} // sources need no more of others, and polls are many
	}
	return &Watcher{options: options, sources: make(map[string]*source), readyAt: time.Now()}
}

// Run keeps the State up to date until the context ends.
func Run(ctx context.Context, options Options) { NewWatcher(options).Run(ctx) }

// Run follows until the context ends and all polls have returned.
func (f *Watcher) Run(ctx context.Context) {
	f.startSlots(ctx, f.options.Endpoints())
	<-ctx.Done()
	f.done.Wait()
}

// RespondingSources returns the addresses of the sources that answered their last poll.
func (f *Watcher) RespondingSources() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answering()
}

func (f *Watcher) answering() []string {
	var addresses []string
	for address, s := range f.sources {
		if s.answers {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// startSlots sees to it that as many slots run as there are sources to follow, and at least one.
func (f *Watcher) startSlots(ctx context.Context, targets []Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.running < f.wanted(targets) && ctx.Err() == nil {
		f.running++
		f.done.Add(1)
		go f.slot(ctx)
	}
}

func (f *Watcher) wanted(targets []Endpoint) int {
	wanted := len(targets)
	if f.options.MaxSources > 0 {
		wanted = min(wanted, f.options.MaxSources)
	}
	return max(wanted, 1)
}

// slot follows one source at a time.
func (f *Watcher) slot(ctx context.Context) {
	defer f.done.Done()
	retry := retryFirst
	for ctx.Err() == nil {
		address, more := f.claim()
		if !more {
			return
		}
		if address != "" && f.follow(ctx, address) {
			retry = retryFirst
		}
		f.startSlots(ctx, f.options.Endpoints())
		if !clock.Sleep(ctx, jittered(retry)) {
			return
		}
		retry = min(2*retry, retryMost)
	}
}

// claim picks the best source that no slot follows, empty where there is none. More is false when the slot is one too
// many.
func (f *Watcher) claim() (address string, more bool) {
	targets := f.options.Endpoints()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running > f.wanted(targets) {
		f.running--
		return "", false
	}
	f.forgetOthers(targets)
	best := f.best(targets)
	if best == "" {
		return "", true
	}
	f.sources[best].followed = true
	return best, true
}

// best orders the free sources: those not avoided first, then those of a zone that no slot follows a source of, then
// by preference.
func (f *Watcher) best(targets []Endpoint) string {
	zones := f.followedZones(targets)
	now := time.Now()
	best, bestRank := "", 0
	for i, target := range targets {
		s := f.sources[target.Address]
		if s == nil {
			s = &source{}
			f.sources[target.Address] = s
		}
		if s.followed {
			continue
		}
		rank := i
		if zones[target.Zone] && target.Zone != "" {
			rank += len(targets)
		}
		if now.Before(s.avoidUntil) {
			rank += len(targets) * (1 + min(s.failures, 100)) * 2
		}
		if best == "" || rank < bestRank {
			best, bestRank = target.Address, rank
		}
	}
	return best
}

func (f *Watcher) followedZones(targets []Endpoint) map[string]bool {
	zones := make(map[string]bool)
	for _, target := range targets {
		if s := f.sources[target.Address]; s != nil && s.followed {
			zones[target.Zone] = true
		}
	}
	return zones
}

// forgetOthers drops what is known of sources that are neither named any more nor followed.
func (f *Watcher) forgetOthers(targets []Endpoint) {
	if len(f.sources) <= 2*len(targets)+8 {
		return
	}
	named := make(map[string]bool, len(targets))
	for _, target := range targets {
		named[target.Address] = true
	}
	for address, s := range f.sources {
		if !named[address] && !s.followed {
			delete(f.sources, address)
		}
	}
}

// follow polls a source until it fails, is named no more or another is to be looked at, and says whether it ever
// answered.
func (f *Watcher) follow(ctx context.Context, address string) bool {
	answered := false
	until := time.Now().Add(reconsiderMost/2 + rand.N(reconsiderMost/2))
	for {
		err := f.poll(ctx, address, !answered)
		if err != nil || ctx.Err() != nil {
			f.failed(ctx, address)
			return answered
		}
		if !answered {
			answered = true
			f.succeeded(address)
		}
		targets := f.options.Endpoints()
		f.startSlots(ctx, targets)
		if f.shouldLeave(address, targets, &until) {
			f.release(address)
			return true
		}
	}
}

// shouldLeave says that the source is named no more or, looked at only now and then, that a better one is free.
func (f *Watcher) shouldLeave(address string, targets []Endpoint, until *time.Time) bool {
	if !names(targets, address) {
		return true
	}
	now := time.Now()
	if now.Before(*until) {
		return false
	}
	*until = now.Add(reconsiderMost/2 + rand.N(reconsiderMost/2))
	f.mu.Lock()
	defer f.mu.Unlock()
	own := f.sources[address]
	own.followed = false
	better := f.best(targets)
	own.followed = true
	return better != address
}

func names(targets []Endpoint, address string) bool {
	for _, target := range targets {
		if target.Address == address {
			return true
		}
	}
	return false
}

func (f *Watcher) succeeded(address string) {
	f.mu.Lock()
	s := f.sources[address]
	was := s.answers
	s.answers, s.failures, s.avoidUntil = true, 0, time.Time{}
	f.mu.Unlock()
	if !was {
		f.report(address, true)
	}
}

func (f *Watcher) failed(ctx context.Context, address string) {
	f.mu.Lock()
	s := f.sources[address]
	was := s.answers
	s.followed, s.answers = false, false
	s.place.unwind()
	s.failures++
	avoid := min(avoidFirst<<min(s.failures-1, 4), avoidMost)
	s.avoidUntil = time.Now().Add(jittered(avoid))
	if was && f.options.Heartbeats {
		f.rewind()
	}
	f.dismiss(address)
	f.mu.Unlock()
	if was && ctx.Err() == nil {
		f.report(address, false)
	}
}

// release ends following a source that did not fail.
func (f *Watcher) release(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sources[address]
	s.followed, s.answers = false, false
	f.dismiss(address)
}

func (f *Watcher) report(address string, answers bool) {
	if f.options.OnSourceChange != nil {
		f.options.OnSourceChange(address, answers)
	}
}

// jittered is between half and one and a half of the duration.
func jittered(duration time.Duration) time.Duration { return duration/2 + rand.N(duration) }
