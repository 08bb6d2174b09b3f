// Package draining keeps the final states of instances (draining, deregistered) safe.
//
// An instance announces its other states again with each heartbeat. A drain or a deregistration it says once, and once that
// was acknowledged it says nothing more: if it were forgotten, proxies would send requests to an instance that is about to
// end. So a final state is acknowledged only when a quorum of the voters has it on disk.
//
//   - Table is one coordinator's file of final states, below dataDir.
//   - Announcer sends a final state to all coordinators, answers those of the others, and counts the votes.
package draining

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/storage"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

const (
	// Folder is where a Table keeps its files, below dataDir. The name on disk is that of the first release.
	Folder = "departures"

	fileSeries = "departures" // name of the files, as in the first release
	maxEntries = 4096         // the newest are kept
)

// Table keeps on disk which instances are draining or deregistered. It is safe for concurrent use.
//
// Writers queue for one token. Each writes a snapshot of the whole table, so that those behind it often find
// their own change on disk already.
type Table struct {
	writer chan struct{}   // holds one token; its owner may write the disk
	files  *storage.Series // nil before a folder is opened
	saved  uint64          // changes that are on disk; belongs to the token's owner

	mu      sync.Mutex
	changes uint64
	entries map[string]entry // by instance
}

// entry is the newest final state of an instance.
type entry struct {
	instance *tierpb.Instance
	change   uint64 // number of the change that brought it
}

var errNoFolder = eris.New("draining: no folder is open")

func newTable() *Table {
	t := &Table{writer: make(chan struct{}, 1), entries: make(map[string]entry)}
	t.writer <- struct{}{}
	return t
}

// OpenTable reads the final states in a folder. A file that is not complete counts as none.
func OpenTable(disk storage.Disk, folder string) (*Table, error) {
	stored := &tierpb.AnnounceRequest{}
	files, found, err := storage.OpenMessage(disk, folder, fileSeries, stored)
	if err != nil {
		return nil, err
	}
	t := newTable()
	t.files = files
	if !found {
		return t, nil
	}
	for _, instance := range stored.Instances {
		t.record(instance)
	}
	t.saved = t.changes
	return t, nil
}

// Instances lists the instances with a final state, the oldest change first.
func (t *Table) Instances() []*tierpb.Instance {
	snapshot, _ := t.snapshot()
	return snapshot.Instances
}

// Save returns nil when the final states of instances are on disk. Those that come while the disk is written go together.
func (t *Table) Save(instances ...*tierpb.Instance) error {
	needed := uint64(0)
	for _, instance := range instances {
		needed = max(needed, t.record(instance))
	}
	<-t.writer
	defer func() { t.writer <- struct{}{} }()
	switch {
	case t.files == nil:
		return errNoFolder
	case t.saved >= needed:
		return nil
	}
	snapshot, changes := t.snapshot()
	if err := t.files.SaveMessage(snapshot); err != nil {
		return err
	}
	t.saved = changes
	return nil
}

// record takes a final state in and returns the number of the change that brought it.
func (t *Table) record(instance *tierpb.Instance) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.entries[instance.Id]; ok && known.instance.State >= instance.State {
		return known.change
	}
	t.changes++
	t.entries[instance.Id] = entry{instance: instance, change: t.changes}
	return t.changes
}

// snapshot lists the newest entries, the oldest change first, and how many changes they hold. It drops those beyond
// maxEntries.
func (t *Table) snapshot() (*tierpb.AnnounceRequest, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sorted := slices.SortedFunc(maps.Values(t.entries), func(a, b entry) int { return cmp.Compare(a.change, b.change) })
	if excess := len(sorted) - maxEntries; excess > 0 {
		for _, oldest := range sorted[:excess] {
			delete(t.entries, oldest.instance.Id)
		}
		sorted = sorted[excess:]
	}
	snapshot := &tierpb.AnnounceRequest{}
	for _, known := range sorted {
		snapshot.Instances = append(snapshot.Instances, known.instance)
	}
	return snapshot, t.changes
}

// Forget drops instances that are not listed any more. The disk follows with the next Save.
func (t *Table) Forget(isListed func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.entries {
		if !isListed(id) {
			delete(t.entries, id)
		}
	}
}
