package changelog

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"pulleygw.example/pulleygw/internal/tier/storage"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// series is the name of the history's files in its folder.
const series = "orders"

// SegmentStore keeps the runs that control states name, on disk and in memory. What it lacks after a loss of its disk comes
// from other coordinators; until then orders of those runs get no clear answer. It is safe for concurrent use.
type SegmentStore struct {
	saving sync.Mutex // held while the disk is written
	files  *storage.Series
	saved  []string // digests of the runs on disk; guarded by saving

	mu    sync.Mutex
	runs  map[string]*tierpb.ChangeSegment // by digest
	noted uint64                           // one more than the If-Match at which the run noted last begins
}

// OpenSegmentStore reads the runs in a folder. A file that is not whole counts as none.
func OpenSegmentStore(disk storage.Disk, folder string) (*SegmentStore, error) {
	stored := &tierpb.ChangeSegments{}
	files, found, err := storage.OpenMessage(disk, folder, series, stored)
	if err != nil {
		return nil, err
	}
	history := &SegmentStore{files: files, runs: make(map[string]*tierpb.ChangeSegment)}
	if !found {
		return history, nil
	}
	for _, run := range stored.Segments {
		history.put(run)
	}
	_, history.saved = history.all()
	return history, nil
}

// put takes a run in and says whether it was not known.
func (h *SegmentStore) put(run *tierpb.ChangeSegment) bool {
	if !isWhole(run) {
		return false
	}
	digest := string(nameFor(run))
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.runs[digest] != nil {
		return false
	}
	h.runs[digest] = run
	return true
}

// Observe takes in the run that a chosen control state is about to name. It is cheap where there is nothing new.
func (h *SegmentStore) Observe(state *tierpb.ControlState) {
	if len(state.GetCommittedChanges()) < SegmentLength || h.isNoted(state.CommittedChanges[0].IfMatch) {
		return
	}
	h.put(NextSegment(state))
	h.mu.Lock()
	defer h.mu.Unlock()
	h.noted = state.CommittedChanges[0].IfMatch + 1
}

func (h *SegmentStore) isNoted(first uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.noted == first+1
}

// Segment implements Runs.
func (h *SegmentStore) Segment(digest []byte) *tierpb.ChangeSegment {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runs[string(digest)]
}

// Missing returns the digests of runs that a control state names and that are not here, oldest first.
func (h *SegmentStore) Missing(state *tierpb.ControlState) [][]byte {
	var lacking [][]byte
	for _, name := range state.GetOlderChanges() {
		if h.Segment(name.Digest) == nil {
			lacking = append(lacking, name.Digest)
		}
	}
	return lacking
}

// Reconcile takes in runs that a control state names and the one that it is about to name, drops those from before all that it
// remembers, and saves what is left where that has changed.
func (h *SegmentStore) Reconcile(state *tierpb.ControlState, found []*tierpb.ChangeSegment) error {
	h.saving.Lock()
	defer h.saving.Unlock()
	h.Observe(state)
	named := make(map[string]bool)
	for _, name := range state.GetOlderChanges() {
		named[string(name.Digest)] = true
	}
	for _, run := range found {
		if named[string(nameFor(run))] {
			h.put(run)
		}
	}
	h.dropBefore(oldest(state))
	stored, digests := h.all()
	if slices.Equal(digests, h.saved) {
		return nil
	}
	if err := h.files.SaveMessage(stored); err != nil {
		return err
	}
	h.saved = digests
	return nil
}

// oldest is the If-Match of the oldest order that a control state remembers.
func oldest(state *tierpb.ControlState) uint64 {
	if names := state.GetOlderChanges(); len(names) > 0 {
		return names[0].First
	}
	if newest := state.GetCommittedChanges(); len(newest) > 0 {
		return newest[0].IfMatch
	}
	return 0
}

func (h *SegmentStore) dropBefore(first uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for digest, run := range h.runs {
		if run.First < first {
			delete(h.runs, digest)
		}
	}
}

// all returns the runs and their digests, oldest first.
func (h *SegmentStore) all() (*tierpb.ChangeSegments, []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	digests := slices.SortedFunc(maps.Keys(h.runs), func(a, b string) int {
		return cmp.Or(cmp.Compare(h.runs[a].First, h.runs[b].First), cmp.Compare(a, b))
	})
	stored := &tierpb.ChangeSegments{}
	for _, digest := range digests {
		stored.Segments = append(stored.Segments, h.runs[digest])
	}
	return stored, digests
}
