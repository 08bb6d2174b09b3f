package lease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/simulation"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

const role = "placement"

// election is a set of machines, each with a lessor and a candidate, in a synctest bubble.
type election struct {
	mu          sync.Mutex
	network     *simulation.Network
	machines    []*simulation.Machine
	lessors     []*Lessor
	candidates  []*Candidate
	voters      []*tierpb.VoterSet
	staleVoters map[int][]*tierpb.VoterSet // outdated voters, by the index of a candidate that knows these instead
	runs        sync.WaitGroup
	cancels     []context.CancelFunc
}

// lossRate is the fraction of messages that the network loses.
const lossRate = 0.02

func newElection(t *testing.T, seed uint64, count int) *election {
	t.Helper()
	return newLossyElection(t, seed, count, lossRate)
}

func newLossyElection(t *testing.T, seed uint64, count int, lost float64) *election {
	t.Helper()
	conditions := simulation.LinkConditions{MinDelay: time.Millisecond, MaxDelay: 5 * time.Millisecond, LossRate: lost}
	e := &election{network: simulation.NewNetwork(rand.New(rand.NewPCG(seed, 0)), conditions)}
	set := &tierpb.VoterSet{}
	for i := range count {
		address := fmt.Sprintf("10.0.0.%d:1", i+1)
		set.Nodes = append(set.Nodes, &tierpb.Node{Address: address, Identity: uint64(i + 1)})
		e.machines = append(e.machines, e.network.NewMachine(address, rand.New(rand.NewPCG(seed, uint64(i+1)))))
	}
	e.voters = []*tierpb.VoterSet{set}
	e.lessors = make([]*Lessor, count)
	e.candidates = make([]*Candidate, count)
	e.cancels = make([]context.CancelFunc, count)
	for i := range count {
		e.start(i, 0)
	}
	t.Cleanup(e.stopAll)
	return e
}

func (e *election) start(i int, gracePeriod time.Duration) {
	incarnation := e.machines[i].Start()
	e.lessors[i] = NewLessor(uint64(i+1), gracePeriod)
	e.lessors[i].Serve(incarnation.Server)
	incarnation.Listen()
	e.candidates[i] = NewCandidate(CandidateOptions{
		Role: role, Self: uint64(100 + i), Caller: incarnation.Caller(), Local: e.lessors[i],
		Voters: func() []*tierpb.VoterSet { return e.votersKnownTo(i) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	e.cancels[i] = cancel
	candidate := e.candidates[i]
	e.runs.Go(func() { candidate.Run(ctx) })
}

func (e *election) votersKnownTo(i int) []*tierpb.VoterSet {
	e.mu.Lock()
	defer e.mu.Unlock()
	if known, found := e.staleVoters[i]; found {
		return known
	}
	return e.voters
}

// setVoters makes these machines the voters. The uninformed candidates still know the old voters.
func (e *election) setVoters(machines []int, uninformed ...int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staleVoters = make(map[int][]*tierpb.VoterSet)
	for _, i := range uninformed {
		e.staleVoters[i] = e.voters
	}
	set := &tierpb.VoterSet{}
	for _, i := range machines {
		set.Nodes = append(set.Nodes, &tierpb.Node{Address: e.machines[i].Address(), Identity: uint64(i + 1)})
	}
	e.voters = []*tierpb.VoterSet{set}
}

// stop kills a process, which does not release its lease.
func (e *election) stop(i int) {
	e.machines[i].Kill()
	e.cancels[i]()
}

func (e *election) stopAll() {
	for i, machine := range e.machines {
		machine.Thaw()
		e.cancels[i]()
	}
	e.runs.Wait()
	<-time.After(time.Minute)
}

func (e *election) holders() (numbers []int) {
	for i, candidate := range e.candidates {
		if candidate.OwnsLeaseOf(e.votersKnownTo(-1)) {
			numbers = append(numbers, i)
		}
	}
	return numbers
}

// checkHolders checks for some time that there is at most one holder, and returns the holder at the end, if any.
func (e *election) checkHolders(t *testing.T, duration time.Duration) (seen []int) {
	t.Helper()
	for elapsed := time.Duration(0); elapsed < duration; elapsed += 10 * time.Millisecond {
		<-time.After(10 * time.Millisecond)
		seen = e.holders()
		assert.Assert(t, len(seen) <= 1, "%v hold the lease", seen)
	}
	return seen
}

// waitForHolder does the same, but returns as soon as there is a holder.
func (e *election) waitForHolder(t *testing.T, limit time.Duration) (seen []int) {
	t.Helper()
	for elapsed := time.Duration(0); elapsed < limit && len(seen) == 0; elapsed += 10 * time.Millisecond {
		seen = e.checkHolders(t, 10*time.Millisecond)
	}
	return seen
}

// includeIf returns a list that contains the number if the condition is true, otherwise an empty one.
func includeIf(condition bool, number int) []int {
	if !condition {
		return nil
	}
	return []int{number}
}
