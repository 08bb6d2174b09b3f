package modelcheck

import (
	"fmt"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Kind is a kind of action.
type Kind int

// The kinds of actions. The first two are defaults too.
const (
	Dispatch           Kind = iota // an event is let go; as a deviation a held one, early
	AdvanceTime                    // time passes until something comes up; as a deviation while there is something to let go
	Defer                          // the next event waits until nothing else is left
	Delay                          // the next event waits for delayTime
	Drop                           // the next message is lost
	Duplicate                      // the next message arrives now and once more, late
	Crash                          // a process and what its disk has not synced are lost
	CrashKeepingWrites             // a process is lost, what its disk has not synced is kept
	Wipe                           // a process and its disk are lost
	Partition                      // a node is cut off for delayTime, both ways
	PartitionInbound               // a node hears nothing for delayTime, and is heard
	Freeze                         // a process is frozen for delayTime
	kindCount
)

var kindNames = [kindCount]string{
	"release", "tick", "hold", "delay", "drop", "repeat", "crash", "keep", "wipe", "cut", "deaf", "freeze",
}

func (k Kind) String() string { return kindNames[k] }

// delayTime is longer than a call and its repeats, and shorter than the terms of two leases.
const delayTime = 1700 * time.Millisecond

// action is what may be done at a point of a run.
type action struct {
	kind  Kind
	event *event // of release, hold, delay, drop and repeat
	node  int    // of the others
}

func actionKinds(actions []action) []Kind {
	kinds := make([]Kind, len(actions))
	for i, a := range actions {
		kinds[i] = a.kind
	}
	return kinds
}

// actions returns what may be done now, the default first; none at the end of the run.
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

// same says that letting one of two events go is as good as the other.
func (e *event) isEquivalent(other *event) bool {
	return compareEvents(e, other) == 0 && e.call == other.call
}

// standard is the default action: what came first goes first, then what is held, and then time passes.
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

// frozen says that an event needs a frozen process.
func (r *run) frozen(e *event) bool {
	return slices.ContainsFunc(r.nodes, func(n *node) bool { return n.isFrozen() && e.needsNode(n.number) })
}

func (n *node) isFrozen() bool { return time.Now().Before(n.frozen) }

// troubles are the kinds of trouble that a node may have now, within the scenario's limits.
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

// syncs says that a disk has something that is not synced.
func (r *run) hasUnsyncedWrites(n *node) bool {
	unsynced := func(e *event) bool { return e.kind == syncEvent && e.to == n.number }
	return slices.ContainsFunc(r.queue, unsynced) || slices.ContainsFunc(r.deferred, unsynced)
}

// do takes an action and lets all goroutines come to rest.
func (r *run) execute(a action) {
	r.used[a.kind]++
	r.logAction(a)
	switch a.kind {
	case Dispatch:
		r.removePending(a.event)
		r.dispatch(a.event)
	case AdvanceTime:
		r.advanceTime()
	case Defer:
		r.removePending(a.event)
		r.deferred = append(r.deferred, a.event)
	case Delay:
		r.removePending(a.event)
		r.deferUntil(a.event, time.Now().Add(delayTime))
	case Drop:
		r.removePending(a.event)
	case Duplicate:
		again := *a.event
		r.removePending(a.event)
		r.dispatch(a.event)
		r.deferUntil(&again, time.Now().Add(delayTime))
	default:
		r.injectFault(a)
	}
	r.awaitQuiescence()
	r.offerOperations()
}

// strike brings trouble to a node.
func (r *run) injectFault(a action) {
	n := r.nodes[a.node]
	switch a.kind {
	case Crash, CrashKeepingWrites:
		n.crash(a.kind == CrashKeepingWrites)
		r.afterProcessEnd(n)
	case Wipe:
		n.wipe()
		r.afterProcessEnd(n)
	case Partition, PartitionInbound:
		n.partitioned, n.inboundPartitioned = a.kind == Partition, a.kind == PartitionInbound
		r.deferUntil(&event{
			kind: healEvent, from: n.number, to: n.number, label: "healed", release: func() { n.partitioned, n.inboundPartitioned = false, false },
		}, time.Now().Add(delayTime))
	case Freeze:
		n.frozen = time.Now().Add(delayTime)
	}
}

// afterEnd removes what has ended with a process and lets another one start later. Its messages stay in flight.
func (r *run) afterProcessEnd(n *node) {
	ended := func(e *event) bool { return (e.kind == syncEvent || e.kind == decisionEvent) && e.to == n.number }
	r.queue = slices.DeleteFunc(r.queue, ended)
	r.deferred = slices.DeleteFunc(r.deferred, ended)
	n.frozen = time.Time{}
	starts := func(e *event) bool { return e.kind == startEvent && e.to == n.number }
	if slices.ContainsFunc(r.deferred, starts) || slices.ContainsFunc(r.queue, starts) {
		return
	}
	r.deferred = append(r.deferred, &event{
		kind: startEvent, from: n.number, to: n.number, label: "start", release: func() {
			if n.process == nil && n.start(r, false) {
				r.notifyOfNewest(n.process)
			}
		},
	})
}

// tell lets a process that has started hear of the newest chosen value, as its watch would.
func (r *run) notifyOfNewest(started *process) {
	var newest *tierpb.ControlState
	from := 0
	for _, n := range r.nodes {
		if n.process == nil || n.process == started {
			continue
		}
		if known := n.process.newestKnown(); known != nil && (newest == nil || known.Version > newest.Version) {
			newest, from = known, n.number
		}
	}
	if newest == nil {
		return
	}
	observed := observation{kind: observationWatch, state: newest}
	r.queue = append(r.queue, &event{
		kind: watchEvent, from: from, to: started.node.number, label: "hears of " + r.stateName(newest), observation: observed,
		release: func() {
			if !started.hasEnded() {
				started.observe(observed)
				started.learn(newest)
			}
		},
	})
}

// take removes an event from the queue or from those held.
func (r *run) removePending(removed *event) {
	is := func(e *event) bool { return e == removed }
	r.queue = slices.DeleteFunc(r.queue, is)
	r.deferred = slices.DeleteFunc(r.deferred, is)
}

func (r *run) deferUntil(e *event, until time.Time) {
	e.until = until
	r.deferred = append(r.deferred, e)
}

// letGo makes an event happen, unless a cut swallows the message or a frozen process keeps it.
func (r *run) dispatch(e *event) {
	if r.frozen(e) {
		r.deferUntil(e, r.thaw(e))
		return
	}
	if e.isMessage() && (r.nodes[e.from].partitioned || r.nodes[e.to].partitioned || r.nodes[e.to].inboundPartitioned) {
		return
	}
	e.release()
}

// thaw is when the last process that an event needs goes on.
func (r *run) thaw(e *event) (last time.Time) {
	for _, n := range r.nodes {
		if e.needsNode(n.number) && n.frozen.After(last) {
			last = n.frozen
		}
	}
	return last
}

// show writes an action into the timeline.
func (r *run) logAction(a action) {
	switch {
	case a.kind == AdvanceTime:
		return
	case a.kind == Dispatch:
		r.timeline.add(r, a.event.to, a.event.String())
	case a.event != nil:
		r.timeline.add(r, a.event.to, fmt.Sprintf("!%s: %s", a.kind, a.event))
	default:
		r.timeline.add(r, a.node, "!"+a.kind.String())
	}
}
