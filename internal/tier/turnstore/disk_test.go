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

var errDiskTrouble = eris.New("simulated trouble of the disk")

// memoryFile is a file of a simulated disk: what was synced lasts, what was written behind may.
type memoryFile struct {
	data   []byte
	synced int
}

// memoryDisk is a simulated disk. Power loss keeps synced bytes and drops or tears the rest; of names it keeps for sure
// only those that a sync of their folder has covered.
type memoryDisk struct {
	mu      sync.Mutex
	files   map[string]*memoryFile
	made    map[string]bool   // names of new files, while the folder is not synced
	renamed map[string]string // new name to old, likewise
	removed map[string]*memoryFile
	failing bool
	syncing func() time.Duration // time of a sync; nil for none. Only under synctest
	life    int                  // handles of an earlier life do nothing
}

func newMemoryDisk() *memoryDisk {
	return &memoryDisk{
		files:   make(map[string]*memoryFile),
		made:    make(map[string]bool),
		renamed: make(map[string]string),
		removed: make(map[string]*memoryFile),
	}
}

func (d *memoryDisk) trouble() error {
	if d.failing {
		return errDiskTrouble
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
	d.syncing = syncing
}

func (d *memoryDisk) syncTime() func() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.syncing
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
	if err := d.trouble(); err != nil {
		return nil, err
	}
	d.files[path], d.made[path] = &memoryFile{}, true
	return &handle{disk: d, file: d.files[path], life: d.life}, nil
}

func (d *memoryDisk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.trouble(); err != nil {
		return err
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	d.renamed[to] = from
	if d.made[from] { // neither name lasts
		delete(d.made, from)
		d.made[to] = true
	}
	return nil
}

func (d *memoryDisk) Remove(path string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if file := d.files[path]; file != nil {
		d.removed[path] = file
		delete(d.files, path)
		delete(d.made, path)
	}
	return nil
}

func (d *memoryDisk) SyncFile(path string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.trouble(); err != nil {
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
	if err := d.trouble(); err != nil {
		return err
	}
	clear(d.made)
	clear(d.renamed)
	clear(d.removed)
	return nil
}

// end makes handles of the life before do nothing; files stay.
func (d *memoryDisk) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.life++
}

// losePower ends the life and keeps of what was not synced what chance leaves.
func (d *memoryDisk) losePower(random *rand.Rand) {
	d.end()
	d.mu.Lock()
	defer d.mu.Unlock()
	for path, file := range d.removed {
		if random.IntN(2) == 0 && d.files[path] == nil {
			d.files[path] = file
		}
	}
	for to, from := range d.renamed {
		if random.IntN(2) == 0 && d.files[to] != nil {
			d.files[from] = d.files[to]
			delete(d.files, to)
		}
	}
	for path := range d.made {
		if random.IntN(2) == 0 {
			delete(d.files, path)
		}
	}
	clear(d.made)
	clear(d.removed)
	clear(d.renamed)
	for path, file := range d.files {
		d.tear(path, file, random)
	}
}

// tear drops, cuts or spoils what was not synced.
func (d *memoryDisk) tear(path string, file *memoryFile, random *rand.Rand) {
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

type handle struct {
	disk *memoryDisk
	file *memoryFile
	life int
}

func (h *handle) ready() error {
	if h.life != h.disk.life {
		return errDiskTrouble
	}
	return h.disk.trouble()
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
