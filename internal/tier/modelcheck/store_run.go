package modelcheck

import (
	"fmt"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/tier/placement"
	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// storeRun is a run of a StoreScenario.
type storeRun struct {
	scenario     *StoreScenario
	machines     []*storeMachine
	control      *tierpb.ControlState // as chosen
	leaseHolder  placementHolder
	client       storeClient
	acknowledged []string // keys
	queue        []storeEvent
	cycle        int
	points       int
	used         [kindCount]int
	recovering   bool
	failure      string
	changed      bool // since the last check
	timeline     *Timeline
}

// storeMachine is a machine with a turn store, whose process may be dead or partitioned for some cycles.
type storeMachine struct {
	number      int
	diskNumber  int // number of disks lost so far
	reachableAt int // cycle from which on it is reachable
	records     map[string]bool
	known       *tierpb.StoreMembership // durable
	copied      uint64                  // epoch of the newest migration that is complete
}

// placementHolder is the volatile state of the holder of the placement lease.
type placementHolder struct {
	since    time.Time
	joins    []placement.Join
	epoch    uint64 // of the membership seen last
	moveSeen time.Time
}

// storeClient writes one record after the other.
type storeClient struct {
	key     string // being written; empty for none
	members *tierpb.StoreMembership
	synced  map[uint64]bool // identities that have synced it
	written int
}

// storeEventKind says what happens at an event.
type storeEventKind int

const (
	storeLearnEvent     storeEventKind = iota // a store receives the newest membership
	storeMigrateEvent                         // a store copies its records to their new replica sets
	storeJoinEvent                            // a store's join request arrives at the lease holder
	storeWriteEvent                           // a store syncs the record that is being written
	storePlacementEvent                       // the lease holder decides on the membership
)

type storeEvent struct {
	kind       storeEventKind
	machine    *storeMachine
	due        int                 // cycle
	call       *tierpb.JoinRequest // as it was sent
	diskNumber int                 // of the machine when it was sent
}

func newStoreRun(scenario *StoreScenario) *storeRun {
	r := &storeRun{
		scenario: scenario, control: &tierpb.ControlState{Stores: &tierpb.StoreMembership{}},
		timeline: newTimeline(scenario.Machines),
	}
	for number := range scenario.Machines {
		m := &storeMachine{number: number, records: make(map[string]bool), known: &tierpb.StoreMembership{}}
		if number >= scenario.Machines-scenario.Late {
			m.reachableAt = lateStartCycle
		} else {
			r.control.Stores.Current = append(r.control.Stores.Current, m.node())
		}
		r.machines = append(r.machines, m)
	}
	r.control.Stores.Epoch = 1
	r.leaseHolder = placementHolder{since: r.now().Add(-time.Hour), epoch: 1, moveSeen: r.now()}
	r.startCycle()
	return r
}

func (r *storeRun) now() time.Time {
	return time.Unix(1000, 0).Add(time.Duration(r.cycle) * cycleTime)
}

func (m *storeMachine) identity() uint64 { return uint64(100*(m.number+1) + m.diskNumber) }

func (m *storeMachine) node() *tierpb.Node {
	return &tierpb.Node{
		Name: fmt.Sprintf("store-%d", m.number), Address: fmt.Sprintf("10.0.0.%d:7010", m.number+1),
		Role: tierpb.Role_ROLE_TURN_STORE, Identity: m.identity(),
	}
}

// isReachable reports whether a machine's process runs and is not partitioned.
func (r *storeRun) isReachable(m *storeMachine) bool { return r.cycle >= m.reachableAt }

// startCycle fills the queue of a cycle.
func (r *storeRun) startCycle() {
	var late []storeEvent
	r.queue, late = r.dueNow()
	for _, m := range r.machines {
		if !r.isReachable(m) {
			continue
		}
		if m.known.Epoch < r.control.Stores.Epoch {
			r.add(storeEvent{kind: storeLearnEvent, machine: m})
		}
		if m.copied < r.control.Stores.Epoch {
			r.add(storeEvent{kind: storeMigrateEvent, machine: m})
		}
		if (r.cycle+m.number)%joinCycles == 0 {
			r.add(storeEvent{kind: storeJoinEvent, machine: m})
		}
	}
	r.nextKey()
	for _, m := range r.machines {
		if r.client.key != "" && r.isReachable(m) {
			r.add(storeEvent{kind: storeWriteEvent, machine: m})
		}
	}
	r.add(storeEvent{kind: storePlacementEvent})
	r.queue = append(r.queue, late...)
}

// dueNow splits the delayed events into those that are due and the rest.
func (r *storeRun) dueNow() (due, late []storeEvent) {
	for _, e := range r.queue {
		if e.due <= r.cycle || r.recovering {
			due = append(due, e)
		} else {
			late = append(late, e)
		}
	}
	return due, late
}

func (r *storeRun) add(e storeEvent) {
	if e.machine != nil {
		e.diskNumber = e.machine.diskNumber
	}
	e.due = r.cycle
	r.queue = append(r.queue, e)
}

// nextKey lets the client begin the next record when it is time.
func (r *storeRun) nextKey() {
	if r.scenario.Retire && r.cycle == retireCycle {
		r.retire()
	}
	if r.client.key == "" && r.client.written < r.scenario.Keys && r.cycle >= writeEvery*r.client.written {
		r.client.written++
		r.client.key = fmt.Sprintf("turn-%d", r.client.written)
		r.client.synced = make(map[uint64]bool)
	}
}

// retire removes the first machine from the members, as a coordinator does on the operator's request.
func (r *storeRun) retire() {
	stores := r.control.Stores
	first := r.machines[0].node()
	index := slices.IndexFunc(stores.Current, func(node *tierpb.Node) bool { return node.Name == first.Name })
	if index < 0 || len(stores.Current)-1 < replica.Size(r.scenario.Tolerance) {
		return
	}
	identity := stores.Current[index].Identity
	next := stores.CloneVT()
	if len(next.Previous) == 0 {
		next.Previous = next.Current
	}
	next.Current = slices.Delete(slices.Clone(next.Current), index, index+1)
	next.Epoch++
	r.control.Stores = next
	r.control.Retirements = append(r.control.Retirements, &tierpb.Retirement{Node: first.Name, Identity: identity})
	r.timeline.addAt(r.points, time.Duration(r.cycle)*cycleTime, 0, "retiring, "+r.membersName())
}

func (r *storeRun) membersName() string {
	name := fmt.Sprintf("epoch %d [", r.control.Stores.Epoch)
	for _, node := range r.control.Stores.Current {
		name += fmt.Sprint(" ", node.Identity)
	}
	name += " ]"
	if len(r.control.Stores.Previous) > 0 {
		name += " from ["
		for _, node := range r.control.Stores.Previous {
			name += fmt.Sprint(" ", node.Identity)
		}
		name += " ]"
	}
	return name
}
