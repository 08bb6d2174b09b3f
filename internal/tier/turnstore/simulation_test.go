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

// seedsVariable asks for more schedules than a usual run plays.
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

// deployment is a deployment's.
type deployment struct{ tolerance, members int }

const (
	simulationEvents     = 260
	catchUp              = 4 * time.Second
	simulationRetention  = 10 * time.Minute
	maxUpdateLag         = 300 * time.Millisecond
	partitionedUpdateLag = 3 * time.Second // of clients that are cut off from news
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

// Two disks are lost, the second while the first one's move is under way. What only they held may be gone; the others
// serve on, and take writes again.
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

// runSimulation plays one schedule, and then lets everything come back.
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
	for range of.tolerance { // for machines that were emptied while others were lost
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

// simulation is a cluster whose stores copy by themselves, whose members are placed by package placement, and which loses
// as many machines at a time as it tolerates. A loss is over at the very moment at which the tier takes it for over:
// the machine runs, and no records move.
type simulation struct {
	*cluster
	control           *tierpb.ControlState
	receivedJoins     [2]map[uint64]placement.Join // what two coordinators have heard; either may hold the lease
	moveSeen          time.Time
	began             time.Time
	history           []published
	rebalancers       map[*machine]*runningRebalancer
	failed            map[*machine]time.Time // when it is to come back
	maxMachines       int
	nextName          int
	failures          int
	tolerated         int  // machines that may be lost at once
	toleranceExceeded bool // more are lost than are tolerated: copies may be gone
	programs          []*spending
	log               []string

	copiers    sync.WaitGroup
	clients    sync.WaitGroup
	mu         sync.Mutex
	oracle     oracle
	violations string // what a client found that must not be
}

// published is a membership and when it was chosen.
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

// run starts a machine's store and its copying.
func (w *simulation) run(m *machine) {
	w.start(m)
	w.logEvent("%s runs as %d", m.address, m.store.Identity())
	w.oracle.disks[m.store.Identity()] = m.disk
	ctx, cancel := context.WithCancel(context.Background())
	running := &runningRebalancer{rebalancer: NewRebalancer(m.store, w.cluster, w.tolerance), cancel: cancel}
	w.rebalancers[m] = running
	w.copiers.Go(func() { running.rebalancer.Run(ctx) })
}

// halt ends a machine's process.
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

// node is a machine as it calls itself.
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

// syncTime is how long a machine's disk takes now; some disks are slow for a while.
func (w *simulation) syncTime(m *machine) func() time.Duration {
	return func() time.Duration {
		if m.slow.Load() {
			return w.latency() + slowSync
		}
		return w.latency()
	}
}

// sortedMachines lists machines by address, so that a seed plays the same schedule again.
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

// pass lets time go by: stores call the coordinators and learn, and one that holds the lease places them.
func (w *simulation) advanceTime(duration time.Duration) {
	time.Sleep(duration)
	w.clock.advance(time.Since(w.clock.time()))
	now := time.Now()
	for _, m := range w.sortedMachines() {
		back, isLost := w.failed[m]
		if isLost && now.After(back) {
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

// waitFor lets time go by until the tier has come to a state.
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

// event lets one thing happen, and some time go by.
func (w *simulation) event() {
	moved := len(w.control.Stores.Previous) > 0
	switch number := w.random.IntN(100); {
	case number < 30:
		w.save()
	case number < 45:
		w.spend()
	case number < 60:
		w.read()
		if moved { // answers from before and after the end of a move meet
			w.read()
			w.read()
		}
	case number < 68:
		w.failMachine(w.random.IntN(5))
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
	if moved && len(w.control.Stores.Previous) == 0 && w.random.IntN(2) == 0 {
		w.advanceTime(5 * time.Millisecond) // right after a repair
		w.failMachine(failureDiskLoss)
	}
}

// logEvent adds to what a failed schedule tells.
func (w *simulation) logEvent(format string, values ...any) {
	w.log = append(w.log, time.Since(w.began).Truncate(time.Millisecond).String()+" "+fmt.Sprintf(format, values...))
}

// describe tells how the members and the machines are.
func (w *simulation) describe() string {
	stores := w.control.Stores
	text := strings.Join(w.log, "\n") + "\n"
	text += fmt.Sprintf("epoch %d, current %v, previous %v", stores.Epoch, identitiesOf(stores.Current), identitiesOf(stores.Previous))
	for _, m := range w.sortedMachines() {
		_, isLost := w.failed[m]
		if m.store == nil {
			text += fmt.Sprintf("\n%s is down", m.address)
			continue
		}
		known, _ := m.store.Membership()
		text += fmt.Sprintf("\n%s identity %d knows %d copied %d lost %v cut %v", m.address, m.store.Identity(),
			known.GetEpoch(), w.rebalancers[m].rebalancer.CompletedEpoch(), isLost, w.partitioned[m.address])
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
