// Package catchup brings a coordinator up to date after it was down, was isolated or lost its disk, and logs when it has
// caught up.
//
// Two things can lag behind:
//
//   - The known control state can be older than the value in the local acceptor. A read of the register determines whether
//     that value was chosen.
//   - The local acceptor of a voter can be older than the known chosen value, because the voter was down when the value was
//     chosen. A read that finds different values at the voters writes the newest value to all of them (read repair).
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
	startupCheckInterval = 20 * time.Millisecond  // mean time between two checks for quorum contact at the start
	startupReadTimeout   = 500 * time.Millisecond // of a read at the start
	readTimeout          = 2 * time.Second        // of later reads
	maxReadDelay         = 250 * time.Millisecond // random delay before a read, because other coordinators may read as well

	initialRepairBackoff = 500 * time.Millisecond // how long an acceptor may lag before it is repaired
	maxRepairBackoff     = time.Minute            // longest time between two repairs
	stepsBeforeRead      = 2                      // consecutive steps with the acceptor ahead after which the register is read
)

// Register reads the control state from a majority of the voters.
type Register interface {
	Read(ctx context.Context) (*tierpb.ControlState, error)
}

// Membership provides what a Tracker needs to know about the other coordinators.
type Membership interface {
	// HasQuorumContact reports whether a quorum of the voters has answered this process recently.
	HasQuorumContact() bool
	// Starting reports that this process may not have had enough time since its start to find the others.
	Starting() bool
	// CheckReadiness updates whether followers are served.
	CheckReadiness()
}

// Options of a Tracker. All are required.
type Options struct {
	// Identity is the identity of the local acceptor.
	Identity uint64
	// Control returns the newest value known to be chosen, or nil.
	Control func() *tierpb.ControlState
	// Accepted returns the newest value that the local acceptor has accepted, whether or not it was chosen, or nil.
	Accepted func() *tierpb.ControlState
	// ReceivedBytes returns how many bytes this process has received in replies to its calls.
	ReceivedBytes func() uint64
	Register      Register
	Membership    Membership
	Log           hclog.Logger
	Now           func() time.Time
}

// Tracker tracks whether this process has caught up with the others. RunAtStart and Step may run concurrently; Step must always
// be called from the same goroutine.
type Tracker struct {
	options Options

	// The following fields are used only by Step's goroutine.
	lag        lag
	repair     repair
	stepsAhead int // consecutive steps that found the acceptor ahead of the known control state
}

// lag is a period in which this process is behind, from its start or a loss of quorum contact until it has caught up.
type lag struct {
	active       bool
	since        time.Time // start of the period
	startVersion uint64    // newest version that the process had at the start of the period
	startBytes   uint64    // bytes received before the period
}

// repair schedules the next read repair of a lagging acceptor.
type repair struct {
	version     uint64        // version of the acceptor's outdated value
	nextAttempt time.Time     // time of the next attempt
	backoff     time.Duration // delay before the next attempt; 0 if the acceptor does not lag
}

// New returns a Tracker for a process that has just started and counts as behind.
func New(options Options) *Tracker {
	t := &Tracker{options: options}
	t.markBehind(options.Now(), options.Accepted().GetVersion(), 0)
	return t
}

// RunAtStart reads the chosen value as soon as there is quorum contact. It returns when the value is known or the startup grace
// is over. The read is needed after all coordinators were killed at once: none of them knows which value is chosen, and agents
// wait for it.
func (t *Tracker) RunAtStart(ctx context.Context) {
	for t.options.Membership.Starting() && clock.Sleep(ctx, startupCheckInterval/2+rand.N(startupCheckInterval)) {
		if !t.options.Membership.HasQuorumContact() {
			continue
		}
		t.options.Membership.CheckReadiness()
		if !t.acceptorAhead() {
			return
		}
		t.read(ctx, startupReadTimeout) // a failed read is retried here or by Step
	}
}

