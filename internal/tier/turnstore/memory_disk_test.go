package turnstore

import (
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/storage"
)

var errDiskFault = eris.New("simulated disk fault")

// memoryFile is a file of a simulated disk. Only its first synced bytes are certain to survive a power failure.
type memoryFile struct {
	data   []byte
	synced int
}

// memoryDisk is a simulated disk. A power failure keeps synced bytes and drops, truncates or corrupts the rest; folder
// entries are certain to survive it only after a sync of their folder.
type memoryDisk struct {
	mu              sync.Mutex
	files           map[string]*memoryFile
	unsyncedCreates map[string]bool        // new files whose folder entry is not synced
	unsyncedRenames map[string]string      // new name to old name, if the folder entries are not synced
	unsyncedRemoves map[string]*memoryFile // removed files whose folder entry is not synced
	failing         bool
	syncDelay       func() time.Duration // returns the duration of a sync; nil: none. Set only under synctest
	incarnation     int                  // number of the process that uses the disk; file handles of an earlier process fail
}

// checkFault returns an error while the disk fails. The caller holds d.mu.
func (d *memoryDisk) checkFault() error {
	if d.failing {
		return errDiskFault
	}
	return nil
}

// setFailing makes all calls that change the disk fail, or ends that.
func (d *memoryDisk) setFailing(failing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failing = failing
}

func (d *memoryDisk) setSyncDelay(delay func() time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncDelay = delay
}

func (d *memoryDisk) currentSyncDelay() func() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.syncDelay
}

func (d *memoryDisk) MkdirAll(string) error { return nil }

func (d *memoryDisk) List(folder string) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for path := range d.files {
		if filepath.Dir(path) == folder {
			names = append(names, filepath.Base(path))
		}
	}
	return names, nil
}

func (d *memoryDisk) Read(path string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	file := d.files[path]
	if file == nil {
		return nil, fs.ErrNotExist
	}
	return append([]byte(nil), file.data...), nil
}

func (d *memoryDisk) Create(path string) (storage.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.checkFault(); err != nil {
		return nil, err
	}
	d.files[path], d.unsyncedCreates[path] = &memoryFile{}, true
	return &fileHandle{disk: d, file: d.files[path], incarnation: d.incarnation}, nil
}

func (d *memoryDisk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.checkFault(); err != nil {
		return err
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	d.unsyncedRenames[to] = from
	if d.unsyncedCreates[from] { // neither entry is certain to survive
		delete(d.unsyncedCreates, from)
		d.unsyncedCreates[to] = true
	}
	return nil
}

func (d *memoryDisk) Remove(path string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if file := d.files[path]; file != nil {
		d.unsyncedRemoves[path] = file
		delete(d.files, path)
		delete(d.unsyncedCreates, path)
	}
	return nil
}

func (d *memoryDisk) SyncFile(path string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.checkFault(); err != nil {
		return err
	}
	file := d.files[path]
	if file == nil {
		return fs.ErrNotExist
	}
	file.synced = len(file.data)
	return nil
}

func (d *memoryDisk) SyncDir(string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.checkFault(); err != nil {
		return err
	}
	clear(d.unsyncedCreates)
	clear(d.unsyncedRenames)
	clear(d.unsyncedRemoves)
	return nil
}

// endIncarnation invalidates the handles of the current process; files remain.
func (d *memoryDisk) endIncarnation() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.incarnation++
}

// losePower ends the incarnation and keeps a random part of what was not synced, possibly corrupted.
func (d *memoryDisk) losePower(random *rand.Rand) {
	d.endIncarnation()
	d.mu.Lock()
	defer d.mu.Unlock()
	for path, file := range d.unsyncedRemoves {
		if random.IntN(2) == 0 && d.files[path] == nil {
			d.files[path] = file
		}
	}
	for to, from := range d.unsyncedRenames {
		if random.IntN(2) == 0 && d.files[to] != nil {
			d.files[from] = d.files[to]
			delete(d.files, to)
		}
	}
	for path := range d.unsyncedCreates {
		if random.IntN(2) == 0 {
			delete(d.files, path)
		}
	}
	clear(d.unsyncedCreates)
	clear(d.unsyncedRemoves)
	clear(d.unsyncedRenames)
	for path, file := range d.files {
		d.damageUnsynced(path, file, random)
	}
}

// damageUnsynced drops, truncates or corrupts the bytes of a file that were not synced.
func (d *memoryDisk) damageUnsynced(path string, file *memoryFile, random *rand.Rand) {
	unsynced := len(file.data) - file.synced
	switch random.IntN(3) {
	case 0:
		file.data = file.data[:file.synced]
	case 1:
		file.data = file.data[:file.synced+random.IntN(unsynced+1)]
	case 2:
		for range unsynced / 16 {
			file.data[file.synced+random.IntN(unsynced)] ^= 0x55
		}
	}
	file.synced = len(file.data)
	if len(file.data) == 0 && strings.Contains(path, segmentPrefix) {
		delete(d.files, path)
	}
}

// openIncarnation returns the disk for a process that starts now.
func (d *memoryDisk) openIncarnation() *diskIncarnation {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &diskIncarnation{memoryDisk: d, number: d.incarnation}
}

func newMemoryDisk() *memoryDisk {
	return &memoryDisk{
		files:           make(map[string]*memoryFile),
		unsyncedCreates: make(map[string]bool),
		unsyncedRenames: make(map[string]string),
		unsyncedRemoves: make(map[string]*memoryFile),
	}
}

// fileHandle is a file that a process has opened for writing.
type fileHandle struct {
	disk        *memoryDisk
	file        *memoryFile
	incarnation int
}

// checkUsable returns an error if the process has ended or the disk fails. The caller holds h.disk.mu.
func (h *fileHandle) checkUsable() error {
	if h.incarnation != h.disk.incarnation {
		return errDiskFault
	}
	return h.disk.checkFault()
}

func (h *fileHandle) Write(data []byte) (int, error) {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if err := h.checkUsable(); err != nil {
		return 0, err
	}
	h.file.data = append(h.file.data, data...)
	return len(data), nil
}

func (h *fileHandle) Sync() error {
	if delay := h.disk.currentSyncDelay(); delay != nil {
		time.Sleep(delay())
	}
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if err := h.checkUsable(); err != nil {
		return err
	}
	h.file.synced = len(h.file.data)
	return nil
}

func (h *fileHandle) Close() error { return nil }

// diskIncarnation is a simulated disk as seen by one process: once that process has ended, its calls fail.
type diskIncarnation struct {
	*memoryDisk
	number int
}

// checkRunning returns an error if the process has ended.
func (d *diskIncarnation) checkRunning() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.number != d.incarnation {
		return errDiskFault
	}
	return nil
}

func (d *diskIncarnation) Create(path string) (storage.File, error) {
	if err := d.checkRunning(); err != nil {
		return nil, err
	}
	return d.memoryDisk.Create(path)
}

func (d *diskIncarnation) Rename(from, to string) error {
	if err := d.checkRunning(); err != nil {
		return err
	}
	return d.memoryDisk.Rename(from, to)
}

func (d *diskIncarnation) Remove(path string) error {
	if err := d.checkRunning(); err != nil {
		return err
	}
	return d.memoryDisk.Remove(path)
}

func (d *diskIncarnation) SyncFile(path string) error {
	if err := d.checkRunning(); err != nil {
		return err
	}
	return d.memoryDisk.SyncFile(path)
}

func (d *diskIncarnation) SyncDir(folder string) error {
	if err := d.checkRunning(); err != nil {
		return err
	}
	return d.memoryDisk.SyncDir(folder)
}
