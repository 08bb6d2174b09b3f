package register

import (
	"context"
	"time"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// rejectedWaitDivisor divides the call timeout into the time for which a prepare phase still waits for the remaining voters
// after a rejection. The wait is short because a retry with a higher proposal number can succeed.
const rejectedWaitDivisor = 10

// prepareResult is the result of a prepare phase.
type prepareResult struct {
	quorum           bool                   // a quorum of the voters in value has prepared the proposal
	chosen           bool                   // a quorum of these voters has accepted value under the same proposal number
	value            *tierpb.ControlState   // accepted under the highest proposal number among the granted prepares
	accepted         *tierpb.ProposalNumber // the proposal number of value
	highestRejection uint64                 // highest proposal counter named in a rejection; 0 without rejections
}

// prepareResponse is the result of one prepare call.
type prepareResponse struct {
	from  uint64               // identity
	reply *tierpb.PrepareReply // nil if the call failed
}

// prepareTracker counts the replies to prepares.
type prepareTracker struct {
	initialVoters    []*tierpb.VoterSet // contacted first
	contacted        identitySet
	rejected         identitySet                       // have prepared a higher proposal number, or could not save this one
	pending          identitySet                       // contacted, without a response so far
	prepared         map[uint64]*tierpb.ProposalNumber // accepted proposal numbers in granted prepares, by identity
	best             *tierpb.PrepareReply              // the one whose value has the highest proposal number
	highestRejection uint64
}

// prepare asks the voters in a state, and then the voters in the values that they return, to prepare this proposal. The
// quorum counts among the voters in the value with the highest proposal number. prepare returns once there is a quorum or
// none is possible; it does not wait for slower voters.
func (p *proposal) prepare(ctx context.Context, start *tierpb.ControlState) prepareResult {
	ctx, cancel := context.WithTimeout(ctx, callsPerPhase*p.callTimeout)
	defer cancel()
	responses := make(chan prepareResponse)
	tracker := &prepareTracker{
		initialVoters: start.GetVoters(), contacted: identitySet{}, rejected: identitySet{}, pending: identitySet{},
		prepared: map[uint64]*tierpb.ProposalNumber{},
	}
	p.sendPrepares(ctx, tracker, start, responses)
	var rejectedTimeout <-chan time.Time
	for len(tracker.pending) > 0 {
		select {
		case response := <-responses:
			if isNewBest := tracker.record(response); isNewBest {
				p.sendPrepares(ctx, tracker, tracker.best.Value, responses)
			}
		case <-rejectedTimeout:
			return tracker.result()
		case <-ctx.Done():
			return tracker.result()
		}
		if rejectedTimeout == nil && tracker.highestRejection > 0 {
			rejectedTimeout = time.After(p.callTimeout / rejectedWaitDivisor)
		}
		if tracker.isDone() {
			return tracker.result()
		}
	}
	return tracker.result()
}

// sendPrepares sends a prepare to each voter in a state that has not been contacted yet.
func (p *proposal) sendPrepares(
	ctx context.Context, tracker *prepareTracker, state *tierpb.ControlState, responses chan<- prepareResponse,
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
			case responses <- prepareResponse{from: node.GetIdentity(), reply: reply}:
			case <-ctx.Done():
			}
		}()
	}
}

// record counts a response and reports whether it has a value with a higher proposal number than all earlier responses.
func (t *prepareTracker) record(response prepareResponse) (isNewBest bool) {
	delete(t.pending, response.from)
	reply := response.reply
	if reply == nil || reply.WrongIdentity {
		return false
	}
	if !reply.Prepared {
		t.rejected.add(response.from)
		t.highestRejection = max(t.highestRejection, reply.GetHighestPrepared().GetCounter())
		return false
	}
	t.prepared[response.from] = reply.Accepted
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

// isDone reports whether there is a quorum, or a quorum is no longer possible. While no value is known, only rejections by
// the initial voters can make a quorum impossible. WrongIdentity replies cannot, because a slower voter may still return a
// value that contains the nodes that replaced these voters.
func (t *prepareTracker) isDone() bool {
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