// Step reads the register if the local acceptor has a newer value than the known control state, and repairs the acceptor if its
// value is older. It may take as long as a read of the register.
func (t *Tracker) Step(ctx context.Context) {
	if !t.acceptorAhead() {
		t.stepsAhead = 0
	} else if t.stepsAhead++; t.stepsAhead >= stepsBeforeRead {
		t.readChosen(ctx)
	}
	now := t.options.Now()
	switch {
	case !t.options.Membership.HasQuorumContact():
		t.markBehind(now, t.options.Control().GetVersion(), t.options.ReceivedBytes())
	case t.acceptorBehind():
		t.repairAcceptor(ctx, now)
	default:
		t.repair.backoff = 0
		t.reportCaughtUp(now)
	}
}

// markBehind starts a lag, unless one is under way, because this process has started or lost quorum contact.
func (t *Tracker) markBehind(now time.Time, version, received uint64) {
	if !t.lag.active {
		t.lag = lag{active: true, since: now, startVersion: version, startBytes: received}
	}
}

// acceptorAhead reports whether the local acceptor has a newer value than the known control state. It may have been chosen.
func (t *Tracker) acceptorAhead() bool {
	accepted, known := t.options.Accepted(), t.options.Control()
	return accepted.GetVersion() > known.GetVersion()
}

// acceptorBehind reports whether this process is a voter and its acceptor has an older value than the known chosen one.
func (t *Tracker) acceptorBehind() bool {
	known := t.options.Control()
	return register.IsVoter(known, t.options.Identity) && t.options.Accepted().GetVersion() < known.GetVersion()
}

// readChosen reads the register after a random delay, unless the chosen value has become known in the meantime: another
// coordinator may have read it.
func (t *Tracker) readChosen(ctx context.Context) {
	if !clock.Sleep(ctx, rand.N(maxReadDelay)) || !t.acceptorAhead() {
		return
	}
	t.read(ctx, readTimeout) // a failed read is retried by the next step
}

// repairAcceptor reads the register, which writes the chosen value to the acceptor, if the acceptor has stayed at the same
// older version for the current backoff. An acceptor that lags only briefly needs no repair.
func (t *Tracker) repairAcceptor(ctx context.Context, now time.Time) {
	version := t.options.Accepted().GetVersion()
	if t.repair.backoff == 0 || t.repair.version != version {
		t.repair = repair{version: version, backoff: initialRepairBackoff, nextAttempt: now.Add(initialRepairBackoff)}
	}
	if now.Before(t.repair.nextAttempt) {
		return
	}
	t.read(ctx, readTimeout) // a failed read is retried after the backoff
	t.repair.backoff = min(2*t.repair.backoff, maxRepairBackoff)
	t.repair.nextAttempt = t.options.Now().Add(t.repair.backoff)
}

// read reads the register. The value that it finds reaches the known control state like any other chosen value.
func (t *Tracker) read(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, _ = t.options.Register.Read(ctx) // errors are ignored: all callers retry, and clients of the register report a missing quorum
}

// reportCaughtUp ends and logs a lag. While no value is known at all, it restarts the lag instead.
func (t *Tracker) reportCaughtUp(now time.Time) {
	known := t.options.Control()
	if !t.lag.active {
		return
	}
	if known == nil { // the coordinators that answer know no value either
		t.lag.since, t.lag.startBytes = now, t.options.ReceivedBytes()
		return
	}
	t.lag.active = false
	const bytesPerMegabyte = 1e6
	t.options.Log.Info("caught up",
		"after_s", now.Sub(t.lag.since).Seconds(),
		"mb", float64(t.options.ReceivedBytes()-t.lag.startBytes)/bytesPerMegabyte,
		"versions_behind", known.Version-min(t.lag.startVersion, known.Version), "version", known.Version,
		"votes", register.IsVoter(known, t.options.Identity))
}
