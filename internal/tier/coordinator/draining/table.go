// Package draining replicates the terminal states of instances (draining, deregistered) to the disks of the coordinators.
//
// An instance repeats its other states with each heartbeat. It stops repeating a drain or a deregistration once that was
// acknowledged. If the coordinators then lost it, proxies would send requests to an instance that is about to end. A terminal
// state is therefore acknowledged only when a quorum of the voters has it on disk.
//
//   - Table stores terminal states in a file below dataDir.
//   - Saver saves those that this process learns in another way, because it missed the announcement.
//   - Announcer sends a terminal state to all coordinators and waits for the acknowledgements of a quorum. It also handles the
//     announcements of other coordinators.
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
	// Folder is the folder of a Table's files below dataDir. The name is kept for compatibility with the first release.
	Folder = "departures"

	fileSeries = "departures" // file name prefix, kept for compatibility with the first release
	maxEntries = 4096         // older entries are dropped
)

// Table stores on disk which instances are draining or deregistered. It is safe for concurrent use.
//
// Saves are grouped: writers queue for one token, and the writer that holds it writes a snapshot of the whole table. Writers
// that get the token later often find their change on disk already.
type Table struct {
	writeToken  chan struct{}   // holds one token; only its owner may write to disk
	files       *storage.Series // nil before a folder is opened
	savedChange uint64          // number of the newest change on disk; accessed only by the token's owner

	mu         sync.Mutex
	lastChange uint64           // number of the newest change
	entries    map[string]entry // by instance ID
}

// entry is the newest terminal state of an instance.
type entry struct {
	instance *tierpb.Instance
	change   uint64 // number of the change that set it
}

var errNoFolder = eris.New("draining: no folder is open")

func newTable() *Table {
	t := &Table{writeToken: make(chan struct{}, 1), entries: make(map[string]entry)}
	t.writeToken <- struct{}{}
	return t
}

// OpenTable reads the terminal states stored in a folder. An incomplete file is ignored.
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
	t.savedChange = t.lastChange
	return t, nil
}

// Instances returns the instances with a terminal state, the oldest change first.
func (t *Table) Instances() []*tierpb.Instance {
	snapshot, _ := t.snapshot()
	return snapshot.Instances
}

// Save stores the terminal states of instances and returns nil once they are on disk. Concurrent calls share disk writes.
func (t *Table) Save(instances ...*tierpb.Instance) error {
	needed := uint64(0)
	for _, instance := range instances {
		needed = max(needed, t.record(instance))
	}
	<-t.writeToken
	defer func() { t.writeToken <- struct{}{} }()
	switch {
	case t.files == nil:
		return errNoFolder
	case t.savedChange >= needed:
		return nil
	}
	snapshot, changes := t.snapshot()
	if err := t.files.SaveMessage(snapshot); err != nil {
		return err
	}
	t.savedChange = changes
	return nil
}

// record adds a terminal state and returns the number of its change. A state that is not later than the known one is ignored;
// the number of the known state's change is returned.
func (t *Table) record(instance *tierpb.Instance) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.entries[instance.Id]; ok && known.instance.State >= instance.State {
		return known.change
	}
	t.lastChange++
	t.entries[instance.Id] = entry{instance: instance, change: t.lastChange}
	return t.lastChange
}

// snapshot returns all entries, the oldest change first, and the number of the newest change. It drops the oldest entries beyond
// maxEntries from the table.
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
	return snapshot, t.lastChange
}

// Prune drops instances that are no longer listed. They stay on disk until the next Save.
func (t *Table) Prune(isListed func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.entries {
		if !isListed(id) {
			delete(t.entries, id)
		}
	}
}
