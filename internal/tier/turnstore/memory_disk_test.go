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

// memoryFile is a file of a simulated disk. Bytes beyond the synced ones may survive a power failure.
type memoryFile struct {
	data   []byte
	synced int
}

// memoryDisk is a simulated disk. A power failure keeps synced bytes and drops, truncates or corrupts the rest; folder
// entries are certain to survive it only after a sync of their folder.
type memoryDisk struct {
	mu              sync.Mutex
	files           map[string]*memoryFile
	unsyncedCreates map[string]bool   // new files whose folder entry is not synced
	unsyncedRenames map[string]string // new name to old name, likewise
	unsyncedRemoves map[string]*memoryFile
	failing         bool
	syncDelay       func() time.Duration // duration of a sync; nil: none. Only under synctest
	incarnation     int                  // of the process; handles of an earlier one fail
}

func (d *memoryDisk) fault() error {
	if d.failing {
		return errDiskFault
	}
	return nil
}

func (d *memoryDisk) fail(failing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failing = failing
}

func (d *memoryDisk) setSyncTime(syncing func() time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncDelay = syncing
}

func (d *memoryDisk) syncTime() func() time.Duration {
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
	if err := d.fault(); err != nil {
		return nil, err
	}
	d.files[path], d.unsyncedCreates[path] = &memoryFile{}, true
	return &handle{disk: d, file: d.files[path], incarnation: d.incarnation}, nil
}

func (d *memoryDisk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.fault(); err != nil {
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
	if err := d.fault(); err != nil {
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
	if err := d.fault(); err != nil {
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

// losePower ends the incarnation and keeps a random part of what was not synced.
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
		d.tearUnsynced(path, file, random)
	}
}

// tearUnsynced drops, truncates or corrupts the bytes of a file that were not synced.
func (d *memoryDisk) tearUnsynced(path string, file *memoryFile, random *rand.Rand) {
	loose := len(file.data) - file.synced
	switch random.IntN(3) {
	case 0:
		file.data = file.data[:file.synced]
	case 1:
		file.data = file.data[:file.synced+random.IntN(loose+1)]
	case 2:
		for range loose / 16 {
			file.data[file.synced+random.IntN(loose)] ^= 0x55
		}
	}
	file.synced = len(file.data)
	if len(file.data) == 0 && strings.Contains(path, segmentPrefix) {
		delete(d.files, path)
	}
}

// openIncarnation returns the disk for a process that starts.
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

type handle struct {
	disk        *memoryDisk
	file        *memoryFile
	incarnation int
}

func (h *handle) ready() error {
	if h.incarnation != h.disk.incarnation {
		return errDiskFault
	}
	return h.disk.fault()
}

func (h *handle) Write(data []byte) (int, error) {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if err := h.ready(); err != nil {
		return 0, err
	}
	h.file.data = append(h.file.data, data...)
	return len(data), nil
}

func (h *handle) Sync() error {
	if syncing := h.disk.syncTime(); syncing != nil {
		time.Sleep(syncing())
	}
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if err := h.ready(); err != nil {
		return err
	}
	h.file.synced = len(h.file.data)
	return nil
}

func (h *handle) Close() error { return nil }

// diskIncarnation is a simulated disk as seen by one process: once that process has ended, its calls fail.
type diskIncarnation struct {
	*memoryDisk
	number int
}

func (l *diskIncarnation) checkEnded() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.number != l.incarnation {
		return errDiskFault
	}
	return nil
}

func (l *diskIncarnation) Create(path string) (storage.File, error) {
	if err := l.checkEnded(); err != nil {
		return nil, err
	}
	return l.memoryDisk.Create(path)
}

func (l *diskIncarnation) Rename(from, to string) error {
	if err := l.checkEnded(); err != nil {
		return err
	}
	return l.memoryDisk.Rename(from, to)
}

func (l *diskIncarnation) Remove(path string) error {
	if err := l.checkEnded(); err != nil {
		return err
	}
	return l.memoryDisk.Remove(path)
}

func (l *diskIncarnation) SyncFile(path string) error {
	if err := l.checkEnded(); err != nil {
		return err
	}
	return l.memoryDisk.SyncFile(path)
}

func (l *diskIncarnation) SyncDir(folder string) error {
	if err := l.checkEnded(); err != nil {
		return err
	}
	return l.memoryDisk.SyncDir(folder)
}
