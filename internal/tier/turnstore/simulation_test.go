package turnstore

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/placement"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/turns"
)

// The environment variable seedsVariable sets the number of random schedules that each test runs for each tier size;
// defaultSeeds applies without it.
const (
	seedsVariable = "PULLEYTIER_SCHEDULES"
	defaultSeeds  = 4
)

func simulationSeeds() int {
	if requested, err := strconv.Atoi(os.Getenv(seedsVariable)); err == nil {
		return requested
	}
	return defaultSeeds
}

// tierSize is the number of members of a tier and how many of them may fail at the same time.
type tierSize struct{ tolerance, members int }

const (
	simulationEvents     = 260
	catchUpTimeout       = 4 * time.Second
	simulationRetention  = 10 * time.Minute
	maxUpdateLag         = 300 * time.Millisecond
	partitionedUpdateLag = 3 * time.Second // for clients that a partition delays
	slowSync             = 350 * time.Millisecond
	convergenceTimeout   = 60 * time.Second
)

func TestReplicasSurviveFailuresRightAfterRebalances(t *testing.T) {
	for seed := range uint64(simulationSeeds()) {
		for _, size := range []tierSize{{1, 3}, {1, 4}, {2, 5}, {2, 7}} {
			synctest.Test(t, func(t *testing.T) { runSimulation(t, seed, size) })
		}
	}
}

// More disks are lost than are tolerated: the last one during the rebalance that follows the loss of the others. Records that
// were only on these disks may be lost, but the tier must complete the rebalance and accept writes again.
func TestSecondDiskLossDuringARebalanceDoesNotStopTheTier(t *testing.T) {
	for seed := range uint64(simulationSeeds()) {
		for _, size := range []tierSize{{1, 3}, {1, 4}, {2, 5}} {
			synctest.Test(t, func(t *testing.T) {
				t.Logf("seed %d, %d members of which %d may fail", seed, size.members, size.tolerance)
				s := newSimulation(t, seed, size)
				defer s.end()
				for range 20 {
					s.save()
					s.claimBudget()
					s.advanceTime(50 * time.Millisecond)
				}
				for range size.tolerance {
					s.failMachine(failureDiskLoss)
				}
				s.waitFor(func() bool { return len(s.control.Stores.Previous) > 0 })
				s.toleranceExceeded = true
				s.maxFailed++
				s.failMachine(failureDiskLoss)
				s.waitFor(func() bool { return len(s.failed) == 0 && len(s.control.Stores.Previous) == 0 })
				s.clients.Wait()
				assert.NilError(t, turns.NewClient(s.currentOptions()).Save(context.Background(), s.newRecord("last", "")))
			})
		}
	}
}

// runSimulation runs the random schedule of a seed, then lets all failures recover and reads everything.
func runSimulation(t *testing.T, seed uint64, size tierSize) {
	t.Helper()
	t.Logf("seed %d, %d members of which %d may fail", seed, size.members, size.tolerance)
	s := newSimulation(t, seed, size)
	defer s.end()
	for range simulationEvents {
		s.runRandomEvent()
		if t.Failed() {
			return
		}
	}
	for _, m := range s.machines {
		m.slow.Store(false)
	}
	for range size.tolerance { // in place of machines that were retired while others had failed
		s.addMachine()
	}
	for m := range s.failed {
		s.failed[m] = time.Time{}
	}
	s.waitFor(func() bool { return len(s.failed) == 0 && len(s.control.Stores.Previous) == 0 })
	s.clients.Wait()
	for _, retirement := range s.control.Retirements {
		assert.Check(t, retirement.Completed, "%s", retirement.Node)
	}
	s.checkReads()
	t.Logf("epoch %d, %d failures, %d turns, %d claims, %d machines retired", s.control.Stores.Epoch, s.failures,
		len(s.oracle.turns), len(s.oracle.claims), len(s.control.Retirements))
}

// simulation is a cluster whose stores run their background loops and whose membership package placement decides. As many
// machines fail at the same time as are tolerated. A failure ends as soon as the tier has recovered from it: the machine is
// up and a member, and no rebalance is in progress. The next failure may follow at once.
type simulation struct {
	*cluster
	control           *tierpb.ControlState
	receivedJoins     [2]map[uint64]placement.Join // by each of two coordinators; either may hold the lease
	membershipSeen    time.Time
	startedAt         time.Time
	history           []publishedMembership
	rebalancers       map[*machine]*runningRebalancer
	failed            map[*machine]time.Time // failed machines and when they restart
	maxMachines       int
	nextName          int
	failures          int
	maxFailed         int  // how many machines may have failed at the same time
	toleranceExceeded bool // more disks were lost than are tolerated, so records may be lost
	programs          []*budgetUsage
	log               []string

	storeLoops sync.WaitGroup
	clients    sync.WaitGroup
	mu         sync.Mutex
	oracle     oracle
	violations string // violations of guarantees that clients have found
}

