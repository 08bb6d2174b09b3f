package modelcheck

import (
	"slices"
	"time"
)

// Kind is a kind of scheduler action.
type Kind int

// The kinds of actions. Only Dispatch and AdvanceTime occur as defaults.
const (
	Dispatch           Kind = iota // an event happens; as a deviation a deferred event, early
	AdvanceTime                    // time passes until there is a new event; as a deviation while events are pending
	Defer                          // the next event waits until no other is pending
	Delay                          // the next event waits for delayTime
	Drop                           // the next message is lost
	Duplicate                      // the next message arrives now and once more, late
	Crash                          // a process and the unsynced writes of its disk are lost
	CrashKeepingWrites             // a process is lost, the unsynced writes of its disk are kept
	Wipe                           // a process and its disk are lost
	Partition                      // a node is partitioned from all others for delayTime, both ways
	PartitionInbound               // a node receives nothing for delayTime, and its own messages arrive
	Freeze                         // a process is frozen for delayTime
	kindCount
)

var kindNames = [kindCount]string{
	"dispatch", "advance time", "defer", "delay", "drop", "duplicate", "crash", "crash keeping writes", "wipe", "partition",
	"partition inbound", "freeze",
}

func (k Kind) String() string { return kindNames[k] }

// delayTime is longer than a call with its retries, and shorter than the TTLs of two leases.
const delayTime = 1700 * time.Millisecond

// action is one of the choices at a point of a run.
type action struct {
	kind  Kind
	event *event // of Dispatch, Defer, Delay, Drop and Duplicate
	node  int    // of the other kinds
}

func actionKinds(actions []action) []Kind {
	kinds := make([]Kind, len(actions))
	for i, a := range actions {
		kinds[i] = a.kind
	}
	return kinds
}

// actions returns the choices at the present point, the default first. It returns none at the end of the run.
func (r *run) actions() []action {
	first, found := r.defaultAction()
	if !found {
		return nil
	}
	list := []action{first}
	if r.recovering {
		return list
	}
	if len(r.queue) > 0 {
		head := r.queue[0]
		list = append(list, action{kind: Defer, event: head}, action{kind: Delay, event: head})
		if head.isMessage() {
			list = append(list, action{kind: Drop, event: head}, action{kind: Duplicate, event: head})
		}
	}
	for i, e := range r.deferred {
		if (e != first.event) && !r.frozen(e) && !slices.ContainsFunc(r.deferred[:i], e.isEquivalent) {
			list = append(list, action{kind: Dispatch, event: e})
		}
	}
	if first.kind != AdvanceTime {
		list = append(list, action{kind: AdvanceTime})
	}
	for _, node := range r.nodes {
		list = append(list, r.faultActions(node)...)
	}
	return list
}

// isEquivalent reports whether dispatching either of two events leads to the same state, so that one of them need not
func (e *event) isEquivalent(other *event) bool {
	return compareEvents(e, other) == 0 && e.call == other.call
}

// defaultAction dispatches queued events in the order of their arrival, then deferred ones, and then lets time pass.
func (r *run) defaultAction() (action, bool) {
	if len(r.queue) > 0 {
		return action{kind: Dispatch, event: r.queue[0]}, true
	}
	busy := r.busy()
	for _, e := range r.deferred {
		if !r.frozen(e) && (r.due(e) || !busy) {
			return action{kind: Dispatch, event: e}, true
		}
	}
	return action{kind: AdvanceTime}, busy || len(r.deferred) > 0
}

// frozen reports whether an event needs a process that is frozen.
func (r *run) frozen(e *event) bool {
	return slices.ContainsFunc(r.nodes, func(n *node) bool { return n.isFrozen() && e.needsNode(n.number) })
}

func (n *node) isFrozen() bool { return time.Now().Before(n.frozen) }

// faultActions returns the faults that may be injected at a node now, within the scenario's limits.
func (r *run) faultActions(n *node) (list []action) {
	limits := r.scenario.Limits
	if n.process != nil && r.used[Crash]+r.used[CrashKeepingWrites] < limits.Crashes {
		list = append(list, action{kind: Crash, node: n.number})
		if r.hasUnsyncedWrites(n) {
			list = append(list, action{kind: CrashKeepingWrites, node: n.number})
		}
	}
	if r.used[Wipe] < limits.Wipes {
		list = append(list, action{kind: Wipe, node: n.number})
	}
	if r.used[Partition]+r.used[PartitionInbound] < limits.Partitions {
		list = append(list, action{kind: Partition, node: n.number}, action{kind: PartitionInbound, node: n.number})
	}
	if n.process != nil && r.used[Freeze] < limits.Freezes {
		list = append(list, action{kind: Freeze, node: n.number})
	}
	return list
}

// hasUnsyncedWrites reports whether a sync of the node's disk is pending.
func (r *run) hasUnsyncedWrites(n *node) bool {
	unsynced := func(e *event) bool { return e.kind == syncEvent && e.to == n.number }
	return slices.ContainsFunc(r.queue, unsynced) || slices.ContainsFunc(r.deferred, unsynced)
}
