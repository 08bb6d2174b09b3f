package modelcheck

import (
	"context"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/lease"
	"pulleygw.example/pulleygw/internal/tier/placement"
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
	disks              int      // number of disks lost so far
	partitioned        bool
	inboundPartitioned bool      // receives nothing, and its own messages arrive
	frozen             time.Time // until when the process is frozen
}

// process is one incarnation of a coordinator: its acceptor, its proposer, and the lease if the scenario has it.
type process struct {
	run            *run
	node           *node
	incarnation    *simulation.Incarnation
	ctx            context.Context
	cancel         context.CancelFunc
	acceptor       *register.Acceptor
	proposer       *register.Proposer
	candidate      *lease.Candidate
	leaseToken     chan struct{}    // holds one token; its owner may make changes under the lease
	tenure         placement.Tenure // used by the owner of the token
	serving        bool
	lastAccepted   *tierpb.ControlState // accepted value that was checked last, and its proposal number
	lastAcceptedAt *tierpb.ProposalNumber

	mu           sync.Mutex
	known        *tierpb.ControlState
	observed     []observation       // replies to its calls, in order
	openRequests map[int]observation // requests that it is handling, by the number that beginRequest returned
	requestCount int
}

// start starts a process on the node's disk in one step, and reports whether it succeeded.
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
	p.proposer = register.NewProposer(register.ProposerOptions{
		Caller: &caller{process: p}, Local: p.acceptor, KnownState: p.newestKnown, OnChosen: p.learn, Jitter: half,
	})
	if r.scenario.Lease {
		p.startLease(bootstrap)
	}
	p.serving = true
	n.process = p
	return true
}

// startLease adds the lessor, and on candidates a lease candidate that runs as long as the process.
func (p *process) startLease(bootstrap bool) {
	gracePeriod := lease.MaxTTL
	if bootstrap {
		gracePeriod = 0
	}
	lessor := lease.NewLessor(p.acceptor.Identity(), gracePeriod)
	lessor.Serve(p.incarnation.Server)
	if p.node.number >= p.run.scenario.Candidates {
		return
	}
	p.candidate = lease.NewCandidate(lease.CandidateOptions{
		Role: leaseRole, Self: uint64(p.node.number + 1), Caller: &caller{process: p}, Local: lessor, Jitter: half,
		Voters: p.voters,
	})
	candidate := p.candidate
	p.run.running.Go(func() { candidate.Run(p.ctx) })
}

// voters returns the voters of the newest value that the process knows to be chosen, and initially the first voters.
func (p *process) voters() []*tierpb.VoterSet {
	if known := p.newestKnown(); known != nil {
		return known.Voters
	}
	return p.run.firstVoters
}

// half replaces a random wait by the middle of its range.
func half(longest time.Duration) time.Duration { return longest / 2 }

// crash ends the process; the unsynced writes of its disk are all kept or all lost.
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

// learn takes a chosen value, from the proposer or as a watch would deliver it.
func (p *process) learn(state *tierpb.ControlState) {
	p.run.checks.recordChosen(state)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.known == nil || state.GetVersion() > p.known.GetVersion() {
		p.known = state
	}
}

// assume takes a value that may not be chosen, only to know whom to ask.
func (p *process) assume(state *tierpb.ControlState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.known = state
}

// observe records what the process has received; its volatile state follows from these observations.
func (p *process) observe(observed observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observed = append(p.observed, observed)
}

// beginRequest records a request that has come in; the returned number is for endRequest.
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
