package modelcheck

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// eventKind says what happens when an event is dispatched.
type eventKind int

const (
	requestEvent  eventKind = iota // a request arrives at its node
	replyEvent                     // a reply arrives at its caller
	syncEvent                      // a sync of a node's disk ends
	beginEvent                     // a client's operation begins
	startEvent                     // a process starts on a node that has none
	healEvent                      // the partition of a node ends
	decisionEvent                  // a lease holder has made its decision
	watchEvent                     // a process that has started receives the newest chosen value
)

// event is pending until the scheduler dispatches it.
type event struct {
	kind        eventKind
	from        int // node that a message comes from; the node itself for other kinds
	to          int // node at which it happens
	label       string
	observation observation
	until       time.Time // not dispatched by default before this time; zero for none
	call        *call     // of requests and replies
	release     func()
}

func (e *event) isMessage() bool {
	return e.kind == requestEvent || e.kind == replyEvent || e.kind == watchEvent
}

// needsNode reports whether an event needs a node to run.
func (e *event) needsNode(node int) bool { return e.to == node || e.isMessage() && e.from == node }

// compareEvents orders events that were posted at the same moment independently of Go's scheduler.
func compareEvents(one, other *event) int {
	return cmp.Or(
		cmp.Compare(one.kind, other.kind), cmp.Compare(one.from, other.from), cmp.Compare(one.to, other.to),
		cmp.Compare(one.label, other.label),
	)
}

// post passes an event to the scheduler. It is safe for concurrent use.
func (r *run) post(e *event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrived = append(r.arrived, e)
}

// collect queues the posted events and drops replies whose caller has returned. It reports whether there were new events.
func (r *run) collect() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortFunc(r.arrived, compareEvents)
	found := len(r.arrived) > 0
	r.queue = append(r.queue, r.arrived...)
	r.arrived = nil
	idle := func(e *event) bool { return e.kind == replyEvent && e.call.done.Load() }
	r.queue = slices.DeleteFunc(r.queue, idle)
	r.deferred = slices.DeleteFunc(r.deferred, idle)
	return found
}

func (e *event) String() string {
	switch e.kind {
	case requestEvent:
		return fmt.Sprintf("n%d> %s", e.from, e.label)
	case watchEvent:
		return fmt.Sprintf("n%d: %s", e.from, e.label)
	case replyEvent:
		return fmt.Sprintf("n%d< %s", e.from, e.label)
	}
	return e.label
}