// publishedMembership is a membership and the time of its publication.
type publishedMembership struct {
	at         time.Time
	membership *tierpb.StoreMembership
}

// runningRebalancer is the Rebalancer of a running store.
type runningRebalancer struct {
	rebalancer    *Rebalancer
	cancel        context.CancelFunc
	reportedEpoch uint64
	lastJoin      time.Time
}

func newSimulation(t *testing.T, seed uint64, size tierSize) *simulation {
	t.Helper()
	s := &simulation{
		cluster:     newCluster(t, seed),
		control:     &tierpb.ControlState{Stores: &tierpb.StoreMembership{Epoch: 1}},
		rebalancers: make(map[*machine]*runningRebalancer),
		failed:      make(map[*machine]time.Time),
		maxMachines: size.members + 2,
		startedAt:   time.Now(),

		maxFailed: size.tolerance,
	}
	s.oracle.disks = make(map[uint64]*memoryDisk)
	s.tolerance, s.after, s.delayedUpdates = size.tolerance, time.After, true
	s.clock.now = time.Now()
	s.latency = randomLatency(seed, 6*time.Millisecond)
	for i := range s.receivedJoins {
		s.receivedJoins[i] = make(map[uint64]placement.Join)
	}
	for range size.members {
		s.addMachine()
	}
	s.waitFor(func() bool { return len(s.control.Stores.Current) == size.members })
	return s
}

// run starts the store of a machine and its rebalancer.
func (s *simulation) run(m *machine) {
	s.start(m)
	s.logEvent("%s runs as %d", m.address, m.store.Identity())
	s.oracle.disks[m.store.Identity()] = m.disk
	ctx, cancel := context.WithCancel(context.Background())
	running := &runningRebalancer{rebalancer: NewRebalancer(m.store, s.cluster, s.tolerance), cancel: cancel}
	s.rebalancers[m] = running
	s.storeLoops.Go(func() { running.rebalancer.Run(ctx) })
	network := &senderNetwork{cluster: s.cluster, sender: m}
	propagator := &RetentionPropagator{Store: m.store, Caller: network, Tolerance: s.tolerance}
	expirer := &Expirer{Store: m.store, Caller: network, Tolerance: s.tolerance}
	s.storeLoops.Go(func() { propagator.Run(ctx) })
	s.storeLoops.Go(func() { expirer.Run(ctx) })
}

// halt stops the rebalancer of a machine and ends its process.
func (s *simulation) halt(m *machine) {
	if running := s.rebalancers[m]; running != nil {
		running.cancel()
		delete(s.rebalancers, m)
	}
	s.kill(m)
}

// end waits for the clients and stops all machines.
func (s *simulation) end() {
	s.clients.Wait()
	for _, m := range s.machines {
		s.halt(m)
	}
	s.storeLoops.Wait()
}

// node returns the node that a store reports for itself.
func (s *simulation) node(m *machine) *tierpb.Node {
	return &tierpb.Node{
		Name: m.address, Address: m.address, Zone: m.zone, Identity: m.store.Identity(), Role: tierpb.Role_ROLE_TURN_STORE,
	}
}

func (s *simulation) addMachine() {
	s.nextName++
	zones := []string{"a", "b", "c", "d", "e"}
	m := &machine{address: s.newAddress(s.nextName), zone: zones[s.nextName%len(zones)], disk: newMemoryDisk()}
	m.disk.setSyncDelay(s.syncDelay(m))
	m.disarmCrash()
	s.cluster.mu.Lock()
	s.machines[m.address] = m
	s.cluster.mu.Unlock()
	s.run(m)
}

// syncDelay returns the duration of syncs of a machine's disk; some disks are slow for a while.
func (s *simulation) syncDelay(m *machine) func() time.Duration {
	return func() time.Duration {
		if m.slow.Load() {
			return s.latency() + slowSync
		}
		return s.latency()
	}
}

// sortedMachines lists the machines by address, so that a seed always gives the same schedule.
func (s *simulation) sortedMachines() []*machine {
	var all []*machine
	for _, m := range s.machines {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *machine) int {
		if a.address < b.address {
			return -1
		}
		return 1
	})
	return all
}

