package turnstore

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/placement"
	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// world is a cluster whose stores copy by themselves, whose members are placed by package placement, and which loses
// as many machines at a time as it tolerates. A loss is over at the very moment at which the tier takes it for over:
// the machine runs, and no records move.
type world struct {
	*cluster
	control   *tierpb.ControlState
	holders   [2]map[uint64]placement.Join // what two coordinators have heard; either may hold the lease
	moveSeen  time.Time
	began     time.Time
	history   []published
	movers    map[*machine]*copying
	lost      map[*machine]time.Time // when it is to come back
	most      int
	names     int
	losses    int
	tolerated int  // machines that may be lost at once
	beyond    bool // more are lost than are tolerated: copies may be gone
	programs  []*spending
	log       []string

	copiers sync.WaitGroup
	clients sync.WaitGroup
	mu      sync.Mutex
	oracle  oracle
	wrong   string // what a client found that must not be
}

// published is a membership and when it was chosen.
type published struct {
	at         time.Time
	membership *tierpb.StoreMembership
}

// copying is a store's running Mover.
type copying struct {
	mover  *Rebalancer
	cancel context.CancelFunc
	told   uint64
	heard  time.Time
}

// size is a deployment's.
type size struct{ tolerance, members int }

const (
	worldEvents  = 260
	catchUp      = 4 * time.Second
	worldKept    = 10 * time.Minute
	mostLag      = 300 * time.Millisecond
	cutOffLag    = 3 * time.Second // of clients that are cut off from news
	slowSync     = 350 * time.Millisecond
	settleWithin = 60 * time.Second
)

func newWorld(t *testing.T, seed uint64, of size) *world {
	t.Helper()
	w := &world{
		cluster: newCluster(t, seed),
		control: &tierpb.ControlState{Stores: &tierpb.StoreMembership{Epoch: 1}},
		movers:  make(map[*machine]*copying),
		lost:    make(map[*machine]time.Time),
		most:    of.members + 2,
		began:   time.Now(),

		tolerated: of.tolerance,
	}
	w.oracle.disks = make(map[uint64]*memoryDisk)
	w.tolerance, w.after, w.lagging = of.tolerance, time.After, true
	w.clock.now = time.Now()
	w.latency = randomLatency(seed, 6*time.Millisecond)
	for i := range w.holders {
		w.holders[i] = make(map[uint64]placement.Join)
	}
	for range of.members {
		w.grow()
	}
	w.waitFor(func() bool { return len(w.control.Stores.Current) == of.members })
	return w
}

// run starts a machine's store and its copying.
func (w *world) run(m *machine) {
	w.start(m)
	w.note("%s runs as %d", m.address, m.store.Identity())
	w.oracle.disks[m.store.Identity()] = m.disk
	ctx, cancel := context.WithCancel(context.Background())
	running := &copying{mover: NewRebalancer(m.store, w.cluster, w.tolerance), cancel: cancel}
	w.movers[m] = running
	w.copiers.Go(func() { running.mover.Run(ctx) })
}

// halt ends a machine's process.
func (w *world) halt(m *machine) {
	if running := w.movers[m]; running != nil {
		running.cancel()
		delete(w.movers, m)
	}
	w.kill(m)
}

func (w *world) end() {
	w.clients.Wait()
	for _, m := range w.machines {
		w.halt(m)
	}
	w.copiers.Wait()
}

// node is a machine as it calls itself.
func (w *world) node(m *machine) *tierpb.Node {
	return &tierpb.Node{
		Name: m.address, Address: m.address, Zone: m.zone, Identity: m.store.Identity(), Role: tierpb.Role_ROLE_TURN_STORE,
	}
}

func (w *world) grow() {
	w.names++
	zones := []string{"a", "b", "c", "d", "e"}
	m := &machine{address: w.freshAddress(w.names), zone: zones[w.names%len(zones)], disk: newMemoryDisk()}
	m.disk.setSyncTime(w.syncTime(m))
	m.goOn()
	w.cluster.mu.Lock()
	w.machines[m.address] = m
	w.cluster.mu.Unlock()
	w.run(m)
}

// syncTime is how long a machine's disk takes now; some disks are slow for a while.
func (w *world) syncTime(m *machine) func() time.Duration {
	return func() time.Duration {
		if m.slow.Load() {
			return w.latency() + slowSync
		}
		return w.latency()
	}
}

