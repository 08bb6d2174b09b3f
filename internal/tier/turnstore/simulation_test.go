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

// seedsVariable is the environment variable of the number of schedules to play, if more than usual.
const (
	seedsVariable = "PULLEYTIER_SCHEDULES"
	usualSeeds    = 4
)

func simulationSeeds() int {
	if asked, err := strconv.Atoi(os.Getenv(seedsVariable)); err == nil {
		return asked
	}
	return usualSeeds
}

// deployment is the size of a tier.
type deployment struct{ tolerance, members int }

const (
	simulationEvents     = 260
	catchUp              = 4 * time.Second
	simulationRetention  = 10 * time.Minute
	maxUpdateLag         = 300 * time.Millisecond
	partitionedUpdateLag = 3 * time.Second // of clients that receive updates late
	slowSync             = 350 * time.Millisecond
	convergenceTimeout   = 60 * time.Second
)

func TestReplicasSurviveFailuresRightAfterRebalances(t *testing.T) {
	for seed := range uint64(simulationSeeds()) {
		for _, of := range []deployment{{1, 3}, {1, 4}, {2, 5}, {2, 7}} {
			synctest.Test(t, func(t *testing.T) { runSimulation(t, seed, of) })
		}
	}
}

// More disks are lost than are tolerated, the last during the rebalance after the first. What only they had may be lost; the
// others continue to serve and accept writes again.
func TestSecondDiskLossDuringARebalanceDoesNotStopTheTier(t *testing.T) {
	for seed := range uint64(simulationSeeds()) {
		for _, of := range []deployment{{1, 3}, {1, 4}, {2, 5}} {
			synctest.Test(t, func(t *testing.T) {
				t.Logf("seed %d, %d members of which %d may be lost", seed, of.members, of.tolerance)
				w := newSimulation(t, seed, of)
				defer w.end()
				for range 20 {
					w.save()
					w.spend()
					w.advanceTime(50 * time.Millisecond)
				}
				for range of.tolerance {
					w.failMachine(failureDiskLoss)
				}
				w.waitFor(func() bool { return len(w.control.Stores.Previous) > 0 })
				w.toleranceExceeded = true
				w.tolerated++
				w.failMachine(failureDiskLoss)
				w.waitFor(func() bool { return len(w.failed) == 0 && len(w.control.Stores.Previous) == 0 })
				w.clients.Wait()
				assert.NilError(t, turns.NewClient(w.currentOptions()).Save(context.Background(), w.record("last", "")))
			})
		}
	}
}

// runSimulation plays one schedule, and then lets all failures recover.
func runSimulation(t *testing.T, seed uint64, of deployment) {
	t.Helper()
	t.Logf("seed %d, %d members of which %d may be lost", seed, of.members, of.tolerance)
	w := newSimulation(t, seed, of)
	defer w.end()
	for range simulationEvents {
		w.event()
		if t.Failed() {
			return
		}
	}
	for _, m := range w.machines {
		m.slow.Store(false)
	}
	for range of.tolerance { // for machines that were retired while others had failed
		w.addMachine()
	}
	for m := range w.failed {
		w.failed[m] = time.Time{}
	}
	w.waitFor(func() bool { return len(w.failed) == 0 && len(w.control.Stores.Previous) == 0 })
	w.clients.Wait()
	for _, retirement := range w.control.Retirements {
		assert.Check(t, retirement.Completed, "%s", retirement.Node)
	}
	w.checkReads()
	t.Logf("epoch %d, %d losses, %d turns, %d claims, %d machines emptied", w.control.Stores.Epoch, w.failures,
		len(w.oracle.turns), len(w.oracle.claims), len(w.control.Retirements))
}

// simulation is a cluster whose stores run their rebalancers, whose membership is decided by package placement, and in
// which as many machines fail at a time as are tolerated. A failure ends as soon as the tier regards it as recovered: the
// machine is up and no rebalance is in progress.
type simulation struct {
	*cluster
	control           *tierpb.ControlState
	receivedJoins     [2]map[uint64]placement.Join // by two coordinators; either may be the lease holder
	moveSeen          time.Time
	began             time.Time
	history           []published
	rebalancers       map[*machine]*runningRebalancer
	failed            map[*machine]time.Time // and when they restart
	maxMachines       int
	nextName          int
	failures          int
	tolerated         int  // machines that may have failed at the same time
	toleranceExceeded bool // more disks were lost than are tolerated: records may be lost
	programs          []*spending
	log               []string

	copiers    sync.WaitGroup
	clients    sync.WaitGroup
	mu         sync.Mutex
	oracle     oracle
	violations string // of guarantees, found by clients
}

