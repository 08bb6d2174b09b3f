package watch

import (
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/tier/registry"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// An instance in a watcher's list is unconfirmed if no coordinator knows it. This happens when its store crashes while
// all coordinators restart without state, so that none of them can notice that its heartbeats stopped. A watcher finds
// unconfirmed instances by comparing its list with that of a synchronized source.

// Timing of the reconciliation.
const (
	// synchronizedTTL is how long a State is synchronized after MarkSynchronized. It is short because a process that was
	// suspended since the call may have missed heartbeats.
	synchronizedTTL = 2 * time.Second
	// unconfirmedTimeout is the minimum age of the last update of an unconfirmed instance. A more recent update may still
	// be in transit to the source.
	unconfirmedTimeout = 5 * time.Second

	reconcileUnansweredInterval = 3 * time.Second      // until the next comparison if the source was not synchronized
	reconcileDifferentInterval  = 10 * time.Second     // if the lists differed
	reconcileEqualInterval      = registry.ExpireAfter // if they were equal
)

// MarkSynchronized declares that the State contains every store that currently sends heartbeats. This is valid for
// synchronizedTTL, so the caller must repeat it.
func (s *State) MarkSynchronized() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.synchronizedAt = s.now()
}

func (s *State) isSynchronized() bool {
	return !s.synchronizedAt.IsZero() && s.now().Sub(s.synchronizedAt) <= synchronizedTTL
}

// addDifferences adds the result of a comparison to a reply: the buckets in which the watcher's summary differs, and the
// statuses of all instances in these buckets.
func (s *State) addDifferences(request *tierpb.WatchRequest, reply *tierpb.WatchReply) {
	if len(request.Summary) != summaryBuckets {
		return
	}
	reply.Compared = true
	for bucket, sum := range s.summary {
		if request.Summary[bucket] != sum {
			reply.DifferingBuckets = append(reply.DifferingBuckets, uint32(bucket))
		}
	}
	if len(reply.DifferingBuckets) == 0 {
		return
	}
	for id, e := range s.instances {
		if !s.summary.matches(request.Summary, id) {
			reply.Statuses = append(reply.Statuses, statusOf(e.instance))
		}
	}
}

// suspectUnconfirmed applies the heartbeat time-outs to the instances that the reply to a comparison does not name, and
// reports whether any of them timed out.
func (s *State) suspectUnconfirmed(reply *tierpb.WatchReply) bool {
	if len(reply.DifferingBuckets) == 0 {
		return false
	}
	confirmed := make(map[string]bool, len(reply.Statuses)+len(reply.Instances))
	for _, status := range reply.Statuses {
		confirmed[status.Id] = true
	}
	for _, instance := range reply.Instances {
		confirmed[instance.Id] = true
	}
	var timedOut []*tierpb.Instance
	for id, e := range s.instances {
		if confirmed[id] || !slices.Contains(reply.DifferingBuckets, uint32(bucketOf(id))) {
			continue
		}
		if instance := registry.ApplyTimeout(e.instance, s.now().Sub(e.updatedAt), unconfirmedTimeout); instance != nil {
			timedOut = append(timedOut, instance)
		}
	}
	for _, instance := range timedOut {
		s.mergeInstance(instance, "")
	}
	return len(timedOut) > 0
}

// reconcileDue reports whether the next poll of a source must request a comparison of the lists.
func (p *position) reconcileDue(now time.Time) bool {
	return p.cursor > 0 && !p.incomplete && !now.Before(p.reconcileAt)
}

// scheduleReconcile sets the time of the next comparison depending on the result of the last one.
func (p *position) scheduleReconcile(reply *tierpb.WatchReply, now time.Time) {
	interval := reconcileEqualInterval
	switch {
	case !reply.Compared:
		interval = reconcileUnansweredInterval
	case len(reply.DifferingBuckets) > 0:
		interval = reconcileDifferentInterval
	}
	p.reconcileAt = now.Add(jittered(interval))
}
