package register

import (
	"context"
	"errors"
	"time"

	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// callsOfAPhase is how often a call is made that finds no answer in time. The ballot stays the same, so a slow disk does
// the work once, and the repeated call gets the answer when it is done.
const callsOfAPhase = 3

// refusedPatience is the part of a call's time that a prepare waits on for others once it has met a higher ballot: the
// next ballot gets the promise that this one was refused.
const refusedPatience = 10

// round is one ballot of a proposer: a prepare phase and an accept phase.
type round struct {
	proposer *Proposer
	ballot   *tierpb.ProposalNumber
	timeout  time.Duration // of one call
	cached   cachedValue
}

// cachedValue is a value with the ballot at which it was accepted, so that acceptors need not send it again.
type cachedValue struct {
	ballot *tierpb.ProposalNumber
	value  *tierpb.ControlState
}

func newRound(proposer *Proposer, ballot *tierpb.ProposalNumber, timeout time.Duration) *round {
	return &round{proposer: proposer, ballot: ballot, timeout: timeout, cached: proposer.cached}
}

// preparation is the end of a prepare phase.
type preparation struct {
	quorum  bool
	chosen  bool                   // a quorum holds the value by one and the same ballot
	value   *tierpb.ControlState   // accepted at the highest ballot among the promises
	ballot  *tierpb.ProposalNumber // that ballot
	highest uint64                 // counter met in refusals
}

type promise struct {
	from  uint64
	reply *tierpb.PrepareReply // nil where the call failed
}

// ballotCount follows the answers to prepares.
type ballotCount struct {
	start    []*tierpb.VoterSet // of the state whose voters were asked first
	asked    identities
	refused  identities // have promised a higher ballot, or cannot save one
	open     identities // asked and not answered
	promised map[uint64]*tierpb.ProposalNumber
	best     *tierpb.PrepareReply // with a value, at the highest ballot
	highest  uint64               // counter met in refusals
}

// prepare asks the voters of a state, and those that the answers name, for promises until these are a quorum by the
// value with the highest ballot among them. It does not wait for the slow.
func (r *round) prepare(ctx context.Context, start *tierpb.ControlState) preparation {
	ctx, cancel := context.WithTimeout(ctx, callsOfAPhase*r.timeout)
	defer cancel()
	answers := make(chan promise)
	count := &ballotCount{
		start: start.GetVoters(), asked: identities{}, open: identities{}, refused: identities{},
		promised: map[uint64]*tierpb.ProposalNumber{},
	}
	r.ask(ctx, count, start, answers)
	var outrun <-chan time.Time
	for len(count.open) > 0 {
		select {
		case answer := <-answers:
			if count.take(answer) {
				r.ask(ctx, count, count.best.Value, answers)
			}
		case <-outrun:
			return count.result()
		case <-ctx.Done():
			return count.result()
		}
		if outrun == nil && count.highest > 0 {
			outrun = time.After(r.timeout / refusedPatience)
		}
		if count.decided() {
			return count.result()
		}
	}
	return count.result()
}

// ask sends prepares to the voters of a state that have none yet.
func (r *round) ask(ctx context.Context, count *ballotCount, state *tierpb.ControlState, answers chan<- promise) {
	for _, node := range VoterNodes(state) {
		if count.asked.has(node.GetIdentity()) {
			continue
		}
		count.asked.add(node.GetIdentity())
		count.open.add(node.GetIdentity())
		go func() {
			reply := r.callPrepare(ctx, node)
			select {
			case answers <- promise{from: node.GetIdentity(), reply: reply}:
			case <-ctx.Done():
			}
		}()
	}
}

// take counts an answer and says whether it brought a value of a higher ballot.
func (c *ballotCount) take(answer promise) bool {
	delete(c.open, answer.from)
	reply := answer.reply
	if reply == nil || reply.WrongIdentity {
		return false
	}
	if !reply.Prepared {
		c.refused.add(answer.from)
		c.highest = max(c.highest, reply.GetHighestPrepared().GetCounter())
		return false
	}
	c.promised[answer.from] = reply.Accepted
	if len(reply.GetValue().GetVoters()) == 0 {
		return false
	}
	if c.best != nil && !higher(reply.Accepted, c.best.Accepted) {
		return false
	}
	c.best = reply
	return true
}

func (c *ballotCount) hasPromised(identity uint64) bool {
	_, found := c.promised[identity]
	return found
}

// decided says whether there is a quorum, or cannot be one. While no value is known, voters that refused the ballot
// may make it hopeless; those of another identity may not, for a slower one can know who took their places.
func (c *ballotCount) decided() bool {
	if c.best == nil {
		return len(c.refused) > 0 && !HasQuorum(c.start, func(identity uint64) bool { return !c.refused.has(identity) })
	}
	if HasQuorum(c.best.Value.Voters, c.hasPromised) {
		return true
	}
	return !HasQuorum(c.best.Value.Voters, func(identity uint64) bool {
		return c.hasPromised(identity) || c.open.has(identity)
	})
}

func (c *ballotCount) result() preparation {
	result := preparation{highest: c.highest}
	if c.best == nil {
		return result
	}
	result.value, result.ballot = c.best.Value, c.best.Accepted
	result.quorum = HasQuorum(result.value.Voters, c.hasPromised)
	result.chosen = HasQuorum(result.value.Voters, func(identity uint64) bool {
		accepted, found := c.promised[identity]
		return found && sameBallot(accepted, c.best.Accepted)
	})
	return result
}

// callPrepare sends one prepare; nil where the call failed.
func (r *round) callPrepare(ctx context.Context, node *tierpb.Node) *tierpb.PrepareReply {
	request := &tierpb.PrepareRequest{Identity: node.GetIdentity(), Proposal: r.ballot, KnownAccepted: r.cached.ballot}
	reply := &tierpb.PrepareReply{}
	if local := r.proposer.options.Local; local != nil && local.Identity() == node.GetIdentity() {
		reply = local.Prepare(request)
	} else if err := r.call(ctx, node, rpc.MethodPrepare, request, reply); err != nil {
		return nil
	}
	if reply.Prepared && r.cached.ballot.GetCounter() > 0 && sameBallot(reply.Accepted, r.cached.ballot) {
		reply.Value = r.cached.value
	}
	return reply
}

// callAccept sends one accept; nil where the call failed.
func (r *round) callAccept(ctx context.Context, node *tierpb.Node, value *tierpb.ControlState) *tierpb.AcceptReply {
	request := &tierpb.AcceptRequest{Identity: node.GetIdentity(), Proposal: r.ballot, Value: value}
	if local := r.proposer.options.Local; local != nil && local.Identity() == node.GetIdentity() {
		return local.Accept(request)
	}
	reply := &tierpb.AcceptReply{}
	if err := r.call(ctx, node, rpc.MethodAccept, request, reply); err != nil {
		return nil
	}
	return reply
}

// call repeats a call that finds no answer in time; a silent connection has been given up by then.
func (r *round) call(ctx context.Context, node *tierpb.Node, method rpc.Method, request, reply rpc.Message) error {
	for {
		limited, cancel := context.WithTimeout(ctx, r.timeout)
		err := r.proposer.options.Caller.Call(limited, node.GetAddress(), method, request, reply)
		cancel()
		if !errors.Is(err, rpc.ErrTimeout) || ctx.Err() != nil {
			return err
		}
	}
}
