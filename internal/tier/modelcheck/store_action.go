package modelcheck

import (
	"cmp"
	"encoding/binary"
	"hash/maphash"
	"slices"

	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// storeAction is what may be done at a point of a run.
type storeAction struct {
	kind    Kind
	machine int // of crash, wipe and cut; -1 for a holder of the lease that has just started
}

func storeKinds(actions []storeAction) []Kind {
	kinds := make([]Kind, len(actions))
	for i, a := range actions {
		kinds[i] = a.kind
	}
	return kinds
}

// actions returns what may be done now, the default first; none when trouble is over.
func (w *storeWorld) actions() []storeAction {
	if w.resting || w.cycle >= w.scenario.Cycles {
		if !w.resting {
			return nil
		}
		return []storeAction{w.standard()}
	}
	list := []storeAction{w.standard()}
	if list[0].kind == Release {
		list = append(list, storeAction{kind: Drop}, storeAction{kind: Delay})
		return list
	}
	limits := w.scenario.Limits
	for _, m := range w.machines {
		if !w.reached(m) {
			continue
		}
		if w.used[Wipe] < limits.Wipes && w.isWhole() {
			list = append(list, storeAction{kind: Wipe, machine: m.number})
		}
		if w.used[Crash] < limits.Crashes {
			list = append(list, storeAction{kind: Crash, machine: m.number})
		}
		if w.used[Cut] < limits.Cuts {
			list = append(list, storeAction{kind: Cut, machine: m.number})
		}
	}
	if w.used[Keep] < 1 {
		list = append(list, storeAction{kind: Keep, machine: -1})
	}
	return list
}

// standard lets the next event of the cycle happen, and goes on to the next cycle when none is left.
func (w *storeWorld) standard() storeAction {
	if len(w.queue) > 0 && w.queue[0].due <= w.cycle {
		return storeAction{kind: Release}
	}
	return storeAction{kind: Tick}
}

// isWhole says that no loss is under way: the members are all there and no records move.
func (w *storeWorld) isWhole() bool {
	stores := w.control.Stores
	lost := func(member *tierpb.Node) bool { return w.machineOf(member) == nil }
	return len(stores.Previous) == 0 && !slices.ContainsFunc(stores.Current, lost)
}

func (w *storeWorld) do(a storeAction) {
	w.used[a.kind]++
	switch a.kind {
	case Release:
		e := w.queue[0]
		w.queue = w.queue[1:]
		w.happen(e)
		return
	case Tick:
		w.cycle++
		w.begin()
		return
	case Drop:
		w.note(w.column(w.queue[0]), "!drop "+w.queue[0].String())
		w.queue = w.queue[1:]
		return
	case Delay:
		w.delay()
		return
	case Keep:
		w.note(w.machines[0], "!another holder of the lease, just started")
		w.holder = storeHolder{since: w.now(), moveSeen: w.now()}
		return
	}
	w.strike(w.machines[a.machine], a.kind)
}

// delay lets an event happen some cycles later; a call says what is so now.
func (w *storeWorld) delay() {
	e := w.queue[0]
	w.queue = w.queue[1:]
	w.note(w.column(e), "!delay "+e.String())
	if e.kind == storeCalls && e.call == nil {
		e.call = w.callOf(e.machine)
	}
	e.due = w.cycle + lateDelivery
	w.queue = append(w.queue, e)
}

func (w *storeWorld) strike(m *storeMachine, kind Kind) {
	w.note(m, "!"+kind.String())
	m.back = w.cycle + troubleTime
	switch kind {
	case Wipe:
		m.life++
		m.back = w.cycle + 1
		m.records, m.known, m.copied = make(map[string]bool), &tierpb.StoreMembership{}, 0
	case Crash:
		m.copied = 0
	}
}

func (w *storeWorld) column(e storeEvent) *storeMachine {
	if e.machine != nil {
		return e.machine
	}
	return w.machines[0]
}

func (e storeEvent) String() string {
	return [...]string{"news of the members", "pass", "call to join", "write", "decision"}[e.kind]
}

// check looks for records that were acknowledged and might not be found, or have too few copies.
func (w *storeWorld) check() {
	if !w.changed {
		return
	}
	w.changed = false
	for _, key := range w.acknowledged {
		if !w.isFound(key) {
			w.fail("%s was acknowledged, and a read quorum may miss it", key)
		}
		if w.isWhole() && !w.hasCopies(key) {
			w.fail("%s has no more copies than may be lost at once, and no loss or move is under way", key)
		}
	}
}

// isFound says that in one of the replica sets that a read asks too few members lack the key to be a read quorum.
func (w *storeWorld) isFound(key string) bool {
	for _, set := range replica.Sets(w.control.Stores, key, w.scenario.Tolerance) {
		lacking := 0
		for _, member := range set {
			if m := w.machineOf(member); m != nil && !m.records[key] {
				lacking++
			}
		}
		if lacking < replica.ReadQuorum(w.scenario.Tolerance, len(set)) {
			return true
		}
	}
	return false
}

func (w *storeWorld) hasCopies(key string) bool {
	set := replica.Sets(w.control.Stores, key, w.scenario.Tolerance)[0]
	holders := 0
	for _, member := range set {
		if m := w.machineOf(member); m != nil && m.records[key] {
			holders++
		}
	}
	return holders >= min(w.scenario.Tolerance+1, len(set))
}

// fingerprint names a state.
func (w *storeWorld) fingerprint() uint64 {
	var data []byte
	add := func(numbers ...uint64) {
		for _, number := range numbers {
			data = binary.LittleEndian.AppendUint64(data, number)
		}
	}
	state, _ := w.control.MarshalVT()
	data = append(data, state...)
	add(uint64(w.cycle), uint64(len(w.queue)), uint64(len(w.acknowledged)), uint64(w.client.written))
	add(uint64(w.holder.since.UnixNano()), w.holder.epoch, uint64(w.holder.moveSeen.UnixNano()), w.client.members.GetEpoch())
	for _, count := range w.used[Drop:] {
		add(uint64(count))
	}
	for _, join := range w.holder.joins {
		add(join.Request.Node.Identity, join.Request.CopiedEpoch, uint64(join.FirstSeen.UnixNano()), uint64(join.LastSeen.UnixNano()))
	}
	for _, e := range w.queue {
		add(uint64(e.kind), uint64(w.column(e).number), uint64(e.due), uint64(e.life), e.call.GetCopiedEpoch())
	}
	for _, m := range w.machines {
		add(uint64(m.life), uint64(m.back), m.known.Epoch, m.copied, flags(w.client.synced[m.identity()]))
		for _, key := range sortedKeys(m.records) {
			data = append(data, key...)
		}
	}
	return maphash.Bytes(fixedSeed, data)
}

func sortedKeys(set map[string]bool) (keys []string) {
	for key := range set {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, cmp.Compare[string])
	return keys
}
