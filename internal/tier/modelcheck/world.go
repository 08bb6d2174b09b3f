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

// world is a run under way, in a synctest bubble. Its scheduler owns all fields but those behind mu.
type world struct {
	scenario    *Scenario
	seeds       []string
	firstVoters []*tierpb.VoterSet
	nodes       []*node
	queue       []*event // let go in this order by default
	held        []*event // let go by default when the queue is empty
	operations  []*operation
	began       time.Time
	points      int
	resting     bool
	used        [kinds]int // actions taken, by kind
	checks      *checks
	timeline    *Timeline
	renamings   [][]int // see renamings
	running     sync.WaitGroup

	mu         sync.Mutex
	arrived    []*event
	finished   int // operations that have ended
	letters    map[uint64]string
	identities map[uint64]identityOfNode
}

// identityOfNode says which life of which node's disk an identity belongs to.
type identityOfNode struct{ node, life int }

func newWorld(scenario *Scenario) *world {
	w := &world{
		scenario: scenario, began: time.Now(), letters: make(map[uint64]string),
		identities: make(map[uint64]identityOfNode), timeline: newTimeline(scenario.Nodes),
	}
	w.checks = newChecks(w)
	w.renamings = renamings(scenario)
	network := simulation.NewNetwork(randv2.New(&fate{}), simulation.LinkConditions{})
	for number := range scenario.Nodes {
		address := fmt.Sprintf("10.0.0.%d:7380", number+1)
		if number < scenario.Voters {
			w.seeds = append(w.seeds, address)
		}
		fate := &fate{}
		w.nodes = append(w.nodes, &node{
			number: number, address: address, fate: fate, machine: network.NewMachine(address, fate.random()),
		})
	}
	first := register.InitialState(w.seeds)
	w.firstVoters = first.Voters
	w.checks.chosen(first)
	for _, node := range w.nodes {
		node.start(w, true)
	}
	for number, plan := range scenario.Operations {
		w.operations = append(w.operations, &operation{Operation: plan, world: w, number: number})
	}
	w.offerOperations()
	w.settle()
	return w
}

// drawFixed makes the identities and numbers that the code draws the same in each run; the function returned ends that.
func drawFixed() (restore func()) {
	before := rand.Reader
	rand.Reader = io.Reader(randv2.NewChaCha8([32]byte{}))
	return func() { rand.Reader = before }
}

func (w *world) now() time.Duration { return time.Since(w.began) }

func (w *world) numberOf(address string) int {
	for _, node := range w.nodes {
		if node.address == address {
			return node.number
		}
	}
	return -1
}

// name notes whose an identity is.
func (w *world) name(identity uint64, n *node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, found := w.identities[identity]; !found {
		w.identities[identity] = identityOfNode{node: n.number, life: n.disks}
	}
}

// settle waits until all goroutines do, takes over what they did, and checks it.
func (w *world) settle() bool {
	synctest.Wait()
	found := w.collect()
	w.checks.afterStep()
	return found
}

// Bounds of the steps in which time passes until something happens.
const (
	shortestWait = 5 * time.Millisecond
	longestWait  = 40 * time.Millisecond
	patience     = 2 * time.Second
)

// tick lets time pass until something comes up.
func (w *world) tick() {
	ended := w.ended()
	wait := shortestWait
	for passed := time.Duration(0); passed < patience; passed += wait {
		time.Sleep(wait)
		if w.settle() || w.ended() != ended || w.anyDue() || w.past() {
			return
		}
		wait = min(wait*2, longestWait)
	}
}

func (w *world) ended() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.finished
}

// anyDue says that a delayed event may be let go.
func (w *world) anyDue() bool {
	for _, e := range w.held {
		if !e.until.IsZero() && w.due(e) {
			return true
		}
	}
	return false
}

func (w *world) due(e *event) bool { return !time.Now().Before(e.until) }

// past says that the scenario's time is over.
func (w *world) past() bool { return w.scenario.Length > 0 && w.now() >= w.scenario.Length }

// busy says that operations are under way or the scenario's time is not over.
func (w *world) busy() bool {
	return w.ended() < w.offered() || w.scenario.Length > 0 && !w.past() && !w.resting
}

// end lets all goroutines of the bubble come to their end.
func (w *world) end() {
	for _, node := range w.nodes {
		if node.process != nil {
			node.process.cancel()
			node.process = nil
		}
		node.machine.Kill()
	}
	w.running.Wait()
	time.Sleep(time.Minute)
}
