package register

import (
	"context"
	"errors"
	"time"

	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// callsPerPhase bounds the calls to a voter that does not reply in time. A retry has the same proposal number, so a slow
// disk writes it only once, and the retry gets the reply as soon as that write is done.
const callsPerPhase = 3

// proposal runs the phases of one proposal number: a prepare phase and, if that succeeds, an accept phase.
type proposal struct {
	proposer    *Proposer
	number      *tierpb.ProposalNumber
	callTimeout time.Duration
	cached      acceptedValue
}

// acceptedValue is a value with the proposal number under which it was accepted. A proposer caches one, so that voters need
// not send the same value again: a proposal number has only one value.
type acceptedValue struct {
	number *tierpb.ProposalNumber
	value  *tierpb.ControlState
}

func (p *Proposer) newProposal(number *tierpb.ProposalNumber) *proposal {
	return &proposal{proposer: p, number: number, callTimeout: p.options.CallTimeout, cached: p.cachedValue}
}

// local returns the acceptor of this process if it is the given node, otherwise nil.
func (p *proposal) local(node *tierpb.Node) *Acceptor {
	if local := p.proposer.options.Local; local != nil && local.Identity() == node.GetIdentity() {
		return local
	}
	return nil
}

// callPrepare sends one prepare; nil means that the call failed.
func (p *proposal) callPrepare(ctx context.Context, node *tierpb.Node) *tierpb.PrepareReply {
	request := &tierpb.PrepareRequest{Identity: node.GetIdentity(), Proposal: p.number, KnownAccepted: p.cached.number}
	reply := &tierpb.PrepareReply{}
	if local := p.local(node); local != nil {
		reply = local.Prepare(request)
	} else if err := p.call(ctx, node, rpc.MethodPrepare, request, reply); err != nil {
		return nil
	}
	if reply.Prepared && p.cached.number.GetCounter() > 0 && sameProposal(reply.Accepted, p.cached.number) {
		reply.Value = p.cached.value
	}
	return reply
}

// callAccept sends one accept; nil means that the call failed.
func (p *proposal) callAccept(ctx context.Context, node *tierpb.Node, value *tierpb.ControlState) *tierpb.AcceptReply {
	request := &tierpb.AcceptRequest{Identity: node.GetIdentity(), Proposal: p.number, Value: value}
	if local := p.local(node); local != nil {
		return local.Accept(request)
	}
	reply := &tierpb.AcceptReply{}
	if err := p.call(ctx, node, rpc.MethodAccept, request, reply); err != nil {
		return nil
	}
	return reply
}

// call makes a call and repeats it after each timeout until ctx ends. The RPC client has closed an unresponsive connection
// by the time of the retry.
func (p *proposal) call(ctx context.Context, node *tierpb.Node, method rpc.Method, request, reply rpc.Message) error {
	for {
		limited, cancel := context.WithTimeout(ctx, p.callTimeout)
		err := p.proposer.options.Caller.Call(limited, node.GetAddress(), method, request, reply)
		cancel()
		if !errors.Is(err, rpc.ErrTimeout) || ctx.Err() != nil {
			return err
		}
	}
}

// isHigher reports whether a proposal number is higher than another; nil is the lowest.
func isHigher(number, than *tierpb.ProposalNumber) bool {
	if number.GetCounter() != than.GetCounter() {
		return number.GetCounter() > than.GetCounter()
	}
	return number.GetProposer() > than.GetProposer()
}

func sameProposal(one, other *tierpb.ProposalNumber) bool {
	return one.GetCounter() == other.GetCounter() && one.GetProposer() == other.GetProposer()
}
