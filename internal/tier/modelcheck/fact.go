package modelcheck

import (
	"fmt"

	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// factKind says what a fact is about.
type factKind uint64

const (
	factSync factKind = iota + 1
	factRefused
	factBegin
	factEnd
	factPrepare
	factPromise
	factAccept
	factAccepted
	factLease
	factGrant
	factWatch
	factDecide
)

// fact is what a fingerprint takes from a message or from a step of a process.
type fact struct {
	kind     factKind
	from     int // node
	flags    uint64
	identity uint64
	number   uint64
	ballots  []*tierpb.ProposalNumber
	state    *tierpb.ControlState
}

func flags(bits ...bool) (flags uint64) {
	for i, bit := range bits {
		if bit {
			flags |= 1 << i
		}
	}
	return flags
}

// factOf is the fact of a message.
func (w *world) factOf(message rpc.Message) fact {
	switch m := message.(type) {
	case *tierpb.PrepareRequest:
		return fact{kind: factPrepare, identity: m.Identity, ballots: []*tierpb.ProposalNumber{m.Proposal, m.KnownAccepted}}
	case *tierpb.PrepareReply:
		return fact{
			kind: factPromise, flags: flags(m.Prepared, m.WrongIdentity), state: m.Value,
			ballots: []*tierpb.ProposalNumber{m.Accepted, m.HighestPrepared},
		}
	case *tierpb.AcceptRequest:
		return fact{kind: factAccept, identity: m.Identity, ballots: []*tierpb.ProposalNumber{m.Proposal}, state: m.Value}
	case *tierpb.AcceptReply:
		return fact{kind: factAccepted, flags: flags(m.Accepted, m.WrongIdentity), ballots: []*tierpb.ProposalNumber{m.HighestPrepared}}
	case *tierpb.LeaseRequest:
		return fact{kind: factLease, flags: flags(m.Release), identity: m.Identity, number: m.Holder ^ m.Sequence}
	case *tierpb.LeaseReply:
		return fact{kind: factGrant, flags: flags(m.Granted), identity: m.Holder, number: uint64(m.RemainingMs)}
	}
	return fact{}
}

// describe is a message as the timeline shows it.
func (w *world) describe(message rpc.Message) string {
	switch m := message.(type) {
	case *tierpb.PrepareRequest:
		if m.Proposal.GetCounter() == 0 {
			return "peek" + w.to(m.Identity)
		}
		return "prepare " + w.ballotName(m.Proposal) + w.to(m.Identity)
	case *tierpb.PrepareReply:
		switch {
		case m.WrongIdentity:
			return "wrong identity"
		case !m.Prepared:
			return "refuse, promised " + w.ballotName(m.HighestPrepared)
		}
		return "promise, has " + w.ballotName(m.Accepted) + " " + w.stateName(m.Value)
	case *tierpb.AcceptRequest:
		return "accept " + w.ballotName(m.Proposal) + " " + w.stateName(m.Value) + w.to(m.Identity)
	case *tierpb.AcceptReply:
		switch {
		case m.WrongIdentity:
			return "wrong identity"
		case !m.Accepted:
			return "refuse, promised " + w.ballotName(m.HighestPrepared)
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

// to names the identity that a request is meant for where it is not that of the first life of a node's disk.
func (w *world) to(identity uint64) string {
	if name := w.identityName(identity); len(name) > 1 {
		return " for " + name
	}
	return ""
}

// ballotName is the counter and a letter for the proposer, in the order in which they were met.
func (w *world) ballotName(ballot *tierpb.ProposalNumber) string {
	if ballot.GetCounter() == 0 {
		return "0"
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	letter, found := w.letters[ballot.Proposer]
	if !found {
		letter = string(rune('a' + len(w.letters)%26))
		w.letters[ballot.Proposer] = letter
	}
	return fmt.Sprintf("%d%s", ballot.Counter, letter)
}

// stateName is a value in short: version, generation and voters.
func (w *world) stateName(state *tierpb.ControlState) string {
	if state == nil {
		return "-"
	}
	name := fmt.Sprintf("v%d g%d ", state.Version, state.GetConfiguration().GetGeneration())
	for _, set := range state.Voters {
		name += "["
		for _, node := range set.Nodes {
			name += w.identityName(node.Identity)
		}
		name += "]"
	}
	return name
}

// identityName is the number of the identity's node, with a mark for each disk that the node has lost before.
func (w *world) identityName(identity uint64) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	known, found := w.identities[identity]
	if !found {
		return "?"
	}
	name := fmt.Sprint(known.node)
	for range known.life {
		name += "'"
	}
	return name
}
