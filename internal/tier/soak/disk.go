package soak

import (
	"encoding/json"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/storage"
)

var errSync = eris.New("the soak has this sync fail")

// DiskTrouble is what is wrong with a machine's disk.
type DiskTrouble struct {
	Delay   time.Duration `json:"delay"`   // of each sync
	Failing bool          `json:"failing"` // syncs fail, and what they were to make durable never is
	Full    bool          `json:"full"`    // nothing can be written
}

// troublePath is where a machine's disk trouble stands, beside its folder.
func troublePath(dataFolder string) string { return dataFolder + ".trouble" }

// setTrouble tells the processes that have a folder what is wrong with its disk.
func setTrouble(dataFolder string, trouble DiskTrouble) error {
	text, err := json.Marshal(trouble)
	if err != nil {
		return err
	}
	aside := troublePath(dataFolder) + ".part"
	if err := os.WriteFile(aside, text, 0o644); err != nil {
		return err
	}
	return os.Rename(aside, troublePath(dataFolder))
}

func clearTrouble(dataFolder string) { _ = os.Remove(troublePath(dataFolder)) }

// VolatileDisk is the disk of a process whose every kill is a loss of power: what was not synced is in the process alone.
// Content lasts once its file was synced, names once their folder was. What lasts stands in the machine's files. It is safe
// for concurrent use.
type VolatileDisk struct {
	below storage.Disk
	data  string // folder whose trouble this disk has

	mu      sync.Mutex
	files   map[string]*volatileFile // made or renamed since the last sync of their folder
	removed map[string]bool          // names that were there at that sync
	changes map[string][]nameChange  // by folder, in their order
}

// nameChange is a change of names that no sync has covered.
type nameChange struct {
	from, to string // to is empty where a name was removed, from where a file was made
	file     *volatileFile
}

// volatileFile is a file with what was written to it and not synced.
type volatileFile struct {
	disk   *VolatileDisk
	path   string // where it stands
	synced []byte
	loose  []byte
	lasts  bool // its name does
}

// NewVolatileDisk makes the disk of a process that keeps its state in a folder.
func NewVolatileDisk(dataFolder string) *VolatileDisk {
	return &VolatileDisk{
		below: storage.OS{}, data: dataFolder, files: make(map[string]*volatileFile), removed: make(map[string]bool),
		changes: make(map[string][]nameChange),
	}
}

func (d *VolatileDisk) trouble() DiskTrouble {
	trouble := DiskTrouble{}
	if text, err := os.ReadFile(troublePath(d.data)); err == nil {
		_ = json.Unmarshal(text, &trouble)
	}
	return trouble
}

// MkdirAll implements storage.Disk.
func (d *VolatileDisk) MkdirAll(path string) error { return d.below.MkdirAll(path) }

// List implements storage.Disk.
func (d *VolatileDisk) List(folder string) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	lasting, err := d.below.List(folder)
	if err != nil {
		return nil, err
	}
	names := slices.DeleteFunc(lasting, func(name string) bool { return d.removed[filepath.Join(folder, name)] })
	for path := range d.files {
		if name := filepath.Base(path); filepath.Dir(path) == folder && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names, nil
}

// Read implements storage.Disk.
func (d *VolatileDisk) Read(path string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if file := d.files[path]; file != nil {
		return append(slices.Clone(file.synced), file.loose...), nil
	}
	if d.removed[path] {
		return nil, fs.ErrNotExist
	}
	return d.below.Read(path)
}

// Create implements storage.Disk.
func (d *VolatileDisk) Create(path string) (storage.File, error) {
	if d.trouble().Full {
		return nil, syscall.ENOSPC
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	file := &volatileFile{disk: d, path: path}
	d.files[path] = file
	d.note(nameChange{to: path, file: file})
	return file, nil
}

func (d *VolatileDisk) note(change nameChange) {
	folder := filepath.Dir(change.to)
	if change.from != "" {
		folder = filepath.Dir(change.from)
	}
	d.changes[folder] = append(d.changes[folder], change)
}

// Rename implements storage.Disk.
func (d *VolatileDisk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	file := d.files[from]
	if file == nil {
		return fs.ErrNotExist // nothing that lasts is ever renamed
	}
	delete(d.files, from)
	d.files[to], file.path = file, to
	d.removed[from] = file.lasts
	d.note(nameChange{from: from, to: to, file: file})
	return nil
}

// Remove implements storage.Disk.
func (d *VolatileDisk) Remove(path string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := os.Stat(path); err != nil && d.files[path] == nil {
		return fs.ErrNotExist
	}
	delete(d.files, path)
	d.removed[path] = true
	d.note(nameChange{from: path})
	return nil
}

// SyncFile implements storage.Disk.
func (d *VolatileDisk) SyncFile(path string) error {
	d.mu.Lock()
	file := d.files[path]
	d.mu.Unlock()
	if file == nil {
		return d.below.SyncFile(path)
	}
	return file.Sync()
}

// SyncDir implements storage.Disk: changes of names are made in their order.
func (d *VolatileDisk) SyncDir(folder string) error {
	trouble := d.trouble()
	time.Sleep(trouble.Delay)
	if trouble.Failing {
		return errSync
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := os.Stat(folder); err != nil {
		return err
	}
	for _, change := range d.changes[folder] {
		if err := d.carryOut(change); err != nil {
			return err
		}
	}
	delete(d.changes, folder)
	return nil
}

func (d *VolatileDisk) carryOut(change nameChange) error {
	switch {
	case change.to == "":
		_ = os.Remove(change.from)
		delete(d.removed, change.from)
		return nil
	case change.from != "" && change.file.lasts:
		delete(d.removed, change.from)
		return os.Rename(change.from, change.to)
	case change.file.path != change.to:
		return nil // it has another name by now, or none
	}
	if d.files[change.to] != change.file {
		return nil
	}
	change.file.lasts = true
	return os.WriteFile(change.to, change.file.synced, 0o600)
}

// Write implements storage.File.
func (f *volatileFile) Write(data []byte) (int, error) {
	if f.disk.trouble().Full {
		return 0, syscall.ENOSPC
	}
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	f.loose = append(f.loose, data...)
	return len(data), nil
}

// Sync implements storage.File. After a sync that failed the content is never durable, and further syncs do not say so.
func (f *volatileFile) Sync() error {
	trouble := f.disk.trouble()
	time.Sleep(trouble.Delay)
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if trouble.Failing {
		f.loose = make([]byte, 0)
		return errSync
	}
	loose := f.loose
	f.synced, f.loose = append(f.synced, loose...), nil
	if !f.lasts {
		return nil
	}
	lasting, err := os.OpenFile(f.path, os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		return err
	}
	defer lasting.Close()
	_, err = lasting.Write(loose)
	return err
}

// Close implements storage.File.
func (f *volatileFile) Close() error { return nil }
