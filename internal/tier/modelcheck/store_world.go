package modelcheck

import (
	"fmt"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/tier/placement"
	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// storeWorld is a run of a StoreScenario.
type storeWorld struct {
	scenario     *StoreScenario
	machines     []*storeMachine
	control      *tierpb.ControlState // as chosen
	holder       storeHolder
	client       storeClient
	acknowledged []string // keys
	queue        []storeEvent
	cycle        int
	points       int
	used         [kinds]int
	resting      bool
	failure      string
	changed      bool // since the last check
	timeline     *Timeline
}

// storeMachine is a machine with a turn store, whose process may be dead or cut off for some cycles.
type storeMachine struct {
	number  int
	life    int // of the disk
	back    int // cycle in which it is reached again
	dead    bool
	records map[string]bool
	known   *tierpb.StoreMembership // saved
	copied  uint64                  // epoch of the newest pass that is over
}

// storeHolder is what the holder of the placement lease knows.
type storeHolder struct {
	since    time.Time
	joins    []placement.Join
	epoch    uint64 // of the membership seen last
	moveSeen time.Time
}

// storeClient writes one record after the other.
type storeClient struct {
	key     string // under way; empty for none
	members *tierpb.StoreMembership
	synced  map[uint64]bool // identities that have it
	written int
}

// storeEventKind says what happens in a cycle.
type storeEventKind int

const (
	storeLearns storeEventKind = iota // a store hears of the newest membership
	storePasses                       // a store hands on what it holds
	storeCalls                        // a store's call to join arrives
	storeWrites                       // a store syncs the record that is being written
	storePlaces                       // the holder of the lease decides
)

type storeEvent struct {
	kind    storeEventKind
	machine *storeMachine
	due     int                 // cycle
	call    *tierpb.JoinRequest // as it was sent
	life    int                 // of the machine when it was sent
}

func newStoreWorld(scenario *StoreScenario) *storeWorld {
	w := &storeWorld{
		scenario: scenario, control: &tierpb.ControlState{Stores: &tierpb.StoreMembership{}},
		timeline: newTimeline(scenario.Machines),
	}
	for number := range scenario.Machines {
		m := &storeMachine{number: number, records: make(map[string]bool), known: &tierpb.StoreMembership{}}
		if number >= scenario.Machines-scenario.Late {
			m.back = lateCycle
		} else {
			w.control.Stores.Current = append(w.control.Stores.Current, m.node())
		}
		w.machines = append(w.machines, m)
	}
	w.control.Stores.Epoch = 1
	w.holder = storeHolder{since: w.now().Add(-time.Hour), epoch: 1, moveSeen: w.now()}
	w.begin()
	return w
}

func (w *storeWorld) now() time.Time {
	return time.Unix(1000, 0).Add(time.Duration(w.cycle) * cycleTime)
}

func (m *storeMachine) identity() uint64 { return uint64(100*(m.number+1) + m.life) }

func (m *storeMachine) node() *tierpb.Node {
	return &tierpb.Node{
		Name: fmt.Sprintf("store-%d", m.number), Address: fmt.Sprintf("10.0.0.%d:7010", m.number+1),
		Role: tierpb.Role_ROLE_TURN_STORE, Identity: m.identity(),
	}
}

// reached says that a machine's process runs and is not cut off.
func (w *storeWorld) reached(m *storeMachine) bool { return w.cycle >= m.back }

// begin fills the queue of a cycle.
func (w *storeWorld) begin() {
	var late []storeEvent
	w.queue, late = w.dueNow()
	for _, m := range w.machines {
		if !w.reached(m) {
			continue
		}
		m.dead = false
		if m.known.Epoch < w.control.Stores.Epoch {
			w.add(storeEvent{kind: storeLearns, machine: m})
		}
		if m.copied < w.control.Stores.Epoch {
			w.add(storeEvent{kind: storePasses, machine: m})
		}
		if (w.cycle+m.number)%joinCycles == 0 {
			w.add(storeEvent{kind: storeCalls, machine: m})
		}
	}
	w.nextKey()
	for _, m := range w.machines {
		if w.client.key != "" && w.reached(m) {
			w.add(storeEvent{kind: storeWrites, machine: m})
		}
	}
	w.add(storeEvent{kind: storePlaces})
	w.queue = append(w.queue, late...)
}

// dueNow splits what was delayed into what is due and the rest.
func (w *storeWorld) dueNow() (due, late []storeEvent) {
	for _, e := range w.queue {
		if e.due <= w.cycle || w.resting {
			due = append(due, e)
		} else {
			late = append(late, e)
		}
	}
	return due, late
}

func (w *storeWorld) add(e storeEvent) {
	if e.machine != nil {
		e.life = e.machine.life
	}
	e.due = w.cycle
	w.queue = append(w.queue, e)
}

// nextKey lets the client go on to the next record.
func (w *storeWorld) nextKey() {
	if w.scenario.Retire && w.cycle == retireCycle {
		w.retire()
	}
	if w.client.key == "" && w.client.written < w.scenario.Keys && w.cycle >= writeEvery*w.client.written {
		w.client.written++
		w.client.key = fmt.Sprintf("turn-%d", w.client.written)
		w.client.synced = make(map[uint64]bool)
	}
}

// retire takes the first machine out of the members, as a coordinator does on the operator's order.
func (w *storeWorld) retire() {
	stores := w.control.Stores
	first := w.machines[0].node()
	place := slices.IndexFunc(stores.Current, func(node *tierpb.Node) bool { return node.Name == first.Name })
	if place < 0 || len(stores.Current)-1 < replica.Size(w.scenario.Tolerance) {
		return
	}
	identity := stores.Current[place].Identity
	next := stores.CloneVT()
	if len(next.Previous) == 0 {
		next.Previous = next.Current
	}
	next.Current = slices.Delete(slices.Clone(next.Current), place, place+1)
	next.Epoch++
	w.control.Stores = next
	w.control.Retirements = append(w.control.Retirements, &tierpb.Retirement{Node: first.Name, Identity: identity})
	w.timeline.addAt(w.points, time.Duration(w.cycle)*cycleTime, 0, "is to be emptied, "+w.membersName())
}

func (w *storeWorld) membersName() string {
	name := fmt.Sprintf("epoch %d [", w.control.Stores.Epoch)
	for _, node := range w.control.Stores.Current {
		name += fmt.Sprint(" ", node.Identity)
	}
	name += " ]"
	if len(w.control.Stores.Previous) > 0 {
		name += " from ["
		for _, node := range w.control.Stores.Previous {
			name += fmt.Sprint(" ", node.Identity)
		}
		name += " ]"
	}
	return name
}