// ordered lists machines by address, so that a seed plays the same schedule again.
func (w *world) ordered() []*machine {
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
func (w *world) passTime(duration time.Duration) {
	time.Sleep(duration)
	w.clock.advance(time.Since(w.clock.time()))
	now := time.Now()
	for _, m := range w.ordered() {
		back, isLost := w.lost[m]
		if isLost && now.After(back) {
			w.comeBack(m)
		}
		if m.store != nil && !w.cut[m.address] {
			w.tell(m)
			if w.random.IntN(3) == 0 {
				w.teach(m.store)
			}
		}
	}
	w.place(w.holders[w.random.IntN(len(w.holders))])
	w.forgive()
	if w.beyond {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Equal(w.t, w.wrong, "")
	w.oracle.takePassed(w.machines)
	assert.Equal(w.t, w.oracle.shortage(w.control.Stores, w.tolerance, w.machines), "", "%s", w.describe())
}

// tell has a store call the coordinators, which may miss it.
func (w *world) tell(m *machine) {
	running := w.movers[m]
	copied := running.mover.CompletedEpoch()
	if time.Since(running.heard) < joinInterval && copied == running.told {
		return
	}
	running.heard, running.told = time.Now(), copied
	for _, joins := range w.holders {
		if w.random.IntN(8) == 0 {
			continue
		}
		node := w.node(m)
		join, known := joins[node.Identity]
		if !known {
			join.FirstSeen = time.Now()
		}
		join.LastSeen = time.Now()
		join.Request = &tierpb.JoinRequest{Node: node, CopiedEpoch: copied}
		joins[node.Identity] = join
	}
}

// place takes the next step by what one coordinator has heard.
func (w *world) place(joins map[uint64]placement.Join) {
	view := &placement.View{
		Now: time.Now(), ListeningSince: w.began, Tolerance: w.tolerance, CatchUpTimeout: catchUp, MembershipSeen: w.moveSeen,
	}
	for _, join := range joins {
		if time.Since(join.LastSeen) < time.Minute {
			view.Joins = append(view.Joins, join)
		}
	}
	slices.SortFunc(view.Joins, func(a, b placement.Join) int {
		return int(a.Request.Node.Identity) - int(b.Request.Node.Identity)
	})
	next, reason := placement.NextStores(w.control.CloneVT(), view)
	if reason != "" {
		assert.Assert(w.t, w.beyond || reason != placement.ReasonDisksLost)
		w.note("%s", reason)
		w.publish(next)
	}
}

// note adds to what a failed schedule tells.
func (w *world) note(format string, values ...any) {
	w.log = append(w.log, time.Since(w.began).Truncate(time.Millisecond).String()+" "+fmt.Sprintf(format, values...))
}

func (w *world) publish(next *tierpb.ControlState) {
	if next.Stores.Epoch != w.control.Stores.Epoch {
		w.moveSeen = time.Now()
	}
	w.control = next
	w.note("epoch %d: %v, previous %v", next.Stores.Epoch, identitiesOf(next.Stores.Current), identitiesOf(next.Stores.Previous))
	w.cluster.mu.Lock()
	w.membership = next.Stores
	w.history = append(w.history, published{time.Now(), next.Stores})
	w.cluster.mu.Unlock()
}

// forgive takes away machines that were emptied, and ends losses that are over.
func (w *world) forgive() {
	for _, retirement := range w.control.Retirements {
		if m := w.machines[retirement.Node]; m != nil && retirement.Completed {
			w.note("emptied %s", m.address)
			w.takeAway(m)
		}
	}
	stores := w.control.Stores
	if len(stores.Previous) > 0 || !w.isWhole(stores.Current) {
		return
	}
	for _, m := range w.ordered() {
		if _, isLost := w.lost[m]; isLost && m.store != nil && !w.cut[m.address] &&
			replica.Contains(stores.Current, m.store.Identity()) {
			w.note("over: %s", m.address)
			delete(w.lost, m)
		}
	}
	for m := range w.lost {
		if w.machines[m.address] != m { // it was taken away, and so has been what it stood in for
			delete(w.lost, m)
		}
	}
}

// isWhole says whether the disks of all members are there.
func (w *world) isWhole(members []*tierpb.Node) bool {
	for _, member := range members {
		m := w.machines[member.Address]
		if m == nil || w.oracle.disks[member.Identity] != m.disk {
			return false
		}
	}
	return true
}

func (w *world) takeAway(m *machine) {
	w.halt(m)
	w.remove(m)
}

func TestCopiesOutliveLossesRightAfterRepairs(t *testing.T) {
	for seed := range uint64(worldSeeds()) {
		for _, of := range []size{{1, 3}, {1, 4}, {2, 5}, {2, 7}} {
			synctest.Test(t, func(t *testing.T) { playWorld(t, seed, of) })
		}
	}
}
