package modelcheck

import (
	"crypto/rand"
	"fmt"
	"io"
	randv2 "math/rand/v2"
	"sync"
	"testing/synctest"
	"time"

	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/simulation"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// run is a run of a Scenario in a synctest bubble. The scheduler's goroutine owns all fields but those guarded by mu.
type run struct {
	scenario    *Scenario
	seeds       []string
	firstVoters []*tierpb.VoterSet
	nodes       []*node
	queue       []*event // pending, dispatched in this order by default
	deferred    []*event // pending, dispatched by default when the queue is empty
	operations  []*operation
	began       time.Time
	points      int
	recovering  bool
	used        [kindCount]int // actions taken, by kind
	checks      *checks
	timeline    *Timeline
	renamings   [][]int // of interchangeable nodes, see renamings
	running     sync.WaitGroup

	mu              sync.Mutex
	arrived         []*event
	finished        int // operations that have ended
	proposerLetters map[uint64]string
	identities      map[uint64]nodeDisk
}

// nodeDisk names one of the successive disks of a node; each has an acceptor identity of its own.
type nodeDisk struct{ node, disk int }

func newRun(scenario *Scenario) *run {
	r := &run{
		scenario: scenario, began: time.Now(), proposerLetters: make(map[uint64]string),
		identities: make(map[uint64]nodeDisk), timeline: newTimeline(scenario.Nodes),
	}
	r.checks = newChecks(r)
	r.renamings = renamings(scenario)
	network := simulation.NewNetwork(randv2.New(&powerLossSource{}), simulation.LinkConditions{})
	for number := range scenario.Nodes {
		address := fmt.Sprintf("10.0.0.%d:7380", number+1)
		if number < scenario.Voters {
			r.seeds = append(r.seeds, address)
		}
		powerLossSource := &powerLossSource{}
		r.nodes = append(r.nodes, &node{
			number: number, address: address, powerLossSource: powerLossSource, machine: network.NewMachine(address, powerLossSource.random()),
		})
	}
	first := register.InitialState(r.seeds)
	r.firstVoters = first.Voters
	r.checks.recordChosen(first)
	for _, node := range r.nodes {
		node.start(r, true)
	}
	for number, plan := range scenario.Operations {
		r.operations = append(r.operations, &operation{Operation: plan, run: r, number: number})
	}
	r.offerOperations()
	r.awaitQuiescence()
	return r
}

// fixRandomness makes the identities and numbers that the code under test draws the same in each run, until restore is
// called.
func fixRandomness() (restore func()) {
	before := rand.Reader
	rand.Reader = io.Reader(randv2.NewChaCha8([32]byte{}))
	return func() { rand.Reader = before }
}

func (r *run) now() time.Duration { return time.Since(r.began) }

func (r *run) numberOf(address string) int {
	for _, node := range r.nodes {
		if node.address == address {
			return node.number
		}
	}
	return -1
}

// name records to which disk an identity belongs.
func (r *run) name(identity uint64, n *node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, found := r.identities[identity]; !found {
		r.identities[identity] = nodeDisk{node: n.number, disk: n.disks}
	}
}

// awaitQuiescence waits until all goroutines of the bubble are blocked, collects their events and checks the invariants.
func (r *run) awaitQuiescence() bool {
	synctest.Wait()
	found := r.collect()
	r.checks.checkStep()
	return found
}

// Bounds of the steps in which time advances until there is an event.
const (
	minTimeStep     = 5 * time.Millisecond
	maxPollInterval = 40 * time.Millisecond
	maxTimeStep     = 2 * time.Second
)

// advanceTime lets time pass until there is an event.
func (r *run) advanceTime() {
	ended := r.ended()
	wait := minTimeStep
	for passed := time.Duration(0); passed < maxTimeStep; passed += wait {
		time.Sleep(wait)
		if r.awaitQuiescence() || r.ended() != ended || r.anyDue() || r.isPastLength() {
			return
		}
		wait = min(wait*2, maxPollInterval)
	}
}

func (r *run) ended() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.finished
}

// anyDue reports whether the delay of an event is over.
func (r *run) anyDue() bool {
	for _, e := range r.deferred {
		if !e.until.IsZero() && r.due(e) {
			return true
		}
	}
	return false
}

func (r *run) due(e *event) bool { return !time.Now().Before(e.until) }

// isPastLength reports whether the scenario's time is over.
func (r *run) isPastLength() bool { return r.scenario.Length > 0 && r.now() >= r.scenario.Length }

// busy reports whether operations are in progress or the scenario's time is not over.
func (r *run) busy() bool {
	return r.ended() < r.offered() || r.scenario.Length > 0 && !r.isPastLength() && !r.recovering
}

// end ends all goroutines of the bubble, which synctest requires.
func (r *run) end() {
	for _, node := range r.nodes {
		if node.process != nil {
			node.process.cancel()
			node.process = nil
		}
		node.machine.Kill()
	}
	r.running.Wait()
	time.Sleep(time.Minute)
}
