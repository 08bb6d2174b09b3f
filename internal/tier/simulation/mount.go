package simulation

import (
	"maps"
	"path"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/tier/storage"
)

// Mount returns the machine's disk as this incarnation uses it: operations wait while the machine is frozen, and fail with
// ErrStopped once the incarnation has ended.
func (i *Incarnation) Mount() storage.Disk { return &mount{disk: i.machine.Disk, incarnation: i} }

// mount is the disk as one incarnation sees it; it implements storage.Disk.
type mount struct {
	disk        *Disk
	incarnation *Incarnation
}

// use runs an operation on the locked disk unless the incarnation has ended.
func (m *mount) use(operation func(*Disk) error) error {
	if !m.incarnation.awaitRunning() {
		return ErrStopped
	}
	m.disk.mu.Lock()
	defer m.disk.mu.Unlock()
	if m.incarnation.hasEnded() {
		return ErrStopped
	}
	return operation(m.disk)
}

// waitForSync waits for the delay of a sync.
func (m *mount) waitForSync() {
	m.disk.mu.Lock()
	delay := m.disk.fault.SyncDelay
	m.disk.mu.Unlock()
	if delay <= 0 {
		return
	}
	select {
	case <-time.After(delay):
	case <-m.incarnation.ended:
	}
}

func (m *mount) MkdirAll(string) error { return m.use(func(*Disk) error { return nil }) }

func (m *mount) List(folder string) (names []string, err error) {
	err = m.use(func(disk *Disk) error {
		for name := range disk.current {
			if path.Dir(name) == folder {
				names = append(names, path.Base(name))
			}
		}
		slices.Sort(names)
		return nil
	})
	return names, err
}

func (m *mount) Read(name string) (data []byte, err error) {
	err = m.use(func(disk *Disk) error {
		file := disk.current[name]
		if file == nil {
			return errMissing
		}
		data = file.content()
		return nil
	})
	return data, err
}

func (m *mount) Create(name string) (storage.File, error) {
	file := &inode{}
	err := m.use(func(disk *Disk) error {
		disk.current[name] = file
		disk.pending = append(disk.pending, nameChange{to: name, file: file})
		return nil
	})
	return &openFile{mount: m, name: name, file: file}, err
}

func (m *mount) Rename(from, to string) error {
	return m.use(func(disk *Disk) error {
		file := disk.current[from]
		if file == nil {
			return errMissing
		}
		delete(disk.current, from)
		disk.current[to] = file
		disk.pending = append(disk.pending, nameChange{from: from, to: to, file: file})
		return nil
	})
}

func (m *mount) Remove(name string) error {
	return m.use(func(disk *Disk) error {
		file := disk.current[name]
		if file == nil {
			return errMissing
		}
		delete(disk.current, name)
		disk.pending = append(disk.pending, nameChange{from: name, file: file})
		return nil
	})
}

func (m *mount) SyncFile(name string) error {
	var file *inode
	err := m.use(func(disk *Disk) error {
		if file = disk.current[name]; file == nil {
			return errMissing
		}
		return nil
	})
	if err != nil {
		return err
	}
	return (&openFile{mount: m, name: name, file: file}).Sync()
}

func (m *mount) SyncDir(string) error {
	m.waitForSync()
	return m.use(func(disk *Disk) error {
		if disk.fault.SyncFails {
			return ErrSync
		}
		disk.stats.FolderSyncs++
		disk.durable = maps.Clone(disk.current)
		disk.pending = nil
		return nil
	})
}

// openFile is a file open for writing.
type openFile struct {
	mount *mount
	name  string
	file  *inode
}

func (f *openFile) Write(data []byte) (int, error) {
	err := f.mount.use(func(disk *Disk) error {
		if disk.fault.Full {
			return ErrFull
		}
		disk.stats.BytesWritten += len(data)
		f.file.writes = append(f.file.writes, slices.Clone(data))
		return nil
	})
	return len(data), err
}

// Sync makes the content durable. The name of the file becomes durable with the next sync of its folder, not before.
func (f *openFile) Sync() error {
	f.mount.waitForSync()
	return f.mount.use(func(disk *Disk) error {
		if disk.fault.SyncFails {
			return ErrSync
		}
		disk.stats.FileSyncs++
		f.file.synced, f.file.writes = f.file.content(), nil
		return nil
	})
}

func (f *openFile) Close() error { return nil }
