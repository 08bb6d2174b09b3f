package coordinator

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/changelog"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Durations and sizes of a partition run.
const (
	partitionDuration = 20 * time.Second
	stepInterval      = 50 * time.Millisecond
	healTimeout       = 2 * time.Second // until an isolated coordinator has recovered after the partition
	startTimeout      = time.Second     // until an agent that has restarted has a state
	edgeCount         = 4
)

// partitionDirection says which messages between the isolated coordinators and the others are lost.
type partitionDirection struct {
	name              string
	outbound, inbound bool // messages from and to the isolated coordinators
}

var partitionDirections = []partitionDirection{{"both", true, true}, {"outbound", true, false}, {"inbound", false, true}}

// partitionRun is a test run with a partition. Before, during and after the partition two operators send competing changes,
// instances drain, agents restart and machines are retired; one isolated coordinator restarts. It also holds the results.
type partitionRun struct {
	*cluster
	names    []string // all coordinators
	isolated []string // coordinators that are isolated during the partition
	random   *rand.Rand

	mu             sync.Mutex
	partitionStart time.Time // start of the partition
	partitionEnded bool
	changes        []sentChange
	drained        map[string]time.Time // when the drain of each instance was acknowledged
	retired        map[string]bool      // machines whose retirement was reported as completed
	problems       []string
	edges          []*edge
	startedAt      []time.Time // start of each edge
	running        sync.WaitGroup
	stopped        chan struct{}
	stopOnce       sync.Once
}

// sentChange is a change that an operator sent until it was decided.
type sentChange struct {
	change     changelog.Change
	generation uint64
	status     int       // of the last response
	at         time.Time // of the last response
}

// addProblem records a failure that is reported at the end of the run.
func (r *partitionRun) addProblem(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems = append(r.problems, fmt.Sprintf(format, arguments...))
}

// randomInt returns a random number from 0 to limit-1.
func (r *partitionRun) randomInt(limit int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(limit)
}

// call sends a request to a random coordinator. If that coordinator is isolated during the whole call, it must answer with 503.
func (r *partitionRun) call(method, path, ifMatch, body string) (int, string) {
	name := r.names[r.randomInt(len(r.names))]
	isolated := slices.Contains(r.isolated, name) && r.isPartitioned()
	status, answer := r.process(name).send(method, path, ifMatch, body)
	if isolated && r.isPartitioned() && status != http.StatusServiceUnavailable {
		r.addProblem("%s answered %s %s with %d %s although it was isolated", name, method, path, status, answer)
	}
	return status, answer
}

func (r *partitionRun) isPartitioned() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.partitionStart.IsZero() && !r.partitionEnded
}

// newestAcknowledged returns the newest generation that had been acknowledged at a time.
func (r *partitionRun) newestAcknowledged(by time.Time) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	newest := uint64(0)
	for _, sent := range r.changes {
		if sent.status == http.StatusOK && !sent.at.After(by) {
			newest = max(newest, sent.generation)
		}
	}
	return newest
}

// checkEdges checks that each agent has a state startTimeout after its start, and that this state includes everything that was
// acknowledged more than propagationTimeout ago.
func (r *partitionRun) checkEdges() {
	deadline := time.Now().Add(-propagationTimeout)
	required := r.newestAcknowledged(deadline)
	for i, edge := range r.edges {
		generation := edge.generation()
		if generation == 0 && time.Since(r.startedAt[i]) > startTimeout {
			r.addProblem("an agent has no state %v after its start", startTimeout)
		}
		if generation > 0 && generation < required {
			r.addProblem("an agent has generation %d, but %d was acknowledged %v ago", generation, required, propagationTimeout)
		}
		r.mu.Lock()
		for id, at := range r.drained {
			known := edge.state.Instance(id)
			if known != nil && known.State < stateDraining && at.Before(deadline) {
				r.problems = append(r.problems, fmt.Sprintf("an agent has %s in state %v after its drain was acknowledged", id, known.State))
			}
		}
		r.mu.Unlock()
	}
}

func (r *partitionRun) restartEdge(i int) {
	if r.edges[i] != nil {
		r.edges[i].stop()
	}
	preferred := slices.Clone(r.names) // the isolated coordinators first
	slices.SortStableFunc(preferred, func(a, b string) int {
		return boolToInt(slices.Contains(r.isolated, b)) - boolToInt(slices.Contains(r.isolated, a))
	})
	r.edges[i], r.startedAt[i] = r.startEdge(fmt.Sprintf("edge-%d", i), preferred...), time.Now()
}

func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}

// advanceInSteps lets simulated time pass in steps of stepInterval. Turn stores send join requests, agents restart, and the state
// of the agents is checked after each step.
func (r *partitionRun) advanceInSteps(duration time.Duration, stores []*tierpb.Node) {
	for step := range int(duration / stepInterval) {
		if step%10 == 0 {
			epoch := uint64(0)
			for _, name := range r.names {
				epoch = max(epoch, r.process(name).state.Control().GetStores().GetEpoch())
			}
			for _, node := range stores {
				r.joinTurnStore(&tierpb.JoinRequest{Node: node, StoreEpoch: epoch, RebalancedEpoch: epoch})
			}
		}
		if step%12 == 11 {
			r.restartEdge(r.randomInt(edgeCount))
		}
		r.advance(stepInterval)
		r.checkEdges()
	}
}

// setPartition blocks or unblocks messages between the isolated coordinators and the others.
func (r *partitionRun) setPartition(lost partitionDirection) {
	for _, isolated := range r.isolated {
		for _, other := range r.names {
			if !slices.Contains(r.isolated, other) {
				r.setBlocked(isolated, other, lost.outbound)
				r.setBlocked(other, isolated, lost.inbound)
			}
		}
	}
}

