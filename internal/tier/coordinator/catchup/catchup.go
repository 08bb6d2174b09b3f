// Package catchup brings a coordinator up to date that was down, isolated or has lost its disk, and logs when it is.
//
// Two things may lag. The state that a process serves lacks a value that its own acceptor has: whether that was chosen is
// found out by a read of the register. Or the acceptor of a voter lacks a value that is known to be chosen, for it was down
// at that time: a read that finds voters with different values writes the newest to all (read repair).
package catchup

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"

	"pulleygw.example/pulleygw/internal/tier/clock"
	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

const (
	startupCheckInterval = 20 * time.Millisecond  // mean time between two looks whether a majority answers
	startupReadTimeout   = 500 * time.Millisecond // of the read at the start
	readTimeout          = 2 * time.Second        // of later reads
	maxReadDelay         = 250 * time.Millisecond // before a read that others may be about to do, too

	initialRepairBackoff = 500 * time.Millisecond // for which an acceptor may lag before it is repaired
	maxRepairBackoff     = time.Minute            // between two repairs
	unknownBeforeRead    = 2                      // steps in a row that find the acceptor ahead before the register is read
)

// Register reads the control state from a majority of the voters.
type Register interface {
	Read(ctx context.Context) (*tierpb.ControlState, error)
}

// Membership is what a Tracker needs to know of the other coordinators.
type Membership interface {
	// InContact reports whether a quorum of the voters answers this process.
	InContact() bool
	// Starting reports that this process may not have had the time to find the others yet.
	Starting() bool
	// CheckReadiness serves followers as soon as there is contact.
	CheckReadiness()
}

// Options of a Tracker. All are required.
type Options struct {
	// Identity is that of the own acceptor.
	Identity uint64
	// Control returns the newest value that is known to be chosen; nil where none is.
	Control func() *tierpb.ControlState
	// Accepted returns the newest value of the own acceptor, chosen or not; nil where there is none.
	Accepted func() *tierpb.ControlState
	// ReceivedBytes is how many bytes the calls of this process have brought in.
	ReceivedBytes func() uint64
	Register      Register
	Membership    Membership
	Log           hclog.Logger
	Now           func() time.Time
}

// Tracker follows how far this process is behind the others. RunAtStart and Step may run in two goroutines; Step belongs to
// one.
type Tracker struct {
	options Options

	// What follows belongs to Step's goroutine.
	progress     progress
	repair       repair
	unknownSteps int // in a row that found the acceptor ahead of the known state
}

// progress is how far this process was behind when it lost contact or started.
type progress struct {
	behind   bool
	since    time.Time // when it fell behind
	version  uint64    // of the newest value that it had then
	received uint64    // bytes by then
}

// repair is when the value is to be written to a lagging acceptor again.
type repair struct {
	version uint64        // of the acceptor's value that lags
	at      time.Time     // of the next attempt
	backoff time.Duration // before the next attempt; 0 where nothing lags
}

// New returns the Tracker of a process that has just started, and is behind.
func New(options Options) *Tracker {
	t := &Tracker{options: options}
	t.fallBehind(options.Now(), options.Accepted().GetVersion(), 0)
	return t
}

// RunAtStart finds out at the start which value is chosen, as soon as a majority answers, and returns. Where all
// coordinators were killed at once, those that answer do not know either, and agents wait.
func (t *Tracker) RunAtStart(ctx context.Context) {
	for t.options.Membership.Starting() && clock.Sleep(ctx, startupCheckInterval/2+rand.N(startupCheckInterval)) {
		if !t.options.Membership.InContact() {
			continue
		}
		t.options.Membership.CheckReadiness()
		if !t.acceptorAhead() {
			return
		}
		t.read(ctx, startupReadTimeout) // where it fails Step tries again
	}
}

// Step learns the chosen value where the own acceptor may know more than this process, and repairs the acceptor where it
// knows less. It may take as long as a read of the register.
func (t *Tracker) Step(ctx context.Context) {
	if !t.acceptorAhead() {
		t.unknownSteps = 0
	} else if t.unknownSteps++; t.unknownSteps >= unknownBeforeRead {
		t.learnChosen(ctx)
	}
	now := t.options.Now()
	switch {
	case !t.options.Membership.InContact():
		t.fallBehind(now, t.options.Control().GetVersion(), t.options.ReceivedBytes())
	case t.acceptorBehind():
		t.repairAcceptor(ctx, now)
	default:
		t.repair.backoff = 0
		t.reportCaughtUp(now)
	}
}

// fallBehind records that this process has started, or lost contact with the others.
func (t *Tracker) fallBehind(now time.Time, version, received uint64) {
	if !t.progress.behind {
		t.progress = progress{behind: true, since: now, version: version, received: received}
	}
}

// acceptorAhead reports that the own acceptor has a value that may have been chosen without this process knowing it.
func (t *Tracker) acceptorAhead() bool {
	accepted, known := t.options.Accepted(), t.options.Control()
	return accepted.GetVersion() > known.GetVersion()
}

// acceptorBehind reports that this process votes and that its acceptor holds an older value than the chosen one.
func (t *Tracker) acceptorBehind() bool {
	known := t.options.Control()
	return register.IsVoter(known, t.options.Identity) && t.options.Accepted().GetVersion() < known.GetVersion()
}

// learnChosen finds out which value is chosen. The others may be about to do the same.
func (t *Tracker) learnChosen(ctx context.Context) {
	if !clock.Sleep(ctx, rand.N(maxReadDelay)) || !t.acceptorAhead() {
		return
	}
	t.read(ctx, readTimeout) // without a quorum the next step tries again
}

// repairAcceptor has the value written again where the acceptor has lagged for a while at the same version: it was down
// when the value was chosen.
func (t *Tracker) repairAcceptor(ctx context.Context, now time.Time) {
	version := t.options.Accepted().GetVersion()
	if t.repair.backoff == 0 || t.repair.version != version {
		t.repair = repair{version: version, backoff: initialRepairBackoff, at: now.Add(initialRepairBackoff)}
	}
	if now.Before(t.repair.at) {
		return
	}
	t.read(ctx, readTimeout) // where it fails it is tried again
	t.repair.backoff = min(2*t.repair.backoff, maxRepairBackoff)
	t.repair.at = t.options.Now().Add(t.repair.backoff)
}

// read has the register bring out what is chosen. Its value reaches this process as any chosen one does.
func (t *Tracker) read(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, _ = t.options.Register.Read(ctx) // all callers try again, and the register's clients report that there is no quorum
}

// reportCaughtUp logs the end of a time in which this process was behind.
func (t *Tracker) reportCaughtUp(now time.Time) {
	known := t.options.Control()
	if !t.progress.behind {
		return
	}
	if known == nil { // nor do those know any value that answer
		t.progress.since, t.progress.received = now, t.options.ReceivedBytes()
		return
	}
	t.progress.behind = false
	const bytesPerMegabyte = 1e6
	t.options.Log.Info("caught up",
		"after_s", now.Sub(t.progress.since).Seconds(),
		"mb", float64(t.options.ReceivedBytes()-t.progress.received)/bytesPerMegabyte,
		"versions_behind", known.Version-min(t.progress.version, known.Version), "version", known.Version,
		"votes", register.IsVoter(known, t.options.Identity))
}
