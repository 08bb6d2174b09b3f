package storage

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
)

// temporarySuffix is that of the name of a file that is being written.
const temporarySuffix = ".part"

// Series is a piece of state that is replaced as a whole, version by version. It is not safe for concurrent use.
type Series struct {
	disk       Disk
	directory  string
	name       string
	failpoints *failpoint.Points
	version    uint64   // highest number ever used
	present    []uint64 // versions whose files may exist, ascending
	payload    []byte   // as read by Open
	found      bool
	corrupted  bool
}

// Open reads the newest complete version of a series in a directory, which must exist. It removes temporary files and,
// once it has found a complete version, all others. Several series may share a directory.
// Failpoints may be nil. An error is that of the disk; a corrupted version is no error, see Corrupted.
func Open(disk Disk, directory, name string, failpoints *failpoint.Points) (*Series, error) {
	series := &Series{disk: disk, directory: directory, name: name, failpoints: failpoints}
	names, err := disk.List(directory)
	if err != nil {
		return nil, eris.Wrapf(err, "list %s", directory)
	}
	for _, file := range names {
		series.addFile(file)
	}
	slices.Sort(series.present)
	if err := series.load(); err != nil {
		return nil, err
	}
	return series, nil
}

// addFile notes a file of the directory if it is a version of the series, and removes it if it is a temporary file.
func (s *Series) addFile(file string) {
	rest, belongs := strings.CutPrefix(file, s.name+"-")
	if !belongs {
		return
	}
	if strings.HasSuffix(rest, temporarySuffix) {
		_ = s.disk.Remove(filepath.Join(s.directory, file))
		return
	}
	if version, err := strconv.ParseUint(rest, 16, 64); err == nil {
		s.present = append(s.present, version)
		s.version = max(s.version, version)
	}
}

// load reads the newest complete version and removes the others.
func (s *Series) load() error {
	for i := len(s.present) - 1; i >= 0; i-- {
		version := s.present[i]
		data, err := s.disk.Read(s.path(version))
		if err != nil {
			return eris.Wrapf(err, "read %s", s.path(version))
		}
		payload, err := decode(data, version)
		if err != nil {
			s.corrupted = true
			continue
		}
		// A process that was killed may have renamed the file without syncing the directory.
		if err := s.disk.SyncDir(s.directory); err != nil {
			return eris.Wrapf(err, "sync %s", s.directory)
		}
		s.payload, s.found = payload, true
		s.removeAllBut(version)
		return nil
	}
	return nil
}

// Newest returns the payload that Open read, and whether there is a complete version. After a Save the payload is nil: the
// caller has it.
func (s *Series) Newest() ([]byte, bool) { return s.payload, s.found }

// Corrupted reports whether Open found a version, newer than the one it returned, that fails its checksum: the disk has
// lost what it had acknowledged.
func (s *Series) Corrupted() bool { return s.corrupted }

// Save makes a payload the newest version. When it returns nil the payload is durable. After an error, which is that of
// the disk or failpoint.ErrStopped, the version on disk is either this one or the one before; Save may be called again.
func (s *Series) Save(payload []byte) error {
	s.version++
	version := s.version
	if err := s.write(version, payload); err != nil {
		return eris.Wrapf(err, "save %s", s.path(version))
	}
	s.payload, s.found = nil, true
	s.removeAllBut(version)
	return s.failpoints.At(failpoint.VersionRemoved)
}

// Clear removes all versions and resets Corrupted. An error is that of syncing the directory.
func (s *Series) Clear() error {
	s.removeAllBut(s.version + 1)
	s.payload, s.found, s.corrupted = nil, false, false
	return s.disk.SyncDir(s.directory)
}

// write runs the steps of a save up to the sync of the directory.
func (s *Series) write(version uint64, payload []byte) error {
	temporary := s.path(version) + temporarySuffix
	if err := s.writeTemporary(temporary, encode(version, payload)); err != nil {
		_ = s.disk.Remove(temporary)
		return err
	}
	s.present = append(s.present, version)
	if err := s.disk.Rename(temporary, s.path(version)); err != nil {
		_ = s.disk.Remove(temporary)
		return err
	}
	if err := s.failpoints.At(failpoint.VersionRenamed); err != nil {
		return err
	}
	if err := s.disk.SyncDir(s.directory); err != nil {
		return err
	}
	return s.failpoints.At(failpoint.VersionFolderSynced)
}

func (s *Series) writeTemporary(path string, data []byte) error {
	file, err := s.disk.Create(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // an error of the data is that of Sync
	if err := s.failpoints.At(failpoint.VersionCreated); err != nil {
		return err
	}
	if _, err := file.Write(data); err != nil {
		return err
	}
	if err := s.failpoints.At(failpoint.VersionWritten); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	return s.failpoints.At(failpoint.VersionSynced)
}

// removeAllBut removes the files of all other versions. A file that cannot be removed is tried again by the next save.
func (s *Series) removeAllBut(keep uint64) {
	remaining := s.present[:0]
	for _, version := range s.present {
		if version == keep {
			remaining = append(remaining, version)
			continue
		}
		if err := s.disk.Remove(s.path(version)); err != nil && s.exists(version) {
			remaining = append(remaining, version)
		}
	}
	s.present = remaining
}

// exists reports whether a version has a file; an unreadable directory counts as if it had.
func (s *Series) exists(version uint64) bool {
	names, err := s.disk.List(s.directory)
	return err != nil || slices.Contains(names, filepath.Base(s.path(version)))
}

func (s *Series) path(version uint64) string {
	return filepath.Join(s.directory, fmt.Sprintf("%s-%016x", s.name, version))
}
