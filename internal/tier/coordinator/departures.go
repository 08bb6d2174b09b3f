package coordinator

import (
	"maps"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/storage"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

const (
	departuresFolder = "departures" // below dataDir
	departuresSeries = "departures"
	mostDepartures   = 4096 // the newest are kept
)

// departures keeps on disk which stores have said that they leave. The rest of the list of stores is announced again by the
// stores themselves; a leave is not, once it was acknowledged. It is safe for concurrent use.
type departures struct {
	turn  chan struct{}   // holds one token; its owner may write the disk
	files *storage.Series // nil before a folder is opened
	saved uint64          // changes that are on disk; the turn's owner's

	mu      sync.Mutex
	changes uint64
	known   map[string]departure // by instance
}

// departure is the newest final state of a store.
type departure struct {
	instance *tierpb.Instance
	change   uint64 // number of the change that brought it
}

var errNoFolder = eris.New("departures: no folder is open")

func newDepartures() *departures {
	d := &departures{turn: make(chan struct{}, 1), known: make(map[string]departure)}
	d.turn <- struct{}{}
	return d
}

// openDepartures reads the departures in a folder. A file that is not whole counts as none.
func openDepartures(disk storage.Disk, folder string) (*departures, error) {
	stored := &tierpb.AnnounceRequest{}
	files, found, err := storage.OpenMessage(disk, folder, departuresSeries, stored)
	if err != nil {
		return nil, err
	}
	d := newDepartures()
	d.files = files
	if !found {
		return d, nil
	}
	for _, instance := range stored.Instances {
		d.note(instance)
	}
	d.saved = d.changes
	return d, nil
}

// all lists the departures, oldest first.
func (d *departures) all() []*tierpb.Instance {
	listed, _ := d.snapshot()
	return listed.Instances
}

// hold returns nil when the final states of stores are on disk. Those that come while the disk is written go together.
func (d *departures) hold(instances ...*tierpb.Instance) error {
	needed := uint64(0)
	for _, instance := range instances {
		needed = max(needed, d.note(instance))
	}
	<-d.turn
	defer func() { d.turn <- struct{}{} }()
	switch {
	case d.files == nil:
		return errNoFolder
	case d.saved >= needed:
		return nil
	}
	listed, changes := d.snapshot()
	if err := d.files.SaveMessage(listed); err != nil {
		return err
	}
	d.saved = changes
	return nil
}

// note takes a final state in and returns the number of the change that brought it.
func (d *departures) note(instance *tierpb.Instance) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known, ok := d.known[instance.Id]; ok && known.instance.State >= instance.State {
		return known.change
	}
	d.changes++
	d.known[instance.Id] = departure{instance: instance, change: d.changes}
	return d.changes
}

// snapshot lists the newest departures, oldest first, and how many changes they hold.
func (d *departures) snapshot() (*tierpb.AnnounceRequest, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	sorted := slices.SortedFunc(maps.Values(d.known), func(a, b departure) int {
		if a.change < b.change {
			return -1
		}
		return 1
	})
	if excess := len(sorted) - mostDepartures; excess > 0 {
		for _, oldest := range sorted[:excess] {
			delete(d.known, oldest.instance.Id)
		}
		sorted = sorted[excess:]
	}
	listed := &tierpb.AnnounceRequest{}
	for _, one := range sorted {
		listed.Instances = append(listed.Instances, one.instance)
	}
	return listed, d.changes
}

// forget drops stores that the list has no longer. The disk follows with the next departure.
func (d *departures) forget(isListed func(id string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.known {
		if !isListed(id) {
			delete(d.known, id)
		}
	}
}
