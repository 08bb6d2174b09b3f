package turnstore

import (
	"slices"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/placement"
	"pulleygw.example/pulleygw/internal/tier/replica"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// sendJoin delivers a store's join request to the coordinators, each of which may miss it.
func (w *simulation) sendJoin(m *machine) {
	running := w.rebalancers[m]
	copied := running.rebalancer.CompletedEpoch()
	if time.Since(running.lastJoin) < joinInterval && copied == running.reportedEpoch {
		return
	}
	running.lastJoin, running.reportedEpoch = time.Now(), copied
	for _, joins := range w.receivedJoins {
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

// runPlacement runs the placement role on the join requests that one coordinator has received.
func (w *simulation) runPlacement(joins map[uint64]placement.Join) {
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
		assert.Assert(w.t, w.toleranceExceeded || reason != placement.ReasonDisksLost)
		w.logEvent("%s", reason)
		w.publish(next)
	}
}

func (w *simulation) publish(next *tierpb.ControlState) {
	if next.Stores.Epoch != w.control.Stores.Epoch {
		w.moveSeen = time.Now()
	}
	w.control = next
	w.logEvent("epoch %d: %v, previous %v", next.Stores.Epoch, identitiesOf(next.Stores.Current), identitiesOf(next.Stores.Previous))
	w.cluster.mu.Lock()
	w.membership = next.Stores
	w.history = append(w.history, published{time.Now(), next.Stores})
	w.cluster.mu.Unlock()
}

// endRecoveredFailures shuts down machines whose retirement is complete, and ends the failures that are recovered.
func (w *simulation) endRecoveredFailures() {
	for _, retirement := range w.control.Retirements {
		if m := w.machines[retirement.Node]; m != nil && retirement.Completed {
			w.logEvent("emptied %s", m.address)
			w.decommission(m)
		}
	}
	stores := w.control.Stores
	if len(stores.Previous) > 0 || !w.allDisksPresent(stores.Current) {
		return
	}
	for _, m := range w.sortedMachines() {
		if _, hasFailed := w.failed[m]; hasFailed && m.store != nil && !w.partitioned[m.address] &&
			replica.Contains(stores.Current, m.store.Identity()) {
			w.logEvent("over: %s", m.address)
			delete(w.failed, m)
		}
	}
	for m := range w.failed {
		if w.machines[m.address] != m { // it was shut down
			delete(w.failed, m)
		}
	}
}

// allDisksPresent returns whether the disks of all members exist.
func (w *simulation) allDisksPresent(members []*tierpb.Node) bool {
	for _, member := range members {
		m := w.machines[member.Address]
		if m == nil || w.oracle.disks[member.Identity] != m.disk {
			return false
		}
	}
	return true
}

func (w *simulation) decommission(m *machine) {
	w.halt(m)
	w.remove(m)
}

// retire retires a random member, if enough remain.
func (w *simulation) retire() {
	next := w.control.CloneVT()
	stores := next.Stores
	if len(stores.Current) <= 2*w.tolerance+1 {
		return
	}
	at := w.random.IntN(len(stores.Current))
	retired := stores.Current[at]
	if len(stores.Previous) == 0 {
		stores.Previous = stores.Current
	}
	current := make([]*tierpb.Node, 0, len(stores.Current))
	stores.Current = append(append(current, stores.Current[:at]...), stores.Current[at+1:]...)
	stores.Epoch++
	w.logEvent("retire %s", retired.Name)
	next.Retirements = append(next.Retirements, &tierpb.Retirement{Node: retired.Name, Identity: retired.Identity})
	w.publish(next)
}
