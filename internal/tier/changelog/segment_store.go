package changelog

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"pulleygw.example/pulleygw/internal/tier/storage"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// seriesName is the name of the store's files in its folder, part of the format on disk. Configuration changes used to be
// called orders.
const seriesName = "orders"

// SegmentStore keeps the segments that control states reference, on disk and in memory. After a disk loss the missing
// segments are fetched from other coordinators; until then, changes in these segments are classified as SegmentMissing. A
// SegmentStore is safe for concurrent use.
type SegmentStore struct {
	saveMu sync.Mutex // held while the disk is written
	series *storage.Series
	saved  []string // digests of the segments on disk; guarded by saveMu

	mu       sync.Mutex
	segments map[string]*tierpb.ChangeSegment // by digest
	observed uint64                           // 1 + If-Match of the first change in the last observed segment; 0 for none
}

// OpenSegmentStore reads the segments in a folder. An incomplete file counts as missing.
func OpenSegmentStore(disk storage.Disk, folder string) (*SegmentStore, error) {
	stored := &tierpb.ChangeSegments{}
	series, found, err := storage.OpenMessage(disk, folder, seriesName, stored)
	if err != nil {
		return nil, err
	}
	store := &SegmentStore{series: series, segments: make(map[string]*tierpb.ChangeSegment)}
	if !found {
		return store, nil
	}
	for _, segment := range stored.Segments {
		store.add(segment)
	}
	_, store.saved = store.snapshot()
	return store, nil
}

// add adds a segment in memory, unless it is incomplete.
func (s *SegmentStore) add(segment *tierpb.ChangeSegment) {
	if !isComplete(segment) {
		return
	}
	digest := string(segmentDigest(segment))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.segments[digest] == nil {
		s.segments[digest] = segment
	}
}

// Observe adds, in memory only, the segment that a chosen control state will reference next. It is cheap if that segment
// was already added.
func (s *SegmentStore) Observe(state *tierpb.ControlState) {
	if len(state.GetCommittedChanges()) < SegmentLength || s.isObserved(state.CommittedChanges[0].IfMatch) {
		return
	}
	s.add(NextSegment(state))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observed = state.CommittedChanges[0].IfMatch + 1
}

func (s *SegmentStore) isObserved(first uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.observed == first+1
}

// Segment implements Segments.
func (s *SegmentStore) Segment(digest []byte) *tierpb.ChangeSegment {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.segments[string(digest)]
}

// Missing returns the digests of the segments that a control state references and the store does not have, oldest first.
func (s *SegmentStore) Missing(state *tierpb.ControlState) [][]byte {
	var missing [][]byte
	for _, ref := range state.GetOlderChanges() {
		if s.Segment(ref.Digest) == nil {
			missing = append(missing, ref.Digest)
		}
	}
	return missing
}

// Reconcile updates the store to match a control state: it adds the fetched segments that the state references and the
// segment that it will reference next, drops segments older than the log, and saves the segments if they have changed. The
// error is that of the disk; the segments are still available in memory.
func (s *SegmentStore) Reconcile(state *tierpb.ControlState, fetched []*tierpb.ChangeSegment) error {
	s.saveMu.Lock()
	defer s.saveMu.Unlock()
	s.Observe(state)
	referenced := make(map[string]bool)
	for _, ref := range state.GetOlderChanges() {
		referenced[string(ref.Digest)] = true
	}
	for _, segment := range fetched {
		if referenced[string(segmentDigest(segment))] {
			s.add(segment)
		}
	}
	s.dropBefore(oldestIfMatch(state))
	stored, digests := s.snapshot()
	if slices.Equal(digests, s.saved) {
		return nil
	}
	if err := s.series.SaveMessage(stored); err != nil {
		return err
	}
	s.saved = digests
	return nil
}

// oldestIfMatch returns the If-Match of the oldest change in the log of a control state.
func oldestIfMatch(state *tierpb.ControlState) uint64 {
	if refs := state.GetOlderChanges(); len(refs) > 0 {
		return refs[0].First
	}
	if recent := state.GetCommittedChanges(); len(recent) > 0 {
		return recent[0].IfMatch
	}
	return 0
}

func (s *SegmentStore) dropBefore(first uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for digest, segment := range s.segments {
		if segment.First < first {
			delete(s.segments, digest)
		}
	}
}

// snapshot returns the segments and their digests, oldest first.
func (s *SegmentStore) snapshot() (*tierpb.ChangeSegments, []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	digests := slices.SortedFunc(maps.Keys(s.segments), func(a, b string) int {
		return cmp.Or(cmp.Compare(s.segments[a].First, s.segments[b].First), cmp.Compare(a, b))
	})
	stored := &tierpb.ChangeSegments{}
	for _, digest := range digests {
		stored.Segments = append(stored.Segments, s.segments[digest])
	}
	return stored, digests
}
