package turnstore

import (
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/storage"
)

// chunkBytes is how much of a merged file is written at a time.
const chunkBytes = 256 << 10

// recovery is what reading a data folder told.
type recovery struct {
	next     uint64 // number of the first free segment
	bytes    int64
	damaged  bool             // the disk has lost what it had made durable
	segments map[uint64]int64 // how many bytes of each are whole
	marks    map[uint64]int64 // how many were synced at least
	replaced uint64           // segments up to this number stand in a merged file
	merged   uint64           // and were said to; 0 where no merged file was finished
}

// recoverFiles reads all merged files and segments.
func recoverFiles(disk storage.Disk, folder string, into contents) (recovery, error) {
	names, err := disk.List(folder)
	if err != nil {
		return recovery{}, eris.Wrap(err, "list the data folder")
	}
	slices.Sort(names)
	found := recovery{next: 1, segments: make(map[uint64]int64), marks: make(map[uint64]int64)}
	for _, name := range names {
		if strings.HasSuffix(name, asideSuffix) {
			_ = disk.Remove(filepath.Join(folder, name))
			continue
		}
		if err := found.take(disk, filepath.Join(folder, name), into); err != nil {
			return recovery{}, err
		}
	}
	// A process that was killed may have made files without syncing the folder. What they hold counts as durable now.
	if err := disk.SyncDir(folder); err != nil {
		return recovery{}, eris.Wrap(err, "sync the data folder")
	}
	if found.merged, err = readMergedNumber(disk, folder); err != nil {
		return recovery{}, err
	}
	found.next = max(found.next, found.merged+1)
	found.damaged = found.damaged || found.replaced < found.merged || found.lacksSynced()
	return found, nil
}

// take reads one file.
func (r *recovery) take(disk storage.Disk, path string, into contents) error {
	name := filepath.Base(path)
	if number, isMarks := numberOf(name, marksPrefix); isMarks {
		data, err := disk.Read(path)
		r.marks[number] = readMarks(data)
		r.next = max(r.next, number+1)
		return eris.Wrapf(err, "read %s", path)
	}
	segment, isSegment := numberOf(name, segmentPrefix)
	merged, isMerged := numberOf(name, mergedPrefix)
	if !isSegment && !isMerged {
		return nil
	}
	size, valid, whole, err := recoverFile(disk, path, into)
	if err != nil {
		return err
	}
	r.next = max(r.next, segment+1, merged+1)
	r.bytes += size
	switch {
	case isSegment:
		r.segments[segment] = valid
	case whole:
		r.replaced = max(r.replaced, merged)
	default:
		r.damaged = true
	}
	return nil
}

// lacksSynced says whether a segment that no merged file has replaced has lost what it had synced. What is not whole
// behind that was never acknowledged.
func (r *recovery) lacksSynced() bool {
	for segment, synced := range r.marks {
		if segment > r.replaced && r.segments[segment] < synced {
			return true
		}
	}
	return false
}

// recoverFile takes in a file. Merging is free of order, so files that a merged one has replaced do no harm. What a
// process that was killed had written and not synced is synced first: from here on it counts as durable.
func recoverFile(disk storage.Disk, path string, into contents) (size, valid int64, whole bool, err error) {
	if err := disk.SyncFile(path); err != nil {
		return 0, 0, false, eris.Wrapf(err, "sync %s", path)
	}
	data, err := disk.Read(path)
	if err != nil {
		return 0, 0, false, eris.Wrapf(err, "read %s", path)
	}
	valid, whole, err = readFrames(data, into)
	if err != nil {
		return 0, 0, false, eris.Wrapf(err, "read %s", path)
	}
	return int64(len(data)), valid, whole, nil
}

// mergedFile writes all that is held into one file aside, which then replaces segments.
type mergedFile struct {
	disk   storage.Disk
	folder string
	number uint64
	file   storage.File
	buffer []byte
	bytes  int64
	faults *failpoint.Points
}

func createMerged(disk storage.Disk, folder string, number uint64, faults *failpoint.Points) (*mergedFile, error) {
	m := &mergedFile{disk: disk, folder: folder, number: number, faults: faults}
	file, err := disk.Create(m.path() + asideSuffix)
	if err != nil {
		return nil, eris.Wrap(err, "create a merged file")
	}
	m.file = file
	m.buffer = append(make([]byte, 0, chunkBytes), fileMagic...)
	return m, nil
}

func (m *mergedFile) path() string { return filepath.Join(m.folder, mergedName(m.number)) }

func (m *mergedFile) add(kind byte, body message) error {
	var err error
	if m.buffer, err = appendFrame(m.buffer, kind, body); err != nil {
		return err
	}
	if len(m.buffer) < chunkBytes {
		return nil
	}
	return m.flush()
}

func (m *mergedFile) flush() error {
	if _, err := m.file.Write(m.buffer); err != nil {
		return eris.Wrap(err, "write a merged file")
	}
	m.bytes += int64(len(m.buffer))
	m.buffer = m.buffer[:0]
	return nil
}

// finish makes the file durable under its name and removes what it replaces.
func (m *mergedFile) finish() error {
	if err := m.flush(); err != nil {
		return err
	}
	if err := m.file.Sync(); err != nil {
		return eris.Wrap(err, "sync a merged file")
	}
	if err := m.file.Close(); err != nil {
		return eris.Wrap(err, "close a merged file")
	}
	m.file = nil
	if err := m.faults.At(pointMergedSynced); err != nil {
		return err
	}
	if err := m.disk.Rename(m.path()+asideSuffix, m.path()); err != nil {
		return eris.Wrap(err, "rename a merged file")
	}
	if err := m.disk.SyncDir(m.folder); err != nil {
		return eris.Wrap(err, "sync the data folder")
	}
	if err := m.faults.At(pointMergedDurable); err != nil {
		return err
	}
	if err := saveMergedNumber(m.disk, m.folder, m.number, m.faults); err != nil {
		return err
	}
	m.removeReplaced()
	return nil
}

// abandon removes the file that is aside.
func (m *mergedFile) abandon() {
	if m.file != nil {
		_ = m.file.Close()
	}
	_ = m.disk.Remove(m.path() + asideSuffix)
}

// removeReplaced removes files that the merged one replaces. Those that stay do no harm.
func (m *mergedFile) removeReplaced() {
	names, err := m.disk.List(m.folder)
	if err != nil {
		return
	}
	for _, name := range names {
		segment, isSegment := numberOf(name, segmentPrefix)
		merged, isMerged := numberOf(name, mergedPrefix)
		marked, isMarks := numberOf(name, marksPrefix)
		if isSegment && segment <= m.number || isMerged && merged < m.number || isMarks && marked <= m.number {
			_ = m.disk.Remove(filepath.Join(m.folder, name))
		}
	}
}
