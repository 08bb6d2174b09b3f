package coordinator

import (
	"context"
	"math/rand/v2"
	"time"

	"pulleygw.example/pulleygw/internal/tier/clock"
	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/rpc"
)

// Times of a start.
const (
	firstLook = 20 * time.Millisecond // between two looks whether a majority answers
	firstRead = 500 * time.Millisecond
)

// Times after which an acceptor that lacks what is chosen has it written again.
const (
	mendFirst = 500 * time.Millisecond
	mendMost  = time.Minute
)

// progress is how far this process is behind the others. Maintenance alone uses it.
type progress struct {
	behind   bool
	since    time.Time // when it fell behind
	version  uint64    // of the newest value that it had then
	received uint64    // bytes by then

	lagging uint64        // version of the own acceptor's value that lags
	mendAt  time.Time     // when it is to be written again
	pause   time.Duration // before the next try
}

// fallBehind notes when this process lost touch with the others, or started.
func (p *progress) fallBehind(now time.Time, version, received uint64) {
	if !p.behind {
		p.behind, p.since, p.version, p.received = true, now, version, received
	}
}

// learnFirst finds out at the start which value is chosen, as soon as a majority answers. Where all were killed at once,
// those that answer cannot tell either, and agents wait.
func (c *coordinator) learnFirst(ctx context.Context) {
	for c.starting() && clock.Sleep(ctx, firstLook/2+rand.N(firstLook)) {
		if !c.inTouch() {
			continue
		}
		c.readiness.Check()
		if !c.holdsUnknown() {
			return
		}
		limited, cancel := context.WithTimeout(ctx, firstRead)
		_, _ = c.register.Read(limited) // maintenance tries again where this fails
		cancel()
	}
}

// keepCurrent sees to it that the own acceptor has what is chosen, and reports when this process has caught up.
func (c *coordinator) keepCurrent(ctx context.Context) {
	now := c.now()
	switch {
	case !c.inTouch():
		c.progress.fallBehind(now, c.state.Control().GetVersion(), c.received())
	case c.acceptorLags():
		c.mendAcceptor(ctx, now)
	default:
		c.progress.pause = 0
		c.reportCaughtUp(now)
	}
}

// acceptorLags says that this process votes and that its acceptor holds an older value than the chosen one.
func (c *coordinator) acceptorLags() bool {
	known := c.state.Control()
	return register.IsVoter(known, c.self.Identity) && c.accepted().GetVersion() < known.GetVersion()
}

// mendAcceptor has the value written again where the acceptor has lagged for a while at the same version: it was down
// when the value was chosen. A read that finds voters with different values writes the newest to all.
func (c *coordinator) mendAcceptor(ctx context.Context, now time.Time) {
	p, version := &c.progress, c.accepted().GetVersion()
	if p.pause == 0 || p.lagging != version {
		p.lagging, p.pause, p.mendAt = version, mendFirst, now.Add(mendFirst)
	}
	if now.Before(p.mendAt) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readPatience)
	defer cancel()
	_, _ = c.register.Read(ctx) // where it fails it is tried again
	p.pause = min(2*p.pause, mendMost)
	p.mendAt = c.now().Add(p.pause)
}

// reportCaughtUp logs the end of a time in which this process was behind.
func (c *coordinator) reportCaughtUp(now time.Time) {
	p, known := &c.progress, c.state.Control()
	if !p.behind {
		return
	}
	if known == nil { // nor do those know any that answer
		p.since, p.received = now, c.received()
		return
	}
	p.behind = false
	c.log.Info("caught up", "after_s", now.Sub(p.since).Seconds(), "mb", float64(c.received()-p.received)/1e6,
		"versions_behind", known.Version-min(p.version, known.Version), "version", known.Version,
		"votes", register.IsVoter(known, c.self.Identity))
}

// received returns the bytes that the calls of this process have brought in.
func (c *coordinator) received() uint64 {
	if counting, ok := c.caller.(interface{ Counters() rpc.Counters }); ok {
		return counting.Counters().BytesReceived
	}
	return 0
}