// advanceTime lets time pass. Then failed machines restart when it is time, stores send join requests and receive control
// states, one coordinator runs the placement, and the oracle checks all replicas.
func (s *simulation) advanceTime(duration time.Duration) {
	time.Sleep(duration)
	s.clock.advance(time.Since(s.clock.time()))
	now := time.Now()
	for _, m := range s.sortedMachines() {
		restartAt, hasFailed := s.failed[m]
		if hasFailed && now.After(restartAt) {
			s.restart(m)
		}
		if m.store != nil && !s.partitioned[m.address] {
			s.sendJoin(m)
			if s.random.IntN(3) == 0 {
				s.sendControl(m.store)
			}
		}
	}
	s.runPlacement(s.receivedJoins[s.random.IntN(len(s.receivedJoins))])
	s.endRecoveredFailures()
	if s.toleranceExceeded {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Equal(s.t, s.violations, "")
	s.oracle.addNewClaims(s.machines)
	assert.Equal(s.t, s.oracle.findUnderReplicated(s.control.Stores, s.tolerance, s.machines), "", "%s", s.describe())
}

// waitFor lets time pass until a condition holds, for at most convergenceTimeout.
func (s *simulation) waitFor(condition func() bool) {
	deadline := time.Now().Add(convergenceTimeout)
	for !condition() {
		s.advanceTime(100 * time.Millisecond)
		if s.t.Failed() {
			return
		}
		assert.Assert(s.t, time.Now().Before(deadline), "%s", s.describe())
	}
}

// checkReads reads all acknowledged turns and checks that writes are accepted.
func (s *simulation) checkReads() {
	for _, id := range s.oracle.turns {
		chain, err := turns.NewClient(s.currentOptions()).Chain(context.Background(), id)
		assert.NilError(s.t, err, "%s\n%s", id, s.describe())
		assert.Equal(s.t, string(chain[0].Input), "in of "+id)
	}
	for _, m := range s.machines {
		s.sendControl(m.store)
	}
	assert.NilError(s.t, turns.NewClient(s.currentOptions()).Save(context.Background(), s.newRecord("last", "")))
}

// runRandomEvent runs one random event and lets some time pass.
func (s *simulation) runRandomEvent() {
	rebalancing := len(s.control.Stores.Previous) > 0
	switch number := s.random.IntN(100); {
	case number < 30:
		s.save()
	case number < 45:
		s.claimBudget()
	case number < 60:
		s.read()
		if rebalancing { // so that reads get replies from before and after the end of the rebalance
			s.read()
			s.read()
		}
	case number < 68:
		s.failMachine(failureKind(s.random.IntN(failureKinds)))
	case number < 71 && len(s.machines) < s.maxMachines:
		s.addMachine()
	case number < 74:
		s.retire()
	case number < 77:
		s.losePowerEverywhere()
	case number < 79:
		s.compactRandomMachines()
	case number < 83:
		s.slowOneDisk()
	}
	pause := time.Duration(s.random.Int64N(int64(10 * time.Millisecond)))
	if s.random.IntN(2) == 0 {
		pause = time.Duration(s.random.Int64N(int64(300 * time.Millisecond)))
	}
	s.advanceTime(pause)
	if rebalancing && len(s.control.Stores.Previous) == 0 && s.random.IntN(2) == 0 {
		s.advanceTime(5 * time.Millisecond) // right after a rebalance
		s.failMachine(failureDiskLoss)
	}
}

// logEvent adds a line to the log, which is printed when a check fails.
func (s *simulation) logEvent(format string, values ...any) {
	s.log = append(s.log, time.Since(s.startedAt).Truncate(time.Millisecond).String()+" "+fmt.Sprintf(format, values...))
}

// describe returns the log, the membership and the state of the machines.
func (s *simulation) describe() string {
	stores := s.control.Stores
	text := strings.Join(s.log, "\n") + "\n"
	text += fmt.Sprintf("epoch %d, current %v, previous %v", stores.Epoch, identitiesOf(stores.Current), identitiesOf(stores.Previous))
	for _, m := range s.sortedMachines() {
		_, hasFailed := s.failed[m]
		if m.store == nil {
			text += fmt.Sprintf("\n%s is down", m.address)
			continue
		}
		known, _ := m.store.Membership()
		text += fmt.Sprintf("\n%s identity %d epoch %d completed %d failed %v partitioned %v", m.address, m.store.Identity(),
			known.GetEpoch(), s.rebalancers[m].rebalancer.CompletedEpoch(), hasFailed, s.partitioned[m.address])
	}
	return text
}
