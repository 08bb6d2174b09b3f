package lease

import (
	"context"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// attempt is one round of requests to all voters, to grant or to release the lease.
type attempt struct {
	sequence uint64
	expires  time.Time // when the grants of this attempt end for the candidate
}

// attemptResult is the result of an attempt.
type attemptResult struct {
	attempt
	quorum    bool
	granted   int           // number of grants
	remaining time.Duration // the longest time until another holder's lease or a lessor's grace period ends
}

// voterResponse is the result of one call to a voter.
type voterResponse struct {
	from  uint64             // identity
	reply *tierpb.LeaseReply // nil if the call failed
}

// callVoters makes one attempt. It calls all voters concurrently and returns as soon as there is a quorum, or when all have
// replied or timed out. Grants that arrive later are still recorded. If the candidate has some grants but a quorum is no
// longer possible, callVoters does not wait for the remaining voters, because another candidate may need those grants.
func (c *Candidate) callVoters(ctx context.Context, voters []*tierpb.VoterSet, release bool) attemptResult {
	ctx, cancel := context.WithTimeout(ctx, c.options.TTL/callTimeoutDivisor)
	begun := c.beginAttempt(voters)
	nodes := register.VoterNodes(&tierpb.ControlState{Voters: voters})
	responses := make(chan voterResponse, len(nodes))
	calls := &sync.WaitGroup{}
	for _, node := range nodes {
		calls.Go(func() {
			reply := c.call(ctx, node, begun.sequence, release)
			c.recordGrant(node.GetIdentity(), reply, begun)
			responses <- voterResponse{from: node.GetIdentity(), reply: reply}
		})
	}
	go func() {
		calls.Wait()
		cancel()
	}()
	return collectResponses(begun, voters, responses, len(nodes), release)
}

// collectResponses reads up to count responses, until the result of the attempt is known.
func collectResponses(begun attempt, voters []*tierpb.VoterSet, responses <-chan voterResponse, count int, release bool) attemptResult {
	result := attemptResult{attempt: begun}
	granted, denied := make(map[uint64]bool), make(map[uint64]bool)
	for range count {
		response := <-responses
		switch {
		case response.reply.GetGranted():
			granted[response.from] = true
			result.granted++
		case response.reply != nil:
			denied[response.from] = true
			result.remaining = max(result.remaining, time.Duration(response.reply.RemainingMs)*time.Millisecond)
		}
		if register.HasQuorum(voters, func(identity uint64) bool { return granted[identity] }) {
			result.quorum = true
			return result
		}
		quorumImpossible := !register.HasQuorum(voters, func(identity uint64) bool { return !denied[identity] })
		if quorumImpossible && (release || result.granted > 0) {
			return result
		}
	}
	return result
}

// beginAttempt returns a new attempt. For the candidate its grants end earlier than for the lessors, by a margin, and their
// time counts from before the requests are sent. A lease that the given voters no longer grant ends here, because they may
// grant it to another candidate.
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
