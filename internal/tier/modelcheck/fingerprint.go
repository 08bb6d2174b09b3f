package modelcheck

import (
	"cmp"
	"encoding/binary"
	"hash/maphash"
	"slices"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// fingerprint hashes the state: what is durable, in flight and known to processes, the faults that may still be injected,
// and the time. Equivalent states have one fingerprint (symmetry reduction): proposal numbers count by their order only,
// and nodes that nothing tells apart by their state, not by their number.
func (r *run) fingerprint() uint64 {
	hasher := &fingerprinter{run: r, seed: fixedSeed}
	hasher.rank()
	lowest := uint64(0)
	for i, names := range r.renamings {
		hasher.names = names
		if sum := hasher.sum(); i == 0 || sum < lowest {
			lowest = sum
		}
	}
	return lowest
}

// fixedSeed is the same for all fingerprints of a process; they are compared within one process only.
var fixedSeed = maphash.MakeSeed()

// fingerprinter serializes a state and hashes it.
type fingerprinter struct {
	run   *run
	seed  maphash.Seed
	names []int // new number of each node
	ranks map[proposalKey]uint64
	bytes []byte
}

// observations calls visit with every part of the state that has proposal numbers.
func (p *fingerprinter) observations(visit func(observation)) {
	for _, n := range p.run.nodes {
		if n.process == nil {
			continue
		}
		visit(n.process.durableObservation())
		n.process.mu.Lock()
		for _, observed := range n.process.observed {
			visit(observed)
		}
		for _, request := range n.process.openRequests {
			visit(request)
		}
		n.process.mu.Unlock()
	}
	for _, list := range [][]*event{p.run.queue, p.run.deferred} {
		for _, e := range list {
			visit(e.observation)
		}
	}
}

// durable returns what the acceptor of a process has accepted.
func (p *process) durable() *tierpb.PrepareReply {
	return p.acceptor.Prepare(&tierpb.PrepareRequest{Identity: p.acceptor.Identity(), Proposal: &tierpb.ProposalNumber{}})
}

func (p *process) durableObservation() observation {
	reply := p.durable()
	return observation{proposals: []*tierpb.ProposalNumber{p.acceptor.HighestPrepared(), reply.Accepted}, state: reply.Value}
}

// rank numbers the proposals of the state by their order.
func (p *fingerprinter) rank() {
	p.ranks = make(map[proposalKey]uint64)
	p.observations(func(f observation) {
		for _, b := range f.proposals {
			p.ranks[proposalKeyOf(b)] = 0
		}
	})
	keys := make([]proposalKey, 0, len(p.ranks))
	for key := range p.ranks {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b proposalKey) int {
		return cmp.Or(cmp.Compare(a.counter, b.counter), cmp.Compare(a.proposer, b.proposer))
	})
	for i, key := range keys {
		p.ranks[key] = uint64(i)
	}
}

// sum hashes the state under the present numbering of nodes.
func (p *fingerprinter) sum() uint64 {
	p.bytes = p.bytes[:0]
	r := p.run
	p.number(uint64(r.now()), uint64(r.ended()), uint64(r.offered()))
	for _, count := range r.used[Drop:] { // the limits of faults count these
		p.number(uint64(count))
	}
	old := make([]int, len(r.nodes))
	for from, to := range p.names {
		old[to] = from
	}
	for _, from := range old {
		p.node(r.nodes[from])
	}
	for _, list := range [][]*event{r.queue, r.deferred} {
		p.number(uint64(len(list)))
		for _, e := range list {
			p.number(uint64(e.kind), uint64(p.names[e.from]), uint64(p.names[e.to]), uint64(e.until.UnixNano()))
			p.observation(e.observation)
		}
	}
	return maphash.Bytes(p.seed, p.bytes)
}

func (p *fingerprinter) node(n *node) {
	p.number(flags(n.process != nil, n.partitioned, n.inboundPartitioned), uint64(n.disks), uint64(n.frozen.UnixNano()))
	if n.process == nil {
		return
	}
	p.observation(n.process.durableObservation())
	n.process.mu.Lock()
	defer n.process.mu.Unlock()
	p.number(uint64(len(n.process.observed)))
	for _, observed := range n.process.observed {
		p.observation(observed)
	}
	p.number(uint64(len(n.process.openRequests)))
	for number := range n.process.requestCount + 1 {
		if request, found := n.process.openRequests[number]; found {
			p.observation(request)
		}
	}
}

func (p *fingerprinter) observation(f observation) {
	p.number(uint64(f.kind), uint64(p.names[f.from]), f.flags, f.number)
	p.identity(f.identity)
	for _, b := range f.proposals {
		p.number(p.ranks[proposalKeyOf(b)])
	}
	p.state(f.state)
}

func (p *fingerprinter) state(state *tierpb.ControlState) {
	p.number(state.GetVersion(), state.GetEpoch(), state.GetPlacementTerm(), uint64(len(state.GetRetirements())))
	p.number(uint64(len(state.GetCommittedChanges())))
	for _, committed := range state.GetCommittedChanges() {
		p.number(committed.Generation)
	}
	for _, set := range state.GetVoters() {
		p.number(uint64(len(set.Nodes)))
		members := make([]uint64, 0, len(set.Nodes))
		for _, node := range set.Nodes {
			members = append(members, p.nameOf(node.Identity))
		}
		slices.Sort(members)
		p.number(members...)
	}
}

func (p *fingerprinter) identity(identity uint64) { p.number(p.nameOf(identity)) }

// nameOf returns a number for the identity of a node's disk that follows from the present numbering of nodes.
func (p *fingerprinter) nameOf(identity uint64) uint64 {
	p.run.mu.Lock()
	defer p.run.mu.Unlock()
	known, found := p.run.identities[identity]
	if !found {
		return identity
	}
	return uint64(p.names[known.node]*100 + known.disk + 1)
}

func (p *fingerprinter) number(numbers ...uint64) {
	for _, number := range numbers {
		p.bytes = binary.LittleEndian.AppendUint64(p.bytes, number)
	}
}

// renamings returns the permutations of the nodes that are interchangeable: they vote alike at the start, and no operation
// names them.
func renamings(scenario *Scenario) [][]int {
	names := make([]int, scenario.Nodes)
	var alike []int
	for number := range names {
		names[number] = number
		if number < scenario.Voters && !scenario.isNamed(number) {
			alike = append(alike, number)
		}
	}
	all := [][]int{names}
	if len(alike) == 2 {
		swapped := slices.Clone(names)
		swapped[alike[0]], swapped[alike[1]] = alike[1], alike[0]
		all = append(all, swapped)
	}
	return all
}

// isNamed reports whether an operation or the lease refers to a particular node.
func (s *Scenario) isNamed(node int) bool {
	if node < s.Candidates {
		return true
	}
	return slices.ContainsFunc(s.Operations, func(o Operation) bool {
		return o.Node == node || o.Kind == Replace && (o.Out == node || o.In == node)
	})
}
