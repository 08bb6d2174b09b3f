package modelcheck

import (
	"cmp"
	"encoding/binary"
	"hash/maphash"
	"slices"

	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// storeAction is one of the choices at a point of a run.
type storeAction struct {
	kind    Kind
	machine int // of Crash, Wipe and Partition; -1 for a change of the lease holder
}

func storeKinds(actions []storeAction) []Kind {
	kinds := make([]Kind, len(actions))
	for i, a := range actions {
		kinds[i] = a.kind
	}
	return kinds
}

// actions returns the choices at the present point, the default first. It returns none after the last cycle with faults.
func (r *storeRun) actions() []storeAction {
	if r.recovering || r.cycle >= r.scenario.Cycles {
		if !r.recovering {
			return nil
		}
		return []storeAction{r.defaultAction()}
	}
	list := []storeAction{r.defaultAction()}
	if list[0].kind == Dispatch {
		list = append(list, storeAction{kind: Drop}, storeAction{kind: Delay})
		return list
	}
	limits := r.scenario.Limits
	for _, m := range r.machines {
		if !r.isReachable(m) {
			continue
		}
		if r.used[Wipe] < limits.Wipes && r.isFullyReplicated() {
			list = append(list, storeAction{kind: Wipe, machine: m.number})
		}
		if r.used[Crash] < limits.Crashes {
			list = append(list, storeAction{kind: Crash, machine: m.number})
		}
		if r.used[Partition] < limits.Partitions {
			list = append(list, storeAction{kind: Partition, machine: m.number})
		}
	}
	if r.used[CrashKeepingWrites] < 1 {
		list = append(list, storeAction{kind: CrashKeepingWrites, machine: -1})
	}
	return list
}

// defaultAction handles the next event of the cycle, or begins the next cycle if none is left.
func (r *storeRun) defaultAction() storeAction {
	if len(r.queue) > 0 && r.queue[0].due <= r.cycle {
		return storeAction{kind: Dispatch}
	}
	return storeAction{kind: AdvanceTime}
}

// isFullyReplicated reports whether all members have their disks and no records move.
func (r *storeRun) isFullyReplicated() bool {
	stores := r.control.Stores
	lost := func(member *tierpb.Node) bool { return r.machineOf(member) == nil }
	return len(stores.Previous) == 0 && !slices.ContainsFunc(stores.Current, lost)
}

func (r *storeRun) execute(a storeAction) {
	r.used[a.kind]++
	switch a.kind {
	case Dispatch:
		e := r.queue[0]
		r.queue = r.queue[1:]
		r.handle(e)
		return
	case AdvanceTime:
		r.cycle++
		r.startCycle()
		return
	case Drop:
		r.logEvent(r.column(r.queue[0]), "!drop "+r.queue[0].String())
		r.queue = r.queue[1:]
		return
	case Delay:
		r.delay()
		return
	case CrashKeepingWrites:
		r.logEvent(r.machines[0], "!new lease holder, just started")
		r.leaseHolder = placementHolder{since: r.now(), moveSeen: r.now()}
		return
	}
	r.injectFault(r.machines[a.machine], a.kind)
}

// delay postpones an event by some cycles; the content of a call is that of the time at which it is sent.
func (r *storeRun) delay() {
	e := r.queue[0]
	r.queue = r.queue[1:]
	r.logEvent(r.column(e), "!delay "+e.String())
	if e.kind == storeJoinEvent && e.call == nil {
		e.call = r.callOf(e.machine)
	}
	e.due = r.cycle + lateDelivery
	r.queue = append(r.queue, e)
}

func (r *storeRun) injectFault(m *storeMachine, kind Kind) {
	r.logEvent(m, "!"+kind.String())
	m.reachableAt = r.cycle + faultCycles
	switch kind {
	case Wipe:
		m.diskNumber++
		m.reachableAt = r.cycle + 1
		m.records, m.known, m.copied = make(map[string]bool), &tierpb.StoreMembership{}, 0
	case Crash:
		m.copied = 0
	}
}

func (r *storeRun) column(e storeEvent) *storeMachine {
	if e.machine != nil {
		return e.machine
	}
	return r.machines[0]
}

func (e storeEvent) String() string {
	return [...]string{"membership update", "migration", "join request", "write", "decision"}[e.kind]
}

// check checks that acknowledged records are found by every read and have enough copies.
func (r *storeRun) check() {
	if !r.changed {
		return
	}
	r.changed = false
	for _, key := range r.acknowledged {
		if !r.isFound(key) {
			r.fail("%s was acknowledged, and a read quorum may not find it", key)
		}
		if r.isFullyReplicated() && !r.hasEnoughCopies(key) {
			r.fail("%s has no more copies than may be lost at once, and no loss or move is in progress", key)
		}
	}
}

// isFound reports whether, in one of the replica sets that a read asks, the members without the key are too few for a
// read quorum.
func (r *storeRun) isFound(key string) bool {
	for _, set := range replica.Sets(r.control.Stores, key, r.scenario.Tolerance) {
		lacking := 0
		for _, member := range set {
			if m := r.machineOf(member); m != nil && !m.records[key] {
				lacking++
			}
		}
		if lacking < replica.ReadQuorum(r.scenario.Tolerance, len(set)) {
			return true
		}
	}
	return false
}

func (r *storeRun) hasEnoughCopies(key string) bool {
	set := replica.Sets(r.control.Stores, key, r.scenario.Tolerance)[0]
	holders := 0
	for _, member := range set {
		if m := r.machineOf(member); m != nil && m.records[key] {
			holders++
		}
	}
	return holders >= min(r.scenario.Tolerance+1, len(set))
}

// fingerprint hashes the state.
func (r *storeRun) fingerprint() uint64 {
	var data []byte
	add := func(numbers ...uint64) {
		for _, number := range numbers {
			data = binary.LittleEndian.AppendUint64(data, number)
		}
	}
	state, _ := r.control.MarshalVT()
	data = append(data, state...)
	add(uint64(r.cycle), uint64(len(r.queue)), uint64(len(r.acknowledged)), uint64(r.client.written))
	add(uint64(r.leaseHolder.since.UnixNano()), r.leaseHolder.epoch, uint64(r.leaseHolder.moveSeen.UnixNano()), r.client.members.GetEpoch())
	for _, count := range r.used[Drop:] {
		add(uint64(count))
	}
	for _, join := range r.leaseHolder.joins {
		add(join.Request.Node.Identity, join.Request.RebalancedEpoch, uint64(join.FirstSeen.UnixNano()), uint64(join.LastSeen.UnixNano()))
	}
	for _, e := range r.queue {
		add(uint64(e.kind), uint64(r.column(e).number), uint64(e.due), uint64(e.diskNumber), e.call.GetRebalancedEpoch())
	}
	for _, m := range r.machines {
		add(uint64(m.diskNumber), uint64(m.reachableAt), m.known.Epoch, m.copied, flags(r.client.synced[m.identity()]))
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
