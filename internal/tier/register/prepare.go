package register

import (
	"context"
	"time"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// rejectedWaitDivisor divides the call time-out into the time that a prepare phase goes on waiting for the remaining
// voters after a rejection: a proposal with a higher number will be granted what this one was refused.
const rejectedWaitDivisor = 10

// prepareResult is the result of a prepare phase.
type prepareResult struct {
	quorum           bool                   // a quorum of the voters of value has prepared the proposal
	chosen           bool                   // a quorum of them holds value by one and the same proposal number
	value            *tierpb.ControlState   // accepted at the highest proposal number among the granted prepares
	accepted         *tierpb.ProposalNumber // that proposal number
	highestRejection uint64                 // highest counter found in rejections, 0 without any
}

// prepareAnswer is the result of one prepare call.
type prepareAnswer struct {
	from  uint64               // identity
	reply *tierpb.PrepareReply // nil where the call failed
}

// prepareTracker counts the replies to prepares.
type prepareTracker struct {
	initialVoters    []*tierpb.VoterSet // of the state whose voters were asked first
	contacted        identitySet
	rejected         identitySet // have prepared a higher proposal number, or cannot save one
	pending          identitySet // contacted and not answered
	prepared         map[uint64]*tierpb.ProposalNumber
	best             *tierpb.PrepareReply // with a value, at the highest proposal number
	highestRejection uint64
}

// prepare asks the voters of a state, and those that the replies name, to prepare this proposal. It returns once a quorum
// of the voters of the value with the highest proposal number has done so, or none is possible; it does not wait for
// slower voters.
func (p *proposal) prepare(ctx context.Context, start *tierpb.ControlState) prepareResult {
	ctx, cancel := context.WithTimeout(ctx, callsPerPhase*p.callTimeout)
	defer cancel()
	answers := make(chan prepareAnswer)
	tracker := &prepareTracker{
		initialVoters: start.GetVoters(), contacted: identitySet{}, rejected: identitySet{}, pending: identitySet{},
		prepared: map[uint64]*tierpb.ProposalNumber{},
	}
	p.sendPrepares(ctx, tracker, start, answers)
	var rejectedTimeout <-chan time.Time
	for len(tracker.pending) > 0 {
		select {
		case answer := <-answers:
			if isNewBest := tracker.record(answer); isNewBest {
				p.sendPrepares(ctx, tracker, tracker.best.Value, answers)
			}
		case <-rejectedTimeout:
			return tracker.result()
		case <-ctx.Done():
			return tracker.result()
		}
		if rejectedTimeout == nil && tracker.highestRejection > 0 {
			rejectedTimeout = time.After(p.callTimeout / rejectedWaitDivisor)
		}
		if tracker.isDecided() {
			return tracker.result()
		}
	}
	return tracker.result()
}

// sendPrepares sends a prepare to each voter of a state that has not been contacted yet.
func (p *proposal) sendPrepares(
	ctx context.Context, tracker *prepareTracker, state *tierpb.ControlState, answers chan<- prepareAnswer,
) {
	for _, node := range VoterNodes(state) {
		if tracker.contacted.has(node.GetIdentity()) {
			continue
		}
		tracker.contacted.add(node.GetIdentity())
		tracker.pending.add(node.GetIdentity())
		go func() {
			reply := p.callPrepare(ctx, node)
			select {
			case answers <- prepareAnswer{from: node.GetIdentity(), reply: reply}:
			case <-ctx.Done():
			}
		}()
	}
}

// record counts an answer and reports whether it carries a value of a higher proposal number than all before.
func (t *prepareTracker) record(answer prepareAnswer) (isNewBest bool) {
	delete(t.pending, answer.from)
	reply := answer.reply
	if reply == nil || reply.WrongIdentity {
		return false
	}
	if !reply.Prepared {
		t.rejected.add(answer.from)
		t.highestRejection = max(t.highestRejection, reply.GetHighestPrepared().GetCounter())
		return false
	}
	t.prepared[answer.from] = reply.Accepted
	if len(reply.GetValue().GetVoters()) == 0 {
		return false
	}
	if t.best != nil && !isHigher(reply.Accepted, t.best.Accepted) {
		return false
	}
	t.best = reply
	return true
}

func (t *prepareTracker) hasPrepared(identity uint64) bool {
	_, found := t.prepared[identity]
	return found
}

// isDecided reports whether there is a quorum, or none is possible any more. While no value is known, rejections by the
// initial voters can make a quorum impossible. Replies of another identity cannot, because a slower voter may name the
// nodes that replaced them.
func (t *prepareTracker) isDecided() bool {
	if t.best == nil {
		return len(t.rejected) > 0 &&
			!HasQuorum(t.initialVoters, func(identity uint64) bool { return !t.rejected.has(identity) })
	}
	if HasQuorum(t.best.Value.Voters, t.hasPrepared) {
		return true
	}
	return !HasQuorum(t.best.Value.Voters, func(identity uint64) bool {
		return t.hasPrepared(identity) || t.pending.has(identity)
	})
}

func (t *prepareTracker) result() prepareResult {
	result := prepareResult{highestRejection: t.highestRejection}
	if t.best == nil {
		return result
	}
	result.value, result.accepted = t.best.Value, t.best.Accepted
	result.quorum = HasQuorum(result.value.Voters, t.hasPrepared)
	result.chosen = HasQuorum(result.value.Voters, func(identity uint64) bool {
		accepted, found := t.prepared[identity]
		return found && sameProposal(accepted, t.best.Accepted)
	})
	return result
}
