package modelcheck

import (
	"context"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/lease"
	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/simulation"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

const (
	folder    = "data"
	leaseRole = "placement"
)

// node is a machine with at most one process.
type node struct {
	number  int
	address string
	machine *simulation.Machine
	fate    *fate
	process *process // nil while none runs
	disks   int      // lost so far
	cut     bool
	deaf    bool      // hears nothing and is heard
	frozen  time.Time // until when the process is frozen
}

// process is one life of a coordinator: its acceptor, proposer, and where the scenario has it the lease.
type process struct {
	world    *world
	node     *node
	life     *simulation.Incarnation
	ctx      context.Context
	cancel   context.CancelFunc
	acceptor *register.Acceptor
	proposer *register.Proposer
	holder   *lease.Candidate
	acting   chan struct{} // holds one token; its owner acts under the lease
	tenure   tenure        // used by that owner
	serving  bool
	seen     *tierpb.ControlState // accepted value that was checked last, and its ballot
	seenAt   *tierpb.ProposalNumber

	mu    sync.Mutex
	known *tierpb.ControlState
	heard []fact       // what its callers heard, in order
	open  map[int]fact // requests in hand
	opens int
}

// start begins a life on what the node's disk holds. It is done in one step, and says whether it succeeded.
func (n *node) start(w *world, bootstrap bool) bool {
	life := n.machine.Start()
	p := &process{world: w, node: n, life: life, open: make(map[int]fact), acting: make(chan struct{}, 1)}
	p.acting <- struct{}{}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	var err error
	p.acceptor, err = register.OpenAcceptor(register.AcceptorOptions{
		Disk: &disk{Disk: life.Mount(), process: p}, Folder: folder, Address: n.address, Bootstrap: bootstrap, Seeds: w.seeds,
	})
	if err != nil {
		life.Stop()
		p.cancel()
		return false
	}
	w.name(p.acceptor.Identity(), n)
	p.acceptor.Serve(life.Server)
	p.proposer = register.NewProposer(register.ProposerOptions{
		Caller: &caller{process: p}, Local: p.acceptor, KnownState: p.newestKnown, OnChosen: p.learn, Jitter: half,
	})
	if w.scenario.Lease {
		p.startLease(bootstrap)
	}
	p.serving = true
	n.process = p
	return true
}

// startLease adds the grantor, and on the candidates a holder that runs as long as the process.
func (p *process) startLease(bootstrap bool) {
	holdBack := lease.MaxTTL
	if bootstrap {
		holdBack = 0
	}
	grantor := lease.NewLessor(p.acceptor.Identity(), holdBack)
	grantor.Serve(p.life.Server)
	if p.node.number >= p.world.scenario.Candidates {
		return
	}
	p.holder = lease.NewCandidate(lease.CandidateOptions{
		Role: leaseRole, Self: uint64(p.node.number + 1), Caller: &caller{process: p}, Local: grantor, Jitter: half,
		Voters: p.voters,
	})
	holder := p.holder
	p.world.running.Go(func() { holder.Run(p.ctx) })
}

// voters are those of the newest value that the process knows to be chosen, and at the start those that all know.
func (p *process) voters() []*tierpb.VoterSet {
	if known := p.newestKnown(); known != nil {
		return known.Voters
	}
	return p.world.firstVoters
}

// half is the middle of what a random wait may be.
func half(longest time.Duration) time.Duration { return longest / 2 }

// crash ends the process; of what the disk has not synced all is kept or all is lost.
func (n *node) crash(keep bool) {
	n.fate.keep = keep
	n.machine.PowerLoss()
	n.process.cancel()
	n.process = nil
}

// wipe ends the process and loses the disk.
func (n *node) wipe() {
	n.machine.Wipe()
	n.disks++
	if n.process != nil {
		n.process.cancel()
		n.process = nil
	}
}

func (p *process) hasEnded() bool {
	select {
	case <-p.life.Ended():
		return true
	default:
		return false
	}
}

func (p *process) newestKnown() *tierpb.ControlState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known
}

// learn takes over a chosen value, from the proposer or as a watch would bring it.
func (p *process) learn(state *tierpb.ControlState) {
	p.world.checks.chosen(state)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.known == nil || state.GetVersion() > p.known.GetVersion() {
		p.known = state
	}
}

// guess takes over a value of which nobody knows whether it is chosen, only to know whom to ask.
func (p *process) guess(state *tierpb.ControlState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.known = state
}

// hears notes what the process has been told, on which all that it believes rests.
func (p *process) hears(heard fact) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard = append(p.heard, heard)
}

// handles notes a request that came in; the number returned is for handled.
func (p *process) handles(request fact) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opens++
	p.open[p.opens] = request
	return p.opens
}

func (p *process) handled(number int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, number)
}
