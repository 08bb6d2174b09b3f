package watch

import (
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/tier/registry"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// An instance is unconfirmed if a watcher holds it and no coordinator knows it: its store crashed while all coordinators
// lost their memory, so none of them can notice that its heartbeats have ended. A watcher finds unconfirmed instances by
// comparing its list with that of a synchronized source.

// Times of the reconciliation.
const (
	// synchronizedTTL is how long MarkSynchronized holds: a process that did not run since may have missed heartbeats.
	synchronizedTTL = 2 * time.Second
	// unconfirmedTimeout is the age of an instance's last update up to which it may be on its way to the source.
	unconfirmedTimeout = 5 * time.Second

	reconcileUnansweredInterval = 3 * time.Second      // to the next comparison if the source was not synchronized
	reconcileDifferentInterval  = 10 * time.Second     // if the lists differed
	reconcileEqualInterval      = registry.ExpireAfter // if they were equal
)

// MarkSynchronized states that the State holds every store that sends heartbeats now. It holds for a short time, so
// it is to be called again and again.
func (s *State) MarkSynchronized() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.synchronizedAt = s.now()
}

func (s *State) isSynchronized() bool {
	return !s.synchronizedAt.IsZero() && s.now().Sub(s.synchronizedAt) <= synchronizedTTL
}

// addDifferences answers a comparison: it names the buckets in which the watcher's summary differs, and all instances
// in them.
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

// suspectUnconfirmed applies the heartbeat time-outs to the instances that the source of a comparison does not name,
// and reports whether any of them changed.
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
		if instance := registry.TimedOut(e.instance, s.now().Sub(e.updatedAt), unconfirmedTimeout); instance != nil {
			timedOut = append(timedOut, instance)
		}
	}
	for _, instance := range timedOut {
		s.mergeInstance(instance, "")
	}
	return len(timedOut) > 0
}

// reconcileDue reports whether the next poll of a source is to compare the lists.
func (p *position) reconcileDue(now time.Time) bool {
	return p.cursor > 0 && !p.incomplete && !now.Before(p.reconcileAt)
}

// scheduleReconcile sets the time of the next comparison by the result of the last one.
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
