package simulation

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of a simulated disk.
var (
	// ErrFull is returned for writes while DiskFault.Full is set.
	ErrFull = eris.New("simulated disk: no space left")
	// ErrSync is returned for syncs while DiskFault.SyncFails is set.
	ErrSync = eris.New("simulated disk: sync failed")
	// ErrStopped is returned for every operation of an incarnation that has ended.
	ErrStopped = eris.New("simulated disk: process has ended")

	errMissing = eris.New("simulated disk: no such file")
)

// Disk is the disk of a machine. It keeps files across incarnations, and what was synced across power losses. It is safe
// for concurrent use.
type Disk struct {
	mu      sync.Mutex
	random  *rand.Rand
	current map[string]*inode // files by name, as processes see them
	durable map[string]*inode // files by name, as a power loss without further changes would leave them
	pending []nameChange      // changes since the last sync of the folder, in order
	stats   DiskStats
	fault   DiskFault
}

// DiskFault is a fault of a disk. The zero value is a healthy disk.
type DiskFault struct {
	Full      bool          // writes fail
	SyncFails bool          // syncs fail
	SyncDelay time.Duration // of each sync
}

// DiskStats counts what was done on a disk since it was created.
type DiskStats struct {
	BytesWritten int // unsynced writes too
	FileSyncs    int
	FolderSyncs  int
}

// inode is the content of a file, whatever its name.
type inode struct {
	synced []byte
	writes [][]byte // since the last sync
}

// nameChange is a creation, rename or removal of a file that is not durable yet.
type nameChange struct {
	from, to string // from is empty for a creation, to is empty for a removal
	file     *inode
}

// NewDisk creates an empty disk. Random decides what a power loss leaves of unsynced changes.
func NewDisk(random *rand.Rand) *Disk {
	return &Disk{random: random, current: make(map[string]*inode), durable: make(map[string]*inode)}
}

// SetFault replaces the fault of the disk; the zero value repairs it.
func (d *Disk) SetFault(fault DiskFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = fault
}

// Stats returns the operations counted so far.
func (d *Disk) Stats() DiskStats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stats
}

// Bytes returns the size in bytes of all files.
func (d *Disk) Bytes() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	total := 0
	for _, file := range d.current {
		total += len(file.content())
	}
	return total
}

// PowerLoss keeps, of each unsynced write, all of it, a prefix, or zeros or nothing in its place, and of each unsynced
// change of names all or nothing. One loss in four keeps no unsynced change at all.
func (d *Disk) PowerLoss() {
	d.mu.Lock()
	defer d.mu.Unlock()
	dropAll := d.random.IntN(4) == 0
	for _, change := range d.pending {
		if dropAll || d.random.IntN(2) == 0 {
			continue
		}
		switch {
		case change.from == "":
			d.durable[change.to] = change.file
		case change.to == "":
			delete(d.durable, change.from)
		case d.durable[change.from] == change.file:
			delete(d.durable, change.from)
			d.durable[change.to] = change.file
		}
	}
	for _, file := range d.durable {
		file.losePower(d.random, dropAll)
	}
	d.pending = nil
	d.current = maps.Clone(d.durable)
}

// Wipe removes all files.
func (d *Disk) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.current)
	clear(d.durable)
	d.pending = nil
}

// CorruptMatching flips a bit in the middle of each file whose path contains the text. The damage is durable.
func (d *Disk) CorruptMatching(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, file := range d.current {
		if data := file.content(); strings.Contains(name, text) && len(data) > 0 {
			data[len(data)/2] ^= 1
			file.synced, file.writes = data, nil
		}
	}
}

// RemoveMatching durably removes each file whose path contains the text.
func (d *Disk) RemoveMatching(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	contains := func(name string, _ *inode) bool { return strings.Contains(name, text) }
	maps.DeleteFunc(d.current, contains)
	maps.DeleteFunc(d.durable, contains)
}

func (i *inode) content() []byte {
	data := slices.Clone(i.synced)
	for _, write := range i.writes {
		data = append(data, write...)
	}
	return data
}

// losePower makes of the unsynced writes what a power loss leaves of them: a write may become zeros of its length, as on
// file systems that extend a file before its data is written.
func (i *inode) losePower(random *rand.Rand, dropAll bool) {
	for _, write := range i.writes {
		outcome := random.IntN(3)
		switch {
		case dropAll || outcome == 0:
			write = make([]byte, len(write)*random.IntN(2))
		case outcome == 1:
			write = write[:random.IntN(len(write)+1)]
		}
		i.synced = append(slices.Clone(i.synced), write...)
	}
	i.writes = nil
}
