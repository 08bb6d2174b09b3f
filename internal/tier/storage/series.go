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

// temporarySuffix ends the name of a file that is being written.
const temporarySuffix = ".part"

// Series stores one state on disk. Each save replaces the whole state with a new version. A Series is not safe for
// concurrent use.
type Series struct {
	disk        Disk
	directory   string
	name        string
	failpoints  *failpoint.Points
	lastVersion uint64   // highest version number used so far, also by failed saves
	versions    []uint64 // numbers of the versions whose files may exist, ascending
	payload     []byte   // read by Open; nil after a successful save
	found       bool
	corrupted   bool
}

// Open reads the newest complete version of a series in a directory, which must exist. It removes the series' temporary
// files and, if it finds a complete version, all its other versions. Several series may share a directory. failpoints may
// be nil. Open returns only errors of the disk; Corrupted reports a corrupted version.
func Open(disk Disk, directory, name string, failpoints *failpoint.Points) (*Series, error) {
	series := &Series{disk: disk, directory: directory, name: name, failpoints: failpoints}
	names, err := disk.List(directory)
	if err != nil {
		return nil, eris.Wrapf(err, "list %s", directory)
	}
	for _, file := range names {
		series.addFile(file)
	}
	slices.Sort(series.versions)
	if err := series.load(); err != nil {
		return nil, err
	}
	return series, nil
}

// addFile records a file of the directory if it is a version of the series, and removes it if it is a temporary file of
// the series.
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
		s.versions = append(s.versions, version)
		s.lastVersion = max(s.lastVersion, version)
	}
}

// load reads the newest complete version and removes the others.
func (s *Series) load() error {
	for i := len(s.versions) - 1; i >= 0; i-- {
		version := s.versions[i]
		data, err := s.disk.Read(s.path(version))
		if err != nil {
			return eris.Wrapf(err, "read %s", s.path(version))
		}
		payload, err := decode(data, version)
		if err != nil {
			s.corrupted = true
			continue
		}
		// A killed process may have renamed the file without syncing the directory.
		if err := s.disk.SyncDir(s.directory); err != nil {
			return eris.Wrapf(err, "sync %s", s.directory)
		}
		s.payload, s.found = payload, true
		s.removeAllExcept(version)
		return nil
	}
	return nil
}

// Newest returns the payload that Open read, and whether there is a complete version. After a successful Save the
// payload is nil, since the caller already has it.
func (s *Series) Newest() ([]byte, bool) { return s.payload, s.found }

// Corrupted reports whether Open skipped a version because it was incomplete or corrupted. The disk has then lost data that
// it had acknowledged.
func (s *Series) Corrupted() bool { return s.corrupted }

// Save makes a payload the newest version. When it returns nil, the payload is durable. An error is or wraps that of the
// disk or failpoint.ErrStopped. The newest version on disk is then either this one or the previous one, and Save may be
// called again.
func (s *Series) Save(payload []byte) error {
	s.lastVersion++
	version := s.lastVersion
	if err := s.write(version, payload); err != nil {
		return eris.Wrapf(err, "save %s", s.path(version))
	}
	s.payload, s.found = nil, true
	s.removeAllExcept(version)
	return s.failpoints.At(failpoint.VersionRemoved)
}

// Clear removes all versions and resets Corrupted. It returns the error of syncing the directory.
func (s *Series) Clear() error {
	s.removeAllExcept(s.lastVersion + 1)
	s.payload, s.found, s.corrupted = nil, false, false
	return s.disk.SyncDir(s.directory)
}

// write performs the steps of Save up to and including the sync of the directory.
func (s *Series) write(version uint64, payload []byte) error {
	temporary := s.path(version) + temporarySuffix
	if err := s.writeTemporary(temporary, encode(version, payload)); err != nil {
		_ = s.disk.Remove(temporary)
		return err
	}
	s.versions = append(s.versions, version)
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
	defer func() { _ = file.Close() }() // write errors are reported by Sync
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

// removeAllExcept removes the files of all versions but one. The next save retries files that could not be removed.
func (s *Series) removeAllExcept(keep uint64) {
	remaining := s.versions[:0]
	for _, version := range s.versions {
		if version == keep {
			remaining = append(remaining, version)
			continue
		}
		if err := s.disk.Remove(s.path(version)); err != nil && s.exists(version) {
			remaining = append(remaining, version)
		}
	}
	s.versions = remaining
}

// exists reports whether the file of a version exists. It returns true if the directory cannot be read.
func (s *Series) exists(version uint64) bool {
	names, err := s.disk.List(s.directory)
	return err != nil || slices.Contains(names, filepath.Base(s.path(version)))
}

func (s *Series) path(version uint64) string {
	return filepath.Join(s.directory, fmt.Sprintf("%s-%016x", s.name, version))
}
