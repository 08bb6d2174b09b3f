package lease

import (
	"context"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// attempt is one request to all voters, to grant or to release the lease.
type attempt struct {
	sequence uint64
	expires  time.Time // end of the grants that it brings
}

// attemptResult is the result of an attempt.
type attemptResult struct {
	attempt
	quorum    bool
	granted   int           // number of grants
	remaining time.Duration // of the longest lease of another holder, or grace period
}

type answer struct {
	from  uint64             // identity
	reply *tierpb.LeaseReply // nil where the call failed
}

// callVoters makes one attempt. It calls all voters at once and returns at the first quorum, or when all have answered or
// timed out. Later grants are recorded all the same. A candidate with some grants that can have no quorum any more does not
// wait for voters that do not answer: another candidate needs those grants.
func (c *Candidate) callVoters(ctx context.Context, voters []*tierpb.VoterSet, release bool) attemptResult {
	ctx, cancel := context.WithTimeout(ctx, c.options.TTL/callTimeoutDivisor)
	begun := c.beginAttempt(voters)
	nodes := register.VoterNodes(&tierpb.ControlState{Voters: voters})
	answers := make(chan answer, len(nodes))
	calls := &sync.WaitGroup{}
	for _, node := range nodes {
		calls.Go(func() {
			reply := c.call(ctx, node, begun.sequence, release)
			c.recordGrant(node.GetIdentity(), reply, begun)
			answers <- answer{from: node.GetIdentity(), reply: reply}
		})
	}
	go func() {
		calls.Wait()
		cancel()
	}()
	return collectAnswers(begun, voters, answers, len(nodes), release)
}

// collectAnswers reads up to count answers until the result of the attempt is decided.
func collectAnswers(begun attempt, voters []*tierpb.VoterSet, answers <-chan answer, count int, release bool) attemptResult {
	result := attemptResult{attempt: begun}
	granted, denied := make(map[uint64]bool), make(map[uint64]bool)
	for range count {
		got := <-answers
		switch {
		case got.reply.GetGranted():
			granted[got.from] = true
			result.granted++
		case got.reply != nil:
			denied[got.from] = true
			result.remaining = max(result.remaining, time.Duration(got.reply.RemainingMs)*time.Millisecond)
		}
		if register.HasQuorum(voters, func(identity uint64) bool { return granted[identity] }) {
			result.quorum = true
			return result
		}
		hopeless := !register.HasQuorum(voters, func(identity uint64) bool { return !denied[identity] })
		if hopeless && (release || result.granted > 0) {
			return result
		}
	}
	return result
}

// beginAttempt numbers an attempt. Its grants end a margin before the lessors end them, counted from before the requests
// are sent. A lease that the present voters do not grant is over: one that they grant may be another candidate's.
func (c *Candidate) beginAttempt(voters []*tierpb.VoterSet) attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.ownsLocked(voters, now) {
		c.expires = time.Time{}
	}
	for lessor, expires := range c.grants {
		if !now.Before(expires) {
			delete(c.grants, lessor)
		}
	}
	c.sequence++
	ttl := c.options.TTL
	return attempt{sequence: c.sequence, expires: now.Add(ttl - ttl/marginDivisor)}
}

// recordGrant records a grant unless the candidate has resigned since the attempt began.
func (c *Candidate) recordGrant(lessor uint64, reply *tierpb.LeaseReply, begun attempt) {
	if !reply.GetGranted() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if begun.sequence > c.resignedSequence && begun.expires.After(c.grants[lessor]) {
		c.grants[lessor] = begun.expires
	}
}

// call sends one request; nil means that the call failed.
func (c *Candidate) call(ctx context.Context, node *tierpb.Node, sequence uint64, release bool) *tierpb.LeaseReply {
	request := &tierpb.LeaseRequest{
		Role:     c.options.Role,
		Holder:   c.options.Self,
		TtlMs:    uint32(c.options.TTL / time.Millisecond),
		Release:  release,
		Identity: node.GetIdentity(),
		Sequence: sequence,
	}
	if local := c.options.Local; local != nil && local.identity == node.GetIdentity() {
		return local.Handle(request)
	}
	reply := &tierpb.LeaseReply{}
	if err := c.options.Caller.Call(ctx, node.GetAddress(), rpc.MethodLease, request, reply); err != nil {
		return nil
	}
	return reply
}
