package modelcheck

import (
	"fmt"

	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// observationKind says what an observation is about.
type observationKind uint64

const (
	observationSync observationKind = iota + 1
	observationUnreachable
	observationOperationBegin
	observationOperationEnd
	observationPrepareRequest
	observationPrepareReply
	observationAcceptRequest
	observationAcceptReply
	observationLeaseRequest
	observationLeaseReply
	observationWatch
	observationDecision
)

// observation is the part of a message, or of a step of a process, that enters the fingerprint.
type observation struct {
	kind      observationKind
	from      int // number of the node
	flags     uint64
	identity  uint64
	number    uint64
	proposals []*tierpb.ProposalNumber
	state     *tierpb.ControlState
}

// flags packs booleans into a number, the first one into the lowest bit.
func flags(bits ...bool) (flags uint64) {
	for i, bit := range bits {
		if bit {
			flags |= 1 << i
		}
	}
	return flags
}

// observationOf returns the observation of a message.
func (r *run) observationOf(message rpc.Message) observation {
	switch m := message.(type) {
	case *tierpb.PrepareRequest:
		return observation{
			kind: observationPrepareRequest, identity: m.Identity,
			proposals: []*tierpb.ProposalNumber{m.Proposal, m.KnownAccepted},
		}
	case *tierpb.PrepareReply:
		return observation{
			kind: observationPrepareReply, flags: flags(m.Prepared, m.WrongIdentity), state: m.Value,
			proposals: []*tierpb.ProposalNumber{m.Accepted, m.HighestPrepared},
		}
	case *tierpb.AcceptRequest:
		return observation{kind: observationAcceptRequest, identity: m.Identity, proposals: []*tierpb.ProposalNumber{m.Proposal}, state: m.Value}
	case *tierpb.AcceptReply:
		return observation{
			kind: observationAcceptReply, flags: flags(m.Accepted, m.WrongIdentity),
			proposals: []*tierpb.ProposalNumber{m.HighestPrepared},
		}
	case *tierpb.LeaseRequest:
		return observation{kind: observationLeaseRequest, flags: flags(m.Release), identity: m.Identity, number: m.Holder ^ m.Sequence}
	case *tierpb.LeaseReply:
		return observation{kind: observationLeaseReply, flags: flags(m.Granted), identity: m.Holder, number: uint64(m.RemainingMs)}
	}
	return observation{}
}

// describe returns a message as the timeline shows it.
func (r *run) describe(message rpc.Message) string {
	switch m := message.(type) {
	case *tierpb.PrepareRequest:
		if m.Proposal.GetCounter() == 0 {
			return "peek" + r.to(m.Identity)
		}
		return "prepare " + r.proposalName(m.Proposal) + r.to(m.Identity)
	case *tierpb.PrepareReply:
		switch {
		case m.WrongIdentity:
			return "wrong identity"
		case !m.Prepared:
			return "rejected, prepared " + r.proposalName(m.HighestPrepared)
		}
		return "prepared, accepted " + r.proposalName(m.Accepted) + " " + r.stateName(m.Value)
	case *tierpb.AcceptRequest:
		return "accept " + r.proposalName(m.Proposal) + " " + r.stateName(m.Value) + r.to(m.Identity)
	case *tierpb.AcceptReply:
		switch {
		case m.WrongIdentity:
			return "wrong identity"
		case !m.Accepted:
			return "rejected, prepared " + r.proposalName(m.HighestPrepared)
		}
		return "accepted"
	case *tierpb.LeaseRequest:
		if m.Release {
			return fmt.Sprintf("release lease of h%d", m.Holder)
		}
		return fmt.Sprintf("lease to h%d", m.Holder)
	case *tierpb.LeaseReply:
		if m.Granted {
			return fmt.Sprintf("granted to h%d", m.Holder)
		}
		return fmt.Sprintf("not granted, h%d for %d ms", m.Holder, m.RemainingMs)
	}
	return "message"
}

// to names the identity that a request is addressed to, unless it is that of a node's first disk.
func (r *run) to(identity uint64) string {
	if name := r.identityName(identity); len(name) > 1 {
		return " for " + name
	}
	return ""
}

// proposalName is the counter and a letter for the proposer, assigned in the order in which proposers are met.
func (r *run) proposalName(proposal *tierpb.ProposalNumber) string {
	if proposal.GetCounter() == 0 {
		return "0"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	letter, found := r.proposerLetters[proposal.Proposer]
	if !found {
		letter = string(rune('a' + len(r.proposerLetters)%26))
		r.proposerLetters[proposal.Proposer] = letter
	}
	return fmt.Sprintf("%d%s", proposal.Counter, letter)
}

// stateName abbreviates a value: version, generation and voters.
func (r *run) stateName(state *tierpb.ControlState) string {
	if state == nil {
		return "-"
	}
	name := fmt.Sprintf("v%d g%d ", state.Version, state.GetConfiguration().GetGeneration())
	for _, set := range state.Voters {
		name += "["
		for _, node := range set.Nodes {
			name += r.identityName(node.Identity)
		}
		name += "]"
	}
	return name
}

// identityName is the number of the identity's node, with an apostrophe for each disk that the node had lost before.
func (r *run) identityName(identity uint64) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, found := r.identities[identity]
	if !found {
		return "?"
	}
	name := fmt.Sprint(known.node)
	for range known.disk {
		name += "'"
	}
	return name
}
