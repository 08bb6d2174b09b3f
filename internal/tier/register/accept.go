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
	highestRejection uint64 // highest counter found in rejections, 0 without any
	err              error  // of a failpoint
}

// acceptAnswer is the result of one accept call.
type acceptAnswer struct {
	from  uint64              // identity
	reply *tierpb.AcceptReply // nil where the call failed
}

// acceptTracker counts the replies to accepts.
type acceptTracker struct {
	voters   []*tierpb.VoterSet
	answers  chan acceptAnswer
	pending  identitySet // sent and not answered
	accepted identitySet
}

// accept sends a value to the voters of the value that it is based on and to its own, and waits for a quorum of both.
// Accepts in flight are not cancelled when it returns.
func (p *proposal) accept(ctx context.Context, current, next *tierpb.ControlState) acceptResult {
	phase, cancel := context.WithTimeout(context.WithoutCancel(ctx), callsPerPhase*p.callTimeout)
	tracker := &acceptTracker{pending: identitySet{}, accepted: identitySet{}}
	tracker.voters = append(append(tracker.voters, current.GetVoters()...), next.GetVoters()...)
	result := p.sendAccepts(phase, tracker, next)
	for result.err == nil && !tracker.isDecided() {
		select {
		case answer := <-tracker.answers:
			result.highestRejection = max(result.highestRejection, tracker.record(answer))
		case <-phase.Done():
			tracker.pending = identitySet{}
		case <-ctx.Done():
			tracker.pending = identitySet{}
		}
	}
	result.quorum = HasQuorum(tracker.voters, tracker.accepted.has)
	go awaitAnswers(tracker.answers, len(tracker.pending), cancel)
	return result
}

func (p *proposal) sendAccepts(phase context.Context, tracker *acceptTracker, value *tierpb.ControlState) (result acceptResult) {
	targets := VoterNodes(&tierpb.ControlState{Voters: tracker.voters})
	tracker.answers = make(chan acceptAnswer, len(targets))
	for _, node := range targets {
		if result.err = p.proposer.options.Failpoints.At(failpoint.AcceptSending); result.err != nil {
			return result
		}
		result.sent = true
		tracker.pending.add(node.GetIdentity())
		go func() {
			tracker.answers <- acceptAnswer{from: node.GetIdentity(), reply: p.callAccept(phase, node, value)}
		}()
	}
	return result
}

// record counts an answer and returns the counter of the higher proposal number for which it was rejected, if any.
func (t *acceptTracker) record(answer acceptAnswer) (rejectedBy uint64) {
	delete(t.pending, answer.from)
	if answer.reply.GetAccepted() {
		t.accepted.add(answer.from)
		return 0
	}
	return answer.reply.GetHighestPrepared().GetCounter()
}

// isDecided reports whether there is a quorum, or none is possible any more.
func (t *acceptTracker) isDecided() bool {
	if HasQuorum(t.voters, t.accepted.has) {
		return true
	}
	return !HasQuorum(t.voters, func(identity uint64) bool { return t.accepted.has(identity) || t.pending.has(identity) })
}

// awaitAnswers waits for the calls in flight before their context is released.
func awaitAnswers(answers <-chan acceptAnswer, count int, cancel context.CancelFunc) {
	defer cancel()
	for range count {
		<-answers
	}
}