// Coordinators are isolated for 20 s, always including the lease holder: one of three voters, one of three voters with a standby,
// and two of five voters, which reach each other.
func TestPartitionOfTwentySeconds(t *testing.T) {
	for _, size := range []struct{ coordinators, tolerance, isolated int }{{3, 1, 1}, {4, 1, 1}, {5, 2, 2}} {
		for seed, lost := range partitionDirections {
			t.Run(fmt.Sprintf("%d_of_%d_%s", size.isolated, size.coordinators, lost.name), func(t *testing.T) {
				withCluster(t, size.coordinators, size.tolerance, func(c *cluster) {
					r := &partitionRun{
						cluster: c, random: rand.New(rand.NewPCG(uint64(seed), uint64(size.coordinators))),
						drained: make(map[string]time.Time), retired: make(map[string]bool), stopped: make(chan struct{}),
						edges: make([]*edge, edgeCount), startedAt: make([]time.Time, edgeCount),
					}
					r.run(lost, size.isolated, 2*size.tolerance+3, size.coordinators)
				})
			})
		}
	}
}

// run runs the workload for a while without faults, then with the partition, then after it, and checks the results.
func (r *partitionRun) run(lost partitionDirection, isolatedCount, storeCount, coordinators int) {
	t := r.t
	for number := range coordinators {
		r.names = append(r.names, fmt.Sprintf("core-%d", number+1))
	}
	var stores []*tierpb.Node
	for number := range storeCount {
		stores = append(stores, turnStoreNode(number+1))
	}
	assert.Equal(t, r.process("core-1").putConfiguration(0, configurationOf(1, "a")), http.StatusOK)
	r.advance(2 * time.Second)
	slices.SortStableFunc(r.names, func(a, b string) int {
		return boolToInt(r.process(b).candidate.OwnsLease()) - boolToInt(r.process(a).candidate.OwnsLease())
	})
	r.isolated = slices.Clone(r.names[:isolatedCount])
	for i := range edgeCount {
		r.restartEdge(i)
	}
	defer r.stop()
	r.running.Go(func() { r.runOperator("x") })
	r.running.Go(func() { r.runOperator("y") })
	r.running.Go(r.drainInstances)
	r.advanceInSteps(2*time.Second, stores)
	r.running.Go(func() { r.retireMachine("store-1") })
	r.advanceInSteps(2*time.Second, stores)
	before := len(r.changes)

	r.setPartition(lost)
	r.mu.Lock()
	r.partitionStart = time.Now()
	r.mu.Unlock()
	r.advanceInSteps(5*time.Second, stores)
	for _, name := range r.isolated {
		assert.Equal(t, r.process(name).readinessStatus(), http.StatusServiceUnavailable, name)
	}
	r.running.Go(func() { r.retireMachine("store-2") })
	r.advanceInSteps(3*time.Second, stores)
	r.restart(r.isolated[len(r.isolated)-1])
	r.advanceInSteps(partitionDuration-8*time.Second, stores)
	duringPartition := len(r.changes) - before
	r.mu.Lock()
	r.partitionEnded = true
	r.mu.Unlock()
	r.setPartition(partitionDirection{})
	r.advanceInSteps(healTimeout, stores)
	for _, name := range r.isolated {
		assert.Equal(t, r.process(name).readinessStatus(), http.StatusOK, name)
	}
	r.advanceInSteps(3*time.Second, stores)
	r.stop()
	r.advance(propagationTimeout)
	r.checkResults(duringPartition)
}

// restart kills a coordinator and starts it again at once.
func (r *partitionRun) restart(name string) {
	r.kill(name)
	r.start(name, false)
}

// stop stops the workload and waits until it has ended.
func (r *partitionRun) stop() {
	r.stopOnce.Do(func() { close(r.stopped) })
	r.running.Wait()
}

// checkResults compares the responses with the final state of the cluster and reports the recorded problems.
func (r *partitionRun) checkResults(duringPartition int) {
	t := r.t
	for _, problem := range r.problems {
		t.Error(problem)
	}
	control := r.process(r.isolated[0]).state.Control()
	isCommitted := func(sent changelog.Change) bool {
		return changelog.Classify(control.CloneVT(), r.process(r.isolated[0]).history, sent) == changelog.Committed
	}
	committed := 0
	for _, sent := range r.changes {
		switch sent.status {
		case http.StatusOK:
			committed++
			assert.Assert(t, isCommitted(sent.change), "generation %d was acknowledged but not committed", sent.generation)
		case http.StatusPreconditionFailed:
			assert.Assert(t, !isCommitted(sent.change), "generation %d was rejected but committed", sent.generation)
		case http.StatusServiceUnavailable: // the operator was stopped before the change was decided
		default:
			t.Errorf("unexpected status %d for a change", sent.status)
		}
	}
	for _, name := range r.names {
		assert.Equal(t, r.process(name).state.Control().Version, control.Version, name)
		losses := boolToInt(slices.Contains(r.isolated, name))
		assert.Equal(t, r.countLogLines(name, "quorum contact lost"), losses, name)
		assert.Equal(t, r.countLogLines(name, "quorum contact established"), losses+1, name)
	}
	for _, edge := range r.edges {
		assert.Equal(t, edge.generation(), control.Configuration.Generation)
		edge.stop()
	}
	t.Logf("%d changes, %d of them during the partition, %d committed; %d drains acknowledged", len(r.changes), duringPartition, committed, len(r.drained))
	assert.Assert(t, duringPartition >= 20)
	assert.Assert(t, len(r.drained) >= 10)
	assert.Assert(t, r.retired["store-1"] && r.retired["store-2"], "%v", r.retired)
}
