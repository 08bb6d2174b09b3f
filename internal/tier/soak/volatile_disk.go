package soak

import (
	"encoding/json"
	"errors"
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

var errSync = eris.New("injected sync failure")

// DiskFault is a fault of a machine's disk. The zero value is a healthy disk.
type DiskFault struct {
	Delay   time.Duration `json:"delay"`   // of each sync
	Failing bool          `json:"failing"` // syncs fail, and the data they were to make durable is lost
	Full    bool          `json:"full"`    // nothing can be written
	Torn    bool          `json:"torn"`    // the first part of each write to a file with a durable name survives a kill
}

// diskFaultPath returns the file that holds the fault of a machine's disk, beside its data folder.
func diskFaultPath(dataFolder string) string { return dataFolder + ".fault" }

// setDiskFault sets the fault of the disk for the processes that use a data folder.
func setDiskFault(dataFolder string, fault DiskFault) error {
	text, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	temporary := diskFaultPath(dataFolder) + ".part"
	if err := os.WriteFile(temporary, text, 0o644); err != nil {
		return err
	}
	return os.Rename(temporary, diskFaultPath(dataFolder))
}

func clearDiskFault(dataFolder string) { _ = os.Remove(diskFaultPath(dataFolder)) }

// VolatileDisk is the disk of a process that makes each kill a power loss: unsynced changes are kept in the memory of the
// process only. Content is durable once its file is synced, names once their folder is. What is durable is stored in the
// machine's real files. It is safe for concurrent use.
type VolatileDisk struct {
	base       storage.Disk
	dataFolder string // whose DiskFault applies

	mu      sync.Mutex
	files   map[string]*volatileFile // created or renamed since the last sync of their folder
	removed map[string]bool          // durable names that were removed since that sync
	changes map[string][]nameChange  // by folder, in order
}

// nameChange is a creation, rename or removal that is not durable yet.
type nameChange struct {
	from, to string // from is empty for a creation, to is empty for a removal
	file     *volatileFile
}

// volatileFile is a file with its unsynced content.
type volatileFile struct {
	disk        *VolatileDisk
	path        string // its newest name
	synced      []byte
	unsynced    []byte
	durableName bool // its name is durable
}

// NewVolatileDisk creates the disk of a process that keeps its state in a data folder.
func NewVolatileDisk(dataFolder string) *VolatileDisk {
	return &VolatileDisk{
		base: storage.OS{}, dataFolder: dataFolder, files: make(map[string]*volatileFile), removed: make(map[string]bool),
		changes: make(map[string][]nameChange),
	}
}

func (d *VolatileDisk) currentFault() DiskFault {
	fault := DiskFault{}
	if text, err := os.ReadFile(diskFaultPath(d.dataFolder)); err == nil {
		_ = json.Unmarshal(text, &fault)
	}
	return fault
}

// MkdirAll implements storage.Disk.
func (d *VolatileDisk) MkdirAll(path string) error { return d.base.MkdirAll(path) }

// List implements storage.Disk.
func (d *VolatileDisk) List(folder string) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	durable, err := d.base.List(folder)
	if err != nil {
		return nil, err
	}
	names := slices.DeleteFunc(durable, func(name string) bool { return d.removed[filepath.Join(folder, name)] })
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
		return append(slices.Clone(file.synced), file.unsynced...), nil
	}
	if d.removed[path] {
		return nil, fs.ErrNotExist
	}
	return d.base.Read(path)
}

// Create implements storage.Disk.
func (d *VolatileDisk) Create(path string) (storage.File, error) {
	if d.currentFault().Full {
		return nil, syscall.ENOSPC
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	file := &volatileFile{disk: d, path: path}
	d.files[path] = file
	d.recordChange(nameChange{to: path, file: file})
	return file, nil
}

func (d *VolatileDisk) recordChange(change nameChange) {
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
		return fs.ErrNotExist // files of earlier incarnations are never renamed
	}
	delete(d.files, from)
	d.files[to], file.path = file, to
	d.removed[from] = file.durableName
	d.recordChange(nameChange{from: from, to: to, file: file})
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
	d.recordChange(nameChange{from: path})
	return nil
}

// SyncFile implements storage.Disk.
func (d *VolatileDisk) SyncFile(path string) error {
	d.mu.Lock()
	file := d.files[path]
	d.mu.Unlock()
	if file == nil {
		return d.base.SyncFile(path)
	}
	return file.Sync()
}

// SyncDir implements storage.Disk. The changes of names are applied in order.
func (d *VolatileDisk) SyncDir(folder string) error {
	fault := d.currentFault()
	time.Sleep(fault.Delay)
	if fault.Failing {
		return errSync
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := os.Stat(folder); err != nil {
		return err
	}
	for _, change := range d.changes[folder] {
		if err := d.applyChange(change); err != nil {
			return err
		}
	}
	delete(d.changes, folder)
	return nil
}

func (d *VolatileDisk) applyChange(change nameChange) error {
	switch {
	case change.to == "":
		_ = os.Remove(change.from)
		delete(d.removed, change.from)
		return nil
	case change.from != "" && change.file.durableName:
		delete(d.removed, change.from)
		return os.Rename(change.from, change.to)
	case change.file.path != change.to:
		return nil // it was renamed again, or removed
	}
	if d.files[change.to] != change.file {
		return nil
	}
	change.file.durableName = true
	return os.WriteFile(change.to, change.file.synced, 0o600)
}

// Write implements storage.File.
func (f *volatileFile) Write(data []byte) (int, error) {
	fault := f.disk.currentFault()
	if fault.Full {
		return 0, syscall.ENOSPC
	}
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	rest := data
	if fault.Torn && f.durableName && len(f.unsynced) == 0 {
		part := len(data) / 2
		if err := f.store(data[:part]); err != nil {
			return 0, err
		}
		rest = data[part:]
	}
	f.unsynced = append(f.unsynced, rest...)
	return len(data), nil
}

// store makes content durable, in a file whose name is. The disk's lock is held.
func (f *volatileFile) store(content []byte) error {
	f.synced = append(f.synced, content...)
	durable, err := os.OpenFile(f.path, os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		return err
	}
	_, err = durable.Write(content)
	return errors.Join(err, durable.Close())
}

// Sync implements storage.File. After a failed sync the content is lost, and later syncs do not report that, as with the
// page cache of Linux.
func (f *volatileFile) Sync() error {
	fault := f.disk.currentFault()
	time.Sleep(fault.Delay)
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if fault.Failing {
		f.unsynced = make([]byte, 0)
		return errSync
	}
	unsynced := f.unsynced
	f.unsynced = nil
	if !f.durableName {
		f.synced = append(f.synced, unsynced...)
		return nil
	}
	return f.store(unsynced)
}

// Close implements storage.File.
func (f *volatileFile) Close() error { return nil }
