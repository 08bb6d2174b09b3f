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

// Times of a Follower.
const (
	DefaultWait    = 700 * time.Millisecond   // for which a source may hold a poll
	replySlack     = 400 * time.Millisecond   // after which a poll that should have been answered has failed
	LongestPoll    = DefaultWait + replySlack // that a poll held for DefaultWait may take until it has failed
	retryFirst     = 50 * time.Millisecond
	retryMost      = 500 * time.Millisecond
	avoidFirst     = 2 * time.Second // for which a source that failed comes last
	avoidMost      = 15 * time.Second
	rewindTime     = 2 * time.Second
	catchUpWait    = 100 * time.Millisecond  // for which the primary may lag behind another source
	staleAfter     = 1500 * time.Millisecond // without a source that is ready, after which a first state may be old
	reconsiderMost = 8 * time.Second         // after which a slot looks whether a better source is back
)

// Target is a source that may be followed.
type Target struct {
	Address string
	Zone    string
}

// Options of a Follower.
type Options struct {
	Caller     rpc.Caller
	State      *State
	Targets    func() []Target // sources in order of preference; asked again for each poll
	Count      int             // sources followed at a time; 0 means all
	Wait       time.Duration   // for which a poll may be held; DefaultWait where it is 0
	Self       *tierpb.Node
	Heartbeats bool
	// Compare has the Follower find stores that it knows and that its sources have forgotten.
	Compare bool
	// Answered is called with each reply that was taken in, and the time at which the poll was sent, before Changed;
	// it may be nil.
	Answered func(address string, reply *tierpb.WatchReply, asked time.Time)
	// Now is the clock of the times that Answered is told; time.Now where it is nil.
	Now func() time.Time
	// Changed is called when a source begins or stops to answer; it may be nil.
	Changed func(address string, answers bool)
}

// Follower keeps a State up to date by long polls to several sources at a time, so that one which is silent or lags
// delays nothing. A source that fails comes last for a while, and another is asked at once.
type Follower struct {
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

// NewFollower makes a Follower; Run sets it to work.
func NewFollower(options Options) *Follower {
	if options.Wait == 0 {
		options.Wait = DefaultWait
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Self.GetRole() != tierpb.Role_ROLE_COORDINATOR {
		options.Self = &tierpb.Node{Role: options.Self.GetRole()} // sources need no more of others, and polls are many
	}
	return &Follower{options: options, sources: make(map[string]*source), readyAt: time.Now()}
}

// Follow keeps the State up to date until the context ends.
func Follow(ctx context.Context, options Options) { NewFollower(options).Run(ctx) }

// Run follows until the context ends and all polls have returned.
func (f *Follower) Run(ctx context.Context) {
	f.startSlots(ctx, f.options.Targets())
	<-ctx.Done()
	f.done.Wait()
}

// Answering returns the addresses of the sources that answered their last poll.
func (f *Follower) Answering() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answering()
}

func (f *Follower) answering() []string {
	var addresses []string
	for address, s := range f.sources {
		if s.answers {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// startSlots sees to it that as many slots run as there are sources to follow, and at least one.
func (f *Follower) startSlots(ctx context.Context, targets []Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.running < f.wanted(targets) && ctx.Err() == nil {
		f.running++
		f.done.Add(1)
		go f.slot(ctx)
	}
}

func (f *Follower) wanted(targets []Target) int {
	wanted := len(targets)
	if f.options.Count > 0 {
		wanted = min(wanted, f.options.Count)
	}
	return max(wanted, 1)
}

// slot follows one source at a time.
func (f *Follower) slot(ctx context.Context) {
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
		f.startSlots(ctx, f.options.Targets())
		if !clock.Sleep(ctx, jittered(retry)) {
			return
		}
		retry = min(2*retry, retryMost)
	}
}

// claim picks the best source that no slot follows, empty where there is none. More is false when the slot is one too
// many.
func (f *Follower) claim() (address string, more bool) {
	targets := f.options.Targets()
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
func (f *Follower) best(targets []Target) string {
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

func (f *Follower) followedZones(targets []Target) map[string]bool {
	zones := make(map[string]bool)
	for _, target := range targets {
		if s := f.sources[target.Address]; s != nil && s.followed {
			zones[target.Zone] = true
		}
	}
	return zones
}

// forgetOthers drops what is known of sources that are neither named any more nor followed.
func (f *Follower) forgetOthers(targets []Target) {
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
func (f *Follower) follow(ctx context.Context, address string) bool {
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
		targets := f.options.Targets()
		f.startSlots(ctx, targets)
		if f.shouldLeave(address, targets, &until) {
			f.release(address)
			return true
		}
	}
}

// shouldLeave says that the source is named no more or, looked at only now and then, that a better one is free.
func (f *Follower) shouldLeave(address string, targets []Target, until *time.Time) bool {
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

func names(targets []Target, address string) bool {
	for _, target := range targets {
		if target.Address == address {
			return true
		}
	}
	return false
}

func (f *Follower) succeeded(address string) {
	f.mu.Lock()
	s := f.sources[address]
	was := s.answers
	s.answers, s.failures, s.avoidUntil = true, 0, time.Time{}
	f.mu.Unlock()
	if !was {
		f.report(address, true)
	}
}

func (f *Follower) failed(ctx context.Context, address string) {
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
func (f *Follower) release(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sources[address]
	s.followed, s.answers = false, false
	f.dismiss(address)
}

func (f *Follower) report(address string, answers bool) {
	if f.options.Changed != nil {
		f.options.Changed(address, answers)
	}
}

// jittered is between half and one and a half of the duration.
func jittered(duration time.Duration) time.Duration { return duration/2 + rand.N(duration) }
