package lease

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Divisors of the TTL.
const (
	renewDivisor       = 3 // a holder renews its lease three times within the TTL
	retryDivisor       = 8 // wait of a holder after a failed renewal
	marginDivisor      = 8 // by how much a candidate's grant is shorter than the lessor's
	callTimeoutDivisor = 4 // time-out of one attempt
	backoffDivisor     = 4 // base and maximum jitter of the wait of a candidate without the lease
)

// contentionBackoff is the minimum wait of a candidate after an attempt in which several got some grants each. The
// releases of all of them have arrived by then.
const contentionBackoff = 100 * time.Millisecond

// CandidateOptions configure a Candidate.
type CandidateOptions struct {
	// Role is the name of the singleton role.
	Role string
	// Self is the identity of this process; not 0.
	Self uint64
	// Caller sends requests to the lessors of other processes.
	Caller rpc.Caller
	// Local is the lessor of this process, which is called without the network if it is a voter's; may be nil.
	Local *Lessor
	// Voters returns the voter sets of the control state; nil or empty while they are unknown.
	Voters func() []*tierpb.VoterSet
	// TTL is the time for which the lease is requested; 0, and any longer time, means MaxTTL.
	TTL time.Duration
	// OnChange is called by Run whenever the lease was acquired or lost; may be nil.
	OnChange func(owned bool)
	// Jitter returns a duration of at least 0 and less than n; nil means a uniformly random one.
	Jitter func(n time.Duration) time.Duration
}

// Candidate tries to acquire and keep the lease of a role while Run runs. It is safe for concurrent use.
type Candidate struct {
	options CandidateOptions

	mu               sync.Mutex
	sequence         uint64               // of the last attempt
	resignedSequence uint64               // grants of attempts up to this one are ignored
	grants           map[uint64]time.Time // when the grants end, by the lessor's identity
	expires          time.Time            // when the lease ends, as of the last attempt with a quorum
	acquisition      uint64               // number of the present or last acquisition
	reported         bool                 // as last reported by OnChange
}

// NewCandidate returns a candidate that owns nothing yet.
func NewCandidate(options CandidateOptions) *Candidate {
	if options.TTL <= 0 || options.TTL > MaxTTL {
		options.TTL = MaxTTL
	}
	if options.Jitter == nil {
		options.Jitter = rand.N[time.Duration]
	}
	return &Candidate{options: options, sequence: uint64(time.Now().UnixNano()), grants: make(map[uint64]time.Time)}
}

// OwnsLease reports whether a majority of each known voter set grants the lease now. It turns false before the first of
// these grants expires at its lessor.
func (c *Candidate) OwnsLease() bool { return c.OwnsLeaseOf(c.options.Voters()) }

// OwnsLeaseOf reports whether a majority of each of these voter sets grants the lease now. At most one candidate owns the
// lease of the same voter sets at a time, whatever voter sets each of them knows.
func (c *Candidate) OwnsLeaseOf(voters []*tierpb.VoterSet) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ownsLocked(voters, time.Now())
}

func (c *Candidate) ownsLocked(voters []*tierpb.VoterSet, now time.Time) bool {
	return now.Before(c.expires) && register.HasQuorum(voters, func(identity uint64) bool { return now.Before(c.grants[identity]) })
}

// Acquisition returns the number of the present or last acquisition, 0 before the first one. While it stays the same, the
// lease was not lost in between.
func (c *Candidate) Acquisition() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.acquisition
}

// Resign gives up the lease in this process only; the next attempt may acquire it again under a new number.
func (c *Candidate) Resign() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
	c.resignedSequence = c.sequence // grants that are still in flight count no longer
	clear(c.grants)
}

// Run acquires and renews the lease until ctx ends, then releases it.
func (c *Candidate) Run(ctx context.Context) {
	defer c.shutDown()
	for {
		timer := time.NewTimer(c.renew(ctx))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// renew makes one attempt to acquire or renew the lease and returns the wait until the next one.
func (c *Candidate) renew(ctx context.Context) time.Duration {
	ttl := c.options.TTL
	result := c.callVoters(ctx, c.options.Voters(), false)
	if result.quorum && c.extend(result.attempt) {
		return ttl / renewDivisor
	}
	if c.OwnsLease() {
		return ttl / retryDivisor
	}
	c.Resign()
	c.report(false)
	if result.granted == 0 {
		return max(result.remaining, ttl/backoffDivisor) + c.options.Jitter(ttl/backoffDivisor)
	}
	c.release(ctx)
	// Nobody had a quorum: the first candidate to try again gets it.
	return contentionBackoff + c.options.Jitter(ttl/backoffDivisor)
}

// extend moves the end of the lease to that of an attempt with a quorum. If the lease was not held without interruption
// until now, another candidate may have owned it, and a new acquisition begins. It returns false if the attempt was
// overtaken by a resignation, or took so long that its grants have ended.
func (c *Candidate) extend(attempt attempt) bool {
	c.mu.Lock()
	now := time.Now()
	if attempt.sequence <= c.resignedSequence || !now.Before(attempt.expires) {
		c.mu.Unlock()
		return false
	}
	if !now.Before(c.expires) {
		c.acquisition++
	}
	c.expires = attempt.expires
	c.mu.Unlock()
	c.report(true)
	return true
}

// report calls OnChange if the ownership has changed.
func (c *Candidate) report(owned bool) {
	c.mu.Lock()
	changed := owned != c.reported
	c.reported = owned
	c.mu.Unlock()
	if changed && c.options.OnChange != nil {
		c.options.OnChange(owned)
	}
}

// shutDown ends the lease in this process first, then releases it at the lessors.
func (c *Candidate) shutDown() {
	owned := c.OwnsLease()
	c.Resign()
	c.report(false)
	if owned {
		c.release(context.Background())
	}
}

func (c *Candidate) release(ctx context.Context) { c.callVoters(ctx, c.options.Voters(), true) }
