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
	renewDivisor       = 3 // interval between renewals by the holder, so that there are three within the TTL
	retryDivisor       = 8 // backoff of a holder after a failed renewal
	marginDivisor      = 8 // safety margin: for the candidate a grant ends this much earlier than for the lessor
	callTimeoutDivisor = 4 // timeout of one attempt
	backoffDivisor     = 4 // base and maximum jitter of the backoff of a candidate without the lease
)

// contentionBackoff is the minimum backoff after a split vote, in which several candidates got some grants each but none a
// quorum. It is long enough for the releases of all of them to arrive.
const contentionBackoff = 100 * time.Millisecond

// CandidateOptions configure a Candidate.
type CandidateOptions struct {
	// Role is the name of the singleton role.
	Role string
	// Self is the identity of this process; not 0.
	Self uint64
	// Caller sends requests to the lessors of other processes.
	Caller rpc.Caller
	// Local is the lessor of this process. If it is a voter, it is called directly, without the network. May be nil.
	Local *Lessor
	// Voters returns the voter sets of the control state; nil or empty while they are unknown.
	Voters func() []*tierpb.VoterSet
	// TTL is the time for which the lease is requested; 0, or more than MaxTTL, means MaxTTL.
	TTL time.Duration
	// OnChange is called by Run each time the lease was acquired or lost; may be nil.
	OnChange func(owned bool)
	// Jitter returns a duration of at least 0 and less than n; nil means a uniformly random one.
	Jitter func(n time.Duration) time.Duration
}

// Candidate tries to acquire and keep the lease of a role until the context of Run ends. It is safe for concurrent use.
type Candidate struct {
	options CandidateOptions

	mu               sync.Mutex
	sequence         uint64               // of the last attempt
	resignedSequence uint64               // grants of attempts up to this one are ignored
	grants           map[uint64]time.Time // when each grant ends, by the lessor's identity
	expires          time.Time            // when the lease ends, according to the last attempt with a quorum
	acquisition      uint64               // number of the current or last acquisition
	reported         bool                 // last value passed to OnChange
}

// NewCandidate returns a candidate that does not own the lease.
func NewCandidate(options CandidateOptions) *Candidate {
	if options.TTL <= 0 || options.TTL > MaxTTL {
		options.TTL = MaxTTL
	}
	if options.Jitter == nil {
		options.Jitter = rand.N[time.Duration]
	}
	return &Candidate{options: options, sequence: uint64(time.Now().UnixNano()), grants: make(map[uint64]time.Time)}
}

// OwnsLease reports whether a majority of each known voter set currently grants the lease. It becomes false before the
// grants of that majority expire at their lessors.
func (c *Candidate) OwnsLease() bool { return c.OwnsLeaseOf(c.options.Voters()) }

// OwnsLeaseOf reports whether a majority of each of these voter sets currently grants the lease. For the same voter sets, at
// most one candidate owns the lease at a time, no matter which voter sets each candidate knows.
func (c *Candidate) OwnsLeaseOf(voters []*tierpb.VoterSet) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ownsLocked(voters, time.Now())
}

func (c *Candidate) ownsLocked(voters []*tierpb.VoterSet, now time.Time) bool {
	return now.Before(c.expires) && register.HasQuorum(voters, func(identity uint64) bool { return now.Before(c.grants[identity]) })
}

// Acquisition returns the number of the current or last acquisition, 0 before the first one. If the number is the same at
// two moments at which the lease was owned, the lease was not lost in between.
func (c *Candidate) Acquisition() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.acquisition
}

// Resign gives up the lease in this process, without a call to the lessors. The next attempt may acquire it again, with a
// new acquisition number.
func (c *Candidate) Resign() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
	c.resignedSequence = c.sequence // grants that are still in flight are ignored
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

// renew makes one attempt to acquire or renew the lease, and returns the time to wait until the next attempt.
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
	// Possibly a split vote, without a quorum for any candidate. Once all grants are released, the first to retry gets one.
	return contentionBackoff + c.options.Jitter(ttl/backoffDivisor)
}

// extend extends the lease to the end of the grants of an attempt that had a quorum. If the lease had ended before, another
// candidate may have owned it meanwhile, so this counts as a new acquisition. extend returns false if the candidate has
// resigned since the attempt began, or if the attempt took so long that its grants have already ended.
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

// report calls OnChange if the ownership has changed since the last call.
func (c *Candidate) report(owned bool) {
	c.mu.Lock()
	changed := owned != c.reported
	c.reported = owned
	c.mu.Unlock()
	if changed && c.options.OnChange != nil {
		c.options.OnChange(owned)
	}
}

// shutDown gives up the lease in this process, then releases it at the lessors.
func (c *Candidate) shutDown() {
	owned := c.OwnsLease()
	c.Resign()
	c.report(false)
	if owned {
		c.release(context.Background())
	}
}

func (c *Candidate) release(ctx context.Context) { c.callVoters(ctx, c.options.Voters(), true) }
