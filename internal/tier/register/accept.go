package register

import (
	"context"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// acceptResult is the result of an accept phase.
type acceptResult struct {
	quorum           bool
	sent             bool   // at least one accept was sent
	highestRejection uint64 // highest proposal counter named in a rejection; 0 without rejections
	err              error  // from a failpoint
}

// acceptResponse is the result of one accept call.
type acceptResponse struct {
	from  uint64              // identity
	reply *tierpb.AcceptReply // nil if the call failed
}

// acceptTracker counts the replies to accepts.
type acceptTracker struct {
	voters    []*tierpb.VoterSet
	responses chan acceptResponse
	pending   identitySet // called, without a response so far
	accepted  identitySet
}

// accept sends the next value to the voters of the current value and to its own voters, and waits for a quorum of both.
// Accepts that are still in flight when a quorum is reached are not cancelled.
func (p *proposal) accept(ctx context.Context, current, next *tierpb.ControlState) acceptResult {
	phase, cancel := context.WithTimeout(context.WithoutCancel(ctx), callsPerPhase*p.callTimeout)
	tracker := &acceptTracker{pending: identitySet{}, accepted: identitySet{}}
	tracker.voters = append(append(tracker.voters, current.GetVoters()...), next.GetVoters()...)
	result := p.sendAccepts(phase, tracker, next)
	for result.err == nil && !tracker.isDone() {
		select {
		case response := <-tracker.responses:
			result.highestRejection = max(result.highestRejection, tracker.record(response))
		case <-phase.Done():
			tracker.pending = identitySet{}
		case <-ctx.Done():
			tracker.pending = identitySet{}
		}
	}
	result.quorum = HasQuorum(tracker.voters, tracker.accepted.has)
	go awaitResponses(tracker.responses, len(tracker.pending), cancel)
	return result
}

func (p *proposal) sendAccepts(phase context.Context, tracker *acceptTracker, value *tierpb.ControlState) (result acceptResult) {
	targets := VoterNodes(&tierpb.ControlState{Voters: tracker.voters})
	tracker.responses = make(chan acceptResponse, len(targets))
	for _, node := range targets {
		if result.err = p.proposer.options.Failpoints.At(failpoint.AcceptSending); result.err != nil {
			return result
		}
		result.sent = true
		tracker.pending.add(node.GetIdentity())
		go func() {
			tracker.responses <- acceptResponse{from: node.GetIdentity(), reply: p.callAccept(phase, node, value)}
		}()
	}
	return result
}

// record counts a response. For a rejection it returns the counter of the higher proposal number that the acceptor has
// prepared, otherwise 0.
func (t *acceptTracker) record(response acceptResponse) (rejectedBy uint64) {
	delete(t.pending, response.from)
	if response.reply.GetAccepted() {
		t.accepted.add(response.from)
		return 0
	}
	return response.reply.GetHighestPrepared().GetCounter()
}

// isDone reports whether a quorum has accepted, or a quorum is no longer possible.
func (t *acceptTracker) isDone() bool {
	if HasQuorum(t.voters, t.accepted.has) {
		return true
	}
	return !HasQuorum(t.voters, func(identity uint64) bool { return t.accepted.has(identity) || t.pending.has(identity) })
}

// awaitResponses waits for the calls in flight, then cancels their context.
func awaitResponses(responses <-chan acceptResponse, count int, cancel context.CancelFunc) {
	defer cancel()
	for range count {
		<-responses
	}
}
