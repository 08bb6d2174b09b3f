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
	number             int
	address            string
	machine            *simulation.Machine
	powerLossSource    *powerLossSource
	process            *process // nil while none runs
	disks              int      // lost so far
	partitioned        bool
	inboundPartitioned bool      // hears nothing and is heard
	frozen             time.Time // until when the process is frozen
}

// process is one life of a coordinator: its acceptor, proposer, and where the scenario has it the lease.
type process struct {
	run            *run
	node           *node
	incarnation    *simulation.Incarnation
	ctx            context.Context
	cancel         context.CancelFunc
	acceptor       *register.Acceptor
	proposer       *register.Proposer
	candidate      *lease.Candidate
	leaseToken     chan struct{} // holds one token; its owner acts under the lease
	acquisition    acquisition   // used by that owner
	serving        bool
	lastAccepted   *tierpb.ControlState // accepted value that was checked last, and its ballot
	lastAcceptedAt *tierpb.ProposalNumber

	mu           sync.Mutex
	known        *tierpb.ControlState
	observed     []observation       // what its callers heard, in order
	openRequests map[int]observation // requests in hand
	requestCount int
}

// start begins a life on what the node's disk holds. It is done in one step, and says whether it succeeded.
func (n *node) start(r *run, bootstrap bool) bool {
	incarnation := n.machine.Start()
	p := &process{run: r, node: n, incarnation: incarnation, openRequests: make(map[int]observation), leaseToken: make(chan struct{}, 1)}
	p.leaseToken <- struct{}{}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	var err error
	p.acceptor, err = register.OpenAcceptor(register.AcceptorOptions{
		Disk: &disk{Disk: incarnation.Mount(), process: p}, Folder: folder, Address: n.address, Bootstrap: bootstrap, Seeds: r.seeds,
	})
	if err != nil {
		incarnation.Stop()
		p.cancel()
		return false
	}
	r.name(p.acceptor.Identity(), n)
	p.acceptor.Serve(incarnation.Server)
	p.proposer = register.NewProposer(register.Options{
		Caller: &caller{process: p}, Local: p.acceptor, Known: p.newestKnown, Chosen: p.learn, Random: half,
	})
	if r.scenario.Lease {
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
	grantor.Serve(p.incarnation.Server)
	if p.node.number >= p.run.scenario.Candidates {
		return
	}
	p.candidate = lease.NewCandidate(lease.CandidateOptions{
		Role: leaseRole, Self: uint64(p.node.number + 1), Caller: &caller{process: p}, Local: grantor, Random: half,
		Voters: p.voters,
	})
	candidate := p.candidate
	p.run.running.Go(func() { candidate.Run(p.ctx) })
}

// voters are those of the newest value that the process knows to be chosen, and at the start those that all know.
func (p *process) voters() []*tierpb.VoterSet {
	if known := p.newestKnown(); known != nil {
		return known.Voters
	}
	return p.run.firstVoters
}

// half is the middle of what a random wait may be.
func half(longest time.Duration) time.Duration { return longest / 2 }

// crash ends the process; of what the disk has not synced all is kept or all is lost.
func (n *node) crash(keep bool) {
	n.powerLossSource.keep = keep
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
	case <-p.incarnation.Ended():
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
	p.run.checks.recordChosen(state)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.known == nil || state.GetVersion() > p.known.GetVersion() {
		p.known = state
	}
}

// guess takes over a value of which nobody knows whether it is chosen, only to know whom to ask.
func (p *process) assume(state *tierpb.ControlState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.known = state
}

// hears notes what the process has been told, on which all that it believes rests.
func (p *process) observe(observed observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observed = append(p.observed, observed)
}

// handles notes a request that came in; the number returned is for handled.
func (p *process) beginRequest(request observation) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requestCount++
	p.openRequests[p.requestCount] = request
	return p.requestCount
}

func (p *process) endRequest(number int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.openRequests, number)
}
