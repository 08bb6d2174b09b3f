package register

import (
	"context"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// acceptance is the end of an accept phase.
type acceptance struct {
	quorum  bool
	sent    bool   // at least one accept has left
	highest uint64 // counter met in refusals
	err     error
}

type vote struct {
	from  uint64
	reply *tierpb.AcceptReply // nil where the call failed
}

// voteCount follows the answers to accepts.
type voteCount struct {
	voters   []*tierpb.VoterSet
	answers  chan vote
	open     identities // sent and not answered
	accepted identities
}

// accept sends a value to the voters of the value that it is based on and to its own, and waits for a quorum of
// both. Accepts that are under way then go on by themselves.
func (r *round) accept(ctx context.Context, current, next *tierpb.ControlState) acceptance {
	phase, cancel := context.WithTimeout(context.WithoutCancel(ctx), callsOfAPhase*r.timeout)
	count := &voteCount{open: identities{}, accepted: identities{}}
	count.voters = append(append(count.voters, current.GetVoters()...), next.GetVoters()...)
	result := r.sendAccepts(phase, count, next)
	for result.err == nil && !count.decided() {
		select {
		case answer := <-count.answers:
			result.highest = max(result.highest, count.take(answer))
		case <-phase.Done():
			count.open = identities{}
		case <-ctx.Done():
			count.open = identities{}
		}
	}
	result.quorum = HasQuorum(count.voters, count.accepted.has)
	go drain(count.answers, len(count.open), cancel)
	return result
}

func (r *round) sendAccepts(phase context.Context, count *voteCount, value *tierpb.ControlState) (result acceptance) {
	targets := VoterNodes(&tierpb.ControlState{Voters: count.voters})
	count.answers = make(chan vote, len(targets))
	for _, node := range targets {
		if result.err = r.proposer.options.Failpoints.At(failpoint.AcceptSending); result.err != nil {
			return result
		}
		result.sent = true
		count.open.add(node.GetIdentity())
		go func() {
			count.answers <- vote{from: node.GetIdentity(), reply: r.callAccept(phase, node, value)}
		}()
	}
	return result
}

// take counts an answer and returns the counter of a higher ballot where it was refused for one.
func (c *voteCount) take(answer vote) (highest uint64) {
	delete(c.open, answer.from)
	if answer.reply.GetAccepted() {
		c.accepted.add(answer.from)
		return 0
	}
	return answer.reply.GetHighestPrepared().GetCounter()
}

// decided says whether there is a quorum, or cannot be one.
func (c *voteCount) decided() bool {
	if HasQuorum(c.voters, c.accepted.has) {
		return true
	}
	return !HasQuorum(c.voters, func(identity uint64) bool { return c.accepted.has(identity) || c.open.has(identity) })
}

// drain lets the calls that are under way come to their end before their context is let go.
func drain(answers <-chan vote, count int, cancel context.CancelFunc) {
	defer cancel()
	for range count {
		<-answers
	}
}
