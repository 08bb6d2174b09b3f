package watch

import (
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/tier/registry"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// An orphan is an instance that a follower holds and that no coordinator knows: its store crashed while all coordinators lost
// their memory, so none of them can notice that its heartbeats have ended. A follower finds orphans by comparing its list
// with that of a source that has listened for long.

// Times of the comparison.
const (
	listenedFor       = 2 * time.Second      // for which Listened holds: a process that did not run since has heard nothing
	orphanAge         = 5 * time.Second      // without news, before which an instance may be on its way to the source
	compareUnanswered = 3 * time.Second      // until the next comparison, where the source had not listened for long enough
	compareDiffering  = 10 * time.Second     // the same where the lists differed
	compareAgreeing   = registry.ExpireAfter // the same where they agreed
)

// MarkSynchronized says that at this moment the State holds every store that sends heartbeats. It holds for a short time.
func (s *State) MarkSynchronized() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listenedAt = s.now()
}

func (s *State) hasListened() bool {
	return !s.listenedAt.IsZero() && s.now().Sub(s.listenedAt) <= listenedFor
}

// tellDiffering answers a comparison: it names the buckets in which the follower's summary differs, and all instances there.
func (s *State) tellDiffering(request *tierpb.WatchRequest, reply *tierpb.WatchReply) {
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
		if !s.summary.agrees(request.Summary, id) {
			reply.Statuses = append(reply.Statuses, markOf(e.instance))
		}
	}
}

// markOrphans marks the instances that the source of a comparison does not know, and says whether there were any.
func (s *State) markOrphans(reply *tierpb.WatchReply) bool {
	if len(reply.DifferingBuckets) == 0 {
		return false
	}
	named := make(map[string]bool, len(reply.Statuses)+len(reply.Instances))
	for _, mark := range reply.Statuses {
		named[mark.Id] = true
	}
	for _, instance := range reply.Instances {
		named[instance.Id] = true
	}
	var orphans []*tierpb.Instance
	for id, e := range s.instances {
		if named[id] || !slices.Contains(reply.DifferingBuckets, uint32(bucketOf(id))) {
			continue
		}
		if orphan := registry.TimedOut(e.instance, s.now().Sub(e.at), orphanAge); orphan != nil {
			orphans = append(orphans, orphan)
		}
	}
	for _, orphan := range orphans {
		s.take(orphan, "")
	}
	return len(orphans) > 0
}

// compares says whether the next poll of a source is to compare the lists.
func (p *place) compares(now time.Time) bool {
	return p.cursor > 0 && !p.begins && !now.Before(p.compareAt)
}

// compared notes the answer to a comparison.
func (p *place) compared(reply *tierpb.WatchReply, now time.Time) {
	switch {
	case !reply.Compared:
		p.compareAt = now.Add(jittered(compareUnanswered))
	case len(reply.DifferingBuckets) > 0:
		p.compareAt = now.Add(jittered(compareDiffering))
	default:
		p.compareAt = now.Add(jittered(compareAgreeing))
	}
}