// published is a membership and when it was published.
type published struct {
	at         time.Time
	membership *tierpb.StoreMembership
}

// runningRebalancer is a store's running Mover.
type runningRebalancer struct {
	rebalancer    *Rebalancer
	cancel        context.CancelFunc
	reportedEpoch uint64
	lastJoin      time.Time
}

func newSimulation(t *testing.T, seed uint64, of deployment) *simulation {
	t.Helper()
	w := &simulation{
		cluster:     newCluster(t, seed),
		control:     &tierpb.ControlState{Stores: &tierpb.StoreMembership{Epoch: 1}},
		rebalancers: make(map[*machine]*runningRebalancer),
		failed:      make(map[*machine]time.Time),
		maxMachines: of.members + 2,
		began:       time.Now(),

		tolerated: of.tolerance,
	}
	w.oracle.disks = make(map[uint64]*memoryDisk)
	w.tolerance, w.after, w.delayedUpdates = of.tolerance, time.After, true
	w.clock.now = time.Now()
	w.latency = randomLatency(seed, 6*time.Millisecond)
	for i := range w.receivedJoins {
		w.receivedJoins[i] = make(map[uint64]placement.Join)
	}
	for range of.members {
		w.addMachine()
	}
	w.waitFor(func() bool { return len(w.control.Stores.Current) == of.members })
	return w
}

// run starts the store and the rebalancer of a machine.
func (w *simulation) run(m *machine) {
	w.start(m)
	w.logEvent("%s runs as %d", m.address, m.store.Identity())
	w.oracle.disks[m.store.Identity()] = m.disk
	ctx, cancel := context.WithCancel(context.Background())
	running := &runningRebalancer{rebalancer: NewRebalancer(m.store, w.cluster, w.tolerance), cancel: cancel}
	w.rebalancers[m] = running
	w.copiers.Go(func() { running.rebalancer.Run(ctx) })
}

// halt ends the process of a machine.
func (w *simulation) halt(m *machine) {
	if running := w.rebalancers[m]; running != nil {
		running.cancel()
		delete(w.rebalancers, m)
	}
	w.kill(m)
}

func (w *simulation) end() {
	w.clients.Wait()
	for _, m := range w.machines {
		w.halt(m)
	}
	w.copiers.Wait()
}

// node returns how a store describes itself.
func (w *simulation) node(m *machine) *tierpb.Node {
	return &tierpb.Node{
		Name: m.address, Address: m.address, Zone: m.zone, Identity: m.store.Identity(), Role: tierpb.Role_ROLE_TURN_STORE,
	}
}

func (w *simulation) addMachine() {
	w.nextName++
	zones := []string{"a", "b", "c", "d", "e"}
	m := &machine{address: w.newAddress(w.nextName), zone: zones[w.nextName%len(zones)], disk: newMemoryDisk()}
	m.disk.setSyncTime(w.syncTime(m))
	m.disarmCrash()
	w.cluster.mu.Lock()
	w.machines[m.address] = m
	w.cluster.mu.Unlock()
	w.run(m)
}

// syncTime returns the duration of syncs of a machine's disk; some disks are slow for a while.
func (w *simulation) syncTime(m *machine) func() time.Duration {
	return func() time.Duration {
		if m.slow.Load() {
			return w.latency() + slowSync
		}
		return w.latency()
	}
}

