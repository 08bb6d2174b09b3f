package modelcheck

import (
	"cmp"
	"encoding/binary"
	"hash/maphash"
	"slices"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// fingerprint names a state: what is durable, in flight and believed, the trouble that may still come, and the time.
// Ballots count by their order, and nodes at which no operation begins by what they hold, not by their names.
func (w *world) fingerprint() uint64 {
	print := &printer{world: w, seed: fixedSeed}
	print.rank()
	lowest := uint64(0)
	for i, names := range w.renamings {
		print.names = names
		if sum := print.sum(); i == 0 || sum < lowest {
			lowest = sum
		}
	}
	return lowest
}

// fixedSeed is the same for all fingerprints of a process, which alone compares them.
var fixedSeed = maphash.MakeSeed()

// printer writes a state as bytes and hashes them.
type printer struct {
	world *world
	seed  maphash.Seed
	names []int // new number of each node
	ranks map[ballot]uint64
	bytes []byte
}

// facts calls visit with everything of the state that has ballots.
func (p *printer) facts(visit func(fact)) {
	for _, n := range p.world.nodes {
		if n.process == nil {
			continue
		}
		visit(n.process.durableFact())
		n.process.mu.Lock()
		for _, heard := range n.process.heard {
			visit(heard)
		}
		for _, open := range n.process.open {
			visit(open)
		}
		n.process.mu.Unlock()
	}
	for _, list := range [][]*event{p.world.queue, p.world.held} {
		for _, e := range list {
			visit(e.fact)
		}
	}
}

// durable is what the acceptor of a process has accepted.
func (p *process) durable() *tierpb.PrepareReply {
	return p.acceptor.Prepare(&tierpb.PrepareRequest{Identity: p.acceptor.Identity(), Proposal: &tierpb.ProposalNumber{}})
}

func (p *process) durableFact() fact {
	reply := p.durable()
	return fact{ballots: []*tierpb.ProposalNumber{p.acceptor.HighestPrepared(), reply.Accepted}, state: reply.Value}
}

// rank numbers the ballots of the state by their order.
func (p *printer) rank() {
	p.ranks = make(map[ballot]uint64)
	p.facts(func(f fact) {
		for _, b := range f.ballots {
			p.ranks[keyOf(b)] = 0
		}
	})
	keys := make([]ballot, 0, len(p.ranks))
	for key := range p.ranks {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b ballot) int {
		return cmp.Or(cmp.Compare(a.counter, b.counter), cmp.Compare(a.proposer, b.proposer))
	})
	for i, key := range keys {
		p.ranks[key] = uint64(i)
	}
}

// sum hashes the state under the present names.
func (p *printer) sum() uint64 {
	p.bytes = p.bytes[:0]
	w := p.world
	p.number(uint64(w.now()), uint64(w.ended()), uint64(w.offered()))
	for _, count := range w.used[Drop:] { // the limits of trouble count these
		p.number(uint64(count))
	}
	old := make([]int, len(w.nodes))
	for from, to := range p.names {
		old[to] = from
	}
	for _, from := range old {
		p.node(w.nodes[from])
	}
	for _, list := range [][]*event{w.queue, w.held} {
		p.number(uint64(len(list)))
		for _, e := range list {
			p.number(uint64(e.kind), uint64(p.names[e.from]), uint64(p.names[e.to]), uint64(e.until.UnixNano()))
			p.fact(e.fact)
		}
	}
	return maphash.Bytes(p.seed, p.bytes)
}

func (p *printer) node(n *node) {
	p.number(flags(n.process != nil, n.cut, n.deaf), uint64(n.disks), uint64(n.frozen.UnixNano()))
	if n.process == nil {
		return
	}
	p.fact(n.process.durableFact())
	n.process.mu.Lock()
	defer n.process.mu.Unlock()
	p.number(uint64(len(n.process.heard)))
	for _, heard := range n.process.heard {
		p.fact(heard)
	}
	p.number(uint64(len(n.process.open)))
	for number := range n.process.opens + 1 {
		if open, found := n.process.open[number]; found {
			p.fact(open)
		}
	}
}

func (p *printer) fact(f fact) {
	p.number(uint64(f.kind), uint64(p.names[f.from]), f.flags, f.number)
	p.identity(f.identity)
	for _, b := range f.ballots {
		p.number(p.ranks[keyOf(b)])
	}
	p.state(f.state)
}

func (p *printer) state(state *tierpb.ControlState) {
	p.number(state.GetVersion(), state.GetEpoch(), state.GetPlacementTerm(), uint64(len(state.GetRetirements())))
	p.number(uint64(len(state.GetCommittedChanges())))
	for _, taken := range state.GetCommittedChanges() {
		p.number(taken.Generation)
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

func (p *printer) identity(identity uint64) { p.number(p.nameOf(identity)) }

// nameOf is a number for an identity of a node's disk that follows from the node's present name.
func (p *printer) nameOf(identity uint64) uint64 {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	known, found := p.world.identities[identity]
	if !found {
		return identity
	}
	return uint64(p.names[known.node]*100 + known.life + 1)
}

func (p *printer) number(numbers ...uint64) {
	for _, number := range numbers {
		p.bytes = binary.LittleEndian.AppendUint64(p.bytes, number)
	}
}

// renamings are the ways to exchange the names of nodes that differ in nothing but these: they vote alike at the start,
// and no operation names them.
func renamings(scenario *Scenario) [][]int {
	names := make([]int, scenario.Nodes)
	var alike []int
	for number := range names {
		names[number] = number
		if number < scenario.Voters && !scenario.names(number) {
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

// names says that an operation or the lease treats a node as a particular one.
func (s *Scenario) names(node int) bool {
	if node < s.Candidates {
		return true
	}
	return slices.ContainsFunc(s.Operations, func(o Operation) bool {
		return o.Node == node || o.Kind == Replace && (o.Out == node || o.In == node)
	})
}
