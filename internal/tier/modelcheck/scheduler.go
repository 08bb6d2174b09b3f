package modelcheck

import (
	"fmt"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// execute takes an action and waits until all goroutines are blocked.
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

// injectFault injects a fault at a node.
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
			kind: healEvent, from: n.number, to: n.number, label: "healed",
			release: func() { n.partitioned, n.inboundPartitioned = false, false },
		}, time.Now().Add(delayTime))
	case Freeze:
		n.frozen = time.Now().Add(delayTime)
	}
}

// afterProcessEnd removes the pending events of an ended process and adds the start of the next one. Messages that the
// process has sent stay in flight.
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

// notifyOfNewest sends the newest value known to be chosen to a process that has started, as its watch would.
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
		kind: watchEvent, from: from, to: started.node.number, label: "watch update " + r.stateName(newest), observation: observed,
		release: func() {
			if !started.hasEnded() {
				started.observe(observed)
				started.learn(newest)
			}
		},
	})
}

// removePending removes an event from the queue or from the deferred events.
func (r *run) removePending(removed *event) {
	is := func(e *event) bool { return e == removed }
	r.queue = slices.DeleteFunc(r.queue, is)
	r.deferred = slices.DeleteFunc(r.deferred, is)
}

// deferUntil adds a deferred event that is not dispatched by default before a time.
func (r *run) deferUntil(e *event, until time.Time) {
	e.until = until
	r.deferred = append(r.deferred, e)
}

// dispatch makes an event happen, unless a partition loses the message. An event of a frozen process waits for its thaw.
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

// thaw returns the time at which the last frozen process that an event needs continues.
func (r *run) thaw(e *event) (last time.Time) {
	for _, n := range r.nodes {
		if e.needsNode(n.number) && n.frozen.After(last) {
			last = n.frozen
		}
	}
	return last
}

// logAction adds an action to the timeline.
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
