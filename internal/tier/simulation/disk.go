package simulation

import (
	"maps"
	"math/rand/v2"
	"path"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/storage"
)

// Errors of a simulated disk.
var (
	ErrFull    = eris.New("no space left on the simulated disk")
	ErrSync    = eris.New("simulated disk failed to sync")
	ErrStopped = eris.New("process of the simulated disk has ended")
	errMissing = eris.New("no such file on the simulated disk")
)

// Disk keeps files through ends of processes, and through losses of power what was synced.
type Disk struct {
	mu      sync.Mutex
	random  *rand.Rand
	current map[string]*inode // names as processes see them
	durable map[string]*inode // names as the last syncs left them
	pending []nameChange
	stats   DiskStats
	trouble DiskFault
}

// DiskFault is what is wrong with a disk.
type DiskFault struct {
	Full      bool          // writes fail
	SyncFails bool          // syncs fail
	SyncDelay time.Duration // of each sync
}

// DiskStats counts the operations on a disk.
type DiskStats struct {
	BytesWritten int // bytes
	FileSyncs    int
	FolderSyncs  int
}

type inode struct {
	synced []byte
	writes [][]byte // since the last sync
}

// nameChange is a change of names that no sync of the folder has covered.
type nameChange struct {
	from, to string // to is empty where a name was removed, from where a file was made
	file     *inode
}

// NewDisk makes an empty disk.
func NewDisk(random *rand.Rand) *Disk {
	return &Disk{random: random, current: make(map[string]*inode), durable: make(map[string]*inode)}
}

// SetFault replaces what is wrong with the disk.
func (d *Disk) SetFault(trouble DiskFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.trouble = trouble
}

// Stats returns the operations so far.
func (d *Disk) Stats() DiskStats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stats
}

// Bytes returns the size of all files.
func (d *Disk) Bytes() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	total := 0
	for _, file := range d.current {
		total += len(file.content())
	}
	return total
}

// PowerLoss leaves of each unsynced write all, nothing or a part, and of each unsynced change of names all or nothing.
func (d *Disk) PowerLoss() {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := d.random.IntN(4) == 0 // some losses of power remove all of them
	for _, change := range d.pending {
		if all || d.random.IntN(2) == 0 {
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
		file.lose(d.random, all)
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

// CorruptMatching alters a byte in the middle of each file whose path contains a text.
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

// RemoveMatching removes each file whose path contains a text.
func (d *Disk) RemoveMatching(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	contains := func(name string, _ *inode) bool { return strings.Contains(name, text) }
	maps.DeleteFunc(d.current, contains)
	maps.DeleteFunc(d.durable, contains)
}

// Mount gives a life access to the disk of its machine.
func (l *Incarnation) Mount() storage.Disk { return &mount{disk: l.machine.Disk, life: l} }

func (i *inode) content() []byte {
	data := slices.Clone(i.synced)
	for _, write := range i.writes {
		data = append(data, write...)
	}
	return data
}

func (i *inode) lose(random *rand.Rand, all bool) {
	for _, write := range i.writes {
		kept := random.IntN(3)
		switch {
		case all || kept == 0:
			write = make([]byte, len(write)*random.IntN(2))
		case kept == 1:
			write = write[:random.IntN(len(write)+1)]
		}
		i.synced = append(slices.Clone(i.synced), write...)
	}
	i.writes = nil
}

// mount is the disk as one life sees it.
type mount struct {
	disk *Disk
	life *Incarnation
}

// use runs an operation unless the life has ended.
func (m *mount) use(operation func(*Disk) error) error {
	if !m.life.running() {
		return ErrStopped
	}
	m.disk.mu.Lock()
	defer m.disk.mu.Unlock()
	if m.life.hasEnded() {
		return ErrStopped
	}
	return operation(m.disk)
}

// wait lets the time of a sync pass.
func (m *mount) wait() {
	m.disk.mu.Lock()
	delay := m.disk.trouble.SyncDelay
	m.disk.mu.Unlock()
	if delay <= 0 {
		return
	}
	select {
	case <-time.After(delay):
	case <-m.life.ended:
	}
}

func (m *mount) MakeFolder(string) error { return m.use(func(*Disk) error { return nil }) }

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

func (m *mount) SyncFolder(string) error {
	m.wait()
	return m.use(func(disk *Disk) error {
		if disk.trouble.SyncFails {
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
		if disk.trouble.Full {
			return ErrFull
		}
		disk.stats.BytesWritten += len(data)
		f.file.writes = append(f.file.writes, slices.Clone(data))
		return nil
	})
	return len(data), err
}

// Sync makes the content last. The name under which the file was made lasts when its folder is synced, not before.
func (f *openFile) Sync() error {
	f.mount.wait()
	return f.mount.use(func(disk *Disk) error {
		if disk.trouble.SyncFails {
			return ErrSync
		}
		disk.stats.FileSyncs++
		f.file.synced, f.file.writes = f.file.content(), nil
		return nil
	})
}

func (f *openFile) Close() error { return nil }