// sortedMachines lists the machines by address, so that a seed always gives the same schedule.
func (w *simulation) sortedMachines() []*machine {
	var all []*machine
	for _, m := range w.machines {
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

// advanceTime lets time pass: stores send join requests and learn control states, and one coordinator runs the placement.
func (w *simulation) advanceTime(duration time.Duration) {
	time.Sleep(duration)
	w.clock.advance(time.Since(w.clock.time()))
	now := time.Now()
	for _, m := range w.sortedMachines() {
		restartAt, hasFailed := w.failed[m]
		if hasFailed && now.After(restartAt) {
			w.restart(m)
		}
		if m.store != nil && !w.partitioned[m.address] {
			w.sendJoin(m)
			if w.random.IntN(3) == 0 {
				w.sendControl(m.store)
			}
		}
	}
	w.runPlacement(w.receivedJoins[w.random.IntN(len(w.receivedJoins))])
	w.endRecoveredFailures()
	if w.toleranceExceeded {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Equal(w.t, w.violations, "")
	w.oracle.addNewClaims(w.machines)
	assert.Equal(w.t, w.oracle.findUnderReplicated(w.control.Stores, w.tolerance, w.machines), "", "%s", w.describe())
}

// waitFor lets time pass until a condition holds.
func (w *simulation) waitFor(reached func() bool) {
	limit := time.Now().Add(convergenceTimeout)
	for !reached() {
		w.advanceTime(100 * time.Millisecond)
		if w.t.Failed() {
			return
		}
		assert.Assert(w.t, time.Now().Before(limit), "%s", w.describe())
	}
}

func (w *simulation) checkReads() {
	for _, id := range w.oracle.turns {
		chain, err := turns.NewClient(w.currentOptions()).Chain(context.Background(), id)
		assert.NilError(w.t, err, "%s\n%s", id, w.describe())
		assert.Equal(w.t, string(chain[0].Input), "in of "+id)
	}
	for _, m := range w.machines {
		w.sendControl(m.store)
	}
	assert.NilError(w.t, turns.NewClient(w.currentOptions()).Save(context.Background(), w.record("last", "")))
}

// event plays one random event and lets some time pass.
func (w *simulation) event() {
	rebalancing := len(w.control.Stores.Previous) > 0
	switch number := w.random.IntN(100); {
	case number < 30:
		w.save()
	case number < 45:
		w.spend()
	case number < 60:
		w.read()
		if rebalancing { // replies from before and after the end of a rebalance meet
			w.read()
			w.read()
		}
	case number < 68:
		w.failMachine(failureKind(w.random.IntN(failureKinds)))
	case number < 71 && len(w.machines) < w.maxMachines:
		w.addMachine()
	case number < 74:
		w.retire()
	case number < 77:
		w.losePowerEverywhere()
	case number < 79:
		w.compactSome()
	case number < 83:
		w.slowOneDisk()
	}
	pause := time.Duration(w.random.Int64N(int64(10 * time.Millisecond)))
	if w.random.IntN(2) == 0 {
		pause = time.Duration(w.random.Int64N(int64(300 * time.Millisecond)))
	}
	w.advanceTime(pause)
	if rebalancing && len(w.control.Stores.Previous) == 0 && w.random.IntN(2) == 0 {
		w.advanceTime(5 * time.Millisecond) // right after a rebalance
		w.failMachine(failureDiskLoss)
	}
}

// logEvent adds a line to the log that a failed schedule prints.
func (w *simulation) logEvent(format string, values ...any) {
	w.log = append(w.log, time.Since(w.began).Truncate(time.Millisecond).String()+" "+fmt.Sprintf(format, values...))
}

// describe returns the log, the membership and the state of the machines.
func (w *simulation) describe() string {
	stores := w.control.Stores
	text := strings.Join(w.log, "\n") + "\n"
	text += fmt.Sprintf("epoch %d, current %v, previous %v", stores.Epoch, identitiesOf(stores.Current), identitiesOf(stores.Previous))
	for _, m := range w.sortedMachines() {
		_, hasFailed := w.failed[m]
		if m.store == nil {
			text += fmt.Sprintf("\n%s is down", m.address)
			continue
		}
		known, _ := m.store.Membership()
		text += fmt.Sprintf("\n%s identity %d epoch %d completed %d failed %v partitioned %v", m.address, m.store.Identity(),
			known.GetEpoch(), w.rebalancers[m].rebalancer.CompletedEpoch(), hasFailed, w.partitioned[m.address])
	}
	return text
}

func identitiesOf(nodes []*tierpb.Node) []uint64 {
	var found []uint64
	for _, node := range nodes {
		found = append(found, node.Identity)
	}
	return found
}
